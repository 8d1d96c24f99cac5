#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <unordered_set>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/prefix_memory.h"
#include "baobab_gateway/work_item.h"

namespace baobab::gateway::test {

/// An engine with continuous batching, for replays of load: each step reads a
/// piece of a waiting prompt and produces one token of every running request,
/// so that reading holds up everything that runs.
class SimulatedBatch {
 public:
  static constexpr double kTokensPerMillisecond = 38.1;
  static constexpr std::uint32_t kPieceTokens = 4096;
  static constexpr std::size_t kSlots = 64;
  static constexpr Duration kStep = std::chrono::microseconds(4430);
  static constexpr Duration kStepPerRun = std::chrono::microseconds(20);

  /// Tokens of one event of a stream.
  static constexpr std::uint32_t kEventTokens = 6;

  struct Handlers {
    std::function<void(WorkId, TimePoint)> on_first_token_;
    std::function<void(WorkId, TimePoint)> on_end_;
    /// Longest time between two events of a response; called before on_end_.
    std::function<void(WorkId, Duration)> on_longest_pause_ = nullptr;
  };

  explicit SimulatedBatch(Handlers handlers) : handlers_(std::move(handlers)) {}

  /// Adds a request that produces `tokens` tokens.
  auto Start(WorkId id, const Generation& generation, std::uint32_t tokens,
             TimePoint now) -> void {
    const auto chain = PrefixChain(generation);
    const auto kept = memory_.KeptTokens(chain, generation.parts_);
    memory_.Record(chain, generation.parts_);
    waiting_.push_back(
        {id,
         generation.prompt_tokens_ - std::min(kept, generation.prompt_tokens_),
         tokens});
    next_step_ = std::max(next_step_, now);
  }

  /// Ends a request whose caller left.
  auto Cancel(WorkId id) -> void {
    running_.remove_if([id](const Run& run) { return run.id_ == id; });
    std::erase_if(waiting_, [id](const Run& run) { return run.id_ == id; });
  }

  /// Carries out the steps up to `now`.
  auto Advance(TimePoint now) -> void {
    while (next_step_ <= now && (!running_.empty() || !waiting_.empty())) {
      Step();
    }
  }

 private:
  struct Run {
    WorkId id_;
    std::uint32_t unread_;
    std::uint32_t tokens_;
    std::uint32_t produced_ = 0;
    TimePoint event_at_{};
    Duration longest_pause_{};
  };

  /// Records the end of an event at the end of a step.
  auto CountToken(Run& run) -> void {
    if (++run.produced_ % kEventTokens == 0 || run.tokens_ == 0) {
      run.longest_pause_ =
          std::max(run.longest_pause_, next_step_ - run.event_at_);
      run.event_at_ = next_step_;
    }
  }

  auto Step() -> void {
    auto time = kStep + kStepPerRun * static_cast<int>(running_.size());
    std::uint32_t piece = 0;
    std::vector<Run> begun;
    while (piece < kPieceTokens && !waiting_.empty() &&
           running_.size() + begun.size() < kSlots) {
      auto& run = waiting_.front();
      const auto part = std::min(run.unread_, kPieceTokens - piece);
      run.unread_ -= part;
      piece += part;
      if (run.unread_ > 0) {
        break;
      }
      begun.push_back(run);
      waiting_.pop_front();
    }
    time += Duration(
        static_cast<Duration::rep>(piece * 1000.0 / kTokensPerMillisecond));
    next_step_ += time;
    for (auto run = running_.begin(); run != running_.end();) {
      --run->tokens_;
      CountToken(*run);
      if (run->tokens_ == 0) {
        const auto id = run->id_;
        if (handlers_.on_longest_pause_) {
          handlers_.on_longest_pause_(id, run->longest_pause_);
        }
        run = running_.erase(run);
        handlers_.on_end_(id, next_step_);
      } else {
        ++run;
      }
    }
    for (auto& run : begun) {
      run.event_at_ = next_step_;
      running_.push_back(run);
      handlers_.on_first_token_(run.id_, next_step_);
    }
  }

  Handlers handlers_;
  PrefixMemory memory_{250'000};
  std::list<Run> running_;
  std::deque<Run> waiting_;
  TimePoint next_step_{};
};

}  // namespace baobab::gateway::test
