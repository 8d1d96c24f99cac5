#include "simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <utility>

namespace baobab::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kOneWay = milliseconds(1);
constexpr auto kReportInterval = milliseconds(500);
constexpr auto kReportLag = milliseconds(300);
constexpr auto kHeartbeat = seconds(1);
constexpr double kCacheEventGaps = 0.05;  // batches lost per instance

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto ToString(Policy policy) -> std::string_view {
  constexpr std::array<std::string_view, 5> kNames = {
      "selector", "no_affinity", "random", "round_robin", "least_reported"};
  return kNames[static_cast<std::size_t>(policy)];
}

auto RunResult::Quantile(const std::vector<double>& sorted, double q)
    -> double {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(q * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

Simulation::Simulation(const Deployment& deployment,
                       const RunSettings& settings)
    : deployment_(deployment),
      settings_(settings),
      network_(settings.seed_, {}),
      random_(settings.seed_ + 1) {
  Build();
}

auto Simulation::IsSelector() const -> bool {
  return settings_.policy_ == Policy::kSelector ||
         settings_.policy_ == Policy::kSelectorWithoutAffinity;
}

auto Simulation::Build() -> void {
  const ServerParameters parameters;
  for (std::size_t i = 0; i < deployment_.servers_; ++i) {
    servers_.push_back(std::make_unique<ServerModel>(
        network_, parameters, [this](const ServerEvent& event) {
          network_.After(kOneWay,
                         [this, event](TimePoint) { OnServerEvent(event); });
        }));
  }
  for (std::size_t i = 0; i < deployment_.instances_; ++i) {
    auto& instance = instances_.emplace_back();
    instance.selector_ = std::make_unique<TargetSelector>(
        TargetSelectorSettings{.report_interval_ = kReportInterval});
    instance.selector_->SetLongShare(
        static_cast<std::uint32_t>(deployment_.instances_),
        static_cast<std::uint32_t>(i));
    instance.reported_.resize(deployment_.servers_);
    std::vector<std::vector<ModelId>> held(deployment_.servers_);
    for (std::size_t model = 0; model < deployment_.models_; ++model) {
      for (std::size_t copy = 0; copy < deployment_.replicas_; ++copy) {
        // Strides coprime to the number of servers spread each model.
        const auto stride = model % 2 == 0 ? 1 : 5;
        held[(model + copy * stride) % deployment_.servers_].emplace_back(
            "model-" + std::to_string(model));
      }
    }
    for (std::size_t server = 0; server < deployment_.servers_; ++server) {
      const auto target = instance.selector_->table().AddTarget(
          {TargetId("s" + std::to_string(server)), {}, parameters.slots_});
      instance.selector_->table().SetModels(target, held[server]);
    }
  }
}

auto Simulation::Rate(TimePoint now) const -> double {
  const double full = settings_.load_ * ServerParameters{}.slots_ *
                      static_cast<double>(deployment_.servers_) /
                      MeanServiceSeconds(deployment_, true);
  double part = 1;
  if (!settings_.with_long_) {
    part = 0;
    for (const auto& type : deployment_.types_) {
      part += type.kind_ == WorkKind::kLong ? 0 : type.part_;
    }
  }
  if (settings_.swing_) {
    const double since =
        Seconds(now.time_since_epoch() - settings_.warm_up_) / 5;
    part *= 0.1 + 0.9 * std::clamp(since, 0.0, 1.0);
  }
  return full * part;
}

auto Simulation::ScheduleArrivals() -> void {
  std::exponential_distribution<double> gap(Rate(network_.now()));
  const auto delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(random_)));
  network_.After(delay, [this](TimePoint now) {
    if (now < TimePoint(settings_.length_)) {
      Arrive();
      ScheduleArrivals();
    }
  });
}

auto Simulation::ScheduleFaults() -> void {
  network_.After(settings_.warm_up_, [this](TimePoint) {
    for (std::size_t i = 0; i < settings_.failing_servers_; ++i) {
      servers_[2 * i]->SetFailing(true);
    }
  });
  const auto rotation = settings_.slow_rotation_ > Duration::zero()
                            ? settings_.slow_rotation_
                            : settings_.length_;
  std::size_t round = 0;
  for (auto at = settings_.warm_up_; at < settings_.length_; at += rotation) {
    network_.After(at, [this, round](TimePoint) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        const auto turn = (i + 5 * round) % servers_.size();
        const auto spacing = servers_.size() / 3;
        const bool slow =
            turn % spacing == 1 && turn / spacing < settings_.slow_servers_;
        servers_[i]->SetSlowdown(slow ? 10 : 1);
      }
    });
    ++round;
  }
}

auto Simulation::PublishCacheEvents() -> void {
  for (std::size_t server = 0; server < servers_.size(); ++server) {
    const auto events = servers_[server]->TakeCacheEvents();
    for (auto& instance : instances_) {
      if (std::bernoulli_distribution(kCacheEventGaps)(random_)) {
        continue;
      }
      network_.After(kReportLag, [server, events, &instance](TimePoint now) {
        for (const auto& event : events) {
          instance.selector_->OnCacheEvent(static_cast<TargetIndex>(server),
                                           event, now);
        }
      });
    }
  }
}

auto Simulation::ScheduleReports() -> void {
  network_.After(kReportInterval, [this](TimePoint now) {
    PublishCacheEvents();
    for (std::size_t server = 0; server < servers_.size(); ++server) {
      const auto report = servers_[server]->report();
      network_.After(kReportLag, [this, server, report](TimePoint later) {
        for (auto& instance : instances_) {
          instance.reported_[server] = report.running_ + report.waiting_;
          instance.selector_->OnReport(static_cast<TargetIndex>(server), report,
                                       later);
        }
      });
    }
    if (now.time_since_epoch() % kHeartbeat == Duration::zero()) {
      for (std::size_t from = 0; from < instances_.size(); ++from) {
        const auto weights = instances_[from].selector_->stragglers().Weights();
        for (std::size_t to = 0; to < instances_.size(); ++to) {
          for (const auto& weight : weights) {
            if (to != from) {
              instances_[to].selector_->stragglers().OnPeerWeight(weight, now);
            }
          }
        }
      }
    }
    ScheduleReports();
  });
}

auto Simulation::Arrive() -> void {
  std::uniform_int_distribution<std::size_t> pick(0, instances_.size() - 1);
  const auto number = requests_.size();
  auto& request = requests_.emplace_back();
  request.item_ = DrawItem(deployment_, settings_.with_long_, random_);
  request.instance_ = pick(random_);
  request.arrived_ = network_.now();
  if (!Route(number)) {
    instances_[request.instance_].waiting_long_.push_back(number);
  }
}

auto Simulation::Route(std::uint64_t number) -> bool {
  auto& request = requests_[number];
  auto& instance = instances_[request.instance_];
  if (!IsSelector()) {
    Start(number, Baseline(instance, request.item_), AttemptRole::kFirst);
    return true;
  }
  auto route = request.item_.route_;
  if (settings_.policy_ == Policy::kSelectorWithoutAffinity) {
    route.prefixes_.clear();
  }
  const auto decision =
      instance.selector_->Select(route, network_.now(), random_);
  if (decision.refusal_ == RouteRefusal::kLongSlotsFull) {
    return false;
  }
  if (!decision.target_) {
    Finish(request, false);
    return true;
  }
  const auto attempt = Start(number, *decision.target_, AttemptRole::kFirst);
  if (decision.probe_ && decision.probe_ != decision.target_) {
    result_.hedges_ += Counted(request) ? 1 : 0;
    Start(number, *decision.probe_, AttemptRole::kProbe);
  }
  if (decision.hedge_after_ > Duration::zero()) {
    network_.After(decision.hedge_after_,
                   [this, attempt](TimePoint) { Hedge(attempt); });
  }
  return true;
}

auto Simulation::Baseline(Instance& instance, const WorkItem& item)
    -> TargetIndex {
  const auto& table = instance.selector_->table();
  const auto holders = table.Holders(*table.FindModel(item.route_.model_));
  std::uniform_int_distribution<std::size_t> pick(0, holders.size() - 1);
  const auto first = pick(random_);
  if (settings_.policy_ == Policy::kRandom) {
    return holders[first];
  }
  if (settings_.policy_ == Policy::kRoundRobin) {
    auto& turn = instance.next_in_turn_[item.route_.model_.value()];
    return holders[turn++ % holders.size()];
  }
  auto best = holders[first];  // ties fall to a random holder
  for (const auto holder : holders) {
    if (instance.reported_[holder] < instance.reported_[best]) {
      best = holder;
    }
  }
  return best;
}

}  // namespace baobab::bench
