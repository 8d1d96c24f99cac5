#include "baobab_membership/membership_table.h"

#include <set>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::membership {
namespace {

auto IsGone(Liveness liveness) -> bool {
  return liveness == Liveness::kDead || liveness == Liveness::kLeft;
}

auto HashView(const MemberInfo& info) -> std::uint64_t {
  auto hash =
      HashKey(info.process_.instance_.value(), info.process_.incarnation_);
  hash = HashKey(info.caller_address_, hash ^ info.applied_epoch_);
  return HashKey(ToString(info.state_), hash);
}

}  // namespace

MembershipTable::MembershipTable(MemberInfo self, MembershipSettings settings)
    : self_(std::move(self)), settings_(settings) {}

auto MembershipTable::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now)
    -> bool {
  return Merge(heartbeat, Liveness::kAlive, false, now);
}

auto MembershipTable::Merge(const Heartbeat& heartbeat, Liveness liveness,
                            bool relayed, TimePoint now) -> bool {
  const auto& process = heartbeat.info_.process_;
  if (process.instance_ == self_.process_.instance_) {
    return false;
  }
  auto& entry = members_[process.instance_];
  auto& member = entry.member_;
  const auto known = member.info().process_.incarnation_;
  if (process.incarnation_ < known) {
    return false;
  }
  const auto replaced = process.incarnation_ > known;
  if (!replaced && (heartbeat.sequence_ <= member.last_.sequence_ ||
                    member.liveness_ == Liveness::kLeft)) {
    return false;
  }
  if (replaced || member.info() != heartbeat.info_ ||
      member.liveness_ != liveness) {
    entry.changed_ = now;
  }
  if (replaced || member.info() != heartbeat.info_) {
    entry.hash_ = HashView(heartbeat.info_);
  }
  member = {heartbeat, liveness, now};
  entry.relayed_ = relayed;
  return true;
}

auto MembershipTable::OnLeave(const ProcessId& process, TimePoint now) -> void {
  const auto found = members_.find(process.instance_);
  if (found != members_.end() &&
      found->second.member_.info().process_ == process) {
    found->second.member_.liveness_ = Liveness::kLeft;
    found->second.changed_ = now;
  }
}

auto MembershipTable::OnSummary(const DomainSummary& summary, TimePoint now)
    -> bool {
  const auto own_domain = summary.domain_ == self_.domain_;
  for (const auto& view : summary.members_) {
    if (own_domain && (IsGone(view.liveness_) || IsKnown(view.info_))) {
      continue;  // Members of the own domain speak for themselves.
    }
    Heartbeat heartbeat;
    heartbeat.info_ = view.info_;
    heartbeat.sequence_ = view.sequence_;
    heartbeat.load_ = view.load_;
    if (!Merge(heartbeat, view.liveness_, true, now)) {
      MergeGone(view, now);
    }
  }
  if (own_domain) {
    return true;
  }
  if (DomainHash(summary.domain_) != summary.hash_) {
    return false;
  }
  // The same hash says that every member is as known here, so those alive
  // there count as heard.
  for (auto& [instance, entry] : members_) {
    if (entry.member_.info().domain_ == summary.domain_ &&
        !IsGone(entry.member_.liveness_)) {
      entry.member_.heard_ = now;
    }
  }
  return true;
}

auto MembershipTable::IsKnown(const MemberInfo& info) const -> bool {
  const auto* member = Find(info.process_.instance_);
  return member != nullptr &&
         member->info().process_.incarnation_ >= info.process_.incarnation_;
}

// A relay's conclusion that a member is gone comes without a newer heartbeat.
auto MembershipTable::MergeGone(const DomainSummary::View& view, TimePoint now)
    -> void {
  const auto found = members_.find(view.info_.process_.instance_);
  if (found == members_.end() || !IsGone(view.liveness_)) {
    return;
  }
  auto& member = found->second.member_;
  if (member.info().process_ == view.info_.process_ &&
      !IsGone(member.liveness_) && view.sequence_ >= member.last_.sequence_) {
    member.liveness_ = view.liveness_;
    found->second.changed_ = now;
  }
}

auto MembershipTable::Judge(const Entry& entry, TimePoint now) const
    -> Liveness {
  const auto extra = entry.relayed_ ? settings_.relay_intervals_ : 0;
  const auto suspect = settings_.suspect_intervals_ + extra;
  const auto silence = now - entry.member_.heard_;
  if (silence >
      (suspect + settings_.dead_intervals_) * settings_.heartbeat_interval_) {
    return Liveness::kDead;
  }
  return silence > suspect * settings_.heartbeat_interval_
             ? Liveness::kSuspect
             : entry.member_.liveness_;
}

auto MembershipTable::Tick(TimePoint now) -> std::vector<Member> {
  std::vector<Member> changed;
  for (auto& [instance, entry] : members_) {
    auto& member = entry.member_;
    const auto liveness =
        IsGone(member.liveness_) ? member.liveness_ : Judge(entry, now);
    if (liveness != member.liveness_) {
      member.liveness_ = liveness;
      entry.changed_ = now;
      changed.push_back(member);
    }
  }
  std::erase_if(members_, [&](const auto& item) {
    return IsGone(item.second.member_.liveness_) &&
           now - item.second.changed_ > settings_.forget_after_;
  });
  return changed;
}

auto MembershipTable::LiveMembers() const -> std::vector<const Member*> {
  std::vector<const Member*> live;
  for (const auto& [instance, entry] : members_) {
    if (!IsGone(entry.member_.liveness_)) {
      live.push_back(&entry.member_);
    }
  }
  return live;
}

auto MembershipTable::Find(const InstanceId& instance) const -> const Member* {
  const auto found = members_.find(instance);
  return found == members_.end() ? nullptr : &found->second.member_;
}

// Suspect counts as alive and gone members are left out: both are passing
// states that each instance may reach at another time.
auto MembershipTable::DomainHash(const FailureDomain& domain) const
    -> std::uint64_t {
  std::uint64_t hash = 0;
  if (domain == self_.domain_) {
    hash += HashView(self_);
  }
  for (const auto& [instance, entry] : members_) {
    const auto& member = entry.member_;
    if (member.info().domain_ == domain && !IsGone(member.liveness_)) {
      hash += entry.hash_;
    }
  }
  return hash;
}

auto MembershipTable::RemoteHash() const -> std::uint64_t {
  std::uint64_t hash = 0;
  for (const auto& [instance, entry] : members_) {
    const auto& member = entry.member_;
    if (member.info().domain_ != self_.domain_ && !IsGone(member.liveness_)) {
      hash += entry.hash_;
    }
  }
  return hash;
}

auto MembershipTable::OnRemoteHash(std::uint64_t hash, TimePoint now) -> bool {
  if (hash != RemoteHash()) {
    return false;
  }
  for (auto& [instance, entry] : members_) {
    auto& member = entry.member_;
    if (member.info().domain_ != self_.domain_ && !IsGone(member.liveness_)) {
      member.heard_ = now;
    }
  }
  return true;
}

auto MembershipTable::OtherDomains() const -> std::vector<FailureDomain> {
  std::set<FailureDomain> domains;
  for (const auto& [instance, entry] : members_) {
    domains.insert(entry.member_.info().domain_);
  }
  domains.erase(self_.domain_);
  return {domains.begin(), domains.end()};
}

auto MembershipTable::Summarize(const FailureDomain& domain,
                                std::optional<TimePoint> since) const
    -> DomainSummary {
  DomainSummary summary{domain, DomainHash(domain), !since, {}};
  if (domain == self_.domain_ && !since) {
    summary.members_.push_back({self_, 1, Liveness::kAlive, 0});
  }
  for (const auto& [instance, entry] : members_) {
    const auto& member = entry.member_;
    if (member.info().domain_ == domain &&
        (!since || entry.changed_ > *since)) {
      summary.members_.push_back({member.info(), member.last_.sequence_,
                                  member.liveness_, member.last_.load_});
    }
  }
  return summary;
}

}  // namespace baobab::membership
