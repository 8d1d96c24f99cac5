#pragma once

#include <string>
#include <vector>

namespace baobab::tools {

/// Reads a command line that consists of file names. Returns no file if
/// `--help` was given, after printing `usage` and the options. Throws a
/// std::exception if no file is named or an option is unknown.
[[nodiscard]] auto ReadFileArguments(int argc, char** argv,
                                     const std::string& usage)
    -> std::vector<std::string>;

}  // namespace baobab::tools
