#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_placement/placement_actions.h"

namespace baobab::placement {

/// A server as the planner sees it.
struct PlannedServer {
  TargetId target_;
  FailureDomain domain_;
  std::int64_t capacity_mb_ = 0;  ///< For models: without adapter budget.
  double compute_ = 1;            ///< Accelerators; work per second.
  bool live_ = true;
  auto operator==(const PlannedServer&) const -> bool = default;
};

/// A model as the planner sees it.
struct PlannedModel {
  CopyKey key_;
  std::int64_t memory_mb_ = 0;
  double demand_ = 0;  ///< Expected work per second, in accelerators.
  double weight_ = 1;  ///< Value of a unit of work.
  bool named_ = true;  ///< Named by a contract; false: to be removed.
  auto operator==(const PlannedModel&) const -> bool = default;
};

/// Settings of PlacementPlanner.
struct PlacementPlannerSettings {
  /// Load per compute to aim for. 0.9 missed less and moved half as often as
  /// 0.8 in tools/placement_bench.
  double utilization_ = 0.9;
  double gain_over_cost_ = 1.1;  ///< Least ratio of gain to cost of a move.
  Duration horizon_ = std::chrono::seconds(60);  ///< Time a gain is counted.
  Duration rest_ = std::chrono::seconds(60);  ///< No second move within this.
  double load_mb_per_second_ = 5000;
  /// Price of one second of loading, in accelerators: it uses up load rate.
  double load_price_ = 0.3;
  double memory_use_ = 0.95;  ///< Part of the memory that a full plan fills.
};

/// Decides which copies of models servers should hold. Replica counts follow
/// the marginal attained work per megabyte; copies are packed by memory and
/// spread over failure domains. Steps are returned most valuable first; models
/// without a copy come before all others.
///
/// Servers and models are numbered in the order in which they were set. The
/// caller sets the copies from the server records before each plan.
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlacementPlannerSettings settings)
      : settings_(settings) {}

  /// Sets servers and models, and forgets all copies.
  auto Reset(std::vector<PlannedServer> servers,
             std::vector<PlannedModel> models) -> void;
  /// Sets the expected demand of a model, in accelerators.
  auto SetDemand(std::size_t model, double demand) -> void {
    models_[model].spec_.demand_ = demand;
  }
  /// Marks a server as live or lost.
  auto SetLive(std::size_t server, bool live) -> void {
    servers_[server].spec_.live_ = live;
  }
  /// Forgets all copies; times of past moves are kept.
  auto ClearCopies() -> void;
  /// Adds a copy that a server record lists.
  auto AddCopy(std::size_t server, std::size_t model, CopyPhase phase) -> void;
  /// Removes a copy.
  auto RemoveCopy(std::size_t server, std::size_t model) -> void;

  /// Plans all copies anew, keeping present ones where the new plan wants the
  /// model on that server. For an empty fleet or a changed set of servers.
  [[nodiscard]] auto FullPlan(TimePoint now) -> std::vector<PlanStep>;

  /// Returns at most `max_loads` loads with the unloads that make room for
  /// them, and unloads of models that no contract names.
  [[nodiscard]] auto IncrementalPlan(std::size_t max_loads, TimePoint now)
      -> std::vector<PlanStep>;

  /// Work per second that the present copies would not serve.
  [[nodiscard]] auto ExpectedExcess() -> double;

 private:
  using Index = std::uint32_t;
  struct Holder {
    Index server_ = 0;
    CopyPhase phase_ = CopyPhase::kResident;
    double share_ = 0;  ///< Work per second sent to this copy.
  };
  struct Model {
    PlannedModel spec_;
    std::vector<Holder> holders_;
    std::optional<TimePoint> loaded_at_;
    std::optional<TimePoint> unloaded_at_;
    double spare_ = 0;  ///< Headroom of all servers that serve it.
  };
  struct Server {
    PlannedServer spec_;
    std::size_t domain_ = 0;
    std::int64_t used_mb_ = 0;
    double load_ = 0;
    std::vector<Index> contents_;
  };
  struct Choice {
    Index server_ = 0;
    double gain_ = -std::numeric_limits<double>::infinity();
    std::vector<Index> evicted_;
  };

  [[nodiscard]] auto Headroom(const Server& server) const -> double {
    return server.spec_.compute_ * settings_.utilization_ - server.load_;
  }
  [[nodiscard]] auto Serves(const Holder& holder) const -> bool {
    return holder.phase_ != CopyPhase::kUnloading &&
           servers_[holder.server_].spec_.live_;
  }
  [[nodiscard]] auto ServingCopies(const Model& model) const -> std::size_t;
  [[nodiscard]] auto HasProvenCopyBeside(const Model& model, Index server) const
      -> bool;
  [[nodiscard]] auto Excess(const Model& model) const -> double;
  [[nodiscard]] auto LossOfRemoving(const Model& model, Index server) const
      -> double;
  [[nodiscard]] auto MayEvict(const Model& model, Index server,
                              TimePoint now) const -> bool;
  [[nodiscard]] auto Resting(const std::optional<TimePoint>& moved,
                             TimePoint now) const -> bool {
    return moved && now < *moved + settings_.rest_;
  }
  auto ShareOut(Model* model) -> void;
  auto ShareOutAll() -> void;
  auto SortByHeadroom() -> void;
  auto UpdateSpare(Model* model) -> void;
  [[nodiscard]] auto MakeRoom(Index server, Index model, TimePoint now) const
      -> std::optional<std::vector<Index>>;
  [[nodiscard]] auto ChooseServer(Index model, double wanted,
                                  TimePoint now) const -> Choice;
  [[nodiscard]] auto DomainCounts(const Model& model) const
      -> std::vector<std::uint16_t>;
  [[nodiscard]] auto PaysOff(Index model, const Choice& choice) const -> bool;
  auto TakeStep(Index model, const Choice& choice, TimePoint now,
                std::vector<PlanStep>* steps) -> void;
  auto Unload(Index server, Index model, TimePoint now,
              std::vector<PlanStep>* steps) -> void;
  auto RestoreMissing(std::size_t max_loads, TimePoint now,
                      std::vector<PlanStep>* steps) -> std::size_t;
  auto RelieveOverload(std::size_t max_loads, TimePoint now,
                       std::vector<PlanStep>* steps) -> void;
  auto RemoveUnnamed(TimePoint now, std::vector<PlanStep>* steps) -> void;
  [[nodiscard]] auto ReplicaCounts() const -> std::vector<Index>;
  [[nodiscard]] auto MarginalGain(const Model& model, Index replicas,
                                  double per_copy) const -> double;
  struct Packing;
  auto PackOne(Index model, double share, Packing* packing) const -> void;
  [[nodiscard]] auto Pack(const std::vector<Index>& replicas) const
      -> std::vector<std::vector<Index>>;

  PlacementPlannerSettings settings_;
  std::vector<Server> servers_;
  std::vector<Model> models_;
  std::size_t domains_ = 0;
  std::vector<Index> by_headroom_;  ///< Servers, as of the start of a plan.
};

}  // namespace baobab::placement
