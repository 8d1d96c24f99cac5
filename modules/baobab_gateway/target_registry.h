#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/target_registration.h"

namespace baobab::gateway {

/// The targets that are registered, as far as this process has heard.
///
/// Answers the case that registrations lapse while the store is away: a target
/// that is missing right after an outage stays usable for a grace period, in
/// which a live one registers again. A target that was heard to leave is never
/// used again under the same registration, with or without the store.
class TargetRegistry {
 public:
  /// A registered target and what is known of its leaving.
  struct Entry {
    TargetRegistration registration_;
    std::int64_t revision_ = 0;
    /// Set while the entry is missing after an outage: when it counts as gone.
    std::optional<TimePoint> expires_at_;
  };

  /// How long a registration that lapsed during an outage may be missing after
  /// it. The platform states that live targets are back within about 2 s; the
  /// rest covers the age of the answer that shows it missing.
  static constexpr Duration kLapseGrace = std::chrono::milliseconds(2300);

  /// Records that `registration` was written at `revision`. Older revisions
  /// than the known one are ignored.
  auto Put(TargetRegistration registration, std::int64_t revision) -> void;

  /// Records that the registration of `id` was removed at `revision`.
  auto Remove(const std::string& id, std::int64_t revision) -> void;

  /// Records that the registration of `id` was removed at `revision`, which may
  /// be due to an outage of the store: the target counts as gone at `until`
  /// unless it registers again.
  auto Lapse(const std::string& id, std::int64_t revision, TimePoint until)
      -> void {
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second.revision_ <= revision) {
      found->second.expires_at_ = until;
    }
  }

  /// Removes an entry whose content cannot be read.
  auto Discard(const std::string& id) -> void { entries_.erase(id); }

  /// Compares with a full listing as of `revision`: `listed` are the ids in
  /// it. An entry that is missing is removed at once, or after the grace period
  /// if the store was away before the listing.
  template <class Ids>
  auto Reconcile(const Ids& listed, std::int64_t revision, bool after_outage,
                 TimePoint now) -> void {
    for (auto& [id, entry] : entries_) {
      if (listed.count(id) == 0 && entry.revision_ <= revision &&
          !entry.expires_at_) {
        entry.expires_at_ = after_outage ? now + kLapseGrace : now;
      }
    }
    Expire(now);
  }

  /// Removes the entries whose grace period has ended, and returns their ids.
  auto Expire(TimePoint now) -> std::vector<std::string>;

  /// Returns when the next grace period ends, if any runs.
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
  std::map<std::string, Entry> entries_;
};

}  // namespace baobab::gateway
