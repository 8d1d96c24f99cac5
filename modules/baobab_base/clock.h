#pragma once

#include <chrono>
#include <concepts>

#include "baobab_base/time_types.h"

namespace baobab {

/// A source of monotonic time.
template <class C>
concept Clock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// The monotonic clock of this process.
class SystemClock {
 public:
  /// Returns the current time of the monotonic clock.
  [[nodiscard]] auto Now() const -> TimePoint {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

/// A clock that moves only when told to; used by tests and replay.
class ManualClock {
 public:
  /// Returns the time set last.
  [[nodiscard]] auto Now() const -> TimePoint { return now_; }

  /// Moves the clock forward by `step`.
  auto Advance(Duration step) -> void { now_ += step; }

  /// Moves the clock to `now`.
  auto Set(TimePoint now) -> void { now_ = now; }

 private:
  TimePoint now_{};
};

}  // namespace baobab
