#pragma once

#include <algorithm>
#include <utility>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides whether registrations of targets may have expired because the store
/// was unreachable for all instances.
///
/// Distinguishes two cases that a single instance cannot tell apart: an outage
/// of the store, in which registrations of live targets expire and return
/// within about two seconds, and a broken connection between this instance and
/// a store that other instances reach, after which a removal means that the
/// target left.
class StoreOutageDetector {
 public:
  /// Minimum duration of an outage in which registrations can expire: they do
  /// so after three missed heartbeats of 1.2 s. After a shorter time without a
  /// response a removal means that the target left.
  static constexpr Duration kMinOutage = std::chrono::milliseconds(2400);

  /// Records a failed call to the store. Returns true for the first failure
  /// after a successful call.
  auto OnFailure() -> bool {
    call_failed_ = true;
    return std::exchange(connected_, false);
  }

  /// Records that another instance read the store at `at`.
  auto OnPeerRead(TimePoint at) -> void {
    last_read_by_any_ = std::max(last_read_by_any_, at);
  }

  /// Records a response of the store to this instance. Returns true if a call
  /// failed before and the last known response of the store to any instance is
  /// so old that registrations may have expired since.
  auto OnStoreResponse(TimePoint now) -> bool {
    const auto silence = now - last_read_by_any_;
    last_read_by_any_ = std::max(last_read_by_any_, now);
    last_response_at_ = now;
    connected_ = true;
    return std::exchange(call_failed_, false) && silence >= kMinOutage;
  }

  /// Returns true if the last call to the store succeeded.
  [[nodiscard]] auto is_connected() const -> bool { return connected_; }
  /// Returns the time of the last response of the store to this instance.
  [[nodiscard]] auto last_response_at() const -> TimePoint {
    return last_response_at_;
  }

 private:
  bool connected_ = false;
  bool call_failed_ = false;
  TimePoint last_read_by_any_{};
  TimePoint last_response_at_{};
};

}  // namespace baobab::gateway
