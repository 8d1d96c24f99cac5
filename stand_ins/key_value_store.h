#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"

namespace baobab::stand_in {

/// A key with its value and revisions, as etcd's mvccpb.KeyValue.
struct KeyValue {
  std::string key_;
  std::string value_;
  Revision create_revision_ = 0;
  Revision mod_revision_ = 0;
  std::int64_t version_ = 0;
  std::int64_t lease_ = 0;
};

/// One change of one key. A deletion holds only the key and its revision.
struct StoreEvent {
  bool deleted_ = false;
  KeyValue kv_;
};

/// A condition of a transaction.
struct Compare {
  enum class Target : std::uint8_t { kVersion, kCreate, kMod, kLease };
  enum class Relation : std::uint8_t { kEqual, kGreater, kLess, kNotEqual };
  std::string key_;
  Target target_ = Target::kVersion;
  Relation relation_ = Relation::kEqual;
  std::int64_t number_ = 0;
};

/// One operation of a transaction.
struct StoreOperation {
  enum class Kind : std::uint8_t { kRange, kPut, kDelete };
  Kind kind_ = Kind::kRange;
  std::string key_;
  std::string range_end_;  ///< Empty: the key alone. "\0": all keys from key_.
  std::string value_;
  std::int64_t lease_ = 0;
  std::size_t limit_ = 0;  ///< Largest number of keys of a range; 0: all.
};

/// Result of one operation: the keys of a range, or the number of deletions.
struct OperationResult {
  StoreOperation::Kind kind_ = StoreOperation::Kind::kRange;
  std::vector<KeyValue> kvs_;
  std::size_t count_ = 0;
};

/// Result of a transaction.
struct TxnResult {
  bool succeeded_ = false;
  std::vector<OperationResult> results_;
  Revision revision_ = 0;
};

/// The state of the configuration service fake: a revisioned key-value map
/// with transactions, leases and a bounded history for watches.
class KeyValueStore {
 public:
  /// Keeps the last `history` events for watches.
  explicit KeyValueStore(std::size_t history = 10000) : history_(history) {}

  /// Applies `success` if all of `compares` hold, otherwise `failure`. All
  /// writes of one transaction share one revision. Returns nothing, and
  /// changes nothing, if a put names a lease that does not exist.
  auto Txn(const std::vector<Compare>& compares,
           const std::vector<StoreOperation>& success,
           const std::vector<StoreOperation>& failure)
      -> std::optional<TxnResult>;

  /// Creates a lease of `ttl`, with `id` unless that is zero, and returns its
  /// id.
  auto GrantLease(std::int64_t id, Duration ttl, TimePoint now) -> std::int64_t;

  /// Extends a lease to its full time; returns that, or nothing if the lease
  /// does not exist.
  auto KeepAlive(std::int64_t id, TimePoint now) -> std::optional<Duration>;

  /// Ends a lease and deletes its keys. Returns false if it does not exist.
  auto RevokeLease(std::int64_t id) -> bool;

  /// Ends all leases that have expired.
  auto ExpireLeases(TimePoint now) -> void;

  /// Returns when the next lease expires, if any exists.
  [[nodiscard]] auto NextExpiry() const -> std::optional<TimePoint>;

  /// Returns the events of the keys in the range with revisions from `from`
  /// on. Nothing if part of them has been discarded.
  [[nodiscard]] auto EventsFrom(Revision from, const std::string& key,
                                const std::string& range_end) const
      -> std::optional<std::vector<StoreEvent>>;

  /// Revision of the last write; 1 for an empty store, as in etcd.
  [[nodiscard]] auto revision() const -> Revision { return revision_; }

  /// Revisions below this one are no longer in the history.
  [[nodiscard]] auto compact_revision() const -> Revision {
    return compact_revision_;
  }

 private:
  struct Lease {
    Duration ttl_{};
    TimePoint expires_{};
    std::set<std::string> keys_;
  };

  [[nodiscard]] auto Holds(const Compare& compare) const -> bool;
  [[nodiscard]] auto Range(const StoreOperation& operation) const
      -> OperationResult;
  auto Put(const StoreOperation& operation, Revision revision) -> void;
  auto Delete(const StoreOperation& operation, Revision revision)
      -> std::size_t;
  auto Record(StoreEvent event) -> void;

  std::size_t history_;
  Revision revision_ = 1;
  Revision compact_revision_ = 0;
  std::int64_t next_lease_ = 1000;
  std::map<std::string, KeyValue> keys_;
  std::map<std::int64_t, Lease> leases_;
  std::deque<StoreEvent> events_;
};

/// Returns true if `key` lies in the range (`first`, `range_end`).
[[nodiscard]] auto InRange(const std::string& key, const std::string& first,
                           const std::string& range_end) -> bool;

}  // namespace baobab::stand_in
