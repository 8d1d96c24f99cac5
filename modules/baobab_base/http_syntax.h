#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace baobab {

/// Syntax that the heads of requests and of responses share (RFC 9110, section
/// 5.6, and RFC 9112, section 2.2).

/// Returns `text` without the blanks (space and tab) at its ends.
[[nodiscard]] auto TrimBlanks(std::string_view text) -> std::string_view;

/// Compares two ASCII texts without case.
[[nodiscard]] auto EqualsIgnoringCase(std::string_view left,
                                      std::string_view right) -> bool;

/// Returns true if each CR of `head` is followed by LF, each LF follows a CR,
/// and there is no NUL.
[[nodiscard]] auto HasSoundLineEnds(std::string_view head) -> bool;

/// Returns the number that `text` is: decimal digits only, at most 64 bits.
[[nodiscard]] auto ParseDecimal(std::string_view text)
    -> std::optional<std::uint64_t>;

}  // namespace baobab
