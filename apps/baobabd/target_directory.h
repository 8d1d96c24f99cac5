#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "baobab_routing/target_selector.h"
#include "control_context.h"

namespace baobab {

/// The targets that this instance knows, their reports and the choice among
/// them. Owned by the control thread.
class TargetDirectory {
 public:
  /// Called with the target after each report.
  using ReportHandler =
      std::function<void(const TargetId&, const EngineReport&)>;

  explicit TargetDirectory(ControlContext& context);

  /// Adds the targets of the settings and removes those no longer named.
  auto ApplySettings() -> void;

  /// Asks engines for reports and cache events that are due. Call every 50 ms.
  auto Tick() -> void;

  auto OnReport(const ReportArrived& arrived) -> void;
  auto OnReportFailed(const ReportFailed& failed) -> void;
  auto OnCacheEvents(const CacheEventsArrived& arrived) -> void;
  auto OnLoad(TargetIndex target, const EngineLoad& load) -> void;

  /// Stops new work to a target that leaves, as another source says.
  auto OnDraining(const TargetId& target) -> void;

  /// Stops new work to a target that ended, as the instance list says.
  auto OnRemoved(const TargetId& target) -> void;

  /// Stops new work to a target that refused a connection.
  auto OnUnreachable(TargetIndex target) -> void;

  /// Probes `target` on a new connection; `done` learns whether it answered.
  auto Probe(TargetIndex target, std::function<void(bool)> done) -> void;

  /// Returns true if a target that holds `model` has a free slot for `kind`.
  [[nodiscard]] auto HasRoom(const ModelId& model, WorkKind kind) const -> bool;

  /// Sets this instance's share of the slots for long work, see
  /// TargetSelector::SetLongShare.
  auto SetLongShare(std::uint32_t instances, std::uint32_t position) -> void;

  /// Returns true if an up target holds `model`.
  [[nodiscard]] auto IsHeld(const ModelId& model) const -> bool;

  /// Address of a target.
  [[nodiscard]] auto EndpointOf(TargetIndex target) const
      -> const TargetEndpoint&;

  /// Number of requests that the up targets run at once.
  [[nodiscard]] auto TotalSlots() const -> std::size_t;

  /// Targets with state, load and models, as JSON for operators.
  [[nodiscard]] auto Describe() const -> std::string;

  [[nodiscard]] auto selector() -> TargetSelector& { return selector_; }

  /// Sets a function that is called after a report.
  auto OnEachReport(ReportHandler handler) -> void {
    on_report_ = std::move(handler);
  }

 private:
  struct Target {
    TargetSettings settings_;
    std::uint64_t incarnation_ = 0;  ///< 0 before the first report.
    TimePoint next_report_;
    bool report_pending_ = false;
    bool cache_pending_ = false;
    std::uint64_t last_cache_event_ = 0;
    bool named_ = true;  ///< Still in the settings.
  };

  auto AddTarget(const TargetSettings& settings) -> void;
  [[nodiscard]] auto TakesLong(TargetIndex target) const -> bool;
  auto Find(const TargetId& id) -> std::optional<TargetIndex>;
  auto TakeIncarnation(TargetIndex index, std::uint64_t incarnation) -> void;

  ControlContext& context_;
  TargetSelector selector_;
  std::vector<Target> targets_;  // by TargetIndex
  std::uint32_t instances_ = 1;
  std::uint64_t last_probe_ = 0;
  std::unordered_map<std::uint64_t, std::function<void(bool)>> probes_;
  ReportHandler on_report_;
};

}  // namespace baobab
