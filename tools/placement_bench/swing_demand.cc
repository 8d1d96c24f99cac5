#include "tools/placement_bench/swing_demand.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace baobab::placement::bench {
namespace {

constexpr double kZipfExponent = 0.9;
constexpr double kMeanHoldSeconds = 240;
// A swing is complete after about five of these.
constexpr double kRampSeconds = 2;
// Mean of 10^(u - 0.5) for u uniform in [0, 1].
constexpr double kMeanFactor = 1.2358;

}  // namespace

SwingDemand::SwingDemand(const FleetShape& shape, std::uint64_t seed)
    : shape_(shape),
      random_(seed),
      swings_(shape.models_),
      arrivals_(shape.models_) {
  std::vector<double> weights(shape.models_);
  for (std::size_t i = 0; i < weights.size(); ++i) {
    weights[i] = std::pow(static_cast<double>(i + 1), -kZipfExponent);
  }
  const auto sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  std::uniform_int_distribution<std::int64_t> memory(shape.smallest_mb_,
                                                     shape.largest_mb_);
  for (std::size_t i = 0; i < weights.size(); ++i) {
    swings_[i].base_ = shape.demand_ * weights[i] / sum / kMeanFactor;
    memory_mb_.push_back(memory(random_));
  }
  std::shuffle(swings_.begin(), swings_.end(), random_);
}

auto SwingDemand::Rate(std::size_t model) const -> double {
  return swings_[model].base_ * swings_[model].factor_;
}

auto SwingDemand::MeanRates() const -> std::vector<double> {
  std::vector<double> rates;
  for (const auto& swing : swings_) {
    rates.push_back(swing.base_ * kMeanFactor);
  }
  return rates;
}

auto SwingDemand::Step() -> const std::vector<std::size_t>& {
  now_ += shape_.step_seconds_;
  const auto ramp = -std::expm1(-shape_.step_seconds_ / kRampSeconds);
  std::uniform_real_distribution<double> level(-0.5, 0.5);
  std::exponential_distribution<double> hold(1 / kMeanHoldSeconds);
  for (std::size_t model = 0; model < swings_.size(); ++model) {
    auto& swing = swings_[model];
    if (now_ >= swing.next_change_) {
      swing.aim_ = std::pow(10.0, level(random_));
      swing.next_change_ = now_ + hold(random_);
    }
    swing.factor_ += ramp * (swing.aim_ - swing.factor_);
    std::poisson_distribution<std::size_t> arrivals(
        Rate(model) * shape_.step_seconds_ / shape_.work_per_request_);
    arrivals_[model] = arrivals(random_);
  }
  return arrivals_;
}

}  // namespace baobab::placement::bench
