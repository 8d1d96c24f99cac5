#pragma once

#include <algorithm>
#include <optional>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides how long an instance defers a request while it does not know its
/// routes yet.
///
/// Handles the restart of all instances during a store outage: no instance can
/// serve, and a caller retries only once. A deferred request is served late
/// when the store returns; one that is rejected early mostly fails again.
class HoldPolicy {
 public:
  /// Upper bound on the deferral. Outages of the store at the sites last 2 to 9
  /// s; a caller that has waited this long is better told to retry.
  static constexpr Duration kMaxHoldTime = std::chrono::milliseconds(2500);
  /// A request is deferred for at most one part in this many of the caller's
  /// remaining time: the rest leaves room for one retry after a rejection.
  static constexpr int kTimeLeftDivisor = 3;

  /// Returns the longest time to defer a request. `time_left` is how long its
  /// caller still waits, if known.
  [[nodiscard]] static auto MaxHoldTime(std::optional<Duration> time_left)
      -> Duration {
    return std::min(kMaxHoldTime,
                    time_left.value_or(kMaxHoldTime) / kTimeLeftDivisor);
  }
};

}  // namespace baobab::gateway
