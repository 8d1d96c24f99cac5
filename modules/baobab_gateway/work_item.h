#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Number of a request within one process; never reused.
using WorkId = std::uint64_t;

/// A part of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t id_ = 0;
  std::uint32_t tokens_ = 0;
};

/// What a request asks of a model.
struct Generation {
  std::string model_;
  std::string adapter_;  ///< Empty: the base model.
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t output_limit_ = 0;     ///< Largest number of output tokens.
  std::uint32_t output_expected_ = 0;  ///< The caller's estimate; 0: none.
  std::vector<PromptPart> parts_;      ///< In order; the last one is its own.
};

/// Returns the number of output tokens to reserve memory for: twice the
/// estimate of the caller, which is right at the median but often far off.
[[nodiscard]] inline auto ReservedOutputTokens(const Generation& generation)
    -> std::uint32_t {
  if (generation.output_expected_ == 0) {
    return generation.output_limit_;
  }
  return std::min(generation.output_limit_, 2 * generation.output_expected_);
}

/// Returns the cache memory that a request may take, in tokens.
[[nodiscard]] inline auto RequiredCacheTokens(const Generation& generation)
    -> std::uint32_t {
  return generation.prompt_tokens_ + ReservedOutputTokens(generation);
}

/// Returns the number of output tokens that is most likely.
[[nodiscard]] inline auto ExpectedOutputTokens(const Generation& generation)
    -> std::uint32_t {
  return generation.output_expected_ > 0
             ? std::min(generation.output_expected_, generation.output_limit_)
             : generation.output_limit_;
}

/// A request as the dispatch decision sees it.
struct WorkItem {
  WorkId id_ = 0;
  std::string service_;
  Generation generation_;  ///< An empty model: a plain service call.
  int priority_ = 0;       ///< 0 is the most urgent.
  TimePoint arrived_{};
  TimePoint objective_at_{};        ///< The response should have begun by then.
  TimePoint limit_at_{};            ///< No response is of use after that.
  std::set<std::string> excluded_;  ///< Targets that already failed it.
  bool resumed_ = false;            ///< Its caller has already received a part.
};

}  // namespace baobab::gateway
