#include "baobab_routing/hedge_policy.h"

#include <algorithm>
#include <vector>

namespace baobab {
namespace {

constexpr std::size_t kRecent = 512;  // 25 of them lie above the percentile
constexpr std::uint32_t kUpdateEvery = 32;
constexpr double kPercentile = 0.95;
constexpr double kInitialRatio = 3;  // until kUpdateEvery ratios are known
constexpr double kBurst = 5;

}  // namespace

HedgePolicy::HedgePolicy(double fraction) : budget_(fraction, kBurst) {
  for (auto& ratios : ratios_) {
    ratios.recent_.set_capacity(kRecent);
    ratios.percentile_ = kInitialRatio;
  }
}

auto HedgePolicy::OnFirstByte(WorkKind kind, double ratio) -> void {
  auto& ratios = ratios_[static_cast<std::size_t>(kind)];
  ratios.recent_.push_back(static_cast<float>(ratio));
  if (++ratios.since_update_ < kUpdateEvery) {
    return;
  }
  ratios.since_update_ = 0;
  std::vector<float> sorted(ratios.recent_.begin(), ratios.recent_.end());
  const auto rank = static_cast<std::ptrdiff_t>(
      kPercentile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  ratios.percentile_ = static_cast<double>(sorted[rank]);
}

auto HedgePolicy::TryTake(bool urgent) -> bool {
  if (!urgent && budget_.tokens() < kBurst / 2) {
    return false;
  }
  return budget_.TryTake();
}

auto HedgePolicy::HedgeAfter(WorkKind kind, double predicted_seconds) const
    -> Duration {
  const auto& ratios = ratios_[static_cast<std::size_t>(kind)];
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ratios.percentile_ * predicted_seconds));
}

}  // namespace baobab
