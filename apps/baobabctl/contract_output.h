#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <vector>

#include "baobab_contract/contract.h"
#include "baobab_contract/contract_change.h"
#include "baobab_contract/contract_parser.h"
#include "baobab_contract/contract_record.h"

namespace baobab::ctl {

/// Returns a record with its text and metadata.
[[nodiscard]] auto RecordToJson(const contract::ContractRecord& record)
    -> boost::json::object;

/// Returns the current and the recent changes, newest first.
[[nodiscard]] auto HistoryToJson(const contract::ContractRecord& record)
    -> boost::json::array;

/// Returns the contract of `record`, or an empty one if there is none or it is
/// deleted or faulty.
[[nodiscard]] auto ParseOrEmpty(
    const std::optional<contract::ContractRecord>& record)
    -> contract::Contract;

/// Prints differences to standard output, one a line or as JSON.
auto PrintDifferences(
    const std::vector<contract::ContractDifference>& differences, bool as_json)
    -> void;

/// Prints the outcome of a change to standard output and returns the exit code.
auto PrintOutcome(const contract::ContractChangeRequest& request,
                  const contract::ChangeResult& result, bool as_json) -> int;

/// Prints why a contract cannot be written and returns the exit code.
auto PrintInvalid(const std::string& faults, bool as_json) -> int;

}  // namespace baobab::ctl
