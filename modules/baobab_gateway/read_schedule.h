#pragma once

#include <algorithm>
#include <cstdint>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// How an instance learns about changes of the store.
enum class StoreReadRole : std::uint8_t {
  kWatching,  ///< Reads every change at once, for its peers.
  kActive,  ///< Sends requests to targets; reads when a peer reports a change.
  /// Gets hardly any requests. Coordinators tell it which targets are leaving;
  /// it reads the rest rarely.
  kStandby,
};

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
  /// The same for a standby. Below the 20 s for which sites keep the history of
  /// changes, after which all entries must be listed again.
  static constexpr Duration kMaxStandbyReadInterval = std::chrono::seconds(12);

  auto SetRole(StoreReadRole role) -> void { role_ = role; }
  [[nodiscard]] auto role() const -> StoreReadRole { return role_; }

  /// Records that this instance read the store at `now`.
  auto OnRead(TimePoint now) -> void {
    read_at_ = now;
    hinted_ = false;
    manifest_hinted_ = false;
    confirmed_at_ = std::max(confirmed_at_, now);
  }

  /// Records the report of a watching instance that, up to the time `at`, this
  /// instance knows every change that affects routing.
  auto OnLocalCopyConfirmed(TimePoint at) -> void {
    confirmed_at_ = std::max(confirmed_at_, at);
  }

  /// Records that the process was suspended for `time`, by which all that it
  /// knows has aged.
  auto OnSuspended(Duration time) -> void {
    read_at_ -= time;
    confirmed_at_ -= time;
  }

  /// Records that a peer reported a change that affects routing and that this
  /// instance has not read yet.
  auto OnNewerRevisionReported() -> void { hinted_ = true; }

  /// Records that a peer reported a newer manifest than this instance has.
  auto OnNewerManifestReported() -> void { manifest_hinted_ = true; }

  /// Returns the time of the next read.
  [[nodiscard]] auto NextRead() const -> TimePoint {
    if (role_ == StoreReadRole::kWatching) {
      return read_at_ + kWatchingInstanceReadInterval;
    }
    const bool standby = role_ == StoreReadRole::kStandby;
    auto next = std::min(
        read_at_ + (standby ? kMaxStandbyReadInterval : kMaxReadInterval),
        confirmed_at_ + kMaxUnconfirmedTime);
    // Of the changes of targets, a standby must only know at once which ones
    // are leaving, and digests say so. During a release of hundreds of targets,
    // 280 standbys would otherwise call the store 560 times per second.
    const bool reads_early = manifest_hinted_ || (hinted_ && !standby);
    return reads_early ? std::min(next, read_at_ + kMinHintInterval) : next;
  }

 private:
  StoreReadRole role_ = StoreReadRole::kActive;
  bool hinted_ = false;
  bool manifest_hinted_ = false;
  TimePoint read_at_{};
  TimePoint confirmed_at_{};
};

}  // namespace baobab::gateway
