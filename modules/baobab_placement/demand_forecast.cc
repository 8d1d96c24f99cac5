#include "baobab_placement/demand_forecast.h"

#include <algorithm>
#include <cmath>

namespace baobab::placement {
namespace {

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

// Each level is a sum of work with exponential decay, divided by its time
// constant, which makes it a rate whatever the spacing of the observations.
auto DemandForecast::Decayed(const Level& level, TimePoint now) const -> Level {
  auto result = level;
  if (level.started_) {
    const auto passed = Seconds(now - level.at_);
    result.fast_ *= std::exp(-passed / Seconds(settings_.fast_));
    result.slow_ *= std::exp(-passed / Seconds(settings_.slow_));
    result.peak_ *= std::exp(-passed / Seconds(settings_.release_));
  }
  result.at_ = now;
  return result;
}

namespace {

// Part of `work`, arrived evenly over `passed`, that a level with time constant
// `constant` holds at the end, as a rate. Counting all of it at the end would
// read 10% high at observations each second and a constant of 5 s.
auto Arrived(double work, double passed, Duration constant) -> double {
  const auto seconds = Seconds(constant);
  return passed > 0 ? work / passed * -std::expm1(-passed / seconds)
                    : work / seconds;
}

}  // namespace

auto DemandForecast::Observe(std::size_t model, double work, TimePoint now)
    -> void {
  if (levels_.size() <= model) {
    levels_.resize(model + 1);
  }
  auto& level = levels_[model];
  const auto passed = level.started_ ? Seconds(now - level.at_) : 0.0;
  level = Decayed(level, now);
  level.fast_ += Arrived(work, passed, settings_.fast_);
  level.slow_ += Arrived(work, passed, settings_.slow_);
  level.peak_ = std::max(level.peak_, level.fast_);
  level.started_ = true;
}

auto DemandForecast::Expected(std::size_t model, TimePoint now) const
    -> double {
  if (model >= levels_.size()) {
    return 0;
  }
  const auto level = Decayed(levels_[model], now);
  const auto rise = std::max(0.0, level.fast_ - level.slow_);
  return std::max(level.fast_ + settings_.growth_ * rise, level.peak_);
}

}  // namespace baobab::placement
