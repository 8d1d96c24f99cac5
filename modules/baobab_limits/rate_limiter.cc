#include "baobab_limits/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace baobab::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// Averaging time of the offered rate. Shorter follows a swing faster but turns
// random gaps between requests into loans.
constexpr Seconds kOfferedTime(0.5);
constexpr double kHeadroom = 1.25;
constexpr Duration kLongestRetry = std::chrono::seconds(60);

}  // namespace

auto RateLimiter::Depth() const -> double {
  if (rate_ == 0) {
    return 0;
  }
  return std::max(1.0, static_cast<double>(rate_) * Seconds(kBurst).count());
}

// Refills at the lower of the old and the new rate, so that units which moved
// to another instance in between are not counted at both.
auto RateLimiter::SetRate(Units usable, TimePoint now) -> void {
  const auto elapsed = std::max(Duration::zero(), now - refilled_);
  const auto rate = static_cast<double>(std::min(rate_, usable));
  tokens_ += rate * Seconds(elapsed).count();
  refilled_ = now;
  rate_ = usable;
  tokens_ = std::min(tokens_, Depth());
}

auto RateLimiter::Admit(Units units, Units usable, TimePoint now)
    -> std::optional<Duration> {
  offered_ = DecayOffered(now) + static_cast<double>(units);
  offered_at_ = now;
  SetRate(usable, now);
  const auto required = std::min(static_cast<double>(units), Depth());
  // Below one millionth of a unit the difference is rounding.
  if (rate_ > 0 && tokens_ + 1e-6 >= required) {
    tokens_ -= static_cast<double>(units);
    return std::nullopt;
  }
  if (rate_ == 0) {
    return std::chrono::seconds(1);
  }
  const auto wait = Seconds((required - tokens_) / static_cast<double>(rate_));
  return std::clamp(std::chrono::ceil<Duration>(wait), Duration(1),
                    kLongestRetry);
}

auto RateLimiter::Need(TimePoint now) const -> Units {
  const auto rate = DecayOffered(now) / kOfferedTime.count();
  // Less than a twentieth of a unit per second is the tail of the average.
  return rate < 0.05 ? 0 : static_cast<Units>(std::ceil(rate * kHeadroom));
}

auto RateLimiter::DecayOffered(TimePoint now) const -> double {
  const auto elapsed = Seconds(std::max(Duration::zero(), now - offered_at_));
  return offered_ * std::exp(-elapsed / kOfferedTime);
}

}  // namespace baobab::limits
