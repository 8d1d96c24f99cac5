#pragma once

#include <algorithm>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides when an instance reads the changes of the store next.
///
/// Answers the price of calls in a large fleet: a few instances read every
/// change at once and tell the others which change mattered last. As long as
/// they say so, the others know that nothing is missing without a call of their
/// own. They read by themselves when no reader is heard, so that lost reports
/// and readers that lose the store cost no more than one pause.
class ReadSchedule {
 public:
  /// Pause of an instance that reads for others. Changes that come in quick
  /// succession arrive together.
  static constexpr Duration kReaderInterval = std::chrono::milliseconds(200);
  /// Least time from a read to the next one that a hint asks for: targets that
  /// register one after the other at the start of a fleet would otherwise
  /// bring a call of every instance each.
  static constexpr Duration kHintPause = std::chrono::milliseconds(500);
  /// Longest time without a confirmation: it must keep the 2 s in which the
  /// sites expect that a leaving target gets no more requests.
  static constexpr Duration kUnconfirmed = std::chrono::milliseconds(1400);
  /// Longest time without a read: changes that do not matter at once, such as
  /// which models a target holds, are announced once and may be lost.
  static constexpr Duration kMaxReadInterval = std::chrono::seconds(5);

  auto SetReader(bool reader) -> void { reader_ = reader; }
  [[nodiscard]] auto is_reader() const -> bool { return reader_; }

  /// The store was read at `now`.
  auto OnRead(TimePoint now) -> void {
    read_at_ = now;
    hinted_ = false;
    confirmed_at_ = std::max(confirmed_at_, now);
  }

  /// A reader has confirmed that nothing that matters is missing as of `at`.
  auto OnConfirmed(TimePoint at) -> void {
    confirmed_at_ = std::max(confirmed_at_, at);
  }

  /// A reader has heard of a change that matters and is not known here.
  auto OnHint() -> void { hinted_ = true; }

  /// Returns when to read next.
  [[nodiscard]] auto NextRead() const -> TimePoint {
    if (reader_) {
      return read_at_ + kReaderInterval;
    }
    const auto next =
        std::min(read_at_ + kMaxReadInterval, confirmed_at_ + kUnconfirmed);
    return hinted_ ? std::min(next, read_at_ + kHintPause) : next;
  }

 private:
  bool reader_ = false;
  bool hinted_ = false;
  TimePoint read_at_{};
  TimePoint confirmed_at_{};
};

}  // namespace baobab::gateway
