#pragma once

#include <algorithm>
#include <optional>
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

  /// Records that another instance read the store from `from` to `until`
  /// without a pause of kMinOutage. Returns true if this shows that the outage
  /// that OnStoreResponse() reported last was none, once for each.
  ///
  /// A read after the return of the store proves nothing about the time before
  /// it, so the reads count only if they began before the pause that is known
  /// so far.
  auto OnPeerReads(TimePoint from, TimePoint until) -> bool {
    if (from - last_read_by_any_ < kMinOutage) {
      last_read_by_any_ = std::max(last_read_by_any_, until);
    }
    // The report of a peer may arrive after the first response of the store if
    // this instance was cut off from both.
    if (suspected_ && from - suspected_->first < kMinOutage &&
        suspected_->second - until < kMinOutage) {
      suspected_.reset();
      return true;
    }
    return false;
  }

  /// Returns for how long this instance has read the store without a pause of
  /// kMinOutage.
  [[nodiscard]] auto ReadingTime(TimePoint now) const -> Duration {
    return connected_ ? now - reads_began_at_ : Duration::zero();
  }

  /// Records a response of the store to this instance. Returns true if a call
  /// failed before and the last known response of the store to any instance is
  /// so old that registrations may have expired since.
  auto OnStoreResponse(TimePoint now) -> bool {
    const auto last_read = last_read_by_any_;
    if (now - last_response_at_ >= kMinOutage) {
      reads_began_at_ = now;
    }
    last_read_by_any_ = std::max(last_read_by_any_, now);
    last_response_at_ = now;
    connected_ = true;
    const bool outage =
        std::exchange(call_failed_, false) && now - last_read >= kMinOutage;
    if (outage) {
      suspected_ = {last_read, now};
    }
    return outage;
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
  TimePoint reads_began_at_{};  // of the reads up to last_response_at_
  // Last read by any instance before the outage that was reported last, and the
  // first one after it.
  std::optional<std::pair<TimePoint, TimePoint>> suspected_;
};

}  // namespace baobab::gateway
