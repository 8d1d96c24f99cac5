#include "baobab_contract/contract_register.h"

#include <algorithm>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::contract {

auto ContractRegister::Offer(const ContractRecord& record) -> OfferResult {
  const auto found = entries_.find(record.customer_);
  if (found != entries_.end() &&
      record.revision_ <= found->second.newest_.revision_) {
    return OfferResult::kNotNewer;
  }
  auto& entry = entries_[record.customer_];
  entry.newest_ = record;
  const auto result = Activate(entry);
  UpdateDigest();
  return result;
}

auto ContractRegister::Activate(Entry& entry) -> OfferResult {
  entry.faults_.clear();
  if (entry.newest_.value_.deleted_) {
    entry.contract_.reset();
    entry.active_record_ = entry.newest_;
    return OfferResult::kActivated;
  }
  auto parse = ParseContract(entry.newest_.value_.text_);
  if (parse.contract_ &&
      parse.contract_->customer_ != entry.newest_.customer_) {
    parse.faults_.push_back({0, "\"customer\" differs from the key"});
  }
  if (!parse.faults_.empty()) {
    entry.faults_ = std::move(parse.faults_);
    return OfferResult::kInvalid;
  }
  entry.contract_ = std::move(parse.contract_);
  entry.active_record_ = entry.newest_;
  return OfferResult::kActivated;
}

// Each revision is hashed with its customer and combined by addition, so that
// the order of offers does not matter.
auto ContractRegister::UpdateDigest() -> void {
  digest_ = {};
  for (const auto& [customer, entry] : entries_) {
    const auto revision = entry.newest_.revision_;
    digest_.highest_ = std::max(digest_.highest_, revision);
    digest_.hash_ +=
        HashKey(customer.value(), static_cast<std::uint64_t>(revision));
  }
}

auto ContractRegister::Find(const CustomerId& customer) const
    -> const Contract* {
  const auto found = entries_.find(customer);
  return found != entries_.end() && found->second.contract_
             ? &*found->second.contract_
             : nullptr;
}

auto ContractRegister::ActiveRecord(const CustomerId& customer) const
    -> const ContractRecord* {
  const auto found = entries_.find(customer);
  return found != entries_.end() && found->second.active_record_
             ? &*found->second.active_record_
             : nullptr;
}

auto ContractRegister::Faults(const CustomerId& customer) const
    -> std::vector<ContractFault> {
  const auto found = entries_.find(customer);
  return found != entries_.end() ? found->second.faults_
                                 : std::vector<ContractFault>{};
}

auto ContractRegister::ActiveContracts() const -> std::vector<const Contract*> {
  std::vector<const Contract*> contracts;
  for (const auto& [customer, entry] : entries_) {
    if (entry.contract_) {
      contracts.push_back(&*entry.contract_);
    }
  }
  return contracts;
}

auto ContractRegister::Revisions() const -> std::map<CustomerId, Revision> {
  std::map<CustomerId, Revision> revisions;
  for (const auto& [customer, entry] : entries_) {
    revisions[customer] = entry.newest_.revision_;
  }
  return revisions;
}

auto ContractRegister::RecordsNewerThan(
    const std::map<CustomerId, Revision>& known) const
    -> std::vector<ContractRecord> {
  std::vector<ContractRecord> records;
  for (const auto& [customer, entry] : entries_) {
    const auto found = known.find(customer);
    if (found == known.end() || found->second < entry.newest_.revision_) {
      records.push_back(entry.newest_);
    }
  }
  return records;
}

auto ContractRegister::ConfirmFresh(TimePoint when) -> void {
  confirmed_ = confirmed_ ? std::max(*confirmed_, when) : when;
}

auto ContractRegister::Age(TimePoint now) const -> std::optional<Duration> {
  if (!confirmed_) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), now - *confirmed_);
}

auto ContractRegister::IsStale(TimePoint now) const -> bool {
  const auto age = Age(now);
  return !age || *age > kFreshness;
}

}  // namespace baobab::contract
