// Replays targets that reject requests for a stated time, under virtual time.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/test_fleet.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(10);
constexpr Duration kRunTime = seconds(20);
/// Time after a rejection in which requests may still be on their way.
constexpr Duration kSlack = milliseconds(500);

auto MakeItem(WorkId id, TimePoint now, Duration time_left) -> WorkItem {
  WorkItem item;
  item.id_ = id;
  item.service_ = "engines";
  item.generation_.model_ = "m";
  item.generation_.prompt_tokens_ = 10;
  item.generation_.max_output_tokens_ = 5;
  item.arrived_ = now;
  item.objective_at_ = now + std::min<Duration>(time_left, seconds(1));
  item.deadline_ = now + time_left;
  return item;
}

class RejectingFleet {
 public:
  RejectingFleet(std::size_t instances, std::uint64_t seed)
      : random_(seed),
        registry_(test::MakeRegistry(std::max<std::size_t>(4, instances / 10),
                                     {"m"})) {
    for (std::size_t i = 0; i < instances; ++i) {
      dispatchers_.push_back(
          std::make_unique<Dispatcher>(DispatchSettings(), "z", i + 1));
      dispatchers_.back()->SetManifest(test::MakeTestManifest({"m"}));
      dispatchers_.back()->SetTargets(registry_, now_);
    }
  }

  auto Run() -> void {
    for (const auto end = now_ + kRunTime; now_ < end; now_ += kTick) {
      for (std::size_t i = 0; i < 1 + dispatchers_.size() / 10; ++i) {
        Send(random_() % dispatchers_.size());
      }
      Respond();
    }
  }

  /// Largest number of requests of one instance that reached a target in the
  /// time that it had asked for, after kSlack.
  int max_too_early_ = 0;
  int sent_ = 0;
  int rejected_ = 0;

 private:
  struct Pause {
    TimePoint from_{};
    TimePoint until_{};
    int too_early_ = 0;
  };

  auto Send(std::size_t instance) -> void {
    auto& dispatcher = *dispatchers_[instance];
    const auto id = ++last_id_;
    // The response of another dispatcher decision may have freed a target.
    if (!dispatcher.Submit(MakeItem(id, now_, seconds(2)), now_)) {
      for (const auto& rejection : dispatcher.RejectInfeasible(now_)) {
        (void)rejection;
      }
      for (const auto& assignment : dispatcher.Assign(now_)) {
        ++sent_;
        auto& pause = pauses_[{instance, assignment.target_}];
        if (now_ > pause.from_ + kSlack && now_ < pause.until_) {
          max_too_early_ = std::max(max_too_early_, ++pause.too_early_);
        }
        responses_.emplace(
            now_ + milliseconds(10 + random_() % 100),
            std::tuple(instance, assignment.target_, assignment.id_));
      }
    }
  }

  auto Respond() -> void {
    while (!responses_.empty() && responses_.begin()->first <= now_) {
      const auto [instance, target, id] = responses_.begin()->second;
      responses_.erase(responses_.begin());
      auto& dispatcher = *dispatchers_[instance];
      if (random_() % 4 != 0) {
        dispatcher.OnFirstToken(id, now_);
        dispatcher.OnServed(id, now_);
        continue;
      }
      ++rejected_;
      const Duration time = milliseconds(600 + random_() % 4000);
      auto& pause = pauses_[{instance, target}];
      if (now_ + time > pause.until_) {
        pause = {now_, now_ + time, 0};
      }
      dispatcher.OnRetryAfter(target, time, now_);
      dispatcher.OnTargetRefused(id, /*model_not_loaded=*/false, now_);
    }
  }

  Random random_;
  TargetRegistry registry_;
  TimePoint now_{seconds(1000)};
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::map<std::pair<std::size_t, std::string>, Pause> pauses_;
  std::multimap<TimePoint, std::tuple<std::size_t, std::string, WorkId>>
      responses_;
  WorkId last_id_ = 0;
};

// Guards against requests to a target that has rejected one and asked for time:
// the pause after a rejection without a stated time is 120 ms.
TEST_CASE("No instance sends to a target in the time that it asked for",
          "[gateway]") {
  const auto [instances, seeds] =
      GENERATE(table<std::size_t, std::uint64_t>({{7, 20}, {300, 3}}));
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    INFO("instances " << instances << ", seed " << seed);
    RejectingFleet fleet(instances, seed);
    fleet.Run();
    CHECK(fleet.max_too_early_ == 0);
    CHECK(fleet.sent_ > 200);
    CHECK(fleet.rejected_ > 50);
  }
}

// Guards against requests that wait until their deadline passes although every
// target has said that it takes none before, and against rejecting a request
// that a target will take in time.
TEST_CASE("Requests are rejected at once if every target asks for more time",
          "[gateway]") {
  struct Case {
    const char* description_;
    Duration first_;   // asked for by target t0
    Duration second_;  // asked for by target t1; zero: nothing
    Duration time_left_;
    bool rejected_;
  };
  const auto test = GENERATE(values<Case>({
      {"one target open", seconds(60), Duration::zero(), seconds(2), false},
      {"both too long", seconds(60), seconds(4), seconds(2), true},
      {"one opens in time", seconds(60), seconds(1), seconds(2), false},
  }));
  const auto queued_before = GENERATE(false, true);
  INFO(test.description_ << ", queued before: " << queued_before);
  Dispatcher dispatcher(DispatchSettings(), "z");
  dispatcher.SetManifest(test::MakeTestManifest({"m"}));
  const TimePoint now{seconds(1000)};
  dispatcher.SetTargets(test::MakeRegistry(2, {"m"}), now);
  const auto pause = [&] {
    dispatcher.OnRetryAfter("t0", test.first_, now);
    if (test.second_ > Duration::zero()) {
      dispatcher.OnRetryAfter("t1", test.second_, now);
    }
  };
  std::optional<Rejection> rejection;
  if (queued_before) {
    CHECK_FALSE(dispatcher.Submit(MakeItem(1, now, test.time_left_), now));
    pause();
    const auto rejections = dispatcher.RejectInfeasible(now);
    if (!rejections.empty()) {
      rejection = rejections.front();
    }
  } else {
    pause();
    rejection = dispatcher.Submit(MakeItem(1, now, test.time_left_), now);
  }
  REQUIRE(rejection.has_value() == test.rejected_);
  if (rejection) {
    CHECK(rejection->reason_ == "targets_paused");
    CHECK(rejection->retry_after_ == std::min(test.first_, test.second_));
  }
}

// Guards against a pause that outlives the process that asked for it or a
// suspension of the instance that has lasted as long, and against one that ends
// because the registration of the process was gone for a moment.
TEST_CASE("A pause ends with its time, a restart or a suspension",
          "[gateway]") {
  enum class Event {
    kNone,
    kTimePasses,
    kRestart,
    kSuspension,
    kShorterPause,
    kRegistersAgain,
    kRestartWhileGone
  };
  const auto [event, sent] = GENERATE(table<Event, bool>({
      {Event::kNone, false},
      {Event::kTimePasses, true},
      {Event::kRestart, true},
      {Event::kSuspension, true},
      {Event::kShorterPause, false},
      {Event::kRegistersAgain, false},
      {Event::kRestartWhileGone, true},
  }));
  Dispatcher dispatcher(DispatchSettings(), "z");
  dispatcher.SetManifest(test::MakeTestManifest({"m"}));
  TimePoint now{seconds(1000)};
  auto registry = test::MakeRegistry(1, {"m"});
  dispatcher.SetTargets(registry, now);
  dispatcher.OnRetryAfter("t0", seconds(3), now);
  auto restarted = test::MakeEngine(0, {"m"});
  restarted.start_time_ms_ = 5;
  switch (event) {
    case Event::kNone:
      break;
    case Event::kTimePasses:
      now += seconds(3);
      break;
    case Event::kRestart:
      registry.Put(restarted, 9);
      dispatcher.SetTargets(registry, now);
      break;
    case Event::kSuspension:
      dispatcher.OnSuspended(seconds(3));
      break;
    case Event::kShorterPause:
      dispatcher.OnRetryAfter("t0", Duration::zero(), now);
      now += seconds(1);
      break;
    case Event::kRegistersAgain:
      dispatcher.SetTargets({}, now);
      dispatcher.SetTargets(registry, now);
      break;
    case Event::kRestartWhileGone:
      dispatcher.SetTargets({}, now);
      registry.Put(restarted, 9);
      dispatcher.SetTargets(registry, now);
      break;
  }
  CHECK_FALSE(dispatcher.Submit(MakeItem(1, now, seconds(10)), now));
  CHECK(dispatcher.Assign(now).size() == (sent ? 1U : 0U));
}

}  // namespace
}  // namespace baobab::gateway
