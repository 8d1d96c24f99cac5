#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "baobab_base/time_types.h"
#include "baobab_gateway/stream_origins.h"

namespace baobab::gateway {

/// Decides what an instance writes to the store about the streams that it
/// began, so that their origins outlast the loss of all processes.
///
/// Writes to a ring of entries, each with the streams of about kSlotTime; the
/// newest one is written again as streams begin. The ring holds the streams of
/// at least StreamOrigins::kMaxAge.
class StreamJournal {
 public:
  /// Minimum interval between two writes: streams that began since the last one
  /// are unknown if all processes end.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(400);
  /// Additional interval for each instance: all of them together stay below a
  /// few hundred writes per second, which sites allow.
  static constexpr Duration kIntervalPerInstance = std::chrono::milliseconds(5);
  static constexpr Duration kSlotTime = std::chrono::seconds(2);
  static constexpr int kSlots = 16;
  /// Time to live of a lease for the entries, and the time for which it is
  /// attached to further ones.
  static constexpr Duration kLeaseTtl = std::chrono::seconds(60);
  static constexpr Duration kLeaseUse = std::chrono::seconds(20);

  struct Write {
    int slot_ = 0;  ///< Below kSlots.
    StreamOriginUpdate update_;
  };

  /// Returns the write that is due, if any. `mixed` are the services with
  /// several software versions, `instances` is the size of the fleet. Report
  /// the result with OnWritten().
  [[nodiscard]] auto Next(const StreamOrigins& origins,
                          const std::set<std::string>& mixed,
                          std::size_t instances, TimePoint now)
      -> std::optional<Write>;

  /// Handles the result of the write that Next() returned last.
  auto OnWritten(bool succeeded) -> void {
    is_writing_ = false;
    if (succeeded) {
      covered_until_ = writing_until_;
    }
  }

 private:
  int slot_ = 0;
  TimePoint slot_opened_at_{};
  TimePoint slot_since_{};     // the slot has the streams from then on
  TimePoint covered_until_{};  // streams up to then were written
  TimePoint writing_until_{};
  TimePoint tried_at_{};
  bool is_writing_ = false;
};

}  // namespace baobab::gateway
