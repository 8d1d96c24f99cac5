#pragma once

#include <map>
#include <string>
#include <vector>

#include "baobab_replay/trace.h"

namespace baobab::replay {

/// Values measured by a replay, by name.
using Measures = std::map<std::string, double>;

/// Outcome of a replay.
struct ReplayResult {
  Measures measures_;
  /// One line per expectation that does not hold, with its place, the value
  /// measured and the value stated.
  std::vector<std::string> differences_;

  /// Renders measures and differences; equal results render to equal bytes.
  [[nodiscard]] auto ToText() const -> std::string;
};

/// Replays `trace`. The same trace gives the same result. Throws StepError if
/// the trace names an unknown subject, event or measure.
[[nodiscard]] auto ReplayTrace(const Trace& trace) -> ReplayResult;

}  // namespace baobab::replay
