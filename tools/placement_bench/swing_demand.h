#pragma once

#include <cstddef>
#include <vector>

#include "baobab_base/random_source.h"
#include "tools/placement_bench/fleet_shape.h"

namespace baobab::placement::bench {

/// Zipf demand whose models each swing within a range of ten to one: a model
/// keeps a level for some minutes and then moves to another within seconds.
class SwingDemand {
 public:
  /// All randomness follows from `seed`, so that every policy meets the same
  /// demand.
  SwingDemand(const FleetShape& shape, std::uint64_t seed);

  /// Moves on by one step and returns the requests that arrive in it, by model.
  auto Step() -> const std::vector<std::size_t>&;

  /// Present rate of a model, in accelerators.
  [[nodiscard]] auto Rate(std::size_t model) const -> double;

  /// Long-run rate of each model, in accelerators.
  [[nodiscard]] auto MeanRates() const -> std::vector<double>;

  /// Memory of one copy of each model, in MB.
  [[nodiscard]] auto memory_mb() const -> const std::vector<std::int64_t>& {
    return memory_mb_;
  }

 private:
  struct Swing {
    double base_ = 0;
    double factor_ = 1;
    double aim_ = 1;
    double next_change_ = 0;
  };

  FleetShape shape_;
  Random random_;
  double now_ = 0;
  std::vector<Swing> swings_;
  std::vector<std::int64_t> memory_mb_;
  std::vector<std::size_t> arrivals_;
};

}  // namespace baobab::placement::bench
