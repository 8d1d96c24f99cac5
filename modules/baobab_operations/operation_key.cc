#include "baobab_operations/operation_key.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace baobab {
namespace {

constexpr std::string_view kIssuedPrefix = "op1.";

template <class Number>
auto ParseNumber(std::string_view text, int base) -> std::optional<Number> {
  Number value = 0;
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, base);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

auto HasOnlyKeyCharacters(std::string_view text) -> bool {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

}  // namespace

auto OperationKey::Issued(const OperationOwner& owner, std::uint64_t sequence)
    -> OperationKey {
  OperationKey key;
  char hex[17] = {};
  const auto end = std::to_chars(hex, hex + 16, owner.incarnation_, 16).ptr;
  key.text_ = std::string(kIssuedPrefix) + owner.instance_.value() + '.' +
              std::string(hex, end) + '.' + std::to_string(sequence);
  key.owner_ = owner;
  key.sequence_ = sequence;
  return key;
}

auto OperationKey::Parse(std::string_view text) -> std::optional<OperationKey> {
  if (text.empty() || text.size() > kMaxLength || !HasOnlyKeyCharacters(text)) {
    return std::nullopt;
  }
  if (!text.starts_with(kIssuedPrefix)) {
    OperationKey key;
    key.text_ = text;
    return key;
  }
  // Read from the right, since an instance name may hold dots.
  const auto rest = text.substr(kIssuedPrefix.size());
  const auto last = rest.rfind('.');
  if (last == std::string_view::npos || last == 0) {
    return std::nullopt;
  }
  const auto middle = rest.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0) {
    return std::nullopt;
  }
  const auto incarnation = ParseNumber<std::uint64_t>(
      rest.substr(middle + 1, last - middle - 1), 16);
  const auto sequence = ParseNumber<std::uint64_t>(rest.substr(last + 1), 10);
  if (!incarnation || !sequence) {
    return std::nullopt;
  }
  auto key =
      Issued({InstanceId(std::string(rest.substr(0, middle))), *incarnation},
             *sequence);
  // One spelling per key: "01" and "1" must not be two operations.
  return key.text_ == text ? std::optional(std::move(key)) : std::nullopt;
}

}  // namespace baobab
