#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace baobab::stand_in {

/// Number of tokens that the engine fake answers `prompt` with when at most
/// `max_tokens` are asked for: between half and all of them, fixed by the
/// prompt.
[[nodiscard]] auto AnswerLength(std::string_view prompt, std::size_t max_tokens)
    -> std::size_t;

/// Text of token `index` of the answer to `prompt`. It names the prompt, so
/// that a caller can tell a foreign or incomplete answer from its own.
[[nodiscard]] auto AnswerToken(std::string_view prompt, std::size_t index)
    -> std::string;

/// Text of the whole answer to `prompt`.
[[nodiscard]] auto AnswerText(std::string_view prompt, std::size_t max_tokens)
    -> std::string;

}  // namespace baobab::stand_in
