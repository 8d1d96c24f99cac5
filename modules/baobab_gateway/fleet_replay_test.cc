// Replays the load of a large fleet, in which the load reports of peers are
// usually half a second old, and compares the default dispatch settings with a
// baseline.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/simulated_fleet.h"
#include "baobab_gateway/test_fleet.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::MakeTestManifest;
using test::SimulatedFleet;

/// Arrival rates, over all instances, of the two types of requests in the
/// design load of an enlarged site: long prompts with short responses, and
/// short prompts with long responses.
struct FleetLoad {
  double long_prompts_per_second_ = 0;
  double long_responses_per_second_ = 0;
};

/// When instances send their load to their peers.
struct ReportExchange {
  Duration interval_{};
  /// Also send a load update when a long prompt is sent or its prefill ends.
  bool immediate_updates_ = false;
};

struct FleetResult {
  int requests_ = 0;
  int on_time_ = 0;
  int late_first_token_ = 0;
  int long_event_gap_ = 0;
  int not_completed_ = 0;
  std::uint64_t prefilled_tokens_ = 0;

  [[nodiscard]] auto OnTimeShare() const -> double {
    return static_cast<double>(on_time_) / requests_;
  }
};

/// Returns a registry of engines with three loaded models each. The most
/// requested models are loaded on more engines than the others.
auto MakeEngineRegistry(std::size_t engines, std::size_t models)
    -> TargetRegistry {
  TargetRegistry registry;
  for (std::size_t i = 0; i < engines; ++i) {
    std::vector<std::string> loaded_models;
    for (const auto model : {i % models, (i * 5 + 3) % 4, 4 + i % 8}) {
      loaded_models.push_back("m" + std::to_string(model));
    }
    registry.Put(test::MakeEngine(i, loaded_models),
                 static_cast<std::int64_t>(i) + 1);
  }
  return registry;
}

/// Replays requests on many instances that exchange load reports. Each instance
/// receives a small part of the requests.
class FleetReplay {
 public:
  static constexpr std::size_t kInstances = 60;
  static constexpr std::size_t kEngines = 18;
  static constexpr std::size_t kModels = 12;
  /// Responses with a longer gap between two events are not on time.
  static constexpr Duration kMaxEventGap = milliseconds(600);

  FleetReplay(DispatchSettings settings, ReportExchange exchange,
              std::uint64_t seed)
      : exchange_(exchange),
        random_(seed),
        fleet_(MakeEngineRegistry(kEngines, kModels),
               TimePoint{} + seconds(100),
               [this](const SimulatedFleet::Outcome& outcome) {
                 CountOutcome(outcome);
               }) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < kModels; ++i) {
      names.push_back("m" + std::to_string(i));
      model_request_weights_.push_back(
          1 / std::pow(static_cast<double>(i) + 1, 0.7));
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      fleet_.AddInstance(std::make_unique<Dispatcher>(settings, "z", random_()),
                         MakeTestManifest(names));
    }
  }

  auto Run(const FleetLoad& load) -> FleetResult {
    constexpr auto kTick = milliseconds(2);
    const auto start = fleet_.now();
    std::uniform_real_distribution<double> unit(0, 1);
    int tick = 0;
    for (auto now = start; now < start + seconds(22); now += kTick, ++tick) {
      if (now - start < seconds(8)) {
        AddRequests(load.long_prompts_per_second_ * 0.002, true, now, unit);
        AddRequests(load.long_responses_per_second_ * 0.002, false, now, unit);
      }
      fleet_.Advance(now);
      SendReports(tick);
      if (tick % 8 == 0) {
        fleet_.Dispatch();
      }
      fleet_.EndExpiredRequests();
    }
    result_.prefilled_tokens_ = fleet_.PrefilledTokens();
    return result_;
  }

 private:
  auto CountOutcome(const SimulatedFleet::Outcome& outcome) -> void {
    if (!outcome.completed_in_time_) {
      ++result_.not_completed_;
    } else if (!outcome.first_token_on_time_) {
      ++result_.late_first_token_;
    } else if (outcome.longest_event_gap_ > kMaxEventGap) {
      ++result_.long_event_gap_;
    } else {
      ++result_.on_time_;
    }
  }

  auto AddRequests(double expected, bool long_prompt, TimePoint now,
                   std::uniform_real_distribution<double>& unit) -> void {
    while (unit(random_) < expected) {
      AddRequest(long_prompt, now);
      expected -= 1;
    }
  }

  auto AddRequest(bool long_prompt, TimePoint now) -> void {
    const auto instance = random_() % kInstances;
    WorkItem item;
    std::uint32_t tokens = 52;
    item.id_ = ++last_id_;
    item.service_ = "engines";
    item.arrived_ = now;
    std::discrete_distribution<std::size_t> model_choice(
        model_request_weights_.begin(), model_request_weights_.end());
    const auto model = "m" + std::to_string(model_choice(random_));
    std::lognormal_distribution<double> size_factor(-0.5, 1);
    if (long_prompt) {
      const auto own_tokens = std::min(
          39'600U, static_cast<std::uint32_t>(2890 * size_factor(random_)));
      item.generation_ = {model,
                          "",
                          6300 + own_tokens,
                          52,
                          0,
                          {{1 + random_() % 3, 2520},
                           {10 + random_() % 70, 3780},
                           {1000 + last_id_, own_tokens}}};
      item.objective_at_ = now + seconds(1);
      item.deadline_ = now + seconds(5);
      item.priority_ = 1;
    } else {
      const auto own_tokens =
          static_cast<std::uint32_t>(450 * size_factor(random_));
      tokens = std::max(20U, std::min(950U, static_cast<std::uint32_t>(
                                                290 * size_factor(random_))));
      item.generation_ = {
          model,
          "",
          200 + own_tokens,
          tokens,
          0,
          {{5 + random_() % 3, 200}, {1000 + last_id_, own_tokens}}};
      item.objective_at_ = now + seconds(2);
      item.deadline_ = now + seconds(15);
    }
    ++result_.requests_;
    fleet_.Submit(instance, item, tokens);
  }

  /// Sends the load reports that are due. The reports of the instances are
  /// staggered over the interval.
  auto SendReports(int tick) -> void {
    const auto period = exchange_.interval_ / milliseconds(2);
    for (std::size_t from = 0; from < kInstances; ++from) {
      auto& sender = fleet_.dispatcher(from);
      const auto name = "i" + std::to_string(from);
      const auto changed = sender.TakeChangedTargets();
      if ((tick + static_cast<std::int64_t>(from) * 37) % period == 0) {
        const auto own_load = sender.OwnLoad(fleet_.now());
        fleet_.ForEachPeer(from, [&](Dispatcher& peer) {
          peer.OnPeerLoad(name, own_load, fleet_.now());
        });
      } else if (exchange_.immediate_updates_) {
        for (const auto& target : changed) {
          const auto own_load = sender.OwnLoadAt(target, fleet_.now());
          fleet_.ForEachPeer(from, [&](Dispatcher& peer) {
            peer.OnPeerTargetLoad(name, target, own_load, fleet_.now());
          });
        }
      }
    }
  }

  ReportExchange exchange_;
  Random random_;
  std::vector<double> model_request_weights_;
  SimulatedFleet fleet_;
  FleetResult result_;
  WorkId last_id_ = 0;
};

/// Interval between the load reports of an instance that has 82 peers.
constexpr Duration kReportInterval = milliseconds(600);

auto Replay(const DispatchSettings& settings, const ReportExchange& exchange,
            const FleetLoad& load) -> FleetResult {
  FleetResult sum;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const auto result = FleetReplay(settings, exchange, seed).Run(load);
    sum.requests_ += result.requests_;
    sum.on_time_ += result.on_time_;
    sum.late_first_token_ += result.late_first_token_;
    sum.long_event_gap_ += result.long_event_gap_;
    sum.not_completed_ += result.not_completed_;
    sum.prefilled_tokens_ += result.prefilled_tokens_;
  }
  return sum;
}

/// Returns the previous default settings as a baseline: a longer prefill
/// backlog at the targets, a higher bound on prefill utilization, and no
/// targets reserved for short prompts. The baseline runs also send only
/// periodic reports, no immediate load updates.
auto BaselineSettings() -> DispatchSettings {
  DispatchSettings settings;
  settings.max_prefill_backlog_ = milliseconds(150);
  settings.max_prefill_utilization_ = 1.3;
  settings.reserved_share_ = 0;
  settings.fetch_cached_parts_ = false;
  return settings;
}

// Guards against instances that send several long prompts to one target because
// the load reports are half a second old. The prefill of these prompts delays
// the running responses of the target, and the gaps between their events exceed
// what callers accept.
TEST_CASE("Immediate load updates keep more responses on time",
          "[gateway][replay]") {
  struct Case {
    const char* description_;
    FleetLoad load_;
  };
  const auto test = GENERATE(values<Case>({
      {"ordinary load", {40, 50}},
      {"high load", {55, 70}},
      {"crest", {75, 90}},
  }));
  const auto baseline =
      Replay(BaselineSettings(), {kReportInterval, false}, test.load_);
  const auto current =
      Replay(DispatchSettings(), {kReportInterval, true}, test.load_);
  INFO(test.description_ << ": on time " << current.OnTimeShare() << " against "
                         << baseline.OnTimeShare() << ", long gaps "
                         << current.long_event_gap_ << " against "
                         << baseline.long_event_gap_ << " of "
                         << current.requests_);
  CHECK(current.OnTimeShare() > baseline.OnTimeShare());
  CHECK(current.long_event_gap_ < baseline.long_event_gap_);
  CHECK(current.not_completed_ <=
        baseline.not_completed_ + current.requests_ / 100);
}

// Guards against engines that prefill the shared parts of prompts although
// another engine has them in its cache: a third of all prefill, which delays
// the responses that the engines generate meanwhile.
TEST_CASE("Fetched parts of prompts save prefill and keep more on time",
          "[gateway][replay]") {
  struct Case {
    const char* description_;
    FleetLoad load_;
  };
  const auto test = GENERATE(values<Case>({
      {"high load", {55, 70}},
      {"crest", {75, 90}},
  }));
  DispatchSettings without_fetch;
  without_fetch.fetch_cached_parts_ = false;
  const auto baseline =
      Replay(without_fetch, {kReportInterval, true}, test.load_);
  const auto current =
      Replay(DispatchSettings(), {kReportInterval, true}, test.load_);
  INFO(test.description_ << ": on time " << current.OnTimeShare() << " against "
                         << baseline.OnTimeShare() << ", prefilled "
                         << current.prefilled_tokens_ << " against "
                         << baseline.prefilled_tokens_ << " tokens, long gaps "
                         << current.long_event_gap_ << " against "
                         << baseline.long_event_gap_);
  CHECK(current.OnTimeShare() > baseline.OnTimeShare());
  CHECK(current.prefilled_tokens_ < baseline.prefilled_tokens_);
}

// Guards against instances that leave requests in the queue while targets have
// free capacity.
TEST_CASE("At ordinary load of a large fleet nearly all requests are on time",
          "[gateway][replay]") {
  const auto result =
      Replay(DispatchSettings(), {kReportInterval, true}, {40, 50});
  CHECK(result.OnTimeShare() > 0.95);
}

}  // namespace
}  // namespace baobab::gateway
