#include "baobab_limits/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace baobab::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// Time after which a refusal counts for a third.
constexpr Seconds kRefusedTime(0.5);

}  // namespace

auto ConcurrencyLimiter::TryAcquire(TimePoint deadline, TimePoint now) -> bool {
  if (ledger_->MinSurplus(now, std::max(now, deadline)) < 1) {
    refused_ = RefusedLately(now) + 1;
    refused_at_ = now;
    return false;
  }
  ledger_->SetHeld(ledger_->held() + 1);
  return true;
}

auto ConcurrencyLimiter::Release() -> void {
  ledger_->SetHeld(std::max<Units>(0, ledger_->held() - 1));
}

auto ConcurrencyLimiter::Need(TimePoint now) const -> Units {
  const auto refused = static_cast<Units>(std::ceil(RefusedLately(now) - 0.05));
  const auto held = ledger_->held();
  return held + (held + 9) / 10 + std::max<Units>(0, refused);
}

auto ConcurrencyLimiter::RefusedLately(TimePoint now) const -> double {
  const auto elapsed = Seconds(std::max(Duration::zero(), now - refused_at_));
  return refused_ * std::exp(-elapsed / kRefusedTime);
}

}  // namespace baobab::limits
