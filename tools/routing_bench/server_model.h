#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobab_base/virtual_network.h"
#include "baobab_base/work_kind.h"
#include "baobab_routing/prefix_index.h"
#include "baobab_routing/target_selector.h"

namespace baobab::bench {

/// Work of one attempt.
struct Job {
  RouteAttemptId attempt_ = 0;
  WorkKind kind_ = WorkKind::kShort;
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t response_tokens_ = 0;
  std::vector<PrefixHash> prefixes_;
};

/// What a server tells the instance that sent an attempt.
struct ServerEvent {
  enum class Kind : std::uint8_t { kProgress, kDone, kRejected };
  Kind kind_;
  RouteAttemptId attempt_;
  std::uint32_t tokens_;  ///< So far; 1 is the first token.
};

/// Parameters of a server; times are typical of a mid-size model.
struct ServerParameters {
  std::uint32_t slots_ = 16;
  double token_seconds_ = 0.010;     ///< Per token with an empty batch.
  double batch_slowdown_ = 0.3;      ///< Added part with a full batch.
  double prefill_seconds_ = 0.0002;  ///< Per token of prompt not cached.
  std::size_t cached_blocks_ = 400;
  std::size_t max_waiting_ = 64;  ///< More are rejected.
};

/// A queueing model of a model server: slots, per-token time that grows with
/// the batch, a strict priority queue and a cache of prompt prefixes (LRU).
class ServerModel {
 public:
  using Listener = std::function<void(const ServerEvent&)>;

  ServerModel(VirtualNetwork& network, ServerParameters parameters,
              Listener listener);

  /// Takes a job now.
  auto Submit(Job job) -> void;

  /// Drops a job wherever it is.
  auto Cancel(RouteAttemptId attempt) -> void;

  /// Multiplies all times from now on.
  auto SetSlowdown(double factor) -> void { slowdown_ = factor; }

  /// Rejects all jobs from now on.
  auto SetFailing(bool failing) -> void { failing_ = failing; }

  [[nodiscard]] auto report() const -> LoadReport;

  /// Returns the cache events since the last call.
  auto TakeCacheEvents() -> std::vector<CacheEvent> {
    return std::exchange(cache_events_, {});
  }

  /// Prompt blocks that were and were not found in the cache.
  [[nodiscard]] auto hit_blocks() const -> std::uint64_t { return hits_; }
  [[nodiscard]] auto missed_blocks() const -> std::uint64_t { return misses_; }

 private:
  struct Running {
    Job job_;
    std::uint32_t tokens_ = 0;
  };
  auto StartWaiting() -> void;
  auto Advance(RouteAttemptId attempt) -> void;
  auto CachedBlocks(const Job& job) -> std::size_t;

  VirtualNetwork& network_;
  ServerParameters parameters_;
  Listener listener_;
  double slowdown_ = 1;
  bool failing_ = false;
  std::array<std::deque<Job>, 3> waiting_;
  std::unordered_map<RouteAttemptId, Running> running_;
  std::list<PrefixHash> cache_order_;
  std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> cache_;
  std::vector<CacheEvent> cache_events_;
  std::uint64_t next_cache_event_ = 1;
  std::uint64_t hits_ = 0;
  std::uint64_t misses_ = 0;
};

}  // namespace baobab::bench
