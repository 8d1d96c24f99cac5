#pragma once

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Id of a request, unique within one process and never reused.
using WorkId = std::uint64_t;

/// A part of a prompt, identified by `id_`, that prompts of other requests may
/// share.
struct PromptPart {
  std::uint64_t id_ = 0;
  std::uint32_t tokens_ = 0;
};

/// Model, prompt and output limits of a generation request.
struct Generation {
  std::string model_;
  std::string adapter_;  ///< Empty for the base model.
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t max_output_tokens_ = 0;
  std::uint32_t expected_output_tokens_ =
      0;                           ///< Estimate by the caller; 0 if none.
  std::vector<PromptPart> parts_;  ///< In order; the last one is not shared.
};

/// Returns the number of output tokens for which cache memory is reserved:
/// twice the caller's estimate, but at most the output limit; the estimate is
/// right at the median but often far off. Without an estimate, it is the output
/// limit.
[[nodiscard]] inline auto ReservedOutputTokens(const Generation& generation)
    -> std::uint32_t {
  if (generation.expected_output_tokens_ == 0) {
    return generation.max_output_tokens_;
  }
  return std::min(generation.max_output_tokens_,
                  2 * generation.expected_output_tokens_);
}

/// Returns the cache memory that a request may need, in tokens.
[[nodiscard]] inline auto RequiredCacheTokens(const Generation& generation)
    -> std::uint32_t {
  return generation.prompt_tokens_ + ReservedOutputTokens(generation);
}

/// Returns the most likely number of output tokens: the estimate of the caller,
/// or the output limit without one.
[[nodiscard]] inline auto ExpectedOutputTokens(const Generation& generation)
    -> std::uint32_t {
  return generation.expected_output_tokens_ > 0
             ? std::min(generation.expected_output_tokens_,
                        generation.max_output_tokens_)
             : generation.max_output_tokens_;
}

/// Returns the id of a prompt part in hexadecimal, as callers state it.
[[nodiscard]] inline auto ToHex(std::uint64_t part) -> std::string {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%" PRIx64, part);
  return text.data();
}

/// Returns the ids of the parts of a prompt that other prompts may share, for
/// logs.
[[nodiscard]] inline auto DescribeParts(const Generation& generation)
    -> std::string {
  std::string text;
  for (std::size_t i = 0; i + 1 < generation.parts_.size(); ++i) {
    if (!text.empty()) {
      text += ',';
    }
    text += ToHex(generation.parts_[i].id_);
  }
  return text;
}

/// A request as the dispatcher schedules it, with its service, generation
/// parameters, priority, timing and excluded targets.
struct WorkItem {
  WorkId id_ = 0;
  std::string service_;
  Generation generation_;  ///< Its model is empty if the service has no models.
  std::string account_;    ///< Client account; empty without one.
  int priority_ = 0;       ///< Of the account or the route; 0 is most urgent.
  TimePoint arrived_{};
  TimePoint objective_at_{};  ///< Latest desired start of the response.
  TimePoint deadline_{};      ///< Time after which a response is useless.
  /// The caller is gone at this time unless the response has begun, or has
  /// continued if it is a resumed one.
  TimePoint first_event_by_ = TimePoint::max();
  std::set<std::string> excluded_;  ///< Targets that failed this request.
  bool resumed_ = false;  ///< Part of the response was already delivered.
  /// The caller resumes a stream of which it got a part with another request.
  bool resumed_by_caller_ = false;
  /// Software version that a target must have to go on with the stream.
  std::optional<std::string> version_;
};

}  // namespace baobab::gateway
