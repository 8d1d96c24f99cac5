#pragma once

#include <algorithm>
#include <random>

#include "baobab_base/random_source.h"
#include "baobab_base/time_types.h"

namespace baobab::platform {

/// Waiting times between attempts: each at most twice the one before, up to a
/// bound, and drawn at random from the upper half of its range, so that clients
/// that failed together do not return together.
class JitteredBackoff {
 public:
  JitteredBackoff(Duration first, Duration longest)
      : first_(first), longest_(longest), range_(first) {}

  /// Returns the time to wait before the next attempt: between half of the
  /// current range and all of it.
  template <RandomSource R>
  auto Next(R& random) -> Duration {
    std::uniform_int_distribution<Duration::rep> draw(range_.count() / 2,
                                                      range_.count());
    range_ = std::min(range_ * 2, longest_);
    return Duration(draw(random));
  }

  /// Starts over after an attempt that succeeded.
  auto Reset() -> void { range_ = first_; }

 private:
  Duration first_;
  Duration longest_;
  Duration range_;
};

}  // namespace baobab::platform
