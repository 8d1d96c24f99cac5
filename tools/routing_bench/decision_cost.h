#pragma once

#include <cstddef>
#include <cstdint>

namespace baobab::bench {

/// Cost of one Select on this machine.
struct DecisionCost {
  double median_us_ = 0;
  double p99_us_ = 0;
  double p999_us_ = 0;
  double memory_mb_ = 0;  ///< Growth of resident memory by the selector.
};

/// Measures Select with `servers`, each with models among `models`, thousands
/// of attempts in progress, and prefixes on every second request.
auto MeasureDecisionCost(std::size_t servers, std::size_t models,
                         std::size_t models_per_server, std::uint64_t seed)
    -> DecisionCost;

}  // namespace baobab::bench
