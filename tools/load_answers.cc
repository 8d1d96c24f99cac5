#include "load_answers.h"

#include <boost/json.hpp>
#include <utility>

#include "baobab_targets/engine_messages.h"
#include "stand_ins/answer_text.h"
#include "stand_ins/json_fields.h"

namespace baobab::load {
namespace {

constexpr std::size_t kLongestEvent = std::size_t{256} * 1024;
constexpr unsigned kOk = 200;

}  // namespace

ChatAnswerCheck::ChatAnswerCheck(const std::string& prompt,
                                 std::size_t max_tokens)
    : parser_(kLongestEvent),
      expected_(stand_in::AnswerText("user:" + prompt + "\n", max_tokens)) {}

auto ChatAnswerCheck::Feed(std::string_view bytes) -> void {
  constexpr std::size_t kProblemBytes = 4096;
  raw_ += bytes.substr(0, kProblemBytes - std::min(kProblemBytes, raw_.size()));
  const bool fits = parser_.Feed(bytes, [this](const SseEvent& event) {
    if (event.data_ == "[DONE]") {
      ended_ = true;
    } else if (event.event_ == "error") {
      problem_ = event.data_;
    } else if (const auto chunk = ParseChatChunk(event.data_)) {
      // Beyond the expected text, one byte more is enough for the verdict.
      const auto room = expected_.size() + 1 - text_.size();
      text_ += chunk->content_.substr(0, room);
    } else {
      failed_ = true;
    }
  });
  failed_ = failed_ || !fits;
}

auto ChatAnswerCheck::Finish(unsigned status) const -> Verdict {
  if (status != kOk) {
    return VerdictOfProblem(raw_);
  }
  if (problem_) {
    return VerdictOfProblem(*problem_);
  }
  return !failed_ && ended_ && text_ == expected_ ? Verdict::kWhole
                                                  : Verdict::kBroken;
}

auto CheckBooking(unsigned status, std::string_view body,
                  const std::string& key) -> Verdict {
  if (status != kOk) {
    return VerdictOfProblem(body);
  }
  const auto answer = stand_in::ParseObject(body);
  return stand_in::TextField(answer, "operation") == key &&
                 stand_in::NumberField(answer, "run") == 1
             ? Verdict::kWhole
             : Verdict::kBroken;
}

auto CheckLookup(unsigned status, std::string_view body,
                 const std::string& path) -> Verdict {
  if (status != kOk) {
    return VerdictOfProblem(body);
  }
  const auto answer = stand_in::ParseObject(body);
  return stand_in::TextField(answer, "path") == path ? Verdict::kWhole
                                                     : Verdict::kBroken;
}

auto VerdictOfProblem(std::string_view body) -> Verdict {
  const auto outcome =
      stand_in::TextField(stand_in::ParseObject(body), "outcome");
  if (outcome == "not_run") {
    return Verdict::kNotRun;
  }
  return outcome == "unknown" ? Verdict::kUnknown : Verdict::kBroken;
}

}  // namespace baobab::load
