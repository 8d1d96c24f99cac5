#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"

namespace baobab::contract {

/// Prefix of the contract keys in the configuration service.
inline constexpr std::string_view kContractPrefix = "/baobab/contracts/";

/// Number of earlier changes that every stored value carries.
inline constexpr std::size_t kRecentChanges = 64;

/// An earlier change of one contract.
struct RecentChange {
  std::string change_id_;
  Revision revision_ = 0;
  std::string author_;
  std::string text_digest_;  ///< SHA-256 of the contract text, hex.
  auto operator==(const RecentChange&) const -> bool = default;
};

/// The value stored under one contract key. A deletion is stored as a value
/// too, since removing the key would lose the list of recent changes.
struct ContractValue {
  std::string text_;  ///< TOML document; empty if deleted.
  bool deleted_ = false;
  std::string change_id_;  ///< 128 random bits, hex.
  std::string author_;
  WallTime written_at_{};
  std::string note_;
  /// Changes before this one, newest first, at most kRecentChanges.
  std::vector<RecentChange> recent_changes_;
  auto operator==(const ContractValue&) const -> bool = default;
};

/// A stored value with its key and modification revision.
struct ContractRecord {
  CustomerId customer_;
  Revision revision_ = 0;
  ContractValue value_;
  auto operator==(const ContractRecord&) const -> bool = default;
};

/// Returns the key of the contract of `customer`.
[[nodiscard]] auto ContractKey(const CustomerId& customer) -> std::string;

/// Returns the customer of `key`, or nothing if it is no contract key.
[[nodiscard]] auto CustomerOfKey(std::string_view key)
    -> std::optional<CustomerId>;

/// Returns `value` as JSON.
[[nodiscard]] auto EncodeContractValue(const ContractValue& value)
    -> std::string;

/// Parses a stored JSON value; returns nothing if it is malformed.
[[nodiscard]] auto DecodeContractValue(std::string_view json)
    -> std::optional<ContractValue>;

/// Returns the SHA-256 of `text` as 64 lower-case hex digits.
[[nodiscard]] auto Sha256Hex(std::string_view text) -> std::string;

/// Returns the recent changes that a successor of `previous` carries.
[[nodiscard]] auto SuccessorChanges(const ContractRecord& previous)
    -> std::vector<RecentChange>;

}  // namespace baobab::contract
