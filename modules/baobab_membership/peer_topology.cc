#include "baobab_membership/peer_topology.h"

#include <algorithm>
#include <map>
#include <string>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::membership {
namespace {

using Infos = std::vector<const MemberInfo*>;

auto LiveInfos(const MembershipTable& table) -> Infos {
  Infos infos = {&table.self()};
  for (const auto* member : table.LiveMembers()) {
    infos.push_back(&member->info());
  }
  return infos;
}

// The first `count` of `infos` in rendezvous order for `key`.
auto Top(const Infos& infos, const std::string& key, std::size_t count)
    -> Infos {
  std::vector<std::string> names;
  for (const auto* info : infos) {
    names.push_back(info->process_.instance_.value());
  }
  Infos top;
  for (const auto index : RendezvousTop(key, names, count)) {
    top.push_back(infos[index]);
  }
  return top;
}

auto RelaysOf(const FailureDomain& domain, const Infos& members) -> Infos {
  return Top(members, "relay/" + domain.value(), PeerTopology::kRelays);
}

auto Contains(const Infos& infos, const MemberInfo& info) -> bool {
  return std::ranges::any_of(infos, [&](const MemberInfo* other) {
    return other->process_ == info.process_;
  });
}

}  // namespace

auto PeerTopology::Plan(const MembershipTable& table) -> PeerPlan {
  const auto infos = LiveInfos(table);
  const auto& self = table.self();
  const auto everyone = infos.size() <= kFullMesh;
  PeerPlan plan;
  std::map<FailureDomain, Infos> domains;
  for (const auto* info : infos) {
    domains[info->domain_].push_back(info);
    if (info->process_ != self.process_ &&
        (everyone || info->domain_ == self.domain_)) {
      plan.mesh_.push_back(info->process_);
    }
  }
  if (everyone) {
    return plan;
  }
  const auto own = RelaysOf(self.domain_, domains[self.domain_]);
  const auto rank = static_cast<std::size_t>(
      std::ranges::find_if(own,
                           [&](const MemberInfo* info) {
                             return info->process_ == self.process_;
                           }) -
      own.begin());
  plan.is_relay_ = rank < own.size();
  domains.erase(self.domain_);
  for (const auto& [domain, members] : domains) {
    const auto relays = RelaysOf(domain, members);
    for (const auto* relay : relays) {
      plan.relays_.push_back(relay->process_);
    }
    plan.summary_relays_.push_back(relays[rank % relays.size()]->process_);
  }
  return plan;
}

auto PeerTopology::IsReader(const MembershipTable& table) -> bool {
  auto infos = LiveInfos(table);
  const auto& self = table.self();
  std::erase_if(infos, [&](const MemberInfo* info) {
    return info->region_ != self.region_;
  });
  return Contains(Top(infos, "reader/" + self.region_.value(), kReaders), self);
}

auto PeerTopology::Choose(const MembershipTable& table, const std::string& key)
    -> ProcessId {
  return Top(LiveInfos(table), key, 1).front()->process_;
}

}  // namespace baobab::membership
