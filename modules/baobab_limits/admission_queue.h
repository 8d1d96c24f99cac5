#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_base/work_kind.h"
#include "baobab_limits/drain_rate_estimator.h"

namespace baobab::limits {

/// A request that waits for admission.
struct QueuedRequest {
  std::uint64_t id_ = 0;  ///< Unique among the waiting requests.
  CustomerId customer_;
  WorkKind kind_ = WorkKind::kShort;
  unsigned weight_ = 1;  ///< Weight of the customer's contract, 1 to 100.
  TimePoint deadline_;   ///< Latest useful start.
  Duration predicted_service_{};  ///< Predicted run time once started.
};

/// Bounds and scheduling constants of an AdmissionQueue.
struct AdmissionQueueSettings {
  std::size_t max_waiting_ = 4096;  ///< Requests over all customers.
  std::size_t max_waiting_per_flow_ =
      512;  ///< Requests per customer and work kind.
  /// One start in this many goes to long work that waits, so that a steady
  /// stream of short work cannot starve it.
  unsigned long_work_interval_ = 16;
  /// Requests of one flow that TakeNext looks at when the first cannot start.
  std::size_t lookahead_ = 16;
};

/// A request refused without having run.
struct RefusedRequest {
  std::uint64_t id_ = 0;
  Duration retry_after_{};  ///< Predicted time until the queue has room for it.
};

/// Holds requests that are within their customer's limits but cannot start yet.
///
/// Bookings start before look-ups, look-ups before short work, short work
/// before long work; within a kind, customers share starts by contract weight
/// (start-time fair queueing over predicted service time). A request that
/// cannot start before its deadline is refused when it is offered. When the
/// queue is full, the customer furthest above its weighted share loses its
/// newest request of the lowest class.
class AdmissionQueue {
 public:
  /// Tells whether a request could start now, for example because a target for
  /// its model has a free slot.
  using CanStart = std::function<bool(const QueuedRequest&)>;

  explicit AdmissionQueue(AdmissionQueueSettings settings = {});

  /// Sets how many requests run at once; the predicted wait divides by it.
  auto SetParallelism(std::size_t parallelism) -> void;

  /// Adds `request`. Returns the requests refused because of it: itself, if it
  /// would miss its deadline or its flow is full, or the one that made room.
  [[nodiscard]] auto Offer(const QueuedRequest& request, TimePoint now)
      -> std::vector<RefusedRequest>;

  /// Removes and returns the next request for which `can_start` holds.
  [[nodiscard]] auto TakeNext(TimePoint now, const CanStart& can_start)
      -> std::optional<QueuedRequest>;

  /// Removes and returns the requests whose deadline has passed, and those that
  /// by the predicted wait will not start before it: the rate at which work
  /// starts may have fallen since they were accepted. Call about every 100 ms.
  [[nodiscard]] auto RemoveLate(TimePoint now) -> std::vector<RefusedRequest>;

  /// Removes the request `id`, for example because its caller has gone.
  /// Returns false if it does not wait.
  auto Cancel(std::uint64_t id) -> bool;

  /// Predicted wait of `request` if it is offered at `now`.
  [[nodiscard]] auto PredictWait(const QueuedRequest& request,
                                 TimePoint now) const -> Duration;

  /// Number of waiting requests.
  [[nodiscard]] auto size() const -> std::size_t { return size_; }

 private:
  /// Waiting requests of one customer and work kind, oldest first.
  struct Flow {
    std::deque<QueuedRequest> requests_;
    double next_start_tag_ =
        0;  ///< Virtual time at which the flow may start next.
    Duration waiting_work_{};  ///< Sum of the predicted service times.
    unsigned weight_ = 1;
  };
  using Flows = std::map<CustomerId, Flow>;

  [[nodiscard]] auto FlowsOf(WorkKind kind) -> Flows&;
  [[nodiscard]] auto FlowsOf(WorkKind kind) const -> const Flows&;
  auto Erase(Flows& flows, Flows::iterator flow, std::size_t position)
      -> QueuedRequest;
  [[nodiscard]] auto Choose(const CanStart& can_start)
      -> std::optional<QueuedRequest>;
  [[nodiscard]] auto TakeFromKind(WorkKind kind, const CanStart& can_start)
      -> std::optional<QueuedRequest>;
  [[nodiscard]] auto TakeFromFlow(WorkKind kind, Flows::iterator flow,
                                  const CanStart& can_start)
      -> std::optional<QueuedRequest>;
  [[nodiscard]] auto CustomerFurthestAboveShare() const -> CustomerId;
  auto ShedNewestOf(const CustomerId& customer) -> QueuedRequest;

  AdmissionQueueSettings settings_;
  [[nodiscard]] auto WaitBehind(const QueuedRequest& request, double own_work,
                                TimePoint now) const -> Duration;
  [[nodiscard]] auto WaitForHigher(WorkKind kind, TimePoint now) const
      -> double;
  [[nodiscard]] auto WorkOfOthers(const CustomerId& customer, WorkKind kind,
                                  double own_work, double own_weight) const
      -> double;
  [[nodiscard]] auto DrainRate(WorkKind kind, TimePoint now) const -> double;
  auto UpdateBacklog(TimePoint now) -> void;

  std::size_t parallelism_ = 1;
  std::size_t size_ = 0;
  unsigned starts_since_long_ = 0;
  std::array<DrainRateEstimator, kWorkKinds> drain_;  ///< By kind.
  std::array<Flows, kWorkKinds> flows_;
  std::array<std::size_t, kWorkKinds> waiting_{};  ///< Requests by kind.
  std::array<double, kWorkKinds> virtual_time_{};
  struct CustomerLoad {
    std::size_t waiting_ = 0;
    unsigned weight_ = 1;
  };
  std::map<CustomerId, CustomerLoad> loads_;
};

}  // namespace baobab::limits
