#pragma once

#include <chrono>
#include <cmath>

#include "baobab_base/time_types.h"

namespace baobab::accounts {

/// Rate of units over about the last two seconds.
class UseMeter {
 public:
  static constexpr Duration kTimeConstant = std::chrono::seconds(2);

  auto Add(double units, TimePoint now) -> void {
    sum_ = Decayed(now) + units;
    updated_at_ = now;
  }

  /// Returns the rate in units per second.
  [[nodiscard]] auto PerSecond(TimePoint now) const -> double {
    return Decayed(now) / std::chrono::duration<double>(kTimeConstant).count();
  }

 private:
  [[nodiscard]] auto Decayed(TimePoint now) const -> double {
    const std::chrono::duration<double> elapsed = now - updated_at_;
    return sum_ *
           std::exp(-elapsed / std::chrono::duration<double>(kTimeConstant));
  }

  double sum_ = 0;
  TimePoint updated_at_{};
};

}  // namespace baobab::accounts
