#include "baobab_base/http_syntax.h"

#include <algorithm>
#include <charconv>

namespace baobab {
namespace {

constexpr auto ToLower(char c) -> char {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

auto TrimBlanks(std::string_view text) -> std::string_view {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

auto EqualsIgnoringCase(std::string_view left, std::string_view right) -> bool {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

auto HasSoundLineEnds(std::string_view head) -> bool {
  for (std::size_t i = 0; i < head.size(); ++i) {
    if (head[i] == '\0' ||
        (head[i] == '\r' && (i + 1 == head.size() || head[i + 1] != '\n')) ||
        (head[i] == '\n' && (i == 0 || head[i - 1] != '\r'))) {
      return false;
    }
  }
  return true;
}

auto ParseDecimal(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace baobab
