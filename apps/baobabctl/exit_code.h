#pragma once

namespace baobab::ctl {

/// Exit codes of baobabctl; listed by `baobabctl --help`.
enum ExitCode : int {
  kSuccess = 0,      ///< Done; a change was accepted.
  kFailure = 1,      ///< Not accepted, not found, or `diff` found differences.
  kUsageError = 2,   ///< The command line is wrong.
  kConflict = 3,     ///< Another operator's change came first.
  kUnknown = 4,      ///< The outcome is unknown; the output tells how to ask.
  kInvalid = 5,      ///< The contract is faulty or does not fit.
  kUnreachable = 6,  ///< A service or daemon could not be reached.
};

}  // namespace baobab::ctl
