#pragma once

#include <algorithm>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides when an instance next reads changes from the store.
///
/// Limits the number of store calls in a large fleet: a few instances, the
/// watching instances, read at a short interval and report the last change that
/// affects routing to their peers. A peer that knows this change is up to date
/// and needs no store call of its own. A peer without such a confirmation reads
/// the store itself, so that a lost report, or a watching instance that loses
/// its connection to the store, delays a change by at most kMaxUnconfirmedTime.
class ReadSchedule {
 public:
  /// Interval between two reads of a watching instance. Changes in quick
  /// succession arrive with one read.
  static constexpr Duration kWatchingInstanceReadInterval =
      std::chrono::milliseconds(200);
  /// Minimum time from a read to the next one that a reported newer change
  /// triggers: when a fleet starts, targets register one after the other, and
  /// each registration would otherwise cause a call of every instance.
  static constexpr Duration kMinHintInterval = std::chrono::milliseconds(500);
  /// Maximum time without a confirmation. Must stay below the 2 s after which
  /// sites expect that a leaving target gets no more requests.
  static constexpr Duration kMaxUnconfirmedTime =
      std::chrono::milliseconds(1400);
  /// Maximum time without a read: changes that do not affect routing at once,
  /// such as the loaded models of a target, are reported to peers only once,
  /// and that report may be lost.
  static constexpr Duration kMaxReadInterval = std::chrono::seconds(5);

  /// Sets whether this instance is a watching instance.
  auto SetWatchingInstance(bool reader) -> void { reader_ = reader; }
  [[nodiscard]] auto is_watching_instance() const -> bool { return reader_; }

  /// Records that this instance read the store at `now`.
  auto OnRead(TimePoint now) -> void {
    read_at_ = now;
    hinted_ = false;
    confirmed_at_ = std::max(confirmed_at_, now);
  }

  /// Records the report of a watching instance that, up to the time `at`, this
  /// instance knows every change that affects routing.
  auto OnLocalCopyConfirmed(TimePoint at) -> void {
    confirmed_at_ = std::max(confirmed_at_, at);
  }

  /// Records that a peer reported a change that affects routing and that this
  /// instance has not read yet.
  auto OnNewerRevisionReported() -> void { hinted_ = true; }

  /// Returns the time of the next read.
  [[nodiscard]] auto NextRead() const -> TimePoint {
    if (reader_) {
      return read_at_ + kWatchingInstanceReadInterval;
    }
    const auto next = std::min(read_at_ + kMaxReadInterval,
                               confirmed_at_ + kMaxUnconfirmedTime);
    return hinted_ ? std::min(next, read_at_ + kMinHintInterval) : next;
  }

 private:
  bool reader_ = false;
  bool hinted_ = false;
  TimePoint read_at_{};
  TimePoint confirmed_at_{};
};

}  // namespace baobab::gateway
