#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_contract/contract.h"

namespace baobab::contract {

/// One fault of a contract document.
struct ContractFault {
  std::uint32_t line_ = 0;  ///< First line is 1; 0 if no line applies.
  std::string message_;
  auto operator==(const ContractFault&) const -> bool = default;
};

/// Accelerator memory that a contract must fit into.
struct FleetCapacity {
  /// Memory of the largest server; each model must fit into it.
  std::int64_t largest_server_mb_ = std::numeric_limits<std::int64_t>::max();
  /// Memory of all servers not needed by other contracts; one copy of every
  /// model must fit into it.
  std::int64_t available_mb_ = std::numeric_limits<std::int64_t>::max();
};

/// A parsed contract, or everything that is wrong with it.
struct ContractParse {
  std::optional<Contract> contract_;   ///< Set if there is no fault.
  std::vector<ContractFault> faults_;  ///< Sorted by line.
};

/// Parses and validates the TOML document `text`. A syntax fault ends the
/// parse; every other fault is listed: unknown and missing keys, wrong types,
/// values out of range, repeated names, models that do not fit `capacity`.
[[nodiscard]] auto ParseContract(std::string_view text,
                                 const FleetCapacity& capacity = {})
    -> ContractParse;

/// Returns "line N: message" lines.
[[nodiscard]] auto FormatFaults(const std::vector<ContractFault>& faults)
    -> std::string;

}  // namespace baobab::contract
