#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace baobab {

struct ResponseHeadFacts;

/// One reason for which the head of a response is refused.
struct ResponseHeadRule {
  std::string_view fault_;   ///< What is wrong with a head that breaks it.
  std::string_view source_;  ///< RFC and section.
  bool (*is_broken_)(const ResponseHeadFacts&);
};

/// All rules, in the order in which they are checked.
///
/// Every reader of responses applies them to the received bytes before it uses
/// anything of the response. A parser that is more tolerant could pass on a
/// response that its target never sent, or find the end of its body elsewhere
/// than the next recipient.
[[nodiscard]] auto ResponseHeadRules() -> std::span<const ResponseHeadRule>;

/// Returns the first rule that `head` breaks, or nullptr. `head` holds the
/// bytes from the status line to the empty line.
[[nodiscard]] auto FindBrokenRule(std::string_view head)
    -> const ResponseHeadRule*;

/// Returns the size of the head at the start of `bytes` with its empty line, or
/// nullopt if it is not complete. Lines that end with LF alone count too: the
/// rules refuse such a head at once, not when the time for it is over.
[[nodiscard]] auto FindHeadEnd(std::string_view bytes)
    -> std::optional<std::size_t>;

}  // namespace baobab
