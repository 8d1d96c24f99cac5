#pragma once

#include <optional>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Detects that the process was suspended, from two clocks: boot time counts
/// the time of a suspension, the steady clock does not.
///
/// Everything that this process knows is older by that time than its steady
/// times say: load reports, confirmations of the local copy of the store state,
/// digests, and the time that callers have left.
class SuspensionDetector {
 public:
  /// Shorter suspensions are within the tolerance of every timeout.
  static constexpr Duration kMinSuspension = std::chrono::milliseconds(300);

  /// Takes both clocks, read at the same moment. Returns the duration of the
  /// suspension since the last call; zero if there was none.
  [[nodiscard]] auto Check(Duration boot_time, TimePoint steady_time)
      -> Duration {
    const auto offset = boot_time - steady_time.time_since_epoch();
    const auto suspended = offset - offset_.value_or(offset);
    if (!offset_ || suspended >= kMinSuspension || suspended < Duration{}) {
      offset_ = offset;
    }
    return suspended >= kMinSuspension ? suspended : Duration::zero();
  }

 private:
  std::optional<Duration> offset_;
};

}  // namespace baobab::gateway
