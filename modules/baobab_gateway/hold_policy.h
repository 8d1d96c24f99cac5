#pragma once

#include <algorithm>
#include <optional>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides how long an instance defers a request while the manifest, which
/// contains the routes, is not known yet.
///
/// Handles the restart of all instances during a store outage: no instance can
/// serve requests, and a caller retries only once. A deferred request is
/// served, though late, when the store becomes reachable; the retry of a
/// request that is rejected early mostly fails as well.
class HoldPolicy {
 public:
  /// Upper bound on the deferral. Outages of the store at the sites last 2 to 9
  /// s; after this time, a retry is more useful to the caller than a longer
  /// wait.
  static constexpr Duration kMaxHoldTime = std::chrono::milliseconds(2500);
  /// Divisor of the caller's remaining time that gives the maximum deferral;
  /// the rest of the time is left for one retry after a rejection.
  static constexpr int kTimeLeftDivisor = 3;

  /// Returns the longest time to defer a request. `time_left` is the time until
  /// its caller gives up, if known.
  [[nodiscard]] static auto MaxHoldTime(std::optional<Duration> time_left)
      -> Duration {
    return std::min(kMaxHoldTime,
                    time_left.value_or(kMaxHoldTime) / kTimeLeftDivisor);
  }
};

}  // namespace baobab::gateway
