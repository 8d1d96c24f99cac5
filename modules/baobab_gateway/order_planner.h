#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/manifest.h"
#include "baobab_gateway/order_types.h"
#include "baobab_gateway/peer_report.h"
#include "baobab_gateway/target_registry.h"

namespace baobab::gateway {

/// Bounds and weights of placement decisions.
struct PlannerSettings {
  /// Window over which the platform counts loads from the weight store.
  Duration load_window_ = std::chrono::seconds(5);
  /// Loads from the weight store per window, in multiples of the store's rate.
  /// The tolerated excess is left for loads that start late.
  double store_load_share_ = 1.0;
  /// Demand of one copy, as a share of an engine's time, above which a model
  /// gets another one. Demand doubles within seconds and a load takes about
  /// four.
  double busy_copy_demand_ = 0.15;
  /// Every model keeps a copy if all models together take at most this share of
  /// the memory of all engines; the rest is for further copies.
  double max_fit_share_ = 0.85;
  /// Otherwise: value of a copy of a model that nobody asked for lately, in the
  /// same unit as demand. It takes places that serve next to nothing.
  double unused_copy_value_ = 0.01;
  /// Demand below which a model counts as not asked for.
  double negligible_demand_ = 0.003;
  /// Time constant over which demand is averaged: a single long prompt for a
  /// rare model must not look like a shift of demand.
  Duration demand_smoothing_ = std::chrono::milliseconds(2000);
  /// Time constant of the faster average, which shows a shift of demand first.
  Duration fast_demand_smoothing_ = std::chrono::milliseconds(700);
  /// Demand from which on the faster average counts where it is higher: the
  /// rise of a few requests is chance.
  double min_fast_demand_ = 0.3;
  /// Need of the first copy of a model that is asked for, besides its demand,
  /// against the demand per copy of busy models: after the loss of many targets
  /// the copies of models that most requests ask for come first.
  double first_copy_need_ = 0.4;
  /// A copy moves only if it serves at least this many times the demand that
  /// the copy which makes way does. Prevents moves back and forth.
  double min_move_gain_ = 1.5;
  /// Copies of one model that may be planned at once. A shift of demand asks
  /// for many within seconds, but each takes a place out of use for about 5 s.
  int max_copies_per_plan_ = 3;
  /// Time constant with which past demand is forgotten: a model that was busy
  /// keeps copies until others need the room.
  Duration demand_decay_ = std::chrono::seconds(8);
  /// A model with at least this share of all demand may become the busiest one
  /// within seconds, while a load takes about four: it is placed as if it had
  /// `rising_demand_weight_` of the demand of the busiest one.
  double rising_demand_share_ = 0.08;
  double rising_demand_weight_ = 0.5;
  /// After this time an engine's report shows every order that it accepted.
  Duration report_lag_ = std::chrono::milliseconds(700);
  /// Time for the announcement of a removal to reach all instances.
  Duration removal_propagation_ = std::chrono::milliseconds(250);
  /// Time until a loaded adapter can be used; the platform states 5 to 10 ms.
  Duration adapter_load_time_ = std::chrono::milliseconds(14);
  /// Interval of reports of an engine that carries out an order.
  Duration report_interval_ = std::chrono::milliseconds(300);
  /// A model counts as one whose adapters are in use this long after a request
  /// used or needed one.
  Duration adapters_active_period_ = std::chrono::seconds(8);
  /// Time after which an adapter that nobody used may make way.
  Duration min_adapter_idle_ = std::chrono::milliseconds(1500);
};

/// What the planner believes, for the log.
struct PlacementSummary {
  /// A model, its weight in shares of an engine's time, and its copies.
  struct Model {
    std::string name_;
    double weight_ = 0;
    std::int64_t copies_ = 0;
  };
  double demand_ = 0;            ///< Of all models, in engines.
  std::size_t servers_ = 0;      ///< That may hold models.
  std::size_t ordering_ = 0;     ///< That carry out an order for a model.
  std::size_t store_loads_ = 0;  ///< From the weight store within its window.
  std::vector<Model> busiest_;   ///< By weight, the largest first.
};

/// What the holder of orders does next.
struct PlannerAction {
  enum class Kind : std::uint8_t { kOrder, kReport };
  Kind kind_ = Kind::kOrder;
  std::string target_;
  EngineOrder order_;  ///< Without holder and fencing token.
};

/// Decides which engine holds which models and adapters.
///
/// A model that is asked for keeps a copy. The other places go to the models
/// with the largest demand per copy, and what serves next to nothing to models
/// that nobody has asked for yet. Answers the shift of demand from some models
/// to others, the crash of engines, which lose what they held, and orders that
/// get no answer and are carried out late: an order names the number of orders
/// that its engine must have accepted, and its memory counts until a report
/// shows how it ended.
class OrderPlanner {
 public:
  explicit OrderPlanner(PlannerSettings settings) : settings_(settings) {}

  auto SetManifest(const Manifest& manifest) -> void;
  auto SetTargets(const TargetRegistry& registry, TimePoint now) -> void;
  /// Starts to plan: everything that was known of engines is read again.
  /// `may_have_loaded`: another holder may just have used the load rate.
  auto Begin(bool may_have_loaded, TimePoint now) -> void;

  /// Records what an instance reports of demand, as shares of an engine's time
  /// by model, and of use.
  auto OnPeer(const std::string& instance,
              const std::map<std::string, double>& demand,
              const std::vector<AdapterNeed>& needs,
              const std::vector<AdapterUse>& uses, TimePoint now) -> void;

  /// Returns what to do now. Each action is followed by one call of
  /// OnOrderResult, OnReport or OnReportFailed.
  [[nodiscard]] auto Next(TimePoint now) -> std::vector<PlannerAction>;

  auto OnOrderResult(const EngineOrder& order, OrderResult result,
                     TimePoint now) -> void;
  /// The order was not sent and cannot be sent yet.
  auto OnNotSent(const EngineOrder& order, TimePoint now) -> void;
  auto OnReport(const std::string& target, const EngineReport& report,
                TimePoint now) -> void;
  auto OnReportFailed(const std::string& target, TimePoint now) -> void;

  /// Returns what the planner believes, with the `models` busiest models.
  [[nodiscard]] auto Summary(std::size_t models) const -> PlacementSummary;
  /// Returns true once after a model was announced as loaded or about to be
  /// removed.
  [[nodiscard]] auto TakeModelsChanged() -> bool {
    return std::exchange(models_changed_, false);
  }
  /// Changes of what targets hold, for the reports to peers, since `since`.
  [[nodiscard]] auto ChangesSince(TimePoint since, TimePoint now) const
      -> std::vector<HoldingChange>;

 private:
  struct ModelOrder {
    OrderKind kind_ = OrderKind::kLoad;
    std::string model_;
    bool sent_ = false;      // an order may have been accepted
    bool accepted_ = false;  // the engine said so
    TimePoint not_before_{};
    std::string load_after_unload_;  // loaded when this removal is done
  };
  struct Server {
    TargetRegistration registration_;
    bool contents_known_ = false;    // its contents are current
    bool report_read_ = false;       // a report was read since Begin
    TimePoint accepted_at_{};        // when it accepted the last order
    bool call_in_progress_ = false;  // a call is in progress
    std::map<std::string, std::set<std::string>> models_;
    std::int64_t sequence_ = 0;
    std::int64_t report_born_ms_ = 0;  // start of the engine that reported
    std::optional<ModelOrder> order_;
    TimePoint next_report_{};
    TimePoint next_adapter_{};
    std::map<std::pair<std::string, std::string>, TimePoint> adapter_last_used_;
    std::set<std::string>
        cached_models_;  // models with a copy in host memory or disk
    int failed_reports_ = 0;
  };
  struct Change {
    HoldingChange change_;
    TimePoint from_{};
  };
  struct Demand {
    double smoothed_ = 0;
    double fast_smoothed_ = 0;
    double decaying_peak_ = 0;
  };

  [[nodiscard]] auto FindEngine(const std::string& service) const
      -> const EngineSpec*;
  [[nodiscard]] auto FindModelSpec(const EngineSpec& engine,
                                   const std::string& model) const
      -> const ModelSpec*;
  [[nodiscard]] auto UsedMb(const Server& server,
                            const EngineSpec& engine) const -> double;
  [[nodiscard]] auto AdapterCount(const Server& server) const -> std::size_t;
  [[nodiscard]] auto Weight(const std::string& model) const -> double;
  auto UpdateDemand(TimePoint now) -> void;
  auto PlanModels(const std::string& service, const EngineSpec& engine,
                  TimePoint now) -> void;
  /// Returns what another copy of `model` is worth.
  [[nodiscard]] auto GainOfCopy(const std::string& model) const -> double;
  /// Returns what is lost with a copy of `model`; infinite for the last copy of
  /// a model that is asked for.
  [[nodiscard]] auto CostOfCopy(const std::string& model) const -> double;
  auto PlaceCopy(const std::string& service, const EngineSpec& engine,
                 const std::string& model, TimePoint now) -> bool;
  /// Returns true if an order for a model at `server` would leave a model whose
  /// adapters are in use without an engine that takes orders for them: an
  /// engine carries out one order at a time, and a load takes about four
  /// seconds.
  [[nodiscard]] auto WouldBlockAdapters(const Server& server,
                                        TimePoint now) const -> bool;
  auto PlanAdapters(TimePoint now, std::vector<PlannerAction>& actions) -> void;
  auto Advance(const std::string& id, Server& server, TimePoint now,
               std::vector<PlannerAction>& actions) -> void;
  /// `planned`: loads that are decided and not yet ordered.
  [[nodiscard]] auto MayLoadFromStore(const EngineSpec& engine,
                                      std::size_t planned, TimePoint now)
      -> bool;
  [[nodiscard]] auto PlannedStoreLoads() const -> std::size_t;
  auto MakeOrder(const std::string& id, const Server& server, OrderKind kind,
                 const std::string& model, const std::string& adapter) const
      -> EngineOrder;
  auto Announce(HoldingChange change, TimePoint from) -> void;

  PlannerSettings settings_;
  std::map<std::string, Service> services_;
  std::map<std::string, Server> servers_;
  std::map<std::string, std::pair<std::map<std::string, double>, TimePoint>>
      demand_by_instance_;
  std::map<std::string, Demand> demand_;
  std::map<std::pair<std::string, std::string>,
           std::pair<AdapterNeed, TimePoint>>
      needs_;
  std::deque<TimePoint> store_loads_;
  std::deque<Change> changes_;
  std::map<std::string, std::int64_t> copies_;
  /// Copies at engines without an order for a model in progress.
  std::map<std::string, std::int64_t> free_copies_;
  std::map<std::string, TimePoint> adapters_used_;  // by model
  bool all_fit_ = true;
  bool models_changed_ = false;
  double total_demand_ = 0;
  double max_demand_ = 0;
  TimePoint demand_at_{};
  TimePoint next_plan_{};
};

}  // namespace baobab::gateway
