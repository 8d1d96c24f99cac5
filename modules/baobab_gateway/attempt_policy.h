#pragma once

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides whether a request may be sent again after a failed attempt.
class AttemptPolicy {
 public:
  /// Upper bound on the attempts of one request, including those that did not
  /// reach a target. Limits the load that one request causes when many targets
  /// fail at once.
  static constexpr int kMaxAttempts = 5;
  /// Number of rejections by full targets after which the request itself is
  /// rejected. Services without models have three targets. A further retry
  /// would use up the shared retry limit and delay the caller, whose own retry
  /// may succeed at another instance.
  static constexpr int kMaxRefusals = 3;
  /// Minimum remaining time for another attempt. A shorter time does not
  /// suffice to connect and to receive a first token.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(50);

  /// Returns true if a request that was attempted `attempts` times and must be
  /// completed by `deadline` may be retried at `now`.
  [[nodiscard]] static auto MayRetry(int attempts, TimePoint deadline,
                                     TimePoint now) -> bool {
    return attempts < kMaxAttempts && deadline - now >= kMinTimeLeft;
  }
};

}  // namespace baobab::gateway
