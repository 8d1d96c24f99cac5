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
#include "baobab_gateway/prefix_cache_estimate.h"
#include "baobab_gateway/work_item.h"

namespace baobab::gateway::test {

/// Simulates an engine with continuous batching, for load replays.
///
/// Each step prefills a chunk of the waiting prompts and generates one token
/// for every running request, so that prefill delays the running requests.
class SimulatedBatch {
 public:
  static constexpr double kPrefillTokensPerMillisecond = 38.1;
  static constexpr std::uint32_t kPrefillChunkTokens = 4096;
  static constexpr std::size_t kBatchSlots = 64;
  static constexpr Duration kBaseStepTime = std::chrono::microseconds(4430);
  static constexpr Duration kStepTimePerRequest = std::chrono::microseconds(20);

  /// An event stream sends one event per this many tokens.
  static constexpr std::uint32_t kTokensPerEvent = 6;

  struct Handlers {
    std::function<void(WorkId, TimePoint)> on_first_token_;
    std::function<void(WorkId, TimePoint)> on_end_;
    /// Receives the longest gap between two events of a response. Called
    /// before on_end_.
    std::function<void(WorkId, Duration)> on_longest_event_gap_ = nullptr;
    /// Called for each event after the first token.
    std::function<void(WorkId, TimePoint)> on_event_ = nullptr;
  };

  explicit SimulatedBatch(Handlers handlers) : handlers_(std::move(handlers)) {}

  /// Tokens that could be prefilled during a transfer of the shared parts of a
  /// long prompt, which takes about 10 ms.
  static constexpr std::uint32_t kTransferTokens = 380;

  /// Returns how many leading tokens of a prompt are in the cache.
  [[nodiscard]] auto CachedTokens(const Generation& generation) const
      -> std::uint32_t {
    return prefix_cache_.CachedTokens(PrefixHashes(generation),
                                      generation.parts_);
  }
  /// Returns the number of prompt tokens prefilled since the start.
  [[nodiscard]] auto prefilled_tokens() const -> std::uint64_t {
    return prefilled_tokens_;
  }

  /// Queues a request that generates `tokens` tokens. Prompt tokens that are
  /// cached here or fetched from another engine need no prefill; `fetched` is
  /// the number of leading tokens that the other engine has cached.
  auto Start(WorkId id, const Generation& generation, std::uint32_t tokens,
             TimePoint now, std::uint32_t fetched = 0) -> void {
    const auto chain = PrefixHashes(generation);
    auto cached = prefix_cache_.CachedTokens(chain, generation.parts_);
    if (fetched > cached + kTransferTokens) {
      cached = fetched - kTransferTokens;
    }
    prefilled_tokens_ +=
        generation.prompt_tokens_ - std::min(cached, generation.prompt_tokens_);
    prefix_cache_.Record(chain, generation.parts_);
    waiting_.push_back({id,
                        generation.prompt_tokens_ -
                            std::min(cached, generation.prompt_tokens_),
                        tokens});
    next_step_at_ = std::max(next_step_at_, now);
  }

  /// Sets how many prompt tokens one step prefills at most.
  auto SetPrefillChunk(std::uint32_t tokens) -> void {
    prefill_chunk_tokens_ = tokens;
  }

  /// Lets every step take `factor` times as long from now on.
  auto SetTimeFactor(double factor) -> void { time_factor_ = factor; }

  /// Removes a request whose caller disconnected.
  auto Cancel(WorkId id) -> void {
    running_.remove_if(
        [id](const Request& request) { return request.id_ == id; });
    std::erase_if(waiting_,
                  [id](const Request& request) { return request.id_ == id; });
  }

  /// Runs all steps that begin up to `now`.
  auto Advance(TimePoint now) -> void {
    while (next_step_at_ <= now && (!running_.empty() || !waiting_.empty())) {
      RunStep();
    }
  }

 private:
  struct Request {
    WorkId id_;
    std::uint32_t pending_prefill_tokens_;
    std::uint32_t remaining_tokens_;
    std::uint32_t produced_tokens_ = 0;
    TimePoint last_event_at_{};
    Duration longest_event_gap_{};
  };

  /// Counts a token and, if it completes an event, updates the longest gap
  /// between two events.
  auto RecordToken(Request& request) -> void {
    if (++request.produced_tokens_ % kTokensPerEvent == 0 ||
        request.remaining_tokens_ == 0) {
      request.longest_event_gap_ = std::max(
          request.longest_event_gap_, next_step_at_ - request.last_event_at_);
      request.last_event_at_ = next_step_at_;
      if (handlers_.on_event_ && request.remaining_tokens_ > 0) {
        handlers_.on_event_(request.id_, next_step_at_);
      }
    }
  }

  auto RunStep() -> void {
    auto step_time =
        kBaseStepTime + kStepTimePerRequest * static_cast<int>(running_.size());
    std::uint32_t chunk_tokens = 0;
    std::vector<Request> prefilled;
    while (chunk_tokens < prefill_chunk_tokens_ && !waiting_.empty() &&
           running_.size() + prefilled.size() < kBatchSlots) {
      auto& request = waiting_.front();
      const auto prefill_tokens =
          std::min(request.pending_prefill_tokens_,
                   prefill_chunk_tokens_ - chunk_tokens);
      request.pending_prefill_tokens_ -= prefill_tokens;
      chunk_tokens += prefill_tokens;
      if (request.pending_prefill_tokens_ > 0) {
        break;
      }
      prefilled.push_back(request);
      waiting_.pop_front();
    }
    step_time += Duration(static_cast<Duration::rep>(
        chunk_tokens * 1000.0 / kPrefillTokensPerMillisecond));
    next_step_at_ += Duration(static_cast<Duration::rep>(
        static_cast<double>(step_time.count()) * time_factor_));
    for (auto request = running_.begin(); request != running_.end();) {
      --request->remaining_tokens_;
      RecordToken(*request);
      if (request->remaining_tokens_ == 0) {
        const auto id = request->id_;
        if (handlers_.on_longest_event_gap_) {
          handlers_.on_longest_event_gap_(id, request->longest_event_gap_);
        }
        request = running_.erase(request);
        handlers_.on_end_(id, next_step_at_);
      } else {
        ++request;
      }
    }
    for (auto& request : prefilled) {
      request.last_event_at_ = next_step_at_;
      running_.push_back(request);
      handlers_.on_first_token_(request.id_, next_step_at_);
    }
  }

  Handlers handlers_;
  std::uint64_t prefilled_tokens_ = 0;
  PrefixCacheEstimate prefix_cache_{250'000};
  std::list<Request> running_;
  std::deque<Request> waiting_;
  TimePoint next_step_at_{};
  double time_factor_ = 1;
  std::uint32_t prefill_chunk_tokens_ = kPrefillChunkTokens;
};

}  // namespace baobab::gateway::test
