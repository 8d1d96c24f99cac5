#pragma once

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Limits the reads of the store that requests with a key cause: one at a time,
/// which all waiting requests share, so that unknown keys do not cause a call
/// each. Times are of the boot clock.
class KeyReadPacer {
 public:
  /// Minimum time between the beginnings of two reads. Four calls a second of
  /// every instance are 5% of the reading calls that a site allows a fleet of
  /// 78.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(250);
  /// The same after a read that failed, so that the instances do not call a
  /// store that is down more often than their other calls do.
  static constexpr Duration kMinIntervalAfterFailure =
      std::chrono::milliseconds(500);
  /// Time after which a read without an answer no longer prevents another.
  static constexpr Duration kMaxReadTime = std::chrono::seconds(3);

  /// Returns true if a read may begin at `now`, and counts it as begun.
  [[nodiscard]] auto TryBegin(Duration now) -> bool {
    if (reading_ ? now - began_at_ < kMaxReadTime : now < next_at_) {
      return false;
    }
    reading_ = true;
    began_at_ = now;
    next_at_ = now + kMinInterval;
    return true;
  }

  /// Records the end of the read.
  auto OnEnd(bool succeeded) -> void {
    reading_ = false;
    if (!succeeded) {
      next_at_ = began_at_ + kMinIntervalAfterFailure;
    }
  }

 private:
  bool reading_ = false;
  Duration began_at_{};
  Duration next_at_{};
};

}  // namespace baobab::gateway
