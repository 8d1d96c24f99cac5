#include "tools/placement_bench/placement_policies.h"

#include <algorithm>
#include <string>

namespace baobab::placement::bench {
namespace {

constexpr double kPlanSeconds = 1;

// Evens copies out: one more of each model per round, on the emptiest server.
auto FillEvenly(FleetSimulation* fleet) -> void {
  const auto& shape = fleet->shape();
  bool placed = true;
  while (placed) {
    placed = false;
    for (std::size_t model = 0; model < shape.models_; ++model) {
      std::size_t best = shape.servers_;
      for (std::size_t server = 0; server < shape.servers_; ++server) {
        if (!fleet->Holds(server, model) &&
            fleet->FreeMb(server) >= fleet->memory_mb(model) &&
            (best == shape.servers_ ||
             fleet->FreeMb(server) > fleet->FreeMb(best))) {
          best = server;
        }
      }
      placed = (best < shape.servers_ && fleet->Preload(best, model)) || placed;
    }
  }
}

auto SettingsOf(const FleetShape& shape, bool hysteresis)
    -> PlacementPlannerSettings {
  PlacementPlannerSettings settings;
  settings.load_mb_per_second_ =
      static_cast<double>(shape.smallest_mb_ + shape.largest_mb_) / 2 *
      shape.loads_per_second_ / static_cast<double>(shape.full_speed_loads_);
  if (!hysteresis) {
    settings.gain_over_cost_ = 0;
    settings.load_price_ = 0;
    settings.rest_ = {};
  }
  return settings;
}

auto ForecastOf(bool hysteresis) -> DemandForecastSettings {
  DemandForecastSettings settings;
  if (!hysteresis) {
    settings.release_ = std::chrono::seconds(1);
    settings.growth_ = 0;
  }
  return settings;
}

}  // namespace

StaticEven::StaticEven(FleetSimulation* fleet) { FillEvenly(fleet); }

LeastRecentlyUsed::LeastRecentlyUsed(FleetSimulation* fleet) : fleet_(fleet) {
  FillEvenly(fleet);
}

auto LeastRecentlyUsed::LoadOne(std::size_t model) -> void {
  const auto& shape = fleet_->shape();
  std::size_t best = shape.servers_;
  for (std::size_t server = 0; server < shape.servers_; ++server) {
    if (fleet_->IsLive(server) && !fleet_->Holds(server, model) &&
        (best == shape.servers_ ||
         fleet_->FreeCompute(server) > fleet_->FreeCompute(best))) {
      best = server;
    }
  }
  if (best == shape.servers_) {
    return;
  }
  auto copies = fleet_->contents(best);
  std::sort(copies.begin(), copies.end(), [](const auto& a, const auto& b) {
    return a.last_used_ < b.last_used_;
  });
  auto missing = fleet_->memory_mb(model) - fleet_->FreeMb(best);
  std::vector<Move> moves;
  for (const auto& copy : copies) {
    if (missing > 0 && copy.phase_ == SimulatedCopy::Phase::kReady) {
      missing -= fleet_->memory_mb(copy.model_);
      moves.push_back({false, best, copy.model_});
    }
  }
  moves.push_back({true, best, model});
  for (const auto& move : moves) {
    if (missing <= 0) {
      fleet_->Begin(move, 0);
    }
  }
}

auto LeastRecentlyUsed::Step(const std::vector<std::size_t>& arrivals) -> void {
  for (std::size_t model = 0; model < arrivals.size(); ++model) {
    // Work that has waited for half its deadline shows that copies are too few.
    if (fleet_->Overdue(model) > 0 && fleet_->LoadingCopies(model) == 0) {
      LoadOne(model);
    }
  }
}

Planned::Planned(FleetSimulation* fleet, bool hysteresis,
                 const std::vector<double>& mean_demand)
    : fleet_(fleet),
      planner_(SettingsOf(fleet->shape(), hysteresis)),
      forecast_(ForecastOf(hysteresis)),
      work_(fleet->shape().models_) {
  const auto& shape = fleet->shape();
  std::vector<PlannedServer> servers;
  std::vector<PlannedModel> models;
  for (std::size_t i = 0; i < shape.servers_; ++i) {
    servers.push_back({TargetId("s" + std::to_string(i)),
                       FailureDomain("d" + std::to_string(i % shape.domains_)),
                       shape.memory_mb_, shape.accelerators_, true});
    servers_[servers.back().target_] = i;
  }
  for (std::size_t i = 0; i < shape.models_; ++i) {
    models.push_back({{ModelId("m" + std::to_string(i)), "1"},
                      fleet->memory_mb(i),
                      mean_demand[i],
                      1,
                      true});
    models_[models.back().key_.model_] = i;
  }
  planner_.Reset(std::move(servers), std::move(models));
  Carry(planner_.FullPlan(TimePoint{}), true);
}

auto Planned::Carry(const std::vector<PlanStep>& steps, bool preload) -> void {
  for (const auto& step : steps) {
    const Move move{step.kind_ == OrderKind::kLoad, servers_.at(step.target_),
                    models_.at(step.copy_.model_)};
    if (preload) {
      fleet_->Preload(move.server_, move.model_);
    } else {
      fleet_->Begin(move, kOrderSeconds);
    }
  }
}

auto Planned::Synchronize() -> void {
  planner_.ClearCopies();
  for (std::size_t server = 0; server < fleet_->shape().servers_; ++server) {
    planner_.SetLive(server, fleet_->IsLive(server));
    for (const auto& copy : fleet_->contents(server)) {
      const auto phase =
          copy.phase_ == SimulatedCopy::Phase::kLoading ? CopyPhase::kLoading
          : copy.phase_ == SimulatedCopy::Phase::kReady ? CopyPhase::kResident
                                                        : CopyPhase::kUnloading;
      planner_.AddCopy(server, copy.model_, phase);
    }
  }
  for (const auto& [server, model] : fleet_->PromisedLoads()) {
    planner_.AddCopy(server, model, CopyPhase::kLoading);
  }
}

auto Planned::Step(const std::vector<std::size_t>& arrivals) -> void {
  const auto& shape = fleet_->shape();
  for (std::size_t model = 0; model < arrivals.size(); ++model) {
    work_[model] +=
        static_cast<double>(arrivals[model]) * shape.work_per_request_;
  }
  if (fleet_->now() < next_plan_) {
    return;
  }
  next_plan_ = fleet_->now() + kPlanSeconds;
  const auto now =
      TimePoint(Duration(static_cast<Duration::rep>(fleet_->now() * 1e6)));
  for (std::size_t model = 0; model < arrivals.size(); ++model) {
    forecast_.Observe(model, work_[model], now);
    planner_.SetDemand(model, forecast_.Expected(model, now));
    work_[model] = 0;
  }
  Synchronize();
  const auto slots =
      shape.full_speed_loads_ -
      std::min(shape.full_speed_loads_, fleet_->loads_in_flight());
  Carry(planner_.IncrementalPlan(slots, now), false);
}

}  // namespace baobab::placement::bench
