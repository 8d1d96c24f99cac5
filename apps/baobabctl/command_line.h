#pragma once

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::ctl {

/// Command line of one command: options common to all commands, options of its
/// own, and positional arguments.
class CommandLine {
 public:
  /// `name` is "contract get" or the like; `positionals` names the positional
  /// arguments, all required; `about` is the text of --help.
  CommandLine(std::string name, std::vector<std::string> positionals,
              std::string about);

  /// Options of this command; add to them before Parse.
  [[nodiscard]] auto options() -> boost::program_options::options_description& {
    return options_;
  }

  /// Adds --store and --time-limit-ms.
  auto AddStore() -> CommandLine&;

  /// Adds --admin and --instances.
  auto AddDaemons() -> CommandLine&;

  /// Parses `arguments`. Returns an exit code if the command must not run:
  /// after --help or a mistake, which it prints.
  auto Parse(const std::vector<std::string>& arguments) -> std::optional<int>;

  /// Positional argument number `index`.
  [[nodiscard]] auto positional(std::size_t index) const -> const std::string& {
    return given_[index];
  }

  /// Returns true if --json was given.
  [[nodiscard]] auto json() const -> bool;

  /// Returns the value of the string option `name`, or an empty string.
  [[nodiscard]] auto Text(const std::string& name) const -> std::string;

  /// Returns the values of the repeatable option `name`.
  [[nodiscard]] auto List(const std::string& name) const
      -> std::vector<std::string>;

  /// Returns true if option `name` was given.
  [[nodiscard]] auto Has(const std::string& name) const -> bool {
    return values_.count(name) != 0;
  }

  /// Returns the value of the number option `name`, or `otherwise`.
  [[nodiscard]] auto Number(const std::string& name,
                            std::int64_t otherwise) const -> std::int64_t;

  /// Time that the command may take.
  [[nodiscard]] auto time_limit() const -> Duration;

  /// Addresses of the configuration service: --store, or the environment
  /// variable BAOBAB_STORE (separated by commas), or 127.0.0.1:2379.
  [[nodiscard]] auto StoreAddresses() const -> std::vector<std::string>;

  /// Operators' addresses of daemons: --admin or BAOBAB_ADMIN.
  [[nodiscard]] auto AdminAddresses() const -> std::vector<std::string>;

  /// Address of the instance list: --instances or BAOBAB_INSTANCES.
  [[nodiscard]] auto InstanceListAddress() const -> std::string;

 private:
  auto PrintHelp() const -> void;

  std::string name_;
  std::vector<std::string> positionals_;
  std::string about_;
  boost::program_options::options_description options_;
  boost::program_options::variables_map values_;
  std::vector<std::string> given_;
};

}  // namespace baobab::ctl
