#pragma once

#include <algorithm>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides from the outcome of ordinary requests whether a target gets more.
///
/// Answers targets that crash, go silent or fail a share of their requests. No
/// probes are sent: after a pause, one request is the trial.
class TargetHealth {
 public:
  /// First pause after a failure to reach the target; crashed targets of the
  /// sites return after 2 s or more.
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(400);
  /// Longest pause, so that a target that recovered is used again soon.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(3);
  /// Weight of one result in the moving share of failures.
  static constexpr double kResultWeight = 0.15;

  /// Records a request that the target served.
  auto OnSuccess() -> void {
    consecutive_failures_ = 0;
    failure_share_ *= 1 - kResultWeight;
    backoff_until_ = TimePoint{};
  }

  /// Records that the target could not be reached or broke off. Several
  /// failures of one moment count once for the length of the pause.
  auto OnFailure(TimePoint now) -> void {
    failure_share_ += (1 - failure_share_) * kResultWeight;
    if (now < backoff_until_) {
      return;
    }
    const auto factor = 1 << std::min(consecutive_failures_, 6);
    backoff_until_ = now + std::min(kFirstBackoff * factor, kMaxBackoff);
    ++consecutive_failures_;
  }

  /// Records an error response of the target, which tells of the request as
  /// often as of the target.
  auto OnErrorResponse() -> void {
    failure_share_ += (1 - failure_share_) * kResultWeight;
  }

  /// Returns true if requests may be sent now.
  [[nodiscard]] auto IsUsable(TimePoint now) const -> bool {
    return now >= backoff_until_;
  }

  /// Moving share of failed requests, 0 to 1.
  [[nodiscard]] auto failure_share() const -> double { return failure_share_; }

 private:
  int consecutive_failures_ = 0;
  double failure_share_ = 0;
  TimePoint backoff_until_{};
};

}  // namespace baobab::gateway
