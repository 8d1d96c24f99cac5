#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "baobab_base/time_types.h"

namespace baobab::limits {

/// Estimates how much predicted work a backlogged queue starts per second.
///
/// The number of slots overestimates it while other work holds part of them:
/// with half of 20 slots held by long work, requests were accepted that then
/// expired in the queue. So the estimate moves from the number of slots to what
/// was started while the backlog lasted, over at most the last two seconds.
class DrainRateEstimator {
 public:
  /// Notes at `now` that the queue is backlogged or, if not, empty.
  auto SetBacklogged(bool backlogged, TimePoint now) -> void;

  /// Notes that a request with `work` was started at `now`.
  auto OnStarted(Duration work, TimePoint now) -> void;

  /// Returns work per second of time at `now`, given `slots` that would work
  /// in parallel if none was held by other work.
  [[nodiscard]] auto RatePerSecond(std::size_t slots, TimePoint now) const
      -> double;

 private:
  static constexpr Duration kBucket = std::chrono::milliseconds(100);
  static constexpr std::size_t kBuckets = 20;

  struct Bucket {
    std::int64_t number_ = -1;  ///< Time divided by kBucket.
    Duration work_{};
  };

  std::array<Bucket, kBuckets> buckets_{};
  bool backlogged_ = false;
  TimePoint backlogged_since_{};
};

}  // namespace baobab::limits
