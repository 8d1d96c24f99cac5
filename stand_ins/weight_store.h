#pragma once

#include <algorithm>
#include <cstddef>
#include <queue>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::stand_in {

/// Rates of the weight store that all engines load from.
struct WeightRates {
  double loads_per_second_ = 1.4;
  std::size_t full_speed_loads_ = 6;  ///< Loads in flight at full speed.
  Duration adapter_time_ = std::chrono::milliseconds(7);
  std::size_t full_speed_adapters_ = 50;
};

/// Load times, shared by all engines of one process. Each load takes the time
/// that full_speed_loads_ in flight give the stated rate; with more in flight
/// the time grows in proportion.
class WeightStore {
 public:
  explicit WeightStore(WeightRates rates) : rates_(rates) {}

  /// Starts a model load; returns when it ends.
  auto StartModel(TimePoint now) -> TimePoint {
    const auto time = std::chrono::duration<double>(
        static_cast<double>(rates_.full_speed_loads_) /
        rates_.loads_per_second_);
    return Start(models_, std::chrono::duration_cast<Duration>(time),
                 rates_.full_speed_loads_, now);
  }

  /// Starts an adapter load; returns when it ends.
  auto StartAdapter(TimePoint now) -> TimePoint {
    return Start(adapters_, rates_.adapter_time_, rates_.full_speed_adapters_,
                 now);
  }

 private:
  using Ends =
      std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>;

  static auto Start(Ends& ends, Duration time, std::size_t full_speed,
                    TimePoint now) -> TimePoint {
    while (!ends.empty() && ends.top() <= now) {
      ends.pop();
    }
    const auto in_flight = ends.size() + 1;
    const auto factor = std::max(
        1.0, static_cast<double>(in_flight) / static_cast<double>(full_speed));
    const auto end = now + Duration(static_cast<Duration::rep>(
                               static_cast<double>(time.count()) * factor));
    ends.push(end);
    return end;
  }

  WeightRates rates_;
  Ends models_;
  Ends adapters_;
};

}  // namespace baobab::stand_in
