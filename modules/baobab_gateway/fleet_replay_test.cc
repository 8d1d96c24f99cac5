// Replays the load of a large fleet, in which most of what an instance knows of
// the engines is half a second old, and compares dispatch decisions.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/simulated_batch.h"
#include "baobab_gateway/test_fleet.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::MakeTestManifest;
using test::SimulatedBatch;

/// Requests per second over all instances, as on the sheets of the grown sites.
struct FleetLoad {
  double long_prompts_per_second_ = 0;
  double long_responses_per_second_ = 0;
};

/// How instances hear of each other's work.
struct Exchange {
  Duration interval_{};
  bool at_once_ = false;  ///< Also as soon as a long prompt is sent or read.
};

struct FleetResult {
  int requests_ = 0;
  int on_time_ = 0;
  int late_start_ = 0;
  int long_pause_ = 0;
  int not_ended_ = 0;

  [[nodiscard]] auto OnTimeShare() const -> double {
    return static_cast<double>(on_time_) / requests_;
  }
};

/// Many instances, each with a small part of the load, that hear of each
/// other's work in reports, and engines that hold three models each.
class FleetReplay {
 public:
  static constexpr std::size_t kInstances = 60;
  static constexpr std::size_t kEngines = 18;
  static constexpr std::size_t kModels = 12;
  /// Longest pause between events of a response on time.
  static constexpr Duration kLongestPause = milliseconds(600);

  FleetReplay(DispatchSettings settings, Exchange exchange, std::uint64_t seed)
      : exchange_(exchange), random_(seed) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < kModels; ++i) {
      names.push_back("m" + std::to_string(i));
    }
    PlaceModels();
    for (std::size_t i = 0; i < kInstances; ++i) {
      dispatchers_.push_back(
          std::make_unique<Dispatcher>(settings, "z", random_()));
      dispatchers_.back()->SetManifest(MakeTestManifest(names));
      dispatchers_.back()->SetTargets(registry_, now_);
    }
  }

  auto Run(const FleetLoad& load) -> FleetResult {
    constexpr auto kTick = milliseconds(2);
    const auto start = now_;
    std::uniform_real_distribution<double> unit(0, 1);
    for (int tick = 0; now_ < start + seconds(22); ++tick, now_ += kTick) {
      if (now_ - start < seconds(8)) {
        ArriveUpTo(load.long_prompts_per_second_ * 0.002, true, unit);
        ArriveUpTo(load.long_responses_per_second_ * 0.002, false, unit);
      }
      for (auto& [id, engine] : engines_) {
        engine.Advance(now_);
      }
      Report(tick);
      if (tick % 8 == 0) {
        Dispatch();
      }
      ExpireLimits();
    }
    return result_;
  }

 private:
  struct Request {
    std::size_t instance_ = 0;
    WorkItem item_;
    std::uint32_t tokens_ = 0;
    std::string target_;
    bool late_start_ = false;
    bool long_pause_ = false;
  };

  /// Gives each engine three models; the often used ones get more copies.
  auto PlaceModels() -> void {
    for (std::size_t i = 0; i < kModels; ++i) {
      weights_.push_back(1 / std::pow(static_cast<double>(i) + 1, 0.7));
    }
    for (std::size_t i = 0; i < kEngines; ++i) {
      TargetRegistration registration;
      registration.id_ = "t" + std::to_string(i);
      registration.service_ = "engines";
      registration.zone_ = "z";
      registration.slots_ = 64;
      for (const auto model : {i % kModels, (i * 5 + 3) % 4, 4 + i % 8}) {
        registration.models_.push_back({"m" + std::to_string(model), {}});
      }
      registry_.Put(registration, static_cast<std::int64_t>(i) + 1);
      engines_.emplace(
          registration.id_,
          SimulatedBatch(
              {[this](WorkId id, TimePoint at) { OnFirst(id, at); },
               [this](WorkId id, TimePoint at) { OnEnd(id, at); },
               [this](WorkId id, Duration pause) { OnPause(id, pause); }}));
    }
  }

  auto ArriveUpTo(double expected, bool long_prompt,
                  std::uniform_real_distribution<double>& unit) -> void {
    while (unit(random_) < expected) {
      Arrive(long_prompt);
      expected -= 1;
    }
  }

  auto Arrive(bool long_prompt) -> void {
    Request request;
    request.instance_ = random_() % kInstances;
    auto& item = request.item_;
    item.id_ = ++last_id_;
    item.service_ = "engines";
    std::discrete_distribution<std::size_t> pick(weights_.begin(),
                                                 weights_.end());
    const auto model = "m" + std::to_string(pick(random_));
    std::lognormal_distribution<double> size(-0.5, 1);
    if (long_prompt) {
      const auto own =
          std::min(39'600U, static_cast<std::uint32_t>(2890 * size(random_)));
      item.generation_ = {model,
                          "",
                          6300 + own,
                          52,
                          0,
                          {{1 + random_() % 3, 2520},
                           {10 + random_() % 70, 3780},
                           {1000 + last_id_, own}}};
      item.objective_at_ = now_ + seconds(1);
      item.limit_at_ = now_ + seconds(5);
      item.priority_ = 1;
      request.tokens_ = 52;
    } else {
      const auto own = static_cast<std::uint32_t>(450 * size(random_));
      const auto tokens = std::max(
          20U, std::min(950U, static_cast<std::uint32_t>(290 * size(random_))));
      item.generation_ = {
          model,  "", 200 + own,
          tokens, 0,  {{5 + random_() % 3, 200}, {1000 + last_id_, own}}};
      item.objective_at_ = now_ + seconds(2);
      item.limit_at_ = now_ + seconds(15);
      request.tokens_ = tokens;
    }
    item.arrived_ = now_;
    ++result_.requests_;
    const auto id = item.id_;
    if (dispatchers_[request.instance_]->Submit(item, now_)) {
      ++result_.not_ended_;
      return;
    }
    requests_[id] = std::move(request);
  }

  /// Each instance reports at its own phase of the interval.
  auto Report(int tick) -> void {
    const auto period = exchange_.interval_ / milliseconds(2);
    for (std::size_t from = 0; from < kInstances; ++from) {
      auto& sender = *dispatchers_[from];
      const auto name = "i" + std::to_string(from);
      const auto changed = sender.TakeChangedTargets();
      if ((tick + static_cast<std::int64_t>(from) * 37) % period == 0) {
        const auto work = sender.OwnWork(now_);
        ForEachPeer(
            from, [&](Dispatcher& peer) { peer.OnPeerWork(name, work, now_); });
      } else if (exchange_.at_once_) {
        for (const auto& target : changed) {
          const auto work = sender.OwnWorkAt(target, now_);
          ForEachPeer(from, [&](Dispatcher& peer) {
            peer.OnPeerTargetWork(name, target, work, now_);
          });
        }
      }
    }
  }

  template <class Action>
  auto ForEachPeer(std::size_t own, Action action) -> void {
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (i != own) {
        action(*dispatchers_[i]);
      }
    }
  }

  auto Dispatch() -> void {
    for (auto& dispatcher : dispatchers_) {
      if (dispatcher->waiting() == 0) {
        continue;
      }
      for (const auto& rejection : dispatcher->RejectHopeless(now_)) {
        ++result_.not_ended_;
        requests_.erase(rejection.id_);
      }
      for (const auto& assignment : dispatcher->Assign(now_)) {
        auto& request = requests_.at(assignment.id_);
        request.target_ = assignment.target_;
        engines_.at(assignment.target_)
            .Start(assignment.id_, request.item_.generation_, request.tokens_,
                   now_);
      }
    }
  }

  auto OnFirst(WorkId id, TimePoint at) -> void {
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      dispatchers_[found->second.instance_]->OnFirstToken(id, at);
      found->second.late_start_ = at > found->second.item_.objective_at_;
    }
  }

  auto OnPause(WorkId id, Duration pause) -> void {
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      found->second.long_pause_ = pause > kLongestPause;
    }
  }

  auto OnEnd(WorkId id, TimePoint at) -> void {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      return;
    }
    const auto& request = found->second;
    dispatchers_[request.instance_]->OnServed(id);
    if (at > request.item_.limit_at_) {
      ++result_.not_ended_;
    } else if (request.late_start_) {
      ++result_.late_start_;
    } else if (request.long_pause_) {
      ++result_.long_pause_;
    } else {
      ++result_.on_time_;
    }
    requests_.erase(found);
  }

  auto ExpireLimits() -> void {
    for (auto entry = requests_.begin(); entry != requests_.end();) {
      if (entry->second.item_.limit_at_ > now_) {
        ++entry;
        continue;
      }
      dispatchers_[entry->second.instance_]->Forget(entry->first);
      if (!entry->second.target_.empty()) {
        engines_.at(entry->second.target_).Cancel(entry->first);
      }
      ++result_.not_ended_;
      entry = requests_.erase(entry);
    }
  }

  Exchange exchange_;
  Random random_;
  TargetRegistry registry_;
  std::vector<double> weights_;
  TimePoint now_ = TimePoint{} + seconds(100);
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::map<std::string, SimulatedBatch> engines_;
  std::map<WorkId, Request> requests_;
  FleetResult result_;
  WorkId last_id_ = 0;
};

/// Interval of reports of an instance with 82 peers.
constexpr Duration kReportInterval = milliseconds(600);

auto Replay(const DispatchSettings& settings, const Exchange& exchange,
            const FleetLoad& load) -> FleetResult {
  FleetResult sum;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const auto result = FleetReplay(settings, exchange, seed).Run(load);
    sum.requests_ += result.requests_;
    sum.on_time_ += result.on_time_;
    sum.late_start_ += result.late_start_;
    sum.long_pause_ += result.long_pause_;
    sum.not_ended_ += result.not_ended_;
  }
  return sum;
}

/// The former decision: a longer backlog at the targets, no targets kept for
/// short prompts, and peers that hear of each other in reports only.
auto Former() -> DispatchSettings {
  DispatchSettings settings;
  settings.prefill_backlog_ = milliseconds(150);
  settings.busy_share_ = 1.3;
  settings.reserved_share_ = 0;
  return settings;
}

// Guards against instances that choose by reports half a second old and send
// several long prompts to one target: while these are read, the responses that
// run there pause for longer than callers accept.
TEST_CASE("Work that is told at once keeps responses on time",
          "[gateway][replay]") {
  struct Case {
    const char* what_;
    FleetLoad load_;
  };
  const auto test = GENERATE(values<Case>({
      {"ordinary load", {40, 50}},
      {"high load", {55, 70}},
      {"crest", {75, 90}},
  }));
  const auto former = Replay(Former(), {kReportInterval, false}, test.load_);
  const auto now =
      Replay(DispatchSettings(), {kReportInterval, true}, test.load_);
  INFO(test.what_ << ": on time " << now.OnTimeShare() << " against "
                  << former.OnTimeShare() << ", long pauses " << now.long_pause_
                  << " against " << former.long_pause_ << " of "
                  << now.requests_);
  CHECK(now.OnTimeShare() > former.OnTimeShare());
  CHECK(now.long_pause_ < former.long_pause_);
  CHECK(now.not_ended_ <= former.not_ended_ + now.requests_ / 100);
}

// Guards against a queue at the instances that holds back work for which the
// targets have room.
TEST_CASE("At ordinary load of a large fleet nearly all is on time",
          "[gateway][replay]") {
  const auto result =
      Replay(DispatchSettings(), {kReportInterval, true}, {40, 50});
  CHECK(result.OnTimeShare() > 0.95);
}

}  // namespace
}  // namespace baobab::gateway
