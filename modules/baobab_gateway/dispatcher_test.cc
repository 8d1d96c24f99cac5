#include "baobab_gateway/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "baobab_gateway/test_fleet.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::MakeRegistry;
using test::MakeTestManifest;

const TimePoint kNow = TimePoint{} + seconds(100);

auto Item(WorkId id, const std::string& model = "m0",
          const std::string& adapter = "") -> WorkItem {
  WorkItem item;
  item.id_ = id;
  item.service_ = model.empty() ? "plain" : "engines";
  item.generation_ = {model, adapter, model.empty() ? 0U : 1000U, 50, 0, {}};
  item.arrived_ = kNow;
  item.objective_at_ = kNow + seconds(1);
  item.deadline_ = kNow + seconds(5);
  return item;
}

struct Fixture {
  explicit Fixture(std::size_t engines, DispatchSettings settings = {})
      : registry_(MakeRegistry(engines, {"m0"})), dispatcher_(settings, "z") {
    dispatcher_.SetManifest(MakeTestManifest({"m0", "m1"}));
    dispatcher_.SetTargets(registry_, kNow);
  }
  TargetRegistry registry_;
  Dispatcher dispatcher_;
};

// Guards against sending several simultaneous requests to the same target.
TEST_CASE("Simultaneous requests are spread over the targets", "[gateway]") {
  const auto engines = GENERATE(std::size_t{2}, std::size_t{4});
  Fixture fixture(engines);
  for (WorkId id = 1; id <= 2 * engines; ++id) {
    REQUIRE_FALSE(fixture.dispatcher_.Submit(Item(id), kNow));
  }
  std::map<std::string, int> count;
  for (const auto& assignment : fixture.dispatcher_.Assign(kNow)) {
    ++count[assignment.target_];
  }
  CHECK(count.size() == engines);
}

// Guards against requests that wait until their deadline and are never sent,
// because only the prefill ahead of them was counted: where responses are long,
// slots are what they wait for.
TEST_CASE("A request that gets no slot in time is rejected at once",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::size_t instances_;
    int ahead_;  // in the queue of this instance
    bool rejected_;
  };
  const auto test = GENERATE(values<Case>({
      {"first in the queue", 16, 0, false},
      {"short queues", 2, 16, false},
      {"queues of as many requests at 16 instances", 16, 16, true},
  }));
  INFO(test.what_);
  Fixture fixture(1);
  auto& dispatcher = fixture.dispatcher_;
  dispatcher.SetInstanceCount(test.instances_);
  REQUIRE_FALSE(dispatcher.Submit(Item(1), kNow));
  REQUIRE(dispatcher.Assign(kNow).size() == 1);
  dispatcher.OnServed(1, kNow + seconds(2));
  dispatcher.OnPeerLoad("peer", {{"t0", {64, 64'000, 0, 0}}}, kNow);
  for (int i = 0; i < test.ahead_; ++i) {
    REQUIRE_FALSE(dispatcher.Submit(Item(static_cast<WorkId>(10 + i)), kNow));
  }
  CHECK(dispatcher.Submit(Item(2), kNow).has_value() == test.rejected_);
}

// Guards against requests to a target that another tenant of its machine slows
// down, and against one that is avoided because of a state that has passed.
TEST_CASE("A target that states that it is slow is avoided for a moment",
          "[gateway]") {
  const auto age = GENERATE(milliseconds(50), seconds(1));
  Fixture fixture(2);
  auto& dispatcher = fixture.dispatcher_;
  dispatcher.OnPeerLoad("peer", {{"t1", {8, 8'000, 10'000, 100}}}, kNow);
  dispatcher.OnStatedLoad("t0", {1, 0, 64, 400}, kNow - age);
  REQUIRE_FALSE(dispatcher.Submit(Item(1), kNow));
  const auto assignments = dispatcher.Assign(kNow);
  REQUIRE(assignments.size() == 1);
  CHECK(assignments[0].target_ == (age < seconds(1) ? "t1" : "t0"));
}

// Guards against requests that queue at a target, where they can no longer be
// reordered or sent to another target.
TEST_CASE("A target gets no more requests than it can start", "[gateway]") {
  struct Case {
    const char* what_;
    TargetLoad peers_;
    std::size_t sent_;
  };
  const auto test = GENERATE(values<Case>({
      {"idle", {0, 0, 0, 0}, 1},
      {"all slots are taken", {64, 1000, 0, 0}, 0},
      {"the cache is reserved", {3, 250'000, 0, 0}, 0},
      {"prefill is pending", {3, 9'000, 400'000, 0}, 0},
      {"all of its time goes to prefill", {3, 9'000, 0, 1'400}, 0},
      {"half of its time goes to prefill", {30, 90'000, 20'000, 500}, 1},
  }));
  INFO(test.what_);
  Fixture fixture(1);
  fixture.dispatcher_.OnPeerLoad("peer", {{"t0", test.peers_}}, kNow);
  REQUIRE_FALSE(fixture.dispatcher_.Submit(Item(1), kNow));
  CHECK(fixture.dispatcher_.Assign(kNow).size() == test.sent_);
  // Expired reports no longer prevent an assignment.
  const auto later = kNow + PeerLoad::kMaxReportAge + Duration(1);
  fixture.dispatcher_.SetTargets(fixture.registry_, later);
  CHECK(fixture.dispatcher_.Assign(later).size() == 1 - test.sent_);
}

// Guards against sending long responses to engines that spend most of their
// time on prefill, where each decode step takes longer.
TEST_CASE("A long response goes to the target with the shortest steps",
          "[gateway]") {
  Fixture fixture(2);
  fixture.dispatcher_.OnPeerLoad(
      "peer", {{"t0", {4, 4'000, 0, 700}}, {"t1", {12, 12'000, 0, 50}}}, kNow);
  auto item = Item(1);
  item.generation_.prompt_tokens_ = 300;
  item.generation_.max_output_tokens_ = 400;
  REQUIRE_FALSE(fixture.dispatcher_.Submit(item, kNow));
  const auto assignments = fixture.dispatcher_.Assign(kNow);
  REQUIRE(assignments.size() == 1);
  CHECK(assignments.front().target_ == "t1");
}

// Guards against queueing a request that no target can serve in time, and
// against rejecting one that can still be served.
TEST_CASE("A request that cannot be served in time is rejected at once",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::uint32_t pending_prefill_us_;  // at the only target
    Duration time_left_;
    bool rejected_;
  };
  const auto test = GENERATE(values<Case>({
      {"idle", 0, seconds(5), false},
      {"long queue, much time", 2'000'000, seconds(5), false},
      {"long queue, little time", 2'000'000, seconds(1), true},
      {"too little time for the response itself", 0, milliseconds(100), true},
  }));
  INFO(test.what_);
  Fixture fixture(1);
  fixture.dispatcher_.OnPeerLoad(
      "peer", {{"t0", {9, 9, test.pending_prefill_us_, 0}}}, kNow);
  auto item = Item(1);
  item.deadline_ = kNow + test.time_left_;
  const auto rejection = fixture.dispatcher_.Submit(item, kNow);
  CHECK(rejection.has_value() == test.rejected_);
  if (rejection) {
    CHECK(rejection->retry_after_ > Duration::zero());
    CHECK(fixture.dispatcher_.waiting() == 0);
  }
}

TEST_CASE(
    "A waiting request is rejected once it can no longer be served in time",
    "[gateway]") {
  Fixture fixture(1);
  fixture.dispatcher_.OnPeerLoad("peer", {{"t0", {64, 9, 0, 0}}}, kNow);
  REQUIRE_FALSE(fixture.dispatcher_.Submit(Item(1), kNow));
  CHECK(fixture.dispatcher_.RejectInfeasible(kNow + seconds(4)).empty());
  CHECK(
      fixture.dispatcher_.RejectInfeasible(kNow + milliseconds(4900)).size() ==
      1);
  CHECK(fixture.dispatcher_.waiting() == 0);
}

// Guards against sending a request to a target that is leaving, lacks the
// model, is no longer registered, failed the same request, or has just failed
// another one.
TEST_CASE("Unsuitable targets get no requests", "[gateway]") {
  enum class Fault {
    kNone,
    kLeaving,
    kGone,
    kExcluded,
    kRefusedModel,
    kFailed
  };
  const auto fault =
      GENERATE(Fault::kNone, Fault::kLeaving, Fault::kGone, Fault::kExcluded,
               Fault::kRefusedModel, Fault::kFailed);
  Fixture fixture(1);
  auto& dispatcher = fixture.dispatcher_;
  auto item = Item(2);
  if (fault == Fault::kLeaving) {
    auto registration = fixture.registry_.Find("t0")->registration_;
    registration.draining_ = true;
    fixture.registry_.Put(registration, 100);
  } else if (fault == Fault::kGone) {
    fixture.registry_.Remove("t0", 100);
  } else if (fault == Fault::kExcluded) {
    item.excluded_.insert("t0");
  } else if (fault == Fault::kRefusedModel || fault == Fault::kFailed) {
    REQUIRE_FALSE(dispatcher.Submit(Item(1), kNow));
    REQUIRE(dispatcher.Assign(kNow).size() == 1);
    if (fault == Fault::kFailed) {
      dispatcher.OnTargetFailed(1, kNow);
    } else {
      dispatcher.OnTargetRefused(1, /*model_not_loaded=*/true, kNow);
    }
  }
  dispatcher.SetTargets(fixture.registry_, kNow);
  REQUIRE_FALSE(dispatcher.Submit(item, kNow));
  CHECK(dispatcher.Assign(kNow).size() == (fault == Fault::kNone ? 1 : 0));
  const auto later = kNow + TargetHealth::kFirstBackoff;
  CHECK(dispatcher.Assign(later).size() == (fault == Fault::kFailed ? 1 : 0));
}

// Guards against requests that wait for an adapter that is never requested from
// the order lease holder.
TEST_CASE("A missing adapter is requested until it is announced", "[gateway]") {
  Fixture fixture(2);
  auto& dispatcher = fixture.dispatcher_;
  REQUIRE_FALSE(dispatcher.Submit(Item(1, "m0", "a7"), kNow));
  REQUIRE_FALSE(dispatcher.Submit(Item(2, "m0", "a7"), kNow));
  CHECK(dispatcher.Assign(kNow).empty());
  const std::vector<MissingAdapter> missing_adapters = {
      {"engines", "m0", "a7", 2}};
  CHECK(dispatcher.MissingAdapters() == missing_adapters);
  dispatcher.OnAdapterLoaded("t1", "m0", "a7");
  CHECK(dispatcher.MissingAdapters().empty());
  const auto assignments = dispatcher.Assign(kNow);
  REQUIRE(assignments.size() == 2);
  CHECK(assignments.front().target_ == "t1");
  dispatcher.OnUnloadAnnounced("t1", "m0", "a7");
  REQUIRE_FALSE(dispatcher.Submit(Item(3, "m0", "a7"), kNow));
  CHECK(dispatcher.Assign(kNow).empty());
}

// Guards against load that is still counted after its request has ended, which
// would make the target appear loaded forever.
TEST_CASE("Ended requests no longer count as load", "[gateway]") {
  const auto ending = GENERATE(0, 1, 2, 3, 4);
  Fixture fixture(1);
  auto& dispatcher = fixture.dispatcher_;
  REQUIRE_FALSE(dispatcher.Submit(Item(1), kNow));
  REQUIRE(dispatcher.Assign(kNow).size() == 1);
  CHECK(dispatcher.OwnLoad(kNow).at("t0").running_ == 1);
  CHECK(dispatcher.OwnLoad(kNow).at("t0").pending_prefill_us_ > 0);
  if (ending > 1) {
    dispatcher.OnFirstToken(1, kNow + milliseconds(40));
    CHECK(dispatcher.OwnLoad(kNow).at("t0").pending_prefill_us_ == 0);
  }
  switch (ending) {
    case 0:
      dispatcher.Forget(1);
      break;
    case 1:
      dispatcher.OnTargetFailed(1, kNow);
      break;
    case 2:
      dispatcher.OnServed(1, kNow);
      break;
    case 3:
      dispatcher.OnErrorResponse(1);
      break;
    default:
      dispatcher.OnTargetRefused(1, false, kNow);
  }
  const auto later = dispatcher.OwnLoad(kNow + seconds(30));
  CHECK(later.empty());
  CHECK(dispatcher.running() == 0);
}

TEST_CASE("Plain calls go to the least busy target", "[gateway]") {
  Fixture fixture(0);
  auto& dispatcher = fixture.dispatcher_;
  for (const auto* id : {"p0", "p1"}) {
    TargetRegistration registration;
    registration.id_ = id;
    registration.service_ = "plain";
    registration.slots_ = 6;
    registration.zone_ = "z";
    fixture.registry_.Put(registration, 1);
  }
  dispatcher.SetTargets(fixture.registry_, kNow);
  dispatcher.OnPeerLoad("peer", {{"p0", {5, 0, 0, 0}}}, kNow);
  for (WorkId id = 1; id <= 8; ++id) {
    REQUIRE_FALSE(dispatcher.Submit(Item(id, ""), kNow));
  }
  std::map<std::string, int> count;
  for (const auto& assignment : dispatcher.Assign(kNow)) {
    ++count[assignment.target_];
  }
  // Seven of twelve slots are free; the eighth call stays in the queue.
  CHECK(count["p0"] == 1);
  CHECK(count["p1"] == 6);
  CHECK(dispatcher.waiting() == 1);
}

// Guards against instances that overfill a target because each of them sees a
// free slot in reports that are half a second old. At a large site, with two of
// the three targets of the booking service left, this causes half of the calls
// to be rejected.
TEST_CASE("Peers hear at once of calls to a target that fills up",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::uint32_t at_peers_;
    bool notified_;
  };
  const auto test = GENERATE(values<Case>({
      {"an idle target", 0, false},
      {"half of the slots taken with this one", 31, true},
  }));
  INFO(test.what_);
  auto registry = MakeRegistry(1, {});
  auto registration = registry.Find("t0")->registration_;
  registration.service_ = "plain";
  registry.Put(registration, 10);
  Dispatcher dispatcher(DispatchSettings(), "z");
  dispatcher.SetManifest(MakeTestManifest({}));
  dispatcher.SetTargets(registry, kNow);
  dispatcher.OnPeerLoad("peer", {{"t0", {test.at_peers_, 0, 0, 0}}}, kNow);
  REQUIRE_FALSE(dispatcher.Submit(Item(1, ""), kNow));
  REQUIRE(dispatcher.Assign(kNow).size() == 1);
  CHECK(dispatcher.TakeChangedTargets().empty() != test.notified_);
  dispatcher.OnServed(1, kNow);
  CHECK(dispatcher.TakeChangedTargets().empty() != test.notified_);
}

}  // namespace
}  // namespace baobab::gateway
