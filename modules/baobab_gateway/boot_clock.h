#pragma once

#include <ctime>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Returns the time since the machine booted, including the time for which it
/// was suspended. Used for leases: they keep running at the store during a
/// suspension, which std::chrono::steady_clock does not count.
[[nodiscard]] inline auto BootTime() -> Duration {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// Returns BootTime() as a time point, for decisions that must not outlive a
/// suspension.
[[nodiscard]] inline auto BootNow() -> TimePoint {
  return TimePoint(BootTime());
}

}  // namespace baobab::gateway
