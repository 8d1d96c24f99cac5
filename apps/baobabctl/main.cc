#include <algorithm>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "baobab_base/step_error.h"
#include "contract_commands.h"
#include "exit_code.h"
#include "fleet_commands.h"

namespace baobab::ctl {
namespace {

struct Command {
  std::vector<std::string> words_;
  const char* summary_;
  int (*run_)(const std::vector<std::string>&);
};

auto Commands() -> const std::vector<Command>& {
  static const std::vector<Command> kCommands = {
      {{"contract", "get"}, "print the accepted contract", RunContractGet},
      {{"contract", "put"}, "change a contract from a file", RunContractPut},
      {{"contract", "edit"}, "change single values", RunContractEdit},
      {{"contract", "diff"}, "compare with a file", RunContractDiff},
      {{"contract", "history"}, "list recent changes", RunContractHistory},
      {{"contract", "validate"}, "check a file", RunContractValidate},
      {{"contract", "list"}, "list all contracts", RunContractList},
      {{"contract", "delete"}, "delete a contract", RunContractDelete},
      {{"contract", "query"}, "outcome of an earlier change", RunContractQuery},
      {{"status"}, "state and active contracts of each daemon", RunStatus},
      {{"instances"}, "the platform's instance list", RunInstances},
      {{"targets"}, "targets as the daemons see them", RunTargets},
      {{"models"}, "models, who needs and who holds them", RunModels},
      {{"drain"}, "stop one daemon gracefully", RunDrain},
      {{"operation"}, "outcome of one operation", RunOperation},
      {{"report", "burn"}, "burn rates of the objectives", RunReportBurn},
  };
  return kCommands;
}

auto PrintHelp(std::ostream& out) -> void {
  out << "Usage: baobabctl COMMAND [arguments] [options]\n\nCommands:\n";
  for (const auto& command : Commands()) {
    std::string name;
    for (const auto& word : command.words_) {
      name += (name.empty() ? "" : " ") + word;
    }
    constexpr std::size_t kColumn = 20;
    out << "  " << name << std::string(kColumn - name.size(), ' ')
        << command.summary_ << '\n';
  }
  out << R"(
Each command has --help and --json.

Exit codes:
  0  done; a change was accepted
  1  not accepted, not found, or `contract diff` found differences
  2  wrong command line
  3  conflict: another operator's change came first; nothing was written
  4  unknown outcome; the output tells how to ask again
  5  the contract is faulty or does not fit; nothing was written
  6  a service or daemon could not be reached
)";
}

auto Run(const std::vector<std::string>& arguments) -> int {
  if (!arguments.empty() && arguments.front() == "--help") {
    PrintHelp(std::cout);
    return kSuccess;
  }
  if (!arguments.empty() && arguments.front() == "--version") {
    std::cout << "baobabctl " << BAOBAB_VERSION << '\n';
    return kSuccess;
  }
  for (const auto& command : Commands()) {
    const auto& words = command.words_;
    if (arguments.size() >= words.size() &&
        std::equal(words.begin(), words.end(), arguments.begin())) {
      return command.run_(
          {arguments.begin() + static_cast<std::ptrdiff_t>(words.size()),
           arguments.end()});
    }
  }
  PrintHelp(std::cerr);
  return kUsageError;
}

}  // namespace
}  // namespace baobab::ctl

auto main(int argc, char** argv) -> int {
  try {
    return baobab::ctl::Run({argv + 1, argv + argc});
  } catch (const baobab::StepError& error) {
    std::cerr << "baobabctl: " << error.what() << '\n';
    return baobab::ctl::kUnreachable;
  } catch (const std::exception& error) {
    std::cerr << "baobabctl: " << error.what() << '\n';
    return baobab::ctl::kFailure;
  }
}
