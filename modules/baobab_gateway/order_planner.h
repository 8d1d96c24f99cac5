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

/// Bounds and weights of placement decisions. Demand is measured in engines: a
/// demand of 1 occupies one engine all the time.
struct PlannerSettings {
  /// Window in which the platform counts loads from the weight store.
  Duration weight_store_rate_window_ = std::chrono::seconds(5);
  /// Maximum number of loads from the weight store per window, as a multiple of
  /// the rate that the weight store allows. The platform tolerates an excess,
  /// which is reserved for loads that start late.
  double store_load_share_ = 1.0;
  /// Demand per copy above which a model gets another copy. Demand doubles
  /// within seconds, and a load takes about four seconds.
  double busy_copy_demand_ = 0.15;
  /// Every model keeps a copy if all models together take at most this share of
  /// the memory of all engines; the rest is for additional copies.
  double max_fit_share_ = 0.85;
  /// Value, in the unit of demand, of a copy of a model without recent
  /// requests, used if all models together exceed max_fit_share_. Such a copy
  /// only replaces a copy that serves almost no demand.
  double unused_copy_value_ = 0.01;
  /// Demand up to which a model counts as unused.
  double negligible_demand_ = 0.003;
  /// Time constant of the average of demand: a single long prompt for a rarely
  /// used model must not look like a shift of demand.
  Duration demand_smoothing_ = std::chrono::milliseconds(2000);
  /// Time constant of a second, faster average, which follows a shift of
  /// demand earlier.
  Duration fast_demand_smoothing_ = std::chrono::milliseconds(700);
  /// Minimum value of the faster average at which it is used if it exceeds the
  /// slower one. An increase by a few requests may be random.
  double min_fast_demand_ = 0.3;
  /// Added to the demand of a model without a copy when its priority is
  /// compared with the demand per copy of busy models: after the loss of many
  /// targets the models with the most requests get their copies first.
  double first_copy_need_ = 0.4;
  /// Minimum ratio of the demand that a new copy would serve to the demand that
  /// the evicted copy serves. Prevents models from being evicted and loaded
  /// again repeatedly.
  double min_replacement_gain_ratio_ = 1.5;
  /// Maximum number of copies of one model that one run of the planner adds. A
  /// shift of demand requires many copies within seconds, but the memory of
  /// each copy serves no requests for about 5 s while it loads.
  int max_copies_per_plan_ = 3;
  /// Time constant with which the peak of past demand decays: a model that was
  /// busy keeps its copies until other models need the memory.
  Duration demand_decay_ = std::chrono::seconds(8);
  /// A model with at least this share of all demand may become the busiest one
  /// within seconds, while a load takes about four seconds. It is placed as if
  /// it had at least `rising_demand_weight_` times the demand of the busiest
  /// model.
  double rising_demand_share_ = 0.08;
  double rising_demand_weight_ = 0.5;
  /// Time after which an engine's report shows every order that it accepted.
  Duration report_lag_ = std::chrono::milliseconds(700);
  /// Delay between the announcement of an unload to the peers and its order:
  /// the time within which the announcement reaches all instances.
  Duration unload_announcement_time_ = std::chrono::milliseconds(250);
  /// Time from the acceptance of an order until the adapter can be used; the
  /// platform states 5 to 10 ms.
  Duration adapter_load_time_ = std::chrono::milliseconds(14);
  /// Interval at which an engine with an order in progress is asked for a
  /// report.
  Duration report_interval_ = std::chrono::milliseconds(300);
  /// Time for which the adapters of a model count as in use after a request
  /// used or needed one of them.
  Duration adapter_in_use_period_ = std::chrono::seconds(8);
  /// Time without use after which an adapter may be evicted.
  Duration min_adapter_idle_ = std::chrono::milliseconds(1500);
};

/// The state of the planner for the log.
struct PlacementSummary {
  /// A model, its placement demand (see PlacementDemand()), and the number of
  /// its copies, including planned ones.
  struct Model {
    std::string name_;
    double weight_ = 0;
    std::int64_t copies_ = 0;
  };
  double demand_ = 0;         ///< Total for all models; 1 occupies one engine.
  std::size_t servers_ = 0;   ///< Targets that may hold models.
  std::size_t ordering_ = 0;  ///< Targets with an order for a model.
  std::size_t store_loads_ = 0;  ///< Recent loads from the weight store.
  std::vector<Model> busiest_;   ///< In descending order of weight_.
};

/// A call that the holder makes to an engine.
struct PlannerAction {
  /// Send `order_`, or ask `target_` for a report.
  enum class Kind : std::uint8_t { kOrder, kReport };
  Kind kind_ = Kind::kOrder;
  std::string target_;
  EngineOrder order_;  ///< The caller sets holder and fencing token.
};

/// Decides which engine loads which models and adapters.
///
/// Every model with requests keeps at least one copy. The remaining memory goes
/// to additional copies of the models with the largest demand per copy; memory
/// of copies that serve almost no demand goes to models that had no requests so
/// far.
///
/// Handles shifts of demand between models and crashes of engines, which lose
/// the models that they held. Also handles orders that get no response and are
/// carried out late: an order names the number of orders that its engine must
/// have accepted, and the memory of the order counts as used until a report
/// shows its outcome.
///
/// Pass in the manifest, the targets and the reports of instances as they
/// arrive, and call Next() regularly while this instance is the holder.
class OrderPlanner {
 public:
  explicit OrderPlanner(PlannerSettings settings) : settings_(settings) {}

  /// Sets the services and the models that their engines can load.
  auto SetManifest(const Manifest& manifest) -> void;
  /// Sets the known targets. A target that was restarted or moved to another
  /// endpoint is asked for a new report.
  auto SetTargets(const TargetRegistry& registry, TimePoint now) -> void;
  /// Starts planning: discards the known state of all engines and requests new
  /// reports.
  /// `may_have_loaded` is true if another holder may just have used up the rate
  /// of loads from the weight store.
  auto StartTerm(bool may_have_loaded, TimePoint now) -> void;

  /// Records a report of an instance: the demand by model (a demand of 1
  /// occupies one engine all the time), the missing adapters of its requests,
  /// and the adapters that its requests use.
  auto OnPeerDemand(const std::string& instance,
                    const std::map<std::string, double>& demand,
                    const std::vector<MissingAdapter>& missing_adapters,
                    const std::vector<AdapterUse>& uses, TimePoint now) -> void;

  /// Returns the calls to make now. Report the outcome of each by one call of
  /// OnOrderResult, OnNotSent, OnReport or OnReportFailed.
  [[nodiscard]] auto Next(TimePoint now) -> std::vector<PlannerAction>;

  /// Records the response to an order.
  auto OnOrderResult(const EngineOrder& order, OrderResult result,
                     TimePoint now) -> void;
  /// Records that the order was not sent because the handover interval of its
  /// target has not passed. An order for a model is retried later.
  auto OnNotSent(const EngineOrder& order, TimePoint now) -> void;
  /// Records the report of an engine.
  auto OnReport(const std::string& target, const EngineReport& report,
                TimePoint now) -> void;
  /// Records that the report request to `target` failed or its response could
  /// not be decoded. The request is retried later.
  auto OnReportFailed(const std::string& target, TimePoint now) -> void;

  /// Returns the state for the log, with up to `models` busiest models.
  [[nodiscard]] auto Summary(std::size_t models) const -> PlacementSummary;
  /// Returns true once after a model was loaded or its unload was planned.
  [[nodiscard]] auto TakeModelsChanged() -> bool {
    return std::exchange(models_changed_, false);
  }
  /// Returns the changes of loaded models and adapters that took effect from
  /// `since` to `now`, for the reports to peers.
  [[nodiscard]] auto ChangesSince(TimePoint since, TimePoint now) const
      -> std::vector<LoadedModelChange>;

 private:
  /// A planned or sent order to load or unload a model.
  struct ModelOrder {
    OrderKind kind_ = OrderKind::kLoad;
    std::string model_;
    bool sent_ = false;      // the engine may have accepted the order
    bool accepted_ = false;  // the engine confirmed the acceptance of the order
    TimePoint not_before_{};
    std::string load_after_unload_;  // model to load after the unload
  };
  /// The last known state of one target and its planned or sent order.
  struct TargetState {
    TargetRegistration registration_;
    bool contents_known_ = false;  // models_ is up to date
    bool report_read_ = false;     // a report was read since StartTerm()
    TimePoint accepted_at_{};      // time of the last accepted order
    bool call_in_progress_ = false;
    // Adapters by resident model.
    std::map<std::string, std::set<std::string>> models_;
    std::int64_t sequence_ = 0;                // number of orders accepted
    std::int64_t reported_start_time_ms_ = 0;  // start time in the last report
    std::optional<ModelOrder> order_;
    TimePoint next_report_{};
    TimePoint next_adapter_order_at_{};
    // By model and adapter.
    std::map<std::pair<std::string, std::string>, TimePoint> adapter_last_used_;
    // Models with a copy in host memory or on disk.
    std::set<std::string> cached_models_;
    int failed_reports_ = 0;
  };
  /// A change for the reports to peers and the time at which it takes effect.
  struct Change {
    LoadedModelChange change_;
    TimePoint from_{};
  };
  /// Averages of the demand for a model.
  struct Demand {
    double smoothed_ = 0;
    double fast_smoothed_ = 0;
    double decaying_peak_ = 0;  // of smoothed_
  };

  /// Returns the engine of a service; nullptr if it is unknown or has none.
  [[nodiscard]] auto FindEngine(const std::string& service) const
      -> const EngineSpec*;
  /// Returns nullptr if the engine cannot load `model`.
  [[nodiscard]] auto FindModelSpec(const EngineSpec& engine,
                                   const std::string& model) const
      -> const ModelSpec*;
  /// Returns the memory in use at `server`, including that of a planned load.
  [[nodiscard]] auto UsedMb(const TargetState& server,
                            const EngineSpec& engine) const -> double;
  [[nodiscard]] auto AdapterCount(const TargetState& server) const
      -> std::size_t;
  /// Returns the demand for which `model` is placed: the average, raised after
  /// a recent peak, during a shift of demand, and for a model that may get the
  /// highest demand.
  [[nodiscard]] auto PlacementDemand(const std::string& model) const -> double;
  auto UpdateDemand(TimePoint now) -> void;
  /// A model in one run of the planner.
  struct ModelPlacement {
    const ModelSpec* spec_ = nullptr;
    double demand_ = 0;        // see PlacementDemand()
    std::int64_t copies_ = 0;  // as they will be after the planned orders
    /// Copies at engines without an order for a model in progress.
    std::int64_t free_copies_ = 0;
    bool adapters_in_use_ = false;
  };
  /// A target without an order whose models are known, in one run.
  struct OpenTarget {
    const std::string* id_ = nullptr;
    TargetState* state_ = nullptr;
    double used_mb_ = 0;
    /// Index of each loaded model in PlacementPass::models_ and its memory,
    /// with adapters, in MB.
    std::vector<std::pair<std::size_t, double>> residents_;
  };
  /// The facts of one run for the engines of one service. Looked up once: with
  /// hundreds of targets and models, a run compares each model that needs a
  /// copy with each target.
  struct PlacementPass {
    std::vector<ModelPlacement> models_;  // in the order of EngineSpec::models_
    std::vector<OpenTarget> targets_;
    std::size_t planned_store_loads_ = 0;
    double memory_mb_ = 0;   // of all targets
    bool all_known_ = true;  // all targets have reported, or do not respond
  };

  [[nodiscard]] auto BeginPass(const std::string& service,
                               const EngineSpec& engine, TimePoint now)
      -> PlacementPass;
  /// Plans loads and unloads of models for the engines of one service.
  auto PlanModels(const std::string& service, const EngineSpec& engine,
                  TimePoint now) -> void;
  /// Returns the demand that another copy would serve; a very high value for
  /// the first copy of a model that must have one.
  [[nodiscard]] auto GainOfCopy(const ModelPlacement& model) const -> double;
  /// Returns the demand that each remaining copy would have to serve after the
  /// removal of one; the largest double for the last copy of a model that must
  /// keep one.
  [[nodiscard]] auto CostOfCopy(const ModelPlacement& model) const -> double;
  /// Returns the priority of another copy; 0 if none is needed.
  [[nodiscard]] auto NeedOfCopy(const ModelPlacement& model) const -> double;
  /// Plans another copy of the model at `index` at the target where that costs
  /// least. Returns false if no target is suitable.
  auto PlaceCopy(const EngineSpec& engine, PlacementPass& pass,
                 std::size_t index, TimePoint now) -> bool;
  /// Returns true if an order for a model at `target` would leave a model whose
  /// adapters are in use without an engine that accepts orders for them: an
  /// engine carries out one order at a time, and a load takes about four
  /// seconds.
  [[nodiscard]] static auto WouldBlockAdapters(const PlacementPass& pass,
                                               const OpenTarget& target)
      -> bool;
  /// Adds the orders that load missing adapters or evict unused ones to make
  /// room for them.
  auto PlanAdapters(TimePoint now, std::vector<PlannerAction>& actions) -> void;
  /// Adds the next call to one target: a report request, or its planned order
  /// if that is due.
  auto Advance(const std::string& id, TargetState& server, TimePoint now,
               std::vector<PlannerAction>& actions) -> void;
  /// Returns true if one more load from the weight store stays within the rate
  /// that the weight store allows. `planned` is the number of such loads that
  /// are planned and not yet ordered.
  [[nodiscard]] auto MayLoadFromStore(const EngineSpec& engine,
                                      std::size_t planned, TimePoint now)
      -> bool;
  /// Returns the number of planned loads from the weight store that have not
  /// been ordered yet.
  [[nodiscard]] auto PlannedStoreLoads() const -> std::size_t;
  auto MakeOrder(const std::string& id, const TargetState& server,
                 OrderKind kind, const std::string& model,
                 const std::string& adapter) const -> EngineOrder;
  /// Includes a change in the reports to peers from the time `from` on.
  auto Announce(LoadedModelChange change, TimePoint from) -> void;

  PlannerSettings settings_;
  std::map<std::string, Service> services_;
  std::map<std::string, TargetState> servers_;
  std::map<std::string, std::pair<std::map<std::string, double>, TimePoint>>
      demand_by_instance_;
  std::map<std::string, Demand> demand_;
  /// By model and adapter, with the time of the last report of each.
  std::map<std::pair<std::string, std::string>,
           std::pair<MissingAdapter, TimePoint>>
      missing_adapters_;
  /// Times of the recent loads from the weight store.
  std::deque<TimePoint> store_loads_;
  std::deque<Change> changes_;
  /// Copies by model, as they will be after the planned orders.
  std::map<std::string, std::int64_t> copies_;
  std::map<std::string, TimePoint> adapters_used_;  // by model
  /// Whether all models fit into max_fit_share_ of the memory.
  bool all_fit_ = true;
  bool models_changed_ = false;
  double total_demand_ = 0;
  double max_demand_ = 0;
  TimePoint demand_at_{};
  TimePoint next_plan_{};
};

}  // namespace baobab::gateway
