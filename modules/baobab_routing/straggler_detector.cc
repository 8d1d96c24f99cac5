#include "baobab_routing/straggler_detector.h"

#include <algorithm>
#include <cmath>

namespace baobab {
namespace {

// A tenfold slowdown passes the threshold of 3 after 3 observations; a single
// slow request among normal ones does not.
constexpr double kNewestWeight = 0.25;
constexpr double kLoss = 0.5;
constexpr double kGain = 1.3;
constexpr double kSmallestWeight = 0.05;
constexpr double kRecoveryStep = 0.1;
// Peers that run ahead of a poor prediction must not make a target that keeps
// to it look slow: with 1/64 here, healthy targets were on probation.
constexpr double kSmallestRatio = 0.5;
constexpr double kLargestRatio = 64;

}  // namespace

StragglerDetector::StragglerDetector(StragglerSettings settings)
    : settings_(settings) {}

auto StragglerDetector::At(TargetIndex target) -> State& {
  if (states_.size() <= target) {
    states_.resize(target + 1);
  }
  return states_[target];
}

auto StragglerDetector::MedianLogRatio(std::span<const TargetIndex> peers)
    -> double {
  scratch_.clear();
  for (const auto peer : peers) {
    scratch_.push_back(At(peer).log_ratio_);
  }
  if (scratch_.empty()) {
    return 0;
  }
  // The lower median: of two targets the slow one is compared with the other.
  const auto middle =
      scratch_.begin() + static_cast<std::ptrdiff_t>((scratch_.size() - 1) / 2);
  std::nth_element(scratch_.begin(), middle, scratch_.end());
  return *middle;
}

auto StragglerDetector::MayEnterProbation(std::span<const TargetIndex> peers)
    -> bool {
  const auto on_probation =
      std::count_if(peers.begin(), peers.end(),
                    [this](TargetIndex peer) { return At(peer).probation_; });
  return static_cast<double>(on_probation + 1) <=
         settings_.max_probation_ * static_cast<double>(peers.size());
}

auto StragglerDetector::Observe(TargetIndex target, double ratio,
                                std::span<const TargetIndex> peers,
                                TimePoint now) -> void {
  auto& state = At(target);
  const double log_ratio =
      std::log2(std::clamp(ratio, kSmallestRatio, kLargestRatio));
  state.log_ratio_ += kNewestWeight * (log_ratio - state.log_ratio_);
  state.observed_at_ = now;
  const double excess = state.log_ratio_ - MedianLogRatio(peers);
  if (excess > std::log2(settings_.outlier_ratio_)) {
    state.weight_ = std::max(kSmallestWeight, state.weight_ * kLoss);
  } else {
    state.weight_ = std::min(1.0, state.weight_ * kGain);
  }
  UpdateProbation(state, peers, now);
}

auto StragglerDetector::ObserveFailure(TargetIndex target,
                                       std::span<const TargetIndex> peers,
                                       TimePoint now) -> void {
  auto& state = At(target);
  state.observed_at_ = now;
  state.weight_ = std::max(kSmallestWeight, state.weight_ * kLoss);
  UpdateProbation(state, peers, now);
}

auto StragglerDetector::UpdateProbation(State& state,
                                        std::span<const TargetIndex> peers,
                                        TimePoint now) -> void {
  if (state.probation_) {
    state.probation_ = state.weight_ < settings_.probation_ends_;
  } else if (state.weight_ < settings_.probation_below_ &&
             MayEnterProbation(peers)) {
    state.probation_ = true;
    state.probed_at_ = now;
  }
}

auto StragglerDetector::Weight(TargetIndex target, TimePoint now) const
    -> double {
  if (target >= states_.size()) {
    return 1;
  }
  const auto& state = states_[target];
  const bool peer_is_fresh =
      state.peer_weight_ < 1 &&
      now - state.peer_weight_at_ < settings_.peer_weight_life_;
  const bool own_is_fresh =
      now - state.observed_at_ < settings_.peer_weight_life_;
  return peer_is_fresh && !own_is_fresh
             ? std::min(state.weight_, state.peer_weight_)
             : state.weight_;
}

auto StragglerDetector::OnProbation(TargetIndex target) const -> bool {
  return target < states_.size() && states_[target].probation_;
}

auto StragglerDetector::IsWeak(TargetIndex target) const -> bool {
  return target < states_.size() &&
         states_[target].weight_ < settings_.probation_below_;
}

auto StragglerDetector::TakeProbe(TargetIndex target, TimePoint now) -> bool {
  auto& state = At(target);
  if ((!state.probation_ && state.weight_ >= settings_.probation_below_) ||
      now - state.probed_at_ < settings_.probe_interval_) {
    return false;
  }
  state.probed_at_ = now;
  return true;
}

auto StragglerDetector::Tick(TimePoint now) -> void {
  for (auto& state : states_) {
    if (state.weight_ < 1 &&
        now - state.observed_at_ >= settings_.recovery_interval_) {
      state.observed_at_ = now;
      state.log_ratio_ *= 1 - kRecoveryStep;
      state.weight_ = std::min(1.0, state.weight_ + kRecoveryStep);
      state.probation_ =
          state.probation_ && state.weight_ < settings_.probation_ends_;
    }
  }
}

auto StragglerDetector::OnPeerWeight(const StragglerWeight& weight,
                                     TimePoint now) -> void {
  auto& state = At(weight.target_);
  state.peer_weight_ = std::clamp(weight.weight_, kSmallestWeight, 1.0);
  state.peer_weight_at_ = now;
}

auto StragglerDetector::Weights() const -> std::vector<StragglerWeight> {
  std::vector<StragglerWeight> weights;
  for (TargetIndex target = 0; target < states_.size(); ++target) {
    if (states_[target].weight_ < 1) {
      weights.push_back({target, states_[target].weight_});
    }
  }
  return weights;
}

auto StragglerDetector::Reset(TargetIndex target) -> void {
  At(target) = State{};
}

}  // namespace baobab
