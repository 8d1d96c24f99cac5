#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "command_line.h"

namespace baobab::ctl {

/// Answer of one daemon.
struct DaemonAnswer {
  std::string address_;
  unsigned status_ = 0;  ///< Zero if there was no answer.
  std::string body_;
  std::string failure_;  ///< Why there was no answer.
};

/// One call to make to several daemons.
struct DaemonCall {
  std::string method_ = "GET";
  std::string path_;
  std::vector<std::pair<std::string, std::string>> headers_;
};

/// Makes `call` to all `addresses` at once and waits for all answers, each at
/// most a few seconds. The answers have the order of the addresses.
[[nodiscard]] auto CallDaemons(const std::vector<std::string>& addresses,
                               const DaemonCall& call)
    -> std::vector<DaemonAnswer>;

/// Returns the operators' addresses of the daemons: those of the command line,
/// else those of the live and leaving daemons in the instance list. Throws
/// StepError if there are none.
[[nodiscard]] auto FindDaemons(const CommandLine& line)
    -> std::vector<std::string>;

}  // namespace baobab::ctl
