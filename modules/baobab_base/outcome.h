#pragma once

#include <cstdint>
#include <string_view>

namespace baobab {

/// What a caller learns about its request.
enum class Outcome : std::uint8_t {
  kCompleted,  ///< It ran and the answer is whole.
  kNotRun,     ///< It did not run and will not run.
  kUnknown,    ///< It may have run; nothing will run it again.
};

/// Returns "completed", "not_run" or "unknown".
[[nodiscard]] auto ToString(Outcome outcome) -> std::string_view;

}  // namespace baobab
