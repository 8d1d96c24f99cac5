#pragma once

#include <string>

#include "baobab_base/outcome.h"

namespace baobab {

/// Why one attempt at a target failed.
struct AttemptFailure {
  /// kNotRun only if no byte of the request can have left this process or the
  /// target rejected it unexecuted; otherwise kUnknown.
  Outcome outcome_ = Outcome::kUnknown;
  std::string step_;    ///< "connect", "send", "receive" or "decode".
  std::string peer_;    ///< Address of the target.
  std::string reason_;  ///< Text of the system or protocol error.
  bool timed_out_ = false;
  /// The target closed the connection in order, as opposed to a reset.
  bool closed_ = false;
};

}  // namespace baobab
