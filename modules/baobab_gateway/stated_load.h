#pragma once

#include <algorithm>
#include <cstdint>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Load that a target states in a response.
struct StatedLoad {
  std::uint32_t running_ = 0;  ///< Requests in progress, of all clients.
  std::uint32_t waiting_ = 0;  ///< Requests in the queue of the target.
  std::uint32_t slots_ = 1;    ///< Requests that it can run at once; not 0.
  /// How long work takes at the target now, in percent of the usual time.
  std::uint32_t time_percent_ = 100;
  auto operator==(const StatedLoad&) const -> bool = default;
};

/// The slowdown of a target that shares its machine with others, from the load
/// that it stated last.
///
/// The figure changes several times a second, so an old one says nothing: a
/// target would be avoided, or preferred, because of a state that has passed.
class TargetSlowdown {
 public:
  /// Age up to which a stated load is used. The state of the targets in use
  /// lasts about 600 ms.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(300);
  /// Bounds of the factor: a wrong figure must not exclude a target or direct
  /// all requests to it.
  static constexpr double kMinFactor = 0.5;
  static constexpr double kMaxFactor = 5;

  auto OnStatedLoad(const StatedLoad& load, TimePoint now) -> void {
    factor_ = std::clamp(load.time_percent_ / 100.0, kMinFactor, kMaxFactor);
    stated_at_ = now;
  }

  /// Returns by which factor work takes longer than usual at `now`; 1 if that
  /// is not known.
  [[nodiscard]] auto FactorAt(TimePoint now) const -> double {
    return now - stated_at_ <= kMaxAge ? factor_ : 1;
  }

 private:
  double factor_ = 1;
  TimePoint stated_at_{-kMaxAge * 1000};
};

}  // namespace baobab::gateway
