#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "baobab_history/linearizability_checker.h"
#include "baobab_history/sequential_models.h"

namespace baobab::history {

/// Histories of one recorded run, by contract customer and operation key.
struct RecordedHistories {
  std::map<std::string, std::vector<Interval<ContractOperation>>> contracts_;
  std::map<std::string, std::vector<Interval<SubmitOperation>>> operations_;
};

/// Reads a history in JSON Lines (docs/traces.md, "Histories"). Throws
/// StepError with `source` and the line number if a line is malformed.
[[nodiscard]] auto ReadHistories(std::istream& input, const std::string& source)
    -> RecordedHistories;

}  // namespace baobab::history
