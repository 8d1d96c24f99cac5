#include "contract_file.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "baobab_base/step_error.h"
#include "baobab_base/toml.h"
#include "text_table.h"

namespace baobab::ctl {
namespace {

constexpr std::string_view kMark = "#: ";
constexpr std::string_view kRevision = "revision ";

auto OneLine(std::string text) -> std::string {
  for (char& c : text) {
    c = c == '\n' || c == '\r' ? ' ' : c;
  }
  return text;
}

auto Assign(toml::table& document, const std::string& assignment) -> void {
  const auto equals = assignment.find('=');
  if (equals == std::string::npos || equals == 0) {
    throw StepError("edit", assignment, "KEY=VALUE is needed");
  }
  const auto path = assignment.substr(0, equals);
  toml::table parsed;
  try {
    parsed = toml::parse("value = " + assignment.substr(equals + 1));
  } catch (const toml::parse_error& error) {
    throw StepError(
        "edit", assignment,
        "the value is not TOML: " + std::string(error.description()));
  }
  toml::table* table = &document;
  const auto dot = path.find('.');
  if (dot != std::string::npos) {
    table = document[path.substr(0, dot)].as_table();
  }
  const auto key = dot == std::string::npos ? path : path.substr(dot + 1);
  // Names that do not exist are reported by the validation that follows.
  const auto* present = table == nullptr ? nullptr : table->get(key);
  if (table == nullptr ||
      (present != nullptr &&
       (present->is_table() || present->is_array_of_tables()))) {
    throw StepError("edit", path, "is not a single value");
  }
  table->insert_or_assign(key, *parsed.get("value"));
}

}  // namespace

auto WriteContractFile(const contract::ContractRecord& record) -> std::string {
  const auto& value = record.value_;
  std::ostringstream text;
  text << kMark << kRevision << record.revision_ << '\n'
       << kMark << "author " << OneLine(value.author_) << '\n'
       << kMark << "written " << FormatTime(value.written_at_) << '\n'
       << kMark << "note " << OneLine(value.note_) << '\n'
       << value.text_;
  return text.str();
}

auto ReadContractFile(std::string_view content) -> ContractFile {
  ContractFile file;
  while (content.substr(0, kMark.size()) == kMark) {
    const auto end = content.find('\n');
    const auto line = content.substr(kMark.size(), end - kMark.size());
    if (line.substr(0, kRevision.size()) == kRevision) {
      const auto digits = line.substr(kRevision.size());
      Revision revision = 0;
      const auto [rest, error] = std::from_chars(
          digits.data(), digits.data() + digits.size(), revision);
      if (error == std::errc() && rest == digits.data() + digits.size()) {
        file.base_ = revision;
      }
    }
    content.remove_prefix(end == std::string_view::npos ? content.size()
                                                        : end + 1);
  }
  file.text_ = std::string(content);
  return file;
}

auto ApplyAssignments(const std::string& text,
                      const std::vector<std::string>& assignments)
    -> std::string {
  toml::table document;
  try {
    document = toml::parse(text);
  } catch (const toml::parse_error& error) {
    throw StepError("edit", "the stored contract",
                    std::string(error.description()));
  }
  for (const auto& assignment : assignments) {
    Assign(document, assignment);
  }
  std::ostringstream out;
  out << document << '\n';
  return out.str();
}

auto ReadWholeFile(const std::string& name) -> std::string {
  if (name == "-") {
    return {std::istreambuf_iterator<char>(std::cin), {}};
  }
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    throw StepError("read", name, "the file cannot be opened");
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace baobab::ctl
