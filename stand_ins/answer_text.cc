#include "stand_ins/answer_text.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::stand_in {

auto AnswerLength(std::string_view prompt, std::size_t max_tokens)
    -> std::size_t {
  const std::size_t half = max_tokens / 2;
  return std::max<std::size_t>(
      1, max_tokens - half + HashKey(prompt, 1) % (half + 1));
}

auto AnswerToken(std::string_view prompt, std::size_t index) -> std::string {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%08x.%zu ",
                static_cast<std::uint32_t>(HashKey(prompt)), index);
  return text.data();
}

auto AnswerText(std::string_view prompt, std::size_t max_tokens)
    -> std::string {
  std::string text;
  const auto length = AnswerLength(prompt, max_tokens);
  for (std::size_t i = 0; i < length; ++i) {
    text += AnswerToken(prompt, i);
  }
  return text;
}

}  // namespace baobab::stand_in
