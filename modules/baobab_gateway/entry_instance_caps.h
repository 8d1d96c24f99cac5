#pragma once

// Members of EntryInstance that exchange shares of the caps of accounts.

#include "baobab_gateway/cap_datagrams.h"
#include "baobab_gateway/entry_instance.h"

namespace baobab::gateway {

template <class Platform>
auto EntryInstance<Platform>::UpdateCapBroker() -> void {
  const auto token = holder_.fencing_token();
  if (token == cap_broker_.term()) {
    return;
  }
  if (token == 0) {
    cap_broker_.EndTerm();
  } else {
    cap_broker_.BeginTerm(token, BootNow());
  }
  LogEvent(LogLevel::kInfo, "cap_broker_role").With("term", token);
}

template <class Platform>
auto EntryInstance<Platform>::OnCapDemand(const accounts::CapDemand& demand)
    -> void {
  UpdateCapBroker();
  if (!holder_.IsLeaseValid()) {
    return;
  }
  const auto grants = cap_broker_.OnDemand(demand, BootNow());
  // The term is the store revision of its lease: a copy of the store from then
  // on has every instance that got a share in an earlier term.
  if (cap_broker_.IsWaiting(BootNow()) &&
      sync_.revision() >= cap_broker_.term()) {
    std::vector<std::string> registered{settings_.instance_};
    for (const auto& [name, instance] : directory_.instances()) {
      registered.push_back(name);
    }
    if (cap_broker_.SettleIfStated(registered, BootNow())) {
      LogEvent(LogLevel::kInfo, "cap_shares_stated")
          .With("term", cap_broker_.term())
          .With("instances", registered.size());
    }
  }
  if (!grants) {
    return;
  }
  if (demand.instance_ == settings_.instance_) {
    gateway_.OnCapGrants(*grants);
  } else {
    peers_.Send(demand.address_, EncodeCapGrants(*grants));
  }
}

template <class Platform>
auto EntryInstance<Platform>::SendCapDemand() -> void {
  // Called again by the answer that this instance gives to itself, which finds
  // no further demand due.
  const auto holds_lease = holder_.fencing_token() != 0;
  std::string broker;
  std::int64_t token = -1;
  for (const auto& [name, instance] : directory_.instances()) {
    if (directory_.IsLeaseHolder(instance) && instance.fencing_token_ > token) {
      broker = instance.address_;
      token = instance.fencing_token_;
    }
  }
  // A share must not outlive the registration of its holder, by which a new
  // broker knows whose statements it needs.
  if ((!holds_lease && broker.empty()) ||
      BootNow() - registration_confirmed_at_ >
          kRegistrationTtl - accounts::CapTerms::kCounted) {
    return;
  }
  gateway_.caps().OnBroker(std::max(token, holder_.fencing_token()));
  if (auto demand = gateway_.caps().MakeDemand(BootNow())) {
    demand->address_ = settings_.address_;
    if (holds_lease) {
      OnCapDemand(*demand);
    } else {
      peers_.Send(broker, EncodeCapDemand(*demand));
    }
  }
}

}  // namespace baobab::gateway
