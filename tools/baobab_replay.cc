/// Replays traces (docs/traces.md) through core classes under virtual time.
/// Exit codes: 0 every stated outcome holds, 1 some do not, 2 bad arguments or
/// a malformed trace.

#include "baobab_replay/baobab_replay.h"

#include <cstddef>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "baobab_base/step_error.h"
#include "file_arguments.h"

namespace {

/// Replays one file and returns the number of differences.
auto ReplayFile(const std::string& path) -> std::size_t {
  std::ifstream input(path);
  if (!input) {
    throw baobab::StepError("trace.open", path, "cannot be read");
  }
  const auto result =
      baobab::replay::ReplayTrace(baobab::replay::ReadTrace(input, path));
  std::cout << "trace " << path << '\n' << result.ToText();
  return result.differences_.size();
}

auto Main(int argc, char** argv) -> int {
  const auto files = baobab::tools::ReadFileArguments(
      argc, argv, "usage: baobab_replay FILE...");
  if (files.empty()) {
    return 0;
  }
  std::size_t differences = 0;
  for (const auto& file : files) {
    differences += ReplayFile(file);
  }
  std::cout << "traces=" << files.size() << " differences=" << differences
            << '\n';
  return differences == 0 ? 0 : 1;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "baobab_replay: " << error.what() << '\n';
    return 2;
  }
}
