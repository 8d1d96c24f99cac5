#include "baobab_gateway/target_registry.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace baobab::gateway {
namespace {

auto Registration(const std::string& id, bool draining = false)
    -> TargetRegistration {
  TargetRegistration registration;
  registration.id_ = id;
  registration.draining_ = draining;
  return registration;
}

// Guards against a response from before an outage, or from a slow peer, that
// overwrites newer state.
TEST_CASE("Older revisions do not replace newer ones", "[gateway]") {
  const auto [first, second, draining] =
      GENERATE(table<std::int64_t, std::int64_t, bool>(
          {{5, 6, true}, {6, 6, true}, {7, 6, false}}));
  TargetRegistry registry;
  registry.Put(Registration("t"), first);
  registry.Put(Registration("t", true), second);
  CHECK(registry.Find("t")->registration_.draining_ == draining);
}

// Guards against removing every target because the registrations expired during
// a store outage, and against keeping targets that never register again.
TEST_CASE(
    "A target missing after an outage is used until its grace period ends",
    "[gateway]") {
  const auto [after_outage, waited, returns, present] =
      GENERATE(table<bool, Duration, bool, bool>({
          {false, Duration::zero(), false, false},
          {true, Duration::zero(), false, true},
          {true, TargetRegistry::kExpiryGracePeriod, false, false},
          {true, TargetRegistry::kExpiryGracePeriod, true, true},
      }));
  TargetRegistry registry;
  registry.Put(Registration("t"), 5);
  const TimePoint now{};
  registry.Reconcile(std::set<std::string>{}, 9, after_outage, now);
  if (returns) {
    registry.Put(Registration("t"), 10);
  }
  registry.Expire(now + waited);
  CHECK((registry.Find("t") != nullptr) == present);
}

TEST_CASE("A removal that may be an expiry takes effect after the grace period",
          "[gateway]") {
  TargetRegistry registry;
  registry.Put(Registration("t"), 5);
  const TimePoint until = TimePoint{} + std::chrono::seconds(2);
  registry.MarkPossiblyExpired("t", 6, until);
  CHECK(registry.NextExpiry() == until);
  CHECK(registry.Expire(until - Duration(1)).empty());
  CHECK(registry.Expire(until).size() == 1);
  CHECK_FALSE(registry.NextExpiry().has_value());
  CHECK(registry.Find("t") == nullptr);
}

// Guards against restarting the grace period of every missing target when
// another registration expires, which would keep all of them in use until the
// last grace period ends.
TEST_CASE("Each grace period ends by itself", "[gateway]") {
  TargetRegistry registry;
  const TimePoint start{std::chrono::seconds(100)};
  for (const std::string id : {"a", "b"}) {
    TargetRegistration registration;
    registration.id_ = id;
    registry.Put(registration, 1);
  }
  registry.MarkPossiblyExpired("a", 2, start + std::chrono::seconds(1));
  registry.MarkPossiblyExpired("b", 3, start + std::chrono::seconds(2));
  CHECK(registry.NextExpiry() == start + std::chrono::seconds(1));
  CHECK(registry.Expire(start + std::chrono::seconds(1)) ==
        std::vector<std::string>{"a"});
  CHECK(registry.NextExpiry() == start + std::chrono::seconds(2));
}

// Guards against a leaving target that is used again because of older or late
// news, and against one that stays unused after it has restarted.
TEST_CASE("A leaving process stays unusable until another one registers",
          "[gateway]") {
  constexpr std::int64_t kStart = 1000;
  constexpr std::int64_t kStatedAt = 5000;
  enum class Source { kRegistration, kDigest, kResponse, kResponseElsewhere };
  struct Case {
    const char* description_;
    Source source_;
    std::int64_t revision_;  // of the registration that follows
    std::int64_t start_;
    bool leaving_;
  };
  const auto test = GENERATE(values<Case>({
      {"registered as leaving, late write of the same process",
       Source::kRegistration, 12, kStart, true},
      {"registered as leaving, another process", Source::kRegistration, 12,
       kStatedAt + 1, false},
      {"digest, older registration", Source::kDigest, 9, kStart, true},
      {"digest of a removal, the process registers again", Source::kDigest, 12,
       kStart, false},
      {"response, same process", Source::kResponse, 12, kStart, true},
      {"response, process that started before it", Source::kResponse, 12,
       kStatedAt, true},
      {"response, process that started after it", Source::kResponse, 12,
       kStatedAt + 1, false},
      {"response, start unknown", Source::kResponse, 12, 0, true},
      {"response under another id at this address", Source::kResponseElsewhere,
       12, kStart, true},
      {"response under another id, later process at this address",
       Source::kResponseElsewhere, 12, kStatedAt + 1, false},
      {"response under another id, start unknown", Source::kResponseElsewhere,
       12, 0, false},
  }));
  INFO(test.description_);
  const auto make = [](std::int64_t start, bool draining) {
    auto registration = Registration("t", draining);
    registration.start_time_ms_ = start;
    registration.endpoint_ = {"10.0.0.1", 80};
    return registration;
  };
  TargetRegistry registry;
  registry.Put(make(kStart, false), 5);
  const WallTime stated_at{std::chrono::milliseconds(kStatedAt)};
  switch (test.source_) {
    case Source::kRegistration:
      registry.Put(make(kStart, true), 10);
      break;
    case Source::kDigest:
      CHECK(registry.MarkLeaving("t", 10));
      break;
    case Source::kResponse:
      CHECK(registry.RecordStatement({"t", {"10.0.0.1", 80}, stated_at}));
      CHECK_FALSE(registry.RecordStatement({"t", {"10.0.0.1", 80}, stated_at}));
      break;
    case Source::kResponseElsewhere:
      CHECK(registry.RecordStatement({"u", {"10.0.0.1", 80}, stated_at}));
      CHECK_FALSE(registry.RecordStatement({"u", {"10.0.0.1", 80}, stated_at}));
      break;
  }
  CHECK(registry.Find("t")->registration_.draining_);
  registry.Put(make(test.start_, false), test.revision_);
  CHECK(registry.Find("t")->registration_.draining_ == test.leaving_);
}

// Guards against a leaving process that is used again because its entry
// vanished before a late write states that it is ready.
TEST_CASE("A leaving process stays unusable after its entry has vanished",
          "[gateway]") {
  enum class Loss { kRemoved, kUnreadable, kExpired };
  const auto loss = GENERATE(Loss::kRemoved, Loss::kUnreadable, Loss::kExpired);
  const bool same_process = GENERATE(true, false);
  const TimePoint now{std::chrono::seconds(100)};
  const auto make = [](std::int64_t start, bool draining) {
    auto registration = Registration("t", draining);
    registration.start_time_ms_ = start;
    return registration;
  };
  TargetRegistry registry;
  registry.Put(make(1000, true), 10);
  switch (loss) {
    case Loss::kRemoved:
      registry.Remove("t", 11);
      break;
    case Loss::kUnreadable:
      registry.Discard("t");
      break;
    case Loss::kExpired:
      registry.MarkPossiblyExpired("t", 11, now);
      registry.Expire(now);
      break;
  }
  REQUIRE(registry.Find("t") == nullptr);
  registry.Put(make(same_process ? 1000 : 2000, false), 12);
  CHECK(registry.Find("t")->registration_.draining_ == same_process);
}

// Guards against a digest that has no effect because the registration of the
// target is read after it, and against a mark that outlives its revision.
TEST_CASE("A mark of a peer holds for registrations that are read later",
          "[gateway]") {
  const auto [read_up_to, revision, leaving] =
      GENERATE(table<std::int64_t, std::int64_t, bool>(
          {{0, 9, true}, {9, 9, true}, {10, 9, false}, {0, 11, false}}));
  TargetRegistry registry;
  CHECK_FALSE(registry.MarkLeaving("t", 10));
  registry.OnReadUpTo(read_up_to);
  registry.Put(Registration("t"), revision);
  CHECK(registry.Find("t")->registration_.draining_ == leaving);
}

// Guards against statements that fill the memory of an instance that runs for
// long.
TEST_CASE("The number of recorded departures is bounded", "[gateway]") {
  AnnouncedDepartures departures;
  for (std::size_t i = 0; i <= AnnouncedDepartures::kMaxTargets; ++i) {
    departures.Record(
        {"t" + std::to_string(i),
         {"10.0.0.1", static_cast<std::uint16_t>(i)},
         WallTime(std::chrono::milliseconds(static_cast<int>(i) + 1))});
  }
  CHECK(departures.size() == AnnouncedDepartures::kMaxTargets);
  CHECK_FALSE(departures.IsLeaving(Registration("t0")));
  CHECK(departures.IsLeaving(Registration("t1")));
}

}  // namespace
}  // namespace baobab::gateway
