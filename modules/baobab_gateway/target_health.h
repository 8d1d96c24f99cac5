#pragma once

#include <algorithm>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides from the outcome of regular requests whether a target may get
/// further requests.
///
/// Handles targets that crash, stop responding or fail a share of their
/// requests. No probe requests are sent: after a backoff period, the next
/// regular request shows whether the target has recovered.
class TargetHealth {
 public:
  /// Backoff after the first failure to reach the target. It doubles with each
  /// further failure. Crashed targets at the sites are available again after 2
  /// s or more.
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(400);
  /// Upper bound on the backoff, so that a target that has recovered is used
  /// again soon.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(3);
  /// Weight of one result in the moving average of failures.
  static constexpr double kResultWeight = 0.15;

  /// Records that the target completed a request. Ends the backoff.
  auto OnSuccess() -> void {
    consecutive_failures_ = 0;
    failure_share_ *= 1 - kResultWeight;
    backoff_until_ = TimePoint{};
  }

  /// Records that the target could not be reached or interrupted the response.
  /// Failures during a backoff period raise the failure share but do not extend
  /// the period, so that several failures at the same moment count as one.
  auto OnFailure(TimePoint now) -> void {
    failure_share_ += (1 - failure_share_) * kResultWeight;
    if (now < backoff_until_) {
      return;
    }
    const auto factor = 1 << std::min(consecutive_failures_, 6);
    backoff_until_ = now + std::min(kFirstBackoff * factor, kMaxBackoff);
    ++consecutive_failures_;
  }

  /// Records an error response. Raises the failure share but starts no backoff,
  /// because the request is the cause as often as the target.
  auto OnErrorResponse() -> void {
    failure_share_ += (1 - failure_share_) * kResultWeight;
  }

  /// Returns true if requests may be sent to the target at `now`.
  [[nodiscard]] auto IsUsable(TimePoint now) const -> bool {
    return now >= backoff_until_;
  }

  /// Returns the moving average of failed requests, 0 to 1.
  [[nodiscard]] auto failure_share() const -> double { return failure_share_; }

 private:
  int consecutive_failures_ = 0;
  double failure_share_ = 0;
  TimePoint backoff_until_{};
};

}  // namespace baobab::gateway
