#include "text_table.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace baobab::ctl {

auto TextTable::Print(std::ostream& out) const -> void {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line += std::string(widths[i] - row[i].size() + 2, ' ');
      }
    }
    out << line << '\n';
  }
}

auto FormatTime(WallTime time) -> std::string {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(
      std::chrono::time_point_cast<std::chrono::seconds>(time));
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

}  // namespace baobab::ctl
