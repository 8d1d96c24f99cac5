#include "baobab_operations/stream_assembler.h"

#include <algorithm>

namespace baobab {

auto StreamAssembler::AddAttempt(AttemptId attempt) -> void {
  if (!IsCurrent(attempt)) {
    attempts_.push_back(attempt);
  }
}

auto StreamAssembler::DropAttempt(AttemptId attempt) -> bool {
  std::erase(attempts_, attempt);
  return attempts_.empty();
}

auto StreamAssembler::IsCurrent(AttemptId attempt) const -> bool {
  return std::find(attempts_.begin(), attempts_.end(), attempt) !=
         attempts_.end();
}

auto StreamAssembler::OnChunk(AttemptId attempt, const StreamChunk& chunk)
    -> StreamResult {
  if (complete_ || !IsCurrent(attempt)) {
    return StreamResult::kStale;
  }
  const auto end = chunk.offset_ + chunk.tokens_;
  if (end <= offset_) {
    return StreamResult::kRepeated;
  }
  if (chunk.offset_ != offset_) {
    DropAttempt(attempt);
    return StreamResult::kGap;
  }
  offset_ = end;
  attempts_.assign(1, attempt);
  return StreamResult::kAccepted;
}

auto StreamAssembler::OnEnd(AttemptId attempt, std::uint64_t total_tokens)
    -> StreamResult {
  if (complete_ || !IsCurrent(attempt)) {
    return StreamResult::kStale;
  }
  if (total_tokens == offset_) {
    complete_ = true;
    attempts_.clear();
    return StreamResult::kComplete;
  }
  DropAttempt(attempt);
  return total_tokens > offset_ ? StreamResult::kTruncated
                                : StreamResult::kMismatch;
}

auto StreamAssembler::OnClosed(AttemptId attempt) -> StreamResult {
  if (complete_ || !IsCurrent(attempt)) {
    return StreamResult::kStale;
  }
  DropAttempt(attempt);
  return StreamResult::kTruncated;
}

}  // namespace baobab
