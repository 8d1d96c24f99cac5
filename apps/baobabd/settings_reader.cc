#include "settings_reader.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

constexpr std::size_t kMaxNameLength = 100;

auto IsName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

auto Join(const std::vector<std::string>& words) -> std::string {
  std::string text;
  for (const auto& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

}  // namespace

auto SettingsErrors::Add(const toml::source_region& where,
                         const std::string& key, const std::string& reason)
    -> void {
  const auto line = where.begin.line;
  errors_.emplace_back(
      line, file_ + ":" + std::to_string(line) + ": " + key + ": " + reason);
}

auto SettingsErrors::TakeSorted() -> std::vector<std::string> {
  std::stable_sort(
      errors_.begin(), errors_.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<std::string> lines;
  lines.reserve(errors_.size());
  for (auto& [line, text] : errors_) {
    lines.push_back(std::move(text));
  }
  return lines;
}

TableReader::TableReader(SettingsErrors& errors, const toml::table* table,
                         std::string name, const toml::source_region& where)
    : errors_(errors),
      table_(table),
      name_(std::move(name)),
      where_(table != nullptr && table->source().begin ? table->source()
                                                       : where) {}

auto TableReader::Path(std::string_view key) const -> std::string {
  return name_.empty() ? std::string(key) : name_ + "." + std::string(key);
}

auto TableReader::Find(std::string_view key) -> const toml::node* {
  known_.emplace(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

auto TableReader::Fail(std::string_view key, const std::string& reason)
    -> void {
  const auto* node = table_ == nullptr ? nullptr : table_->get(key);
  errors_.Add(node != nullptr ? node->source() : where_, Path(key), reason);
}

auto TableReader::Number(std::string_view key, const NumberRange& range,
                         std::int64_t& value) -> void {
  const auto* node = Find(key);
  if (node == nullptr) {
    return;
  }
  const auto allowed = std::to_string(range.min_) + " to " +
                       std::to_string(range.max_) + " " + range.unit_;
  const auto number = node->value_exact<std::int64_t>();
  if (!number) {
    Fail(key, "must be a whole number from " + allowed);
  } else if (*number < range.min_ || *number > range.max_) {
    Fail(key, std::to_string(*number) + " is outside " + allowed);
  } else {
    value = *number;
  }
}

auto TableReader::Size(std::string_view key, const NumberRange& range,
                       std::size_t& value) -> void {
  auto number = static_cast<std::int64_t>(value);
  Number(key, range, number);
  value = static_cast<std::size_t>(number);
}

auto TableReader::Milliseconds(std::string_view key, std::int64_t min,
                               std::int64_t max, Duration& value) -> void {
  auto number =
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  std::int64_t milliseconds = number;
  Number(key, {min, max, "ms"}, milliseconds);
  if (milliseconds != number) {
    value = std::chrono::milliseconds(milliseconds);
  }
}

auto TableReader::Name(std::string_view key, bool required, std::string& value)
    -> void {
  const auto* node = Find(key);
  if (node == nullptr) {
    if (required) {
      Fail(key, "is required");
    }
    return;
  }
  const auto text = node->value_exact<std::string>();
  if (!text || !IsName(*text)) {
    Fail(key, "must be 1 to 100 letters, digits, \"-\", \"_\" or \".\"");
  } else {
    value = *text;
  }
}

auto TableReader::Text(std::string_view key, std::string& value) -> void {
  const auto* node = Find(key);
  if (node == nullptr) {
    return;
  }
  const auto text = node->value_exact<std::string>();
  if (!text || text->empty()) {
    Fail(key, "must be a non-empty text");
  } else {
    value = *text;
  }
}

auto TableReader::Choice(std::string_view key,
                         const std::vector<std::string>& choices,
                         std::string& value) -> void {
  const auto* node = Find(key);
  if (node == nullptr) {
    return;
  }
  const auto text = node->value_exact<std::string>();
  if (!text ||
      std::find(choices.begin(), choices.end(), *text) == choices.end()) {
    Fail(key, "must be one of " + Join(choices));
  } else {
    value = *text;
  }
}

auto TableReader::Flag(std::string_view key, bool& value) -> void {
  const auto* node = Find(key);
  if (node == nullptr) {
    return;
  }
  const auto flag = node->value_exact<bool>();
  if (!flag) {
    Fail(key, "must be true or false");
  } else {
    value = *flag;
  }
}

auto TableReader::Address(std::string_view key, bool required,
                          TargetEndpoint& value) -> void {
  const auto* node = Find(key);
  if (node == nullptr) {
    if (required) {
      Fail(key, "is required");
    }
    return;
  }
  const auto text = node->value_exact<std::string>();
  const auto endpoint = text ? ParseEndpoint(*text, true) : std::nullopt;
  if (!endpoint) {
    Fail(key, "must be \"address:port\" with an IP address");
  } else {
    value = *endpoint;
  }
}

auto TableReader::Addresses(std::string_view key,
                            std::vector<TargetEndpoint>& value) -> void {
  const auto* node = Find(key);
  if (node == nullptr) {
    return;
  }
  const auto* array = node->as_array();
  if (array == nullptr) {
    Fail(key, "must be an array of \"address:port\"");
    return;
  }
  for (const auto& element : *array) {
    const auto text = element.value_exact<std::string>();
    const auto endpoint = text ? ParseEndpoint(*text) : std::nullopt;
    if (endpoint) {
      value.push_back(*endpoint);
    } else {
      errors_.Add(element.source(), Path(key),
                  "must hold \"address:port\" with an IP address");
    }
  }
}

auto TableReader::Finish(const std::set<std::string>& tables) -> void {
  if (table_ == nullptr) {
    return;
  }
  for (const auto& [key, node] : *table_) {
    const std::string name(key.str());
    if (!known_.contains(name) && !tables.contains(name)) {
      errors_.Add(key.source(), Path(name), "is not a known key");
    }
  }
}

}  // namespace baobab
