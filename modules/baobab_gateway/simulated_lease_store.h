#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/holder_lease.h"
#include "baobab_gateway/store_position.h"
#include "baobab_gateway/store_types.h"

namespace baobab::gateway::test {

/// A store with entries, revisions and leases under virtual time. Passes on and
/// takes revisions as positions (see StorePosition), as PlatformStore does.
class SimulatedLeaseStore {
 public:
  using CommitResult = std::variant<std::int64_t, StoreFailure>;

  /// Grants a lease and returns its id.
  auto Grant(Duration now) -> std::int64_t {
    leases_[++last_lease_] = now + HolderLease::kStoreLeaseTtl;
    return last_lease_;
  }

  /// Renews `lease`. Returns false if it has ended.
  auto Renew(std::int64_t lease, Duration now) -> bool {
    ExpireLeases(now);
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
      return false;
    }
    found->second = now + HolderLease::kStoreLeaseTtl;
    return true;
  }

  auto Revoke(std::int64_t lease, Duration now) -> void {
    leases_.erase(lease);
    ExpireLeases(now);
  }

  auto Commit(const StoreTransaction& change, Duration now) -> CommitResult {
    ExpireLeases(now);
    for (const auto& expected : change.preconditions_) {
      const auto found = entries_.find(expected.key_);
      const auto revision = found == entries_.end() || found->second.removed_
                                ? 0
                                : found->second.revision_;
      if (revision != StorePosition::Revision(expected.revision_)) {
        return StoreFailure::kConflict;
      }
    }
    for (const auto& write : change.writes_) {
      if (write.lease_ != 0 && leases_.count(write.lease_) == 0) {
        return StoreFailure::kNoLease;
      }
    }
    ++revision_;
    for (const auto& write : change.writes_) {
      entries_[write.key_] = {write.key_, write.value_, revision_, write.lease_,
                              false};
    }
    for (const auto& key : change.removals_) {
      entries_[key] = {key, "", revision_, 0, true};
    }
    return StorePosition::Make(era_, revision_);
  }

  /// The result of a read.
  struct Changes {
    std::vector<StoreEntry> entries_;
    std::int64_t revision_ = 0;  ///< Of the store.
    /// All entries are listed, since the changes after the given revision are
    /// not known.
    bool is_listing_ = false;
  };

  /// Returns the entries that have changed since `position`.
  auto ChangesSince(std::int64_t position, Duration now) -> Changes {
    ExpireLeases(now);
    const auto revision = StorePosition::Revision(position);
    Changes changes;
    changes.is_listing_ =
        revision > revision_ || StorePosition::Era(position) != era_;
    changes.revision_ = StorePosition::Make(era_, revision_);
    for (const auto& [key, entry] : entries_) {
      if (changes.is_listing_ ? !entry.removed_ : entry.revision_ > revision) {
        changes.entries_.push_back(entry);
        changes.entries_.back().revision_ =
            StorePosition::Make(era_, entry.revision_);
      }
    }
    return changes;
  }

  /// Returns the era, which rises with each Restore().
  [[nodiscard]] auto era() const -> std::int64_t { return era_; }

  /// Keeps a copy of the state, for Restore(). Copies are kept for
  /// kMaxCopyAge.
  auto TakeCopy(Duration now) -> void {
    ExpireLeases(now);
    copies_.push_back({now, entries_, leases_, last_lease_, revision_});
    while (now - copies_.front().at_ > kMaxCopyAge) {
      copies_.pop_front();
    }
  }

  /// Returns to the newest copy that was taken at `at` or before. Later writes
  /// and leases are gone, and their revisions and ids are given out again.
  /// Leases of the copy get their full time to live from `now`.
  auto Restore(Duration at, Duration now) -> void {
    while (copies_.size() > 1 && copies_.back().at_ > at) {
      copies_.pop_back();
    }
    const auto copy = copies_.back();
    entries_ = copy.entries_;
    leases_ = copy.leases_;
    last_lease_ = copy.last_lease_;
    revision_ = copy.revision_;
    ++era_;
    for (auto& [id, expires_at] : leases_) {
      expires_at = now + HolderLease::kStoreLeaseTtl;
    }
  }

  /// Lets all leases last longer by `time`.
  auto ExtendLeases(Duration time) -> void {
    for (auto& [id, expires_at] : leases_) {
      expires_at += time;
    }
  }

 private:
  static constexpr Duration kMaxCopyAge = std::chrono::seconds(10);

  struct Copy {
    Duration at_{};
    std::map<std::string, StoreEntry> entries_;
    std::map<std::int64_t, Duration> leases_;
    std::int64_t last_lease_ = 0;
    std::int64_t revision_ = 0;
  };

  auto ExpireLeases(Duration now) -> void {
    std::erase_if(leases_,
                  [now](const auto& lease) { return lease.second <= now; });
    for (auto& [key, entry] : entries_) {
      if (!entry.removed_ && entry.lease_ != 0 &&
          leases_.count(entry.lease_) == 0) {
        entry = {key, "", ++revision_, 0, true};
      }
    }
  }

  std::map<std::string, StoreEntry> entries_;
  std::map<std::int64_t, Duration> leases_;
  std::int64_t last_lease_ = 0;
  std::int64_t revision_ = 10;
  std::int64_t era_ = 1;
  std::deque<Copy> copies_;
};

}  // namespace baobab::gateway::test
