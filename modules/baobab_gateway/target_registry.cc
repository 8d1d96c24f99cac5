#include "baobab_gateway/target_registry.h"

#include <algorithm>
#include <utility>

namespace baobab::gateway {
namespace {

/// Returns true if the same process wrote both registrations, as far as they
/// state when it started.
auto IsSameProcess(const TargetRegistration& left,
                   const TargetRegistration& right) -> bool {
  return left.start_time_ms_ != 0 &&
         left.start_time_ms_ == right.start_time_ms_;
}

}  // namespace

auto TargetRegistry::Put(TargetRegistration registration, std::int64_t revision)
    -> void {
  auto& entry = entries_[registration.id_];
  if (revision < entry.revision_) {
    return;
  }
  if (registration.draining_) {
    departures_.RecordRegistration(registration);
  }
  const bool registered_as_leaving =
      registration.draining_ ||
      (entry.registered_as_leaving_ &&
       IsSameProcess(entry.registration_, registration));
  registration.draining_ = IsKnownToLeave(registration, revision);
  entry.registered_as_leaving_ = registered_as_leaving;
  entry.revision_ = revision;
  entry.expires_at_.reset();
  entry.registration_ = std::move(registration);
}

auto TargetRegistry::IsKnownToLeave(const TargetRegistration& registration,
                                    std::int64_t revision) const -> bool {
  const auto* known = Find(registration.id_);
  const auto marked = marked_leaving_.find(registration.id_);
  return registration.draining_ || departures_.IsLeaving(registration) ||
         (known != nullptr && known->registered_as_leaving_ &&
          IsSameProcess(known->registration_, registration)) ||
         (marked != marked_leaving_.end() &&
          IsCovered(revision, marked->second));
}

auto TargetRegistry::MarkLeaving(const std::string& id, std::int64_t revision)
    -> bool {
  const auto found = entries_.find(id);
  if (found != entries_.end() &&
      !IsCovered(found->second.revision_, revision)) {
    return false;
  }
  auto& marked = marked_leaving_[id];
  marked = std::max(marked, revision);
  if (found == entries_.end() || found->second.registration_.draining_) {
    return false;
  }
  found->second.registration_.draining_ = true;
  return true;
}

auto TargetRegistry::Remove(const std::string& id, std::int64_t revision)
    -> void {
  const auto found = entries_.find(id);
  if (found != entries_.end() && found->second.revision_ <= revision) {
    entries_.erase(found);
  }
}

auto TargetRegistry::RecordStatement(const LeavingStatement& statement)
    -> bool {
  const auto* known = Find(statement.target_);
  const bool is_recorded = departures_.Contains(statement);
  if (known != nullptr && departures_.IsLeaving(known->registration_)) {
    if (!is_recorded) {
      // It registered as leaving; its address was not recorded with that.
      departures_.Record(statement);
    }
    return false;
  }
  const bool is_new = known != nullptr || !is_recorded;
  departures_.Record(statement);
  for (auto& [id, entry] : entries_) {
    if (departures_.IsLeaving(entry.registration_)) {
      entry.registration_.draining_ = true;
    }
  }
  return is_new;
}

auto TargetRegistry::Expire(TimePoint now) -> std::vector<std::string> {
  std::vector<std::string> expired;
  for (const auto& [id, entry] : entries_) {
    if (entry.expires_at_ && *entry.expires_at_ <= now) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    entries_.erase(id);
  }
  return expired;
}

auto TargetRegistry::NextExpiry() const -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  for (const auto& [id, entry] : entries_) {
    if (entry.expires_at_) {
      next = std::min(next.value_or(*entry.expires_at_), *entry.expires_at_);
    }
  }
  return next;
}

}  // namespace baobab::gateway
