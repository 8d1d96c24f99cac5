#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/fleet_digest.h"

namespace baobab::gateway {

/// Targets that recently began to leave or were removed, as a coordinator read
/// them from the store. Bounded, so that a digest with all of them fits into a
/// datagram.
class LeavingTargetLog {
 public:
  /// Age up to which entries are kept: standbys read the store every 12 s, and
  /// one of their reads may fail.
  static constexpr Duration kMaxAge = std::chrono::seconds(15);
  /// Maximum number of entries. About 20 bytes each.
  static constexpr std::size_t kMaxEntries = 200;

  /// Records that `target` began to leave at the store revision `revision`.
  auto Add(const std::string& target, std::int64_t revision, TimePoint now)
      -> void {
    std::erase_if(entries_, [&target](const Entry& entry) {
      return entry.leaving_.target_ == target;
    });
    entries_.push_back({{target, revision}, now});
    while (entries_.size() > kMaxEntries ||
           now - entries_.front().at_ > kMaxAge) {
      dropped_revision_ =
          std::max(dropped_revision_, entries_.front().leaving_.revision_);
      entries_.pop_front();
    }
  }

  /// Records that all targets were listed as of the store revision `revision`:
  /// which ones left before is not known.
  auto OnListing(std::int64_t revision) -> void {
    dropped_revision_ = std::max(dropped_revision_, revision);
  }

  /// Returns the entries that are at most kMaxAge old.
  [[nodiscard]] auto Recent(TimePoint now) const -> std::vector<LeavingTarget> {
    std::vector<LeavingTarget> recent;
    for (const auto& entry : entries_) {
      if (now - entry.at_ <= kMaxAge) {
        recent.push_back(entry.leaving_);
      }
    }
    return recent;
  }

  /// Returns the store revision after which Recent() is complete.
  [[nodiscard]] auto CompleteAfter(TimePoint now) const -> std::int64_t {
    auto revision = dropped_revision_;
    for (const auto& entry : entries_) {
      if (now - entry.at_ > kMaxAge) {
        revision = std::max(revision, entry.leaving_.revision_);
      }
    }
    return revision;
  }

 private:
  struct Entry {
    LeavingTarget leaving_;
    TimePoint at_{};
  };
  std::deque<Entry> entries_;
  std::int64_t dropped_revision_ = 0;
};

}  // namespace baobab::gateway
