#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_operations/operation_ledger.h"

namespace baobab {

/// Part of a streamed response as an engine sends it.
struct StreamChunk {
  std::uint64_t offset_ = 0;  ///< Number of tokens before this chunk.
  std::uint32_t tokens_ = 0;  ///< Tokens in this chunk, at least one.
  std::string_view payload_;
};

/// What became of a chunk or an end of stream.
enum class StreamResult : std::uint8_t {
  kAccepted,   ///< Pass the payload on to the caller.
  kRepeated,   ///< Already passed on; drop it.
  kStale,      ///< Not of a current attempt, or after the end; drop it.
  kGap,        ///< Skips ahead or overlaps in part: resume at `offset()`.
  kTruncated,  ///< Ended early: resume at `offset()`.
  kMismatch,   ///< The engine's count is below what it sent: fail the request.
  kComplete,   ///< Whole: present the response as complete.
};

/// Assembles the response of one request from the chunks of its attempts, and
/// permits to present it as complete only if nothing is missing.
class StreamAssembler {
 public:
  /// `offset` is the number of tokens that the caller already has, from its
  /// Last-Event-ID.
  explicit StreamAssembler(std::uint64_t offset = 0) : offset_(offset) {}

  /// Adds an attempt that starts or resumes at `offset()`. Of several
  /// attempts (a hedge) the first that delivers a chunk is kept.
  auto AddAttempt(AttemptId attempt) -> void;

  /// Drops all attempts; late data of theirs becomes stale. Call before the
  /// attempt that resumes is added.
  auto DropAttempts() -> void { attempts_.clear(); }

  /// Drops one attempt that failed. Returns true if none is left.
  auto DropAttempt(AttemptId attempt) -> bool;

  /// Takes a chunk.
  auto OnChunk(AttemptId attempt, const StreamChunk& chunk) -> StreamResult;

  /// Takes the engine's end-of-stream marker with its count of all tokens.
  auto OnEnd(AttemptId attempt, std::uint64_t total_tokens) -> StreamResult;

  /// The connection closed without an end-of-stream marker.
  auto OnClosed(AttemptId attempt) -> StreamResult;

  /// Number of tokens passed on so far.
  [[nodiscard]] auto offset() const -> std::uint64_t { return offset_; }

  /// True once the response was presented as complete.
  [[nodiscard]] auto complete() const -> bool { return complete_; }

 private:
  [[nodiscard]] auto IsCurrent(AttemptId attempt) const -> bool;

  std::uint64_t offset_;
  std::vector<AttemptId> attempts_;
  bool complete_ = false;
};

}  // namespace baobab
