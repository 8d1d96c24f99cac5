#pragma once

#include <array>
#include <boost/circular_buffer.hpp>
#include <cstdint>

#include "baobab_base/time_types.h"
#include "baobab_base/work_kind.h"
#include "baobab_routing/retry_budget.h"

namespace baobab {

/// Decides when a request that has not begun to answer is sent a second time:
/// after the 95th percentile of its kind's time to first byte, measured as a
/// ratio to the predicted time, and within a budget of extra requests.
class HedgePolicy {
 public:
  /// `fraction` is hedges per request, for example 0.05.
  explicit HedgePolicy(double fraction);

  /// Counts a first attempt.
  auto OnRequest() -> void { budget_.OnRequest(); }

  /// Takes the time to the first byte relative to its prediction.
  auto OnFirstByte(WorkKind kind, double ratio) -> void;

  /// Time after sending at which a request of `kind` may be hedged.
  [[nodiscard]] auto HedgeAfter(WorkKind kind, double predicted_seconds) const
      -> Duration;

  /// Takes a hedge out of the budget; false if none is left. A request that is
  /// not `urgent` leaves half of the burst for those that wait much longer.
  [[nodiscard]] auto TryTake(bool urgent) -> bool;

 private:
  struct Ratios {
    boost::circular_buffer<float> recent_;
    std::uint32_t since_update_ = 0;
    double percentile_ = 0;
  };
  RetryBudget budget_;
  std::array<Ratios, kWorkKinds> ratios_;
};

}  // namespace baobab
