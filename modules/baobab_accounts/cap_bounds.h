#pragma once

#include "baobab_accounts/client_account.h"
#include "baobab_base/time_types.h"

namespace baobab::accounts {

/// How far the use of an account may exceed its cap in any sliding window,
/// summed over all instances: it must not be more than
/// (rate x window + burst) x (1 + over) + slack.
struct CapBounds {
  Duration window_{};  ///< Zero: the cap may not be exceeded at all.
  double over_ = 0;    ///< Fraction of the cap.
  double slack_ = 0;   ///< Units of the cap.

  /// Part of the tolerance that instances use. The rest covers the time that a
  /// request takes from the caller to an instance.
  static constexpr double kUsablePart = 0.9;

  /// Returns the units that the buckets of all instances may hold together.
  /// With buckets that refill at the rate of the cap in sum, the use in any
  /// window is at most rate x window + this number.
  [[nodiscard]] auto BucketUnits(const AccountCap& cap) const -> double {
    const auto seconds = std::chrono::duration<double>(window_).count();
    return cap.burst_units_ +
           kUsablePart *
               (over_ * (cap.units_per_second_ * seconds + cap.burst_units_) +
                slack_);
  }
};

}  // namespace baobab::accounts
