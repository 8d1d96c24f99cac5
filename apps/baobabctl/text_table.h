#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::ctl {

/// Collects rows and prints them in aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> headings)
      : rows_{std::move(headings)} {}

  /// Adds a row with one cell per heading.
  auto Add(std::vector<std::string> cells) -> void {
    rows_.push_back(std::move(cells));
  }

  /// Prints the headings and all rows.
  auto Print(std::ostream& out) const -> void;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// Returns `time` as "2026-12-04T11:58:03Z".
[[nodiscard]] auto FormatTime(WallTime time) -> std::string;

}  // namespace baobab::ctl
