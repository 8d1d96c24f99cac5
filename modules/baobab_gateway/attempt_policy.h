#pragma once

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides whether a request may be sent again after a failed attempt.
class AttemptPolicy {
 public:
  /// Upper bound on the attempts of one request, including those that did not
  /// reach a target. Limits the work that one request causes when many targets
  /// fail at once.
  static constexpr int kMaxAttempts = 5;
  /// Number of rejections by full targets after which the request is rejected:
  /// the services without models have three targets. Each retry uses up the
  /// shared retry limit and delays the caller, who may have more success at
  /// another instance.
  static constexpr int kMaxRefusals = 3;
  /// Least remaining time for another attempt; less does not suffice for a
  /// connection and a first token.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(50);

  /// Returns true if a request that was sent `sends` times and must be answered
  /// by `limit` may be retried at `now`.
  [[nodiscard]] static auto MayRetry(int attempts, TimePoint deadline,
                                     TimePoint now) -> bool {
    return attempts < kMaxAttempts && deadline - now >= kMinTimeLeft;
  }
};

}  // namespace baobab::gateway
