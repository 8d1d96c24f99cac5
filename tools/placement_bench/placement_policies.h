#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "baobab_placement/demand_forecast.h"
#include "baobab_placement/placement_planner.h"
#include "tools/placement_bench/fleet_simulation.h"

namespace baobab::placement::bench {

/// Moves between a decision and its load: write, order and report.
constexpr double kOrderSeconds = 0.3;

/// The same number of copies of each model, evenly spread; nothing moves.
class StaticEven {
 public:
  explicit StaticEven(FleetSimulation* fleet);
  auto Step(const std::vector<std::size_t>& /*arrivals*/) -> void {}
};

/// Loads a model when its work waits, on the server with the most free compute,
/// and evicts the least recently used copies there.
class LeastRecentlyUsed {
 public:
  explicit LeastRecentlyUsed(FleetSimulation* fleet);
  auto Step(const std::vector<std::size_t>& arrivals) -> void;

 private:
  auto LoadOne(std::size_t model) -> void;

  FleetSimulation* fleet_;
};

/// The planner of this project. Without hysteresis it is the greedy baseline:
/// present demand, no price of moves, no rest.
class Planned {
 public:
  /// `mean_demand` is the long-run demand of each model, in accelerators, by
  /// which the first plan is made.
  Planned(FleetSimulation* fleet, bool hysteresis,
          const std::vector<double>& mean_demand);
  auto Step(const std::vector<std::size_t>& arrivals) -> void;

  /// Reads the copies of the fleet into the planner.
  auto Synchronize() -> void;
  [[nodiscard]] auto planner() -> PlacementPlanner& { return planner_; }

 private:
  auto Carry(const std::vector<PlanStep>& steps, bool preload) -> void;

  FleetSimulation* fleet_;
  PlacementPlanner planner_;
  DemandForecast forecast_;
  std::map<TargetId, std::size_t> servers_;
  std::map<ModelId, std::size_t> models_;
  std::vector<double> work_;  ///< Since the last plan, by model.
  double next_plan_ = 0;
};

}  // namespace baobab::placement::bench
