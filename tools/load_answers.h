#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "baobab_targets/sse_parser.h"

namespace baobab::load {

/// What a caller learned about one request.
enum class Verdict : std::uint8_t {
  kWhole,    ///< A whole answer to this request.
  kNotRun,   ///< The daemon says that it did not run.
  kUnknown,  ///< The daemon says, or a lost connection means, that it may have.
  kBroken,   ///< An answer that is not whole, or not that of this request.
};

/// Checks the streamed answer to one completion request against the text that
/// the engine stand-in gives to its prompt.
class ChatAnswerCheck {
 public:
  /// `prompt` is the content of the only message, sent as the user.
  ChatAnswerCheck(const std::string& prompt, std::size_t max_tokens);

  /// Takes the next bytes of the answer.
  auto Feed(std::string_view bytes) -> void;

  /// Returns true once the first token has arrived.
  [[nodiscard]] auto started() const -> bool { return !text_.empty(); }

  /// Verdict on the answer with HTTP status `status`, after its end.
  [[nodiscard]] auto Finish(unsigned status) const -> Verdict;

 private:
  SseParser parser_;
  std::string expected_;
  std::string text_;
  std::string raw_;
  bool failed_ = false;
  bool ended_ = false;
  std::optional<std::string> problem_;
};

/// Verdict on the answer to operation `key`, which the service stand-in must
/// have run exactly once.
[[nodiscard]] auto CheckBooking(unsigned status, std::string_view body,
                                const std::string& key) -> Verdict;

/// Verdict on the answer to a look-up of `path`.
[[nodiscard]] auto CheckLookup(unsigned status, std::string_view body,
                               const std::string& path) -> Verdict;

/// Verdict that a problem+json body states; kBroken if it states none.
[[nodiscard]] auto VerdictOfProblem(std::string_view body) -> Verdict;

}  // namespace baobab::load
