#pragma once

#include <algorithm>
#include <utility>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides whether registrations may have lapsed because the store was away.
///
/// Answers two cases that look alike to one instance: an outage of the store,
/// in which live targets lapse and come back within about two seconds, and a
/// cut between this instance and a store that others reach, after which a
/// removal means that the target left.
class OutageRecord {
 public:
  /// Registrations lapse after three missed heartbeats of 1.2 s. After a
  /// shorter silence a removal means that the target left.
  static constexpr Duration kMinOutage = std::chrono::milliseconds(2400);

  /// A call to the store failed. Returns true for the first one in a row.
  auto OnFailure() -> bool {
    call_failed_ = true;
    return std::exchange(connected_, false);
  }

  /// Another instance has read the store at `at`.
  auto OnPeerRead(TimePoint at) -> void {
    last_read_by_any_ = std::max(last_read_by_any_, at);
  }

  /// The store answered. Returns true if registrations may have lapsed since
  /// the last time that it is known to have served anyone.
  auto OnContact(TimePoint now) -> bool {
    const auto silence = now - last_read_by_any_;
    last_read_by_any_ = std::max(last_read_by_any_, now);
    own_read_at_ = now;
    connected_ = true;
    return std::exchange(call_failed_, false) && silence >= kMinOutage;
  }

  [[nodiscard]] auto is_connected() const -> bool { return connected_; }
  /// Time of the last answer of the store to this instance.
  [[nodiscard]] auto own_read_at() const -> TimePoint { return own_read_at_; }

 private:
  bool connected_ = false;
  bool call_failed_ = false;
  TimePoint last_read_by_any_{};
  TimePoint own_read_at_{};
};

}  // namespace baobab::gateway
