#include "baobab_platform/store_types.h"

namespace baobab::platform {

auto ToString(Effect effect) -> std::string_view {
  switch (effect) {
    case Effect::kTookEffect:
      return "took_effect";
    case Effect::kDidNotTakeEffect:
      return "did_not_take_effect";
    case Effect::kUnknown:
      break;
  }
  return "unknown";
}

auto PrefixEnd(std::string_view prefix) -> std::string {
  std::string end(prefix);
  while (!end.empty()) {
    auto last = static_cast<unsigned char>(end.back());
    if (last < 0xff) {
      end.back() = static_cast<char>(last + 1);
      return end;
    }
    end.pop_back();
  }
  // No key is greater than all keys with this prefix.
  return std::string(1, '\0');
}

}  // namespace baobab::platform
