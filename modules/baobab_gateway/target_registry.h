#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/announced_departures.h"
#include "baobab_gateway/store_position.h"
#include "baobab_gateway/target_registration.h"

namespace baobab::gateway {

/// The registered targets, as known to this process.
///
/// Handles registrations that expire during a store outage: a target that is
/// missing right after an outage stays usable for a grace period, in which it
/// registers again if it is alive. A target whose registration is known to be
/// removed is never used again under that registration, not even during an
/// outage.
///
/// A process that is known to be leaving stays so, whoever stated it: its
/// registration, a digest or a response. Older or late news that it is ready
/// does not make it usable; a registration of a later process does.
class TargetRegistry {
 public:
  /// A registered target, with the revision of its registration.
  struct Entry {
    TargetRegistration registration_;
    std::int64_t revision_ = 0;
    /// The process itself has registered as leaving.
    bool registered_as_leaving_ = false;
    /// Time at which the entry is removed unless the target registers again.
    /// Set only while the registration is missing from the store.
    std::optional<TimePoint> expires_at_;
  };

  /// Grace period after a store outage for registrations that expired during
  /// it. The platform states that live targets register again within about 2 s.
  /// The remaining 0.3 s cover the age of the store listing from which the
  /// target is missing.
  static constexpr Duration kExpiryGracePeriod =
      std::chrono::milliseconds(2300);

  /// Stores `registration` as the target wrote it at `revision`, and ends its
  /// grace period if one runs. A revision older than the known one is ignored.
  auto Put(TargetRegistration registration, std::int64_t revision) -> void;

  /// Removes the entry of `id`, whose registration was removed at `revision`.
  /// Ignored if the known revision is newer.
  auto Remove(const std::string& id, std::int64_t revision) -> void;

  /// Starts a grace period for `id`, whose registration was removed at
  /// `revision`, possibly because it expired in an outage of the store. The
  /// entry is removed at `until` unless the target registers again. Ignored if
  /// the known revision is newer.
  auto MarkPossiblyExpired(const std::string& id, std::int64_t revision,
                           TimePoint until) -> void {
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second.revision_ <= revision) {
      found->second.expires_at_ = until;
    }
  }

  /// Marks `id` as leaving, as a peer read it from the store at `revision`.
  /// Holds also for registrations up to this revision that are read later (see
  /// also OnRestored()).
  /// Returns false if that is known already, the target is unknown or the known
  /// revision is newer.
  auto MarkLeaving(const std::string& id, std::int64_t revision) -> bool;

  /// Forgets which targets peers have marked as leaving up to `revision`,
  /// because the store was read up to it. What was marked in an earlier era is
  /// kept while the store may hold registrations of a copy.
  auto OnReadUpTo(std::int64_t revision) -> void {
    std::erase_if(marked_leaving_, [this, revision](const auto& marked) {
      return marked.second <= revision &&
             (copy_end_ == 0 || StorePosition::Era(marked.second) ==
                                    StorePosition::Era(revision));
    });
  }

  /// Records that the store returned from a copy: registrations up to
  /// `position` may be those of the copy. A target that was marked as leaving
  /// in an earlier era stays so until it registers after that.
  auto OnRestored(std::int64_t position) -> void { copy_end_ = position; }

  /// Records that the store holds no registrations of a copy any more that live
  /// targets have not written again.
  auto OnSettled() -> void { copy_end_ = 0; }

  /// Records that a target stated in a response that it is leaving, and marks
  /// the entries of this process as leaving. Returns false if that is known
  /// already.
  auto RecordStatement(const LeavingStatement& statement) -> bool;

  /// Returns true if the process that wrote `registration` has announced in a
  /// response that it is leaving.
  [[nodiscard]] auto HasAnnouncedDeparture(
      const TargetRegistration& registration) const -> bool {
    return departures_.IsLeaving(registration);
  }

  /// Returns true if the process that wrote `registration` at `revision` is
  /// known to be leaving.
  [[nodiscard]] auto IsKnownToLeave(const TargetRegistration& registration,
                                    std::int64_t revision) const -> bool;

  /// Removes the entry of `id` because its content cannot be decoded.
  auto Discard(const std::string& id) -> void { entries_.erase(id); }

  /// Applies a full listing as of `revision`, with the ids `listed`. An entry
  /// that is missing from it is removed immediately, or after the grace period
  /// if the store was unreachable before the listing.
  template <class Ids>
  auto Reconcile(const Ids& listed, std::int64_t revision, bool after_outage,
                 TimePoint now) -> void {
    for (auto& [id, entry] : entries_) {
      if (listed.count(id) == 0 && entry.revision_ <= revision &&
          !entry.expires_at_) {
        entry.expires_at_ = after_outage ? now + kExpiryGracePeriod : now;
      }
    }
    Expire(now);
  }

  /// Removes the entries whose grace period has ended by `now`, and returns
  /// their ids.
  auto Expire(TimePoint now) -> std::vector<std::string>;

  /// Ends all grace periods at `now`, because the store was reachable for other
  /// instances: the removed registrations had not expired in an outage.
  auto EndGracePeriods(TimePoint now) -> void {
    for (auto& [id, entry] : entries_) {
      if (entry.expires_at_) {
        entry.expires_at_ = std::min(*entry.expires_at_, now);
      }
    }
  }

  /// Returns when the next grace period ends, or nothing if none runs.
  [[nodiscard]] auto NextExpiry() const -> std::optional<TimePoint>;

  /// Returns the entry of `id`, or nullptr.
  [[nodiscard]] auto Find(const std::string& id) const -> const Entry* {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
  }

  [[nodiscard]] auto entries() const -> const std::map<std::string, Entry>& {
    return entries_;
  }

 private:
  /// Returns true if a registration at `revision` is not later than the leaving
  /// that was marked at `marked`. Registrations of a copy have kept the
  /// revisions of the earlier era.
  [[nodiscard]] auto IsCovered(std::int64_t revision, std::int64_t marked) const
      -> bool {
    return revision <= marked ||
           (revision <= copy_end_ &&
            StorePosition::Era(marked) < StorePosition::Era(revision) &&
            StorePosition::Revision(revision) <=
                StorePosition::Revision(marked));
  }

  std::map<std::string, Entry> entries_;
  std::int64_t copy_end_ = 0;  // 0: the store holds no copy
  AnnouncedDepartures departures_;
  /// Targets that peers marked as leaving, with the store revision of that
  /// change, until the store was read up to it.
  std::map<std::string, std::int64_t> marked_leaving_;
};

}  // namespace baobab::gateway
