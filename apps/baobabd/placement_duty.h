#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baobab_base/clock.h"
#include "baobab_contract/contract_register.h"
#include "baobab_placement/order_tracker.h"
#include "baobab_placement/placement_planner.h"
#include "baobab_platform/store_client.h"
#include "engine_channel.h"
#include "planner_lease.h"
#include "settings.h"

namespace baobab {

/// Placement on the control thread: while this instance holds the planner
/// lease, polls the engines, plans, writes server records and sends orders.
class PlacementDuty {
 public:
  /// `holder` names this process. `contracts` outlives the duty. Throws
  /// StepError if a store address is wrong.
  PlacementDuty(boost::asio::io_context& io, const Settings& settings,
                std::string holder,
                const contract::ContractRegister& contracts);
  ~PlacementDuty() { *alive_ = false; }
  PlacementDuty(const PlacementDuty&) = delete;
  auto operator=(const PlacementDuty&) -> PlacementDuty& = delete;

  /// Starts the tick. Call on the thread of the io_context.
  auto Start() -> void { Tick(); }

  /// Takes reloaded targets.
  auto ApplySettings(const Settings& settings) -> void;

 private:
  struct Engine {
    TargetSettings settings_;
    std::shared_ptr<EngineChannel> channel_;
    std::int64_t capacity_mb_ = 0;  ///< 0 before the first report.
    bool measuring_ = false;
    TimePoint reported_at_{};
  };
  struct Pending {
    placement::PlanStep step_;
    TimePoint until_;
  };

  auto Tick() -> void;
  auto BeginTerm(std::uint64_t term) -> void;
  auto EndTerm() -> void;
  auto MeasureEngines() -> void;
  auto AddServer(const Engine& engine) -> void;
  auto Plan(TimePoint now) -> void;
  auto RequestPending(TimePoint now) -> void;
  [[nodiscard]] auto NamedModels() const
      -> std::map<ModelId, placement::PlannedModel>;
  auto FillPlanner(TimePoint now) -> std::size_t;
  auto SetUpPlanner(std::vector<placement::PlannedServer> servers,
                    std::vector<placement::PlannedModel> models) -> void;
  auto PerformActions() -> void;
  auto Perform(const placement::ReadRecord& read) -> void;
  auto Perform(const placement::ReadAllRecords& read) -> void;
  auto Perform(const placement::WriteRecord& write) -> void;
  auto Perform(const placement::SendOrder& order) -> void;
  auto Perform(const placement::PollReport& poll) -> void;
  /// Returns true if the tracker of `term` is still the present one.
  [[nodiscard]] auto IsTerm(std::uint64_t term) const -> bool {
    return tracker_ != nullptr && term_ == term;
  }

  boost::asio::steady_timer timer_;
  boost::asio::io_context& io_;
  std::string holder_;
  const contract::ContractRegister& contracts_;
  SystemClock clock_;
  platform::StoreClient store_;
  PlannerLease lease_;
  std::map<TargetId, Engine> engines_;
  std::unique_ptr<placement::OrderTracker> tracker_;  ///< Null without lease.
  std::uint64_t term_ = 0;
  placement::PlacementPlanner planner_{placement::PlacementPlannerSettings{}};
  std::vector<placement::PlannedServer> servers_;  ///< As the planner has them.
  std::vector<placement::PlannedModel> models_;
  std::vector<Pending> pending_;
  TimePoint next_plan_{};
  /// Cleared when this object ends; answers may arrive later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobab
