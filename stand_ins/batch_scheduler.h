#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::stand_in {

/// Speed of the engine fake.
struct BatchSettings {
  std::size_t slots_ = 16;           ///< Sequences that run at once.
  std::size_t waiting_limit_ = 256;  ///< Requests that may wait for a slot.
  Duration token_time_ = std::chrono::milliseconds(10);
  Duration prefill_token_time_ = std::chrono::microseconds(100);
  /// Each further running sequence lengthens a token by this part.
  double batch_penalty_ = 0.02;
};

/// One sequence to generate.
struct Generation {
  std::string request_id_;
  std::int64_t priority_ = 0;      ///< Higher numbers start first.
  std::size_t prompt_tokens_ = 0;  ///< Tokens that the cache does not hold.
  std::size_t first_ = 0;          ///< Offset of the first token to produce.
  std::size_t end_ = 0;            ///< Offset after the last token.
};

/// One produced token.
struct TokenEvent {
  std::uint64_t ticket_ = 0;
  std::size_t offset_ = 0;
  bool last_ = false;
};

/// Continuous batching: sequences enter a free slot at any time, in order of
/// priority and arrival, and leave it after their last token.
class BatchScheduler {
 public:
  explicit BatchScheduler(BatchSettings settings) : settings_(settings) {}

  /// Adds a sequence; returns its ticket, or nothing if too many wait.
  auto Submit(const Generation& generation, TimePoint now)
      -> std::optional<std::uint64_t>;

  /// Removes a sequence, running or waiting. Returns false if unknown.
  auto Cancel(std::uint64_t ticket, TimePoint now) -> bool;

  /// Returns the tickets of the sequences of `request_id`.
  [[nodiscard]] auto Find(const std::string& request_id) const
      -> std::vector<std::uint64_t>;

  /// Produces all tokens due at `now`, in order of time.
  auto Advance(TimePoint now) -> std::vector<TokenEvent>;

  /// Returns when the next token is due, or nothing if none runs.
  [[nodiscard]] auto NextDue() const -> std::optional<TimePoint>;

  /// Multiplies all token times by `factor`.
  auto SetSlowdown(double factor) -> void { slowdown_ = factor; }

  /// Number of sequences in slots.
  [[nodiscard]] auto running() const -> std::size_t { return running_.size(); }

  /// Number of sequences that wait for a slot.
  [[nodiscard]] auto waiting() const -> std::size_t { return waiting_.size(); }

 private:
  struct Sequence {
    Generation generation_;
    std::size_t next_ = 0;
    TimePoint due_{};
  };
  /// Negated priority, then ticket.
  using WaitingKey = std::pair<std::int64_t, std::uint64_t>;

  [[nodiscard]] auto TokenTime() const -> Duration;
  auto FillSlots(TimePoint now) -> void;

  BatchSettings settings_;
  double slowdown_ = 1;
  std::uint64_t next_ticket_ = 1;
  std::map<std::uint64_t, Sequence> running_;
  std::map<WaitingKey, Generation> waiting_;
};

}  // namespace baobab::stand_in
