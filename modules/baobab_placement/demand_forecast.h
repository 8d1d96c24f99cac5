#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::placement {

/// Settings of DemandForecast.
struct DemandForecastSettings {
  Duration fast_ = std::chrono::seconds(5);  ///< Follows a swing.
  Duration slow_ = std::chrono::minutes(5);  ///< Long-run level.
  /// Decay of a past peak. Three minutes, or adding half of a rise again, led
  /// to more moves and more missed work in tools/placement_bench.
  Duration release_ = std::chrono::seconds(10);
  double growth_ = 0;  ///< Part of a present rise that is added again.
};

/// Forecasts the work per second of each model from arrivals over all
/// instances. A rise shows within seconds; a peak is released more slowly.
///
/// Models are numbered from 0 by the caller. Work is in accelerator-seconds.
class DemandForecast {
 public:
  explicit DemandForecast(DemandForecastSettings settings)
      : settings_(settings) {}

  /// Adds `work` that arrived for `model` up to `now`. Times must not go back.
  auto Observe(std::size_t model, double work, TimePoint now) -> void;

  /// Returns the work per second to expect at `now`; 0 for an unknown model.
  [[nodiscard]] auto Expected(std::size_t model, TimePoint now) const -> double;

 private:
  struct Level {
    double fast_ = 0;
    double slow_ = 0;
    double peak_ = 0;
    TimePoint at_{};
    bool started_ = false;
  };

  [[nodiscard]] auto Decayed(const Level& level, TimePoint now) const -> Level;

  DemandForecastSettings settings_;
  std::vector<Level> levels_;
};

}  // namespace baobab::placement
