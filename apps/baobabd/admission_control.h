#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "baobab_limits/admission_queue.h"
#include "control_context.h"
#include "limit_controller.h"
#include "target_directory.h"

namespace baobab {

/// A request that asks for admission.
struct AdmissionRequest {
  CustomerId customer_;
  WorkKind kind_ = WorkKind::kShort;
  ModelId model_;  ///< Model, or name of the plain service.
  TimePoint deadline_;
  Duration predicted_service_{};
  std::uint64_t predicted_tokens_ = 0;
};

/// Decides when a request starts: within its customer's limits, in the order
/// of the admission queue, when a target has room for it.
class AdmissionControl {
 public:
  using Start = std::function<void(std::uint64_t)>;
  using Refuse = std::function<void(std::uint64_t, const Problem&)>;

  AdmissionControl(ControlContext& context, TargetDirectory& targets,
                   LimitController& limits);

  /// Takes a request under `id`, unique among the open ones. Calls `start` or
  /// `refuse` once, possibly from within this call.
  auto Submit(std::uint64_t id, const AdmissionRequest& request, Start start,
              Refuse refuse) -> void;

  /// Ends a request that was started, or withdraws one that waits.
  auto Finish(std::uint64_t id) -> void;

  /// Puts a request that was started back into the queue, because no target
  /// takes it yet.
  auto PutBack(std::uint64_t id) -> void;

  /// Starts what can start.
  auto Pump() -> void;

  /// Refuses what has waited past its deadline. Call every 50 ms.
  auto Tick() -> void;

  [[nodiscard]] auto waiting() const -> std::size_t { return queue_.size(); }
  [[nodiscard]] auto running() const -> std::size_t { return running_; }

 private:
  struct Entry {
    AdmissionRequest request_;
    Start start_;
    Refuse refuse_;
    bool started_ = false;
  };

  auto Enqueue(std::uint64_t id, const AdmissionRequest& request) -> void;
  auto OverLimit(const LimitRefusal& refusal) const -> Problem;
  auto RefuseEntry(std::uint64_t id, const Problem& problem) -> void;
  auto OverLoad(Duration retry_after) const -> Problem;

  ControlContext& context_;
  TargetDirectory& targets_;
  LimitController& limits_;
  limits::AdmissionQueue queue_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::size_t running_ = 0;
  std::vector<std::uint64_t> put_back_;
  bool pumping_ = false;
};

}  // namespace baobab
