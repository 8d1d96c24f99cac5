#include "baobab_routing/retry_budget.h"

#include <algorithm>

namespace baobab {

RetryBudget::RetryBudget(double fraction, double burst)
    : fraction_(fraction), burst_(burst), tokens_(burst) {}

auto RetryBudget::OnRequest() -> void {
  tokens_ = std::min(burst_, tokens_ + fraction_);
}

auto RetryBudget::TryTake() -> bool {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace baobab
