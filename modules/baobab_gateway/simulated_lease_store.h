#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/holder_lease.h"
#include "baobab_gateway/store_types.h"

namespace baobab::gateway::test {

/// A store with entries, revisions and leases under virtual time.
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
      if (revision != expected.revision_) {
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
    return revision_;
  }

  /// Returns the entries that have changed since `revision`, and the revision
  /// of the store.
  auto ChangesSince(std::int64_t revision, Duration now)
      -> std::pair<std::vector<StoreEntry>, std::int64_t> {
    ExpireLeases(now);
    std::vector<StoreEntry> changes;
    for (const auto& [key, entry] : entries_) {
      if (entry.revision_ > revision) {
        changes.push_back(entry);
      }
    }
    return {std::move(changes), revision_};
  }

  /// Lets all leases last longer by `time`.
  auto ExtendLeases(Duration time) -> void {
    for (auto& [id, expires_at] : leases_) {
      expires_at += time;
    }
  }

 private:
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
};

}  // namespace baobab::gateway::test
