#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_contract/contract.h"
#include "baobab_contract/contract_parser.h"
#include "baobab_contract/contract_record.h"

namespace baobab::contract {

/// Summary of the contracts that an instance has; equal on two instances that
/// have the same revisions.
struct ContractDigest {
  Revision highest_ = 0;
  std::uint64_t hash_ = 0;  ///< Of every customer and revision.
  auto operator==(const ContractDigest&) const -> bool = default;
};

/// What became of an offered record.
enum class OfferResult : std::uint8_t {
  kActivated,  ///< The contract, or its deletion, is now active.
  kNotNewer,   ///< An equal or higher revision was already known.
  kInvalid,    ///< Newer but faulty: kept for relaying, not active.
};

/// The contracts active on one instance. A customer's revision only grows,
/// whatever the source and order of the offers.
class ContractRegister {
 public:
  /// A contract counts as fresh this long after the last confirmation.
  static constexpr Duration kFreshness = std::chrono::seconds(6);

  /// Takes `record` if its revision is higher than the one known.
  auto Offer(const ContractRecord& record) -> OfferResult;

  /// Returns the active contract of `customer`, or null if there is none.
  [[nodiscard]] auto Find(const CustomerId& customer) const -> const Contract*;

  /// Returns the record behind the active contract or deletion, with revision,
  /// author, time and note, or null if there is none.
  [[nodiscard]] auto ActiveRecord(const CustomerId& customer) const
      -> const ContractRecord*;

  /// Returns the faults of the newest record if it could not be activated.
  [[nodiscard]] auto Faults(const CustomerId& customer) const
      -> std::vector<ContractFault>;

  /// Returns all active contracts, sorted by customer.
  [[nodiscard]] auto ActiveContracts() const -> std::vector<const Contract*>;

  /// Summary for heartbeats.
  [[nodiscard]] auto digest() const -> const ContractDigest& { return digest_; }

  /// Returns the newest known revision of each customer, deleted ones too.
  [[nodiscard]] auto Revisions() const -> std::map<CustomerId, Revision>;

  /// Returns the records that are newer than `known`, as the answer to a pull.
  [[nodiscard]] auto RecordsNewerThan(
      const std::map<CustomerId, Revision>& known) const
      -> std::vector<ContractRecord>;

  /// Records that at `when` the contracts were known to be those of the
  /// configuration service. Call after a complete read of the prefix with the
  /// time the read was sent, or with the time a peer's heartbeat implies: now
  /// minus the age it states, if digests agree.
  auto ConfirmFresh(TimePoint when) -> void;

  /// Returns the time since the last confirmation, or nothing before the
  /// first one.
  [[nodiscard]] auto Age(TimePoint now) const -> std::optional<Duration>;

  /// Returns true if contracts were ever complete, so that serving may start.
  [[nodiscard]] auto complete() const -> bool { return confirmed_.has_value(); }

  /// Returns true if the last confirmation is older than kFreshness.
  [[nodiscard]] auto IsStale(TimePoint now) const -> bool;

 private:
  struct Entry {
    ContractRecord newest_;  ///< Highest revision seen, valid or not.
    std::optional<ContractRecord> active_record_;
    std::optional<Contract> contract_;  ///< Unset if deleted.
    std::vector<ContractFault> faults_;
  };

  auto Activate(Entry& entry) -> OfferResult;
  auto UpdateDigest() -> void;

  std::map<CustomerId, Entry> entries_;
  ContractDigest digest_;
  std::optional<TimePoint> confirmed_;
};

}  // namespace baobab::contract
