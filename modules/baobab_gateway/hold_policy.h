#pragma once

#include <algorithm>
#include <optional>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides how long a request waits at an instance that does not know its
/// routes yet.
///
/// Answers the restart of all instances while the store is away: no instance
/// can serve, and a caller comes back only once. A request that waits is served
/// late when the store returns; one that is refused early mostly fails again.
class HoldPolicy {
 public:
  /// Outages of the store at the sites last 2 to 9 s; who has waited this long
  /// is better told to come back.
  static constexpr Duration kMaxHold = std::chrono::milliseconds(2500);
  /// Part of the caller's time that may pass: the rest leaves room for one
  /// return after a refusal.
  static constexpr int kTimeLeftDivisor = 3;

  /// Returns how long to hold a request whose caller waits for `time_left`.
  [[nodiscard]] static auto LongestHold(std::optional<Duration> time_left)
      -> Duration {
    return std::min(kMaxHold, time_left.value_or(kMaxHold) / kTimeLeftDivisor);
  }
};

}  // namespace baobab::gateway
