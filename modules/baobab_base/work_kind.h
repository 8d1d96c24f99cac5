#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace baobab {

/// Kind of work of a request; limits, queues and objectives refer to it.
enum class WorkKind : std::uint8_t { kShort, kLong, kBooking, kLookup };

/// Number of work kinds.
inline constexpr std::size_t kWorkKinds = 4;

/// Names of the work kinds, indexed by WorkKind.
inline constexpr std::array<std::string_view, kWorkKinds> kWorkKindNames = {
    "short", "long", "booking", "lookup"};

/// Returns the name of `kind`.
[[nodiscard]] constexpr auto ToString(WorkKind kind) -> std::string_view {
  return kWorkKindNames[static_cast<std::size_t>(kind)];
}

/// Returns the work kind called `name`, or nothing.
[[nodiscard]] constexpr auto ParseWorkKind(std::string_view name)
    -> std::optional<WorkKind> {
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    if (kWorkKindNames[i] == name) {
      return static_cast<WorkKind>(i);
    }
  }
  return std::nullopt;
}

}  // namespace baobab
