#pragma once

#include <chrono>

#include "baobab_base/time_types.h"
#include "baobab_limits/share_ledger.h"

namespace baobab::limits {

/// Admits requests while units of a concurrency limit stay available until the
/// request's deadline.
class ConcurrencyLimiter {
 public:
  /// `ledger` must outlive this object.
  explicit ConcurrencyLimiter(ShareLedger* ledger) : ledger_(ledger) {}

  /// Admits a request that ends by `deadline` and returns true, or returns
  /// false. A request on borrowed units is admitted only if the loan outlasts
  /// the deadline. Each admitted request needs one Release.
  [[nodiscard]] auto TryAcquire(TimePoint deadline, TimePoint now) -> bool;

  /// Ends one admitted request.
  auto Release() -> void;

  /// Units that this instance could use: requests in flight, those refused
  /// lately, and a tenth in reserve.
  [[nodiscard]] auto Need(TimePoint now) const -> Units;

 private:
  [[nodiscard]] auto RefusedLately(TimePoint now) const -> double;

  ShareLedger* ledger_;
  double refused_ = 0;
  TimePoint refused_at_{};
};

}  // namespace baobab::limits
