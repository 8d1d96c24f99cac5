#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_base/toml.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab {

/// Collects errors of one settings file.
class SettingsErrors {
 public:
  explicit SettingsErrors(std::string file) : file_(std::move(file)) {}

  /// Adds "file:line: key: reason".
  auto Add(const toml::source_region& where, const std::string& key,
           const std::string& reason) -> void;

  [[nodiscard]] auto TakeSorted() -> std::vector<std::string>;

 private:
  std::string file_;
  std::vector<std::pair<std::uint32_t, std::string>> errors_;
};

/// Allowed values of a number.
struct NumberRange {
  std::int64_t min_;
  std::int64_t max_;
  std::string unit_;
};

/// Reads the keys of one table with checks; a key that no call reads is an
/// error when the reader ends.
class TableReader {
 public:
  /// `name` is the path of the table, for example "caller"; `table` may be
  /// null if the file does not have it.
  TableReader(SettingsErrors& errors, const toml::table* table,
              std::string name, const toml::source_region& where);

  /// Reads a number into `value`, which keeps its default if the key is
  /// absent.
  auto Number(std::string_view key, const NumberRange& range,
              std::int64_t& value) -> void;

  /// Reads a size.
  auto Size(std::string_view key, const NumberRange& range, std::size_t& value)
      -> void;

  /// Reads a duration whose key ends in "_ms".
  auto Milliseconds(std::string_view key, std::int64_t min, std::int64_t max,
                    Duration& value) -> void;

  /// Reads a name of 1 to 100 letters, digits and "-_.".
  auto Name(std::string_view key, bool required, std::string& value) -> void;

  /// Reads any text.
  auto Text(std::string_view key, std::string& value) -> void;

  /// Reads one of `choices`.
  auto Choice(std::string_view key, const std::vector<std::string>& choices,
              std::string& value) -> void;

  auto Flag(std::string_view key, bool& value) -> void;

  /// Reads "host:port" with an IP address.
  auto Address(std::string_view key, bool required, TargetEndpoint& value)
      -> void;

  /// Reads an array of "host:port".
  auto Addresses(std::string_view key, std::vector<TargetEndpoint>& value)
      -> void;

  /// Reports keys that were not read.
  auto Finish(const std::set<std::string>& tables = {}) -> void;

  /// Reports `reason` for `key`.
  auto Fail(std::string_view key, const std::string& reason) -> void;

  [[nodiscard]] auto present() const -> bool { return table_ != nullptr; }

 private:
  auto Find(std::string_view key) -> const toml::node*;
  [[nodiscard]] auto Path(std::string_view key) const -> std::string;

  SettingsErrors& errors_;
  const toml::table* table_;
  std::string name_;
  toml::source_region where_;
  std::set<std::string> known_;
};

}  // namespace baobab
