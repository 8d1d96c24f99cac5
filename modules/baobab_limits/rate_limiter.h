#pragma once

#include <chrono>
#include <optional>

#include "baobab_base/time_types.h"
#include "baobab_limits/base_share.h"

namespace baobab::limits {

/// A token bucket whose rate is the usable share of a rate limit, with an
/// estimate of the rate that callers ask for.
class RateLimiter {
 public:
  /// Tokens of this much time may gather. Longer lets a burst exceed the limit
  /// for longer; shorter refuses requests that arrive unevenly.
  static constexpr Duration kBurst = std::chrono::milliseconds(250);

  /// Takes note of a changed share: `usable` units/s from `now` on. Call after
  /// each change of the ledger.
  auto SetRate(Units usable, TimePoint now) -> void;

  /// Admits a request of `units` and returns nothing, or refuses it and
  /// returns the time after which a retry may succeed. `usable` is the share
  /// at `now`. A request larger than the bucket is admitted when the bucket is
  /// full, and later ones wait until it is paid for.
  [[nodiscard]] auto Admit(Units units, Units usable, TimePoint now)
      -> std::optional<Duration>;

  /// Units/s that this instance could use: the offered rate plus a quarter.
  [[nodiscard]] auto Need(TimePoint now) const -> Units;

 private:
  [[nodiscard]] auto Depth() const -> double;
  auto DecayOffered(TimePoint now) const -> double;

  double tokens_ = 0;
  Units rate_ = 0;
  TimePoint refilled_{};
  double offered_ = 0;  ///< Units offered, decayed with kOfferedTime.
  TimePoint offered_at_{};
};

}  // namespace baobab::limits
