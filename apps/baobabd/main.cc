#include <boost/program_options.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "baobab_base/log.h"
#include "baobab_base/step_error.h"
#include "daemon.h"

namespace {

namespace options = boost::program_options;

// Exit codes, documented in --help.
constexpr int kSuccess = 0;
constexpr int kUsageError = 2;
constexpr int kSettingsError = 3;
constexpr int kStartError = 4;

constexpr auto kExitCodes = R"(
Exit codes:
  0  success: drained after SIGTERM, SIGINT or POST /admin/drain, or checked
  2  wrong command line
  3  the settings file has errors; each is printed as file:line: key: reason
  4  the daemon cannot start, for example because an address is in use

Signals: SIGTERM and SIGINT drain and stop, SIGHUP reloads the settings.

)";

auto Describe(const options::options_description& description) -> void {
  std::cout << "Usage: baobabd --config FILE [--check]\n\n"
            << description << kExitCodes << baobab::DescribeSettings();
}

auto Run(const std::string& file, bool check) -> int {
  const auto result = baobab::LoadSettings(file);
  for (const auto& error : result.errors_) {
    std::cerr << error << '\n';
  }
  if (!result.errors_.empty()) {
    return kSettingsError;
  }
  if (check) {
    std::cout << file << ": no errors\n";
    return kSuccess;
  }
  baobab::InitializeLog(result.settings_.log_level_);
  try {
    baobab::Daemon daemon(result.settings_, file);
    daemon.Start();
    daemon.RunUntilDrained();
  } catch (const baobab::StepError& error) {
    baobab::LogEvent(baobab::LogLevel::kError, "start_failed")
        .With("step", error.step())
        .With("peer", error.peer())
        .With("reason", error.what());
    return kStartError;
  }
  return kSuccess;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  options::options_description description("Options");
  description.add_options()("config", options::value<std::string>(),
                            "settings file (TOML)")(
      "check", "check the settings file and exit")(
      "version", "print the version")("help", "print this text");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") > 0) {
      Describe(description);
      return kSuccess;
    }
    if (values.count("version") > 0) {
      std::cout << "baobabd " << BAOBAB_VERSION << '\n';
      return kSuccess;
    }
    if (values.count("config") == 0) {
      std::cerr << "baobabd: --config FILE is required\n";
      return kUsageError;
    }
    return Run(values["config"].as<std::string>(), values.count("check") > 0);
  } catch (const options::error& error) {
    std::cerr << "baobabd: " << error.what() << '\n';
    return kUsageError;
  } catch (const std::exception& error) {
    std::cerr << "baobabd: " << error.what() << '\n';
    return kStartError;
  }
}
