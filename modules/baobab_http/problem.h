#pragma once

#include <optional>
#include <string>

#include "baobab_base/outcome.h"
#include "baobab_base/time_types.h"
#include "baobab_http/http_message.h"

namespace baobab {

/// An error as a caller sees it (RFC 9457, application/problem+json).
struct Problem {
  unsigned status_ = 500;
  Outcome outcome_ = Outcome::kNotRun;
  std::string step_;    ///< The operation that failed, for example "admission".
  std::string peer_;    ///< The address or target involved; may be empty.
  std::string detail_;  ///< One sentence for the caller.
  std::optional<Duration> retry_after_;  ///< Rounded up to whole seconds.
};

/// Builds the response for `problem`.
[[nodiscard]] auto ProblemResponse(const Problem& problem) -> HttpResponse;

/// Builds the body alone, for an error event inside a stream that has begun.
[[nodiscard]] auto ProblemBody(const Problem& problem) -> std::string;

}  // namespace baobab
