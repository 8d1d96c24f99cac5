#include "stand_ins/key_value_store.h"

#include <algorithm>
#include <utility>

namespace baobab::stand_in {
namespace {

auto Relates(std::int64_t actual, Compare::Relation relation,
             std::int64_t expected) -> bool {
  switch (relation) {
    case Compare::Relation::kEqual:
      return actual == expected;
    case Compare::Relation::kGreater:
      return actual > expected;
    case Compare::Relation::kLess:
      return actual < expected;
    case Compare::Relation::kNotEqual:
      break;
  }
  return actual != expected;
}

}  // namespace

auto InRange(const std::string& key, const std::string& first,
             const std::string& range_end) -> bool {
  if (range_end.empty()) {
    return key == first;
  }
  return key >= first && (range_end == std::string(1, '\0') || key < range_end);
}

auto KeyValueStore::Holds(const Compare& compare) const -> bool {
  const auto found = keys_.find(compare.key_);
  const KeyValue kv = found == keys_.end() ? KeyValue{} : found->second;
  switch (compare.target_) {
    case Compare::Target::kVersion:
      return Relates(kv.version_, compare.relation_, compare.number_);
    case Compare::Target::kCreate:
      return Relates(kv.create_revision_, compare.relation_, compare.number_);
    case Compare::Target::kMod:
      return Relates(kv.mod_revision_, compare.relation_, compare.number_);
    case Compare::Target::kLease:
      break;
  }
  return Relates(kv.lease_, compare.relation_, compare.number_);
}

auto KeyValueStore::Range(const StoreOperation& operation) const
    -> OperationResult {
  OperationResult result;
  for (auto it = keys_.lower_bound(operation.key_);
       it != keys_.end() &&
       InRange(it->first, operation.key_, operation.range_end_);
       ++it) {
    ++result.count_;
    if (operation.limit_ == 0 || result.kvs_.size() < operation.limit_) {
      result.kvs_.push_back(it->second);
    }
  }
  return result;
}

auto KeyValueStore::Put(const StoreOperation& operation, Revision revision)
    -> void {
  auto& kv = keys_[operation.key_];
  if (kv.lease_ != 0 && kv.lease_ != operation.lease_) {
    leases_[kv.lease_].keys_.erase(kv.key_);
  }
  kv.key_ = operation.key_;
  kv.value_ = operation.value_;
  kv.create_revision_ = kv.version_ == 0 ? revision : kv.create_revision_;
  kv.mod_revision_ = revision;
  ++kv.version_;
  kv.lease_ = operation.lease_;
  if (kv.lease_ != 0) {
    leases_[kv.lease_].keys_.insert(kv.key_);
  }
  Record({false, kv});
}

auto KeyValueStore::Delete(const StoreOperation& operation, Revision revision)
    -> std::size_t {
  const auto doomed = Range(operation);
  for (const auto& kv : doomed.kvs_) {
    if (kv.lease_ != 0) {
      leases_[kv.lease_].keys_.erase(kv.key_);
    }
    keys_.erase(kv.key_);
    StoreEvent event{true, {}};
    event.kv_.key_ = kv.key_;
    event.kv_.mod_revision_ = revision;
    Record(std::move(event));
  }
  return doomed.count_;
}

auto KeyValueStore::Record(StoreEvent event) -> void {
  revision_ = event.kv_.mod_revision_;
  events_.push_back(std::move(event));
  while (events_.size() > history_) {
    compact_revision_ = events_.front().kv_.mod_revision_ + 1;
    events_.pop_front();
  }
}

auto KeyValueStore::Txn(const std::vector<Compare>& compares,
                        const std::vector<StoreOperation>& success,
                        const std::vector<StoreOperation>& failure)
    -> std::optional<TxnResult> {
  TxnResult result;
  result.succeeded_ =
      std::all_of(compares.begin(), compares.end(),
                  [this](const Compare& compare) { return Holds(compare); });
  const auto& operations = result.succeeded_ ? success : failure;
  if (std::any_of(operations.begin(), operations.end(), [this](const auto& o) {
        return o.lease_ != 0 && leases_.count(o.lease_) == 0;
      })) {
    return std::nullopt;
  }
  const Revision revision = revision_ + 1;
  for (const auto& operation : operations) {
    OperationResult one;
    if (operation.kind_ == StoreOperation::Kind::kRange) {
      one = Range(operation);
    } else if (operation.kind_ == StoreOperation::Kind::kPut) {
      Put(operation, revision);
    } else {
      one.count_ = Delete(operation, revision);
    }
    one.kind_ = operation.kind_;
    result.results_.push_back(std::move(one));
  }
  result.revision_ = revision_;
  return result;
}

auto KeyValueStore::GrantLease(std::int64_t id, Duration ttl, TimePoint now)
    -> std::int64_t {
  const auto chosen = id == 0 ? next_lease_++ : id;
  auto& lease = leases_[chosen];
  lease.ttl_ = ttl;
  lease.expires_ = now + ttl;
  return chosen;
}

auto KeyValueStore::KeepAlive(std::int64_t id, TimePoint now)
    -> std::optional<Duration> {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return std::nullopt;
  }
  found->second.expires_ = now + found->second.ttl_;
  return found->second.ttl_;
}

auto KeyValueStore::RevokeLease(std::int64_t id) -> bool {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return false;
  }
  const auto keys = found->second.keys_;
  const auto revision = revision_ + 1;
  for (const auto& key : keys) {
    StoreOperation deletion;
    deletion.key_ = key;
    Delete(deletion, revision);
  }
  leases_.erase(id);
  return true;
}

auto KeyValueStore::ExpireLeases(TimePoint now) -> void {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_ <= now) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    RevokeLease(id);
  }
}

auto KeyValueStore::NextExpiry() const -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  for (const auto& [id, lease] : leases_) {
    next = next ? std::min(*next, lease.expires_) : lease.expires_;
  }
  return next;
}

auto KeyValueStore::EventsFrom(Revision from, const std::string& key,
                               const std::string& range_end) const
    -> std::optional<std::vector<StoreEvent>> {
  if (from < compact_revision_) {
    return std::nullopt;
  }
  std::vector<StoreEvent> found;
  auto it = std::partition_point(
      events_.begin(), events_.end(),
      [from](const auto& e) { return e.kv_.mod_revision_ < from; });
  for (; it != events_.end(); ++it) {
    if (InRange(it->kv_.key_, key, range_end)) {
      found.push_back(*it);
    }
  }
  return found;
}

}  // namespace baobab::stand_in
