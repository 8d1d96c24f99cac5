#include "baobab_contract/contract_gossip.h"

namespace baobab::contract {

auto ContractGossip::Offer(const std::vector<ContractRecord>& records)
    -> std::vector<ContractRecord> {
  std::vector<ContractRecord> fresh;
  for (const auto& record : records) {
    if (contracts_->Offer(record) != OfferResult::kNotNewer) {
      fresh.push_back(record);
    }
  }
  return fresh;
}

auto ContractGossip::PushToPeers(const std::vector<ContractRecord>& records,
                                 const ProcessId* except) const
    -> ContractMessages {
  ContractMessages messages;
  if (records.empty()) {
    return messages;
  }
  for (const auto& peer : peers_) {
    if (except == nullptr || peer != *except) {
      messages.push_back({peer, ContractPush{records}});
    }
  }
  return messages;
}

auto ContractGossip::OnStoreRecords(const std::vector<ContractRecord>& records)
    -> ContractMessages {
  return PushToPeers(Offer(records), nullptr);
}

auto ContractGossip::OnStoreRead(const std::vector<ContractRecord>& records,
                                 TimePoint sent) -> ContractMessages {
  const auto fresh = Offer(records);
  contracts_->ConfirmFresh(sent);
  return PushToPeers(fresh, nullptr);
}

auto ContractGossip::OnDigest(const ProcessId& peer,
                              const ContractDigest& digest,
                              std::optional<Duration> age, TimePoint now)
    -> ContractMessages {
  if (digest == contracts_->digest()) {
    pulled_.erase(peer);
    // The heartbeat was sent before now, so the contracts are a little older
    // than it says; the 6 s of freshness allow for that.
    if (age) {
      contracts_->ConfirmFresh(now - *age);
    }
    return {};
  }
  const auto [pulled, first] = pulled_.try_emplace(peer, now);
  if (!first && now - pulled->second < kPullInterval) {
    return {};
  }
  pulled->second = now;
  return {{peer, ContractPull{contracts_->Revisions()}}};
}

auto ContractGossip::OnPull(const ProcessId& peer,
                            const ContractPull& pull) const
    -> ContractMessages {
  auto records = contracts_->RecordsNewerThan(pull.known_);
  if (records.empty()) {
    return {};
  }
  return {{peer, ContractPush{std::move(records)}}};
}

auto ContractGossip::OnPush(const ProcessId& peer, const ContractPush& push)
    -> ContractMessages {
  return PushToPeers(Offer(push.records_), &peer);
}

}  // namespace baobab::contract
