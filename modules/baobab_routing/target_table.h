#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_routing/target_life_cycle.h"

namespace baobab {

/// Dense number of a target within one TargetTable; never reused.
using TargetIndex = std::uint32_t;
/// Dense number of a model or plain service within one TargetTable.
using ModelIndex = std::uint32_t;

/// What settings and the instance list say about a target.
struct TargetInfo {
  TargetId id_;
  FailureDomain domain_;
  std::uint32_t slots_ = 1;  ///< Requests that run at once.
};

/// Load that a target reports, in requests.
struct LoadReport {
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
};

/// Load of one target: the instance's own requests and the last report.
struct TargetLoad {
  double own_work_ = 0;  ///< Predicted remaining slot-seconds.
  std::uint32_t own_count_ = 0;
  std::uint32_t own_long_ = 0;
  double others_count_ = 0;  ///< Reported requests less the own ones.
  TimePoint reported_at_;
  bool has_report_ = false;
};

/// Settings of a TargetTable.
struct TargetTableSettings {
  /// Holders kept per model; the two-year fleet would otherwise need load
  /// reports of 3,400 servers at every instance.
  std::size_t subset_ = 64;
  std::string instance_;  ///< Spreads the subsets of different instances.
};

/// Targets, their states and loads, and which of them hold which model.
/// A plain service is a model of the same name that its servers hold.
class TargetTable {
 public:
  explicit TargetTable(TargetTableSettings settings);

  /// Adds a target, or updates its domain and slots. A target that had gone
  /// counts as restarted.
  auto AddTarget(const TargetInfo& info) -> TargetIndex;

  /// Returns the number of a known target.
  [[nodiscard]] auto FindTarget(const TargetId& id) const
      -> std::optional<TargetIndex>;

  /// Returns the number of a known model.
  [[nodiscard]] auto FindModel(const ModelId& id) const
      -> std::optional<ModelIndex>;

  /// Replaces the models that `target` holds.
  auto SetModels(TargetIndex target, std::span<const ModelId> models) -> void;

  /// Feeds an event of namespace target_event to the target's life cycle.
  template <class Event>
  auto Process(TargetIndex target, const Event& event) -> void {
    targets_[target].life_cycle_.process_event(event);
  }

  /// Takes a load report.
  auto OnReport(TargetIndex target, const LoadReport& report, TimePoint now)
      -> void;

  /// State of a target.
  [[nodiscard]] auto state(TargetIndex target) const -> TargetState {
    return targets_[target].life_cycle_.state();
  }

  /// What is known about a target.
  [[nodiscard]] auto info(TargetIndex target) const -> const TargetInfo& {
    return targets_[target].info_;
  }

  /// Load of a target.
  [[nodiscard]] auto load(TargetIndex target) const -> const TargetLoad& {
    return targets_[target].load_;
  }

  /// Load of a target, for updates by TargetSelector.
  [[nodiscard]] auto load(TargetIndex target) -> TargetLoad& {
    return targets_[target].load_;
  }

  /// The subset of holders of a model from which this instance chooses, in no
  /// particular order and whatever their state.
  [[nodiscard]] auto Holders(ModelIndex model) const
      -> std::span<const TargetIndex> {
    return models_[model].subset_;
  }

  /// Models that `target` holds.
  [[nodiscard]] auto Models(TargetIndex target) const
      -> std::span<const ModelIndex> {
    return targets_[target].models_;
  }

  /// Number of targets ever added.
  [[nodiscard]] auto target_count() const -> std::size_t {
    return targets_.size();
  }

  /// Number of models ever named.
  [[nodiscard]] auto model_count() const -> std::size_t {
    return models_.size();
  }

 private:
  struct Target {
    TargetInfo info_;
    TargetLifeCycle life_cycle_;
    TargetLoad load_;
    std::vector<ModelIndex> models_;
  };
  struct Model {
    ModelId id_;
    std::vector<TargetIndex> holders_;
    std::vector<TargetIndex> subset_;
  };

  auto InternModel(const ModelId& id) -> ModelIndex;
  auto RebuildSubset(Model& model) -> void;

  TargetTableSettings settings_;
  std::vector<Target> targets_;
  std::vector<Model> models_;
  std::unordered_map<TargetId, TargetIndex> target_numbers_;
  std::unordered_map<ModelId, ModelIndex> model_numbers_;
};

}  // namespace baobab
