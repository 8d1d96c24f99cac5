#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_contract/contract_record.h"

namespace baobab::ctl {

/// A contract document as an operator edits it: the text, and the revision that
/// the edit started from.
struct ContractFile {
  std::optional<Revision> base_;  ///< Set if the file has a revision line.
  std::string text_;              ///< Without the lines that `get` added.
};

/// Returns the text of `record` under comment lines that give its revision,
/// author, time and note.
[[nodiscard]] auto WriteContractFile(const contract::ContractRecord& record)
    -> std::string;

/// Separates the comment lines that WriteContractFile added from the text.
[[nodiscard]] auto ReadContractFile(std::string_view content) -> ContractFile;

/// Returns `text` with each of `assignments` applied, "KEY=VALUE" with a TOML
/// value and a key such as weight or limits.requests_per_second. Throws
/// StepError if one cannot be applied.
[[nodiscard]] auto ApplyAssignments(const std::string& text,
                                    const std::vector<std::string>& assignments)
    -> std::string;

/// Reads a whole file, or standard input for "-". Throws StepError.
[[nodiscard]] auto ReadWholeFile(const std::string& name) -> std::string;

}  // namespace baobab::ctl
