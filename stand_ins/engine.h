#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/time_types.h"
#include "stand_ins/batch_scheduler.h"
#include "stand_ins/order_desk.h"
#include "stand_ins/prefix_cache.h"
#include "stand_ins/weight_store.h"

namespace baobab::stand_in {

/// Shape of one engine fake.
struct EngineSettings {
  std::string name_ = "engine";
  std::int64_t memory_mb_ = 80000;
  bool honours_fence_ = true;
  Duration report_interval_ = std::chrono::milliseconds(250);
  Duration report_lag_ = std::chrono::milliseconds(500);
  BatchSettings batch_;
  PrefixCacheSettings cache_;
  std::uint64_t seed_ = 1;  ///< Determines the incarnation and lost events.
};

/// A chat completion request without its transport.
struct ChatRequest {
  std::string request_id_;
  std::string model_;
  std::string adapter_;
  std::string prompt_;
  std::size_t max_tokens_ = 64;
  std::int64_t priority_ = 0;
  std::size_t resume_offset_ = 0;
};

/// Why a request was refused; a refused request did not run.
enum class Refusal : std::uint8_t {
  kNone,
  kModelMissing,
  kAdapterMissing,
  kQueueFull,
  kBadOffset,
};

/// Result of a submission: a ticket, or the reason of the refusal.
struct Submission {
  std::uint64_t ticket_ = 0;
  Refusal refusal_ = Refusal::kNone;
};

/// One token of an answer.
struct ChatToken {
  std::uint64_t ticket_ = 0;
  std::size_t offset_ = 0;
  bool last_ = false;
  std::string text_;
};

/// Load as the engine last published it.
struct PublishedLoad {
  std::size_t running_ = 0;
  std::size_t waiting_ = 0;
};

/// One model engine under virtual time: batching, memory, orders, prefix cache
/// and lagged reports, without any transport.
class Engine {
 public:
  Engine(const EngineSettings& settings, WeightStore& weights, TimePoint now);

  /// Puts a model in memory at once, as before the start of the process.
  auto Preload(const std::string& model, std::int64_t memory_mb, TimePoint now)
      -> void;

  /// Starts or queues a request.
  auto Submit(const ChatRequest& request, TimePoint now) -> Submission;

  /// Ends the request of `ticket` without an answer.
  auto Cancel(std::uint64_t ticket, TimePoint now) -> void;

  /// Accepts an order. Nothing if a fault loses it.
  auto AcceptOrder(const Order& order, TimePoint now)
      -> std::optional<OrderAnswer>;

  /// Produces all tokens and ends all orders that are due at `now`.
  auto Advance(TimePoint now) -> std::vector<ChatToken>;

  /// Returns when Advance has to be called next.
  [[nodiscard]] auto NextDue() const -> TimePoint;

  /// Returns the tickets that cancel orders ended since the last call.
  auto TakeCancelled() -> std::vector<std::uint64_t>;

  /// Returns the report of `GET /admin/report`, as of the report lag ago.
  [[nodiscard]] auto Report(TimePoint now) const -> std::string;

  /// Returns the load of the same report.
  [[nodiscard]] auto LoadReport(TimePoint now) const -> PublishedLoad;

  /// Returns the answer of `GET /admin/cache_events`.
  [[nodiscard]] auto CacheEvents(std::uint64_t after, TimePoint now) const
      -> std::string;

  /// Adds the KV cache blocks of a prompt that another engine computed.
  auto ImportBlocks(const std::string& model,
                    const std::vector<std::uint64_t>& blocks, TimePoint now)
      -> void;

  /// Sets faults: `slow_factor` with `slow_for_ms`, `lost_orders` (number of
  /// following orders), `late_orders` with `late_ms`, `draining`.
  auto SetFault(std::string_view body, TimePoint now) -> void;

 private:
  struct Snapshot {
    TimePoint taken_{};
    PublishedLoad load_;
    std::string report_;
  };

  [[nodiscard]] auto RenderReport() const -> std::string;
  [[nodiscard]] auto Published(TimePoint now) const -> const Snapshot&;
  auto TakeSnapshot(TimePoint now) -> void;
  auto ApplyCancel(const std::string& request_id, TimePoint now) -> void;
  auto AdvanceOrders(TimePoint now) -> void;

  EngineSettings settings_;
  std::uint64_t incarnation_;
  OrderDesk orders_;
  BatchScheduler batch_;
  PrefixCache cache_;
  std::map<std::uint64_t, std::string> prompts_;  ///< By ticket.
  std::deque<Snapshot> snapshots_;
  std::vector<std::uint64_t> cancelled_;
  std::int64_t lost_orders_ = 0;
  std::int64_t late_orders_ = 0;
  Duration late_{};
  std::optional<TimePoint> slow_until_;
  std::optional<TimePoint> draining_since_;
  std::uint64_t requests_after_leaving_ = 0;
};

}  // namespace baobab::stand_in
