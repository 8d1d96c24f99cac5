#include "baobab_limits/drain_rate_estimator.h"

#include <algorithm>
#include <chrono>

namespace baobab::limits {
namespace {

// Weight of the slot count in seconds of observation. Shorter priors refuse
// work in the first moments of a backlog, before any running request ends.
constexpr double kPriorSeconds = 0.5;

auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto DrainRateEstimator::SetBacklogged(bool backlogged, TimePoint now) -> void {
  if (backlogged && !backlogged_) {
    backlogged_since_ = now;
    buckets_.fill({});
  }
  backlogged_ = backlogged;
}

auto DrainRateEstimator::OnStarted(Duration work, TimePoint now) -> void {
  const auto number = now.time_since_epoch() / kBucket;
  auto& bucket = buckets_[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number_ != number) {
    bucket = {number, Duration::zero()};
  }
  bucket.work_ += work;
}

auto DrainRateEstimator::RatePerSecond(std::size_t slots, TimePoint now) const
    -> double {
  const auto prior = static_cast<double>(slots);
  if (!backlogged_) {
    return prior;
  }
  const auto oldest = now.time_since_epoch() / kBucket -
                      static_cast<std::int64_t>(kBuckets) + 1;
  Duration started{};
  for (const auto& bucket : buckets_) {
    if (bucket.number_ >= oldest) {
      started += bucket.work_;
    }
  }
  const auto observed =
      std::min<Duration>(now - backlogged_since_, kBucket * kBuckets);
  return (ToSeconds(started) + prior * kPriorSeconds) /
         (ToSeconds(observed) + kPriorSeconds);
}

}  // namespace baobab::limits
