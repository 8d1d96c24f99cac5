#include "baobab_gateway/order_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>
#include <utility>

namespace baobab::gateway {
namespace {

/// Interval of model placement decisions.
constexpr Duration kPlanInterval = std::chrono::milliseconds(250);
/// A report of demand or need older than this no longer counts.
constexpr Duration kPeerAge = std::chrono::seconds(2);
constexpr Duration kNeedAge = std::chrono::milliseconds(600);
/// How long changes stay in the reports to peers: until the registration of the
/// target, which is up to a heartbeat and a watch late, shows them.
constexpr Duration kChangeAge = std::chrono::seconds(3);
/// An engine that does not answer is asked again after this time.
constexpr Duration kReportRetry = std::chrono::milliseconds(700);
/// Gain of the first copy of a model that is asked for: it goes first.
constexpr double kMissingNeed = 1e12;
/// An adapter that is wanted although it is loaded is verified this often.
constexpr Duration kVerifyInterval = std::chrono::milliseconds(500);

}  // namespace

auto OrderPlanner::SetManifest(const Manifest& manifest) -> void {
  services_.clear();
  for (const auto& service : manifest.services_) {
    auto& own = services_[service.name_];
    own = service;
    if (own.engine_) {
      // Spec() searches by name for every place that a plan considers.
      std::sort(own.engine_->models_.begin(), own.engine_->models_.end(),
                [](const ModelSpec& left, const ModelSpec& right) {
                  return left.name_ < right.name_;
                });
    }
  }
}

auto OrderPlanner::SetTargets(const TargetRegistry& registry, TimePoint now)
    -> void {
  std::erase_if(servers_, [&registry](const auto& item) {
    return registry.Find(item.first) == nullptr;
  });
  for (const auto& [id, entry] : registry.entries()) {
    const auto& registration = entry.registration_;
    if (Engine(registration.service_) == nullptr) {
      continue;
    }
    auto& server = servers_[id];
    if (server.registration_.born_ms_ != registration.born_ms_ ||
        server.registration_.endpoint_ != registration.endpoint_) {
      const bool calling = server.calling_;
      server = Server();
      server.calling_ = calling;
    }
    server.registration_ = registration;
    server.cached_.clear();
    server.cached_.insert(registration.models_in_host_memory_.begin(),
                          registration.models_in_host_memory_.end());
    server.cached_.insert(registration.models_on_disk_.begin(),
                          registration.models_on_disk_.end());
    if (!server.known_) {
      server.next_report_ = std::min(server.next_report_, now);
    }
  }
}

auto OrderPlanner::Begin(bool may_have_loaded, TimePoint now) -> void {
  for (auto& [id, server] : servers_) {
    server.known_ = false;
    server.seen_ = false;
    server.order_.reset();
    server.next_report_ = now;
  }
  store_loads_.clear();
  changes_.clear();
  if (may_have_loaded) {
    for (const auto& [name, service] : services_) {
      if (service.engine_) {
        const auto loads =
            service.engine_->store_loads_per_second_ *
            std::chrono::duration<double>(settings_.load_window_).count();
        store_loads_.insert(store_loads_.end(), static_cast<std::size_t>(loads),
                            now);
      }
    }
  }
}

auto OrderPlanner::Engine(const std::string& service) const
    -> const EngineSpec* {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.engine_
             ? &*found->second.engine_
             : nullptr;
}

auto OrderPlanner::Spec(const EngineSpec& engine,
                        const std::string& model) const -> const ModelSpec* {
  const auto found =
      std::lower_bound(engine.models_.begin(), engine.models_.end(), model,
                       [](const ModelSpec& spec, const std::string& name) {
                         return spec.name_ < name;
                       });
  return found == engine.models_.end() || found->name_ != model ? nullptr
                                                                : &*found;
}

auto OrderPlanner::UsedMb(const Server& server, const EngineSpec& engine) const
    -> double {
  double used = 0;
  for (const auto& [model, adapters] : server.models_) {
    if (const auto* spec = Spec(engine, model)) {
      used += spec->memory_mb_ +
              spec->adapter_mb_ * static_cast<double>(adapters.size());
    } else {
      // A model that the manifest no longer names still takes its place.
      used += engine.weights_mb_;
    }
  }
  if (server.order_ && server.order_->kind_ == OrderKind::kLoad &&
      server.models_.count(server.order_->model_) == 0) {
    if (const auto* spec = Spec(engine, server.order_->model_)) {
      used += spec->memory_mb_;
    }
  }
  return used;
}

auto OrderPlanner::AdapterCount(const Server& server) const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [model, adapters] : server.models_) {
    count += adapters.size();
  }
  return count;
}

auto OrderPlanner::OnPeer(const std::string& instance,
                          const std::map<std::string, double>& demand,
                          const std::vector<AdapterNeed>& needs,
                          const std::vector<AdapterUse>& uses, TimePoint now)
    -> void {
  demand_by_instance_[instance] = {demand, now};
  for (const auto& need : needs) {
    needs_[{need.model_, need.adapter_}] = {need, now};
  }
  for (const auto& use : uses) {
    const auto server = servers_.find(use.target_);
    if (server != servers_.end()) {
      server->second.used_[{use.model_, use.adapter_}] = now;
    }
  }
}

auto OrderPlanner::GainOfCopy(const std::string& model) const -> double {
  const auto found = copies_.find(model);
  const auto copies = found == copies_.end() ? 0 : found->second;
  const auto weight = Weight(model);
  if (copies > 0) {
    return weight / static_cast<double>(copies + 1);
  }
  return all_fit_ || weight > settings_.negligible_ ? kMissingNeed
                                                    : settings_.unused_copy_;
}

auto OrderPlanner::CostOfCopy(const std::string& model) const -> double {
  const auto found = copies_.find(model);
  const auto copies = found == copies_.end() ? 0 : found->second;
  const auto weight = Weight(model);
  if (copies > 1) {
    return weight / static_cast<double>(copies - 1);
  }
  return all_fit_ || weight > settings_.negligible_
             ? std::numeric_limits<double>::max()
             : settings_.unused_copy_;
}

auto OrderPlanner::UpdateDemand(TimePoint now) -> void {
  const auto elapsed = std::chrono::duration<double>(now - demand_at_);
  demand_at_ = now;
  const auto keep =
      std::exp(-elapsed / std::chrono::duration<double>(settings_.memory_));
  std::erase_if(demand_by_instance_, [now](const auto& item) {
    return now - item.second.second > kPeerAge;
  });
  const auto weight =
      1 -
      std::exp(-elapsed / std::chrono::duration<double>(settings_.smoothing_));
  std::map<std::string, double> current;
  for (const auto& [instance, report] : demand_by_instance_) {
    for (const auto& [model, share] : report.first) {
      current[model] += share;
      demand_.try_emplace(model);
    }
  }
  const auto fast_weight =
      1 - std::exp(-elapsed /
                   std::chrono::duration<double>(settings_.fast_smoothing_));
  for (auto& [model, demand] : demand_) {
    demand.now_ += (current[model] - demand.now_) * weight;
    demand.fast_ += (current[model] - demand.fast_) * fast_weight;
  }
  total_demand_ = 0;
  top_demand_ = 0;
  for (auto& [model, demand] : demand_) {
    demand.remembered_ = std::max(demand.remembered_ * keep, demand.now_);
    total_demand_ += demand.now_;
    top_demand_ = std::max(top_demand_, demand.now_);
  }
}

auto OrderPlanner::Weight(const std::string& model) const -> double {
  const auto found = demand_.find(model);
  if (found == demand_.end()) {
    return 0;
  }
  const auto& demand = found->second;
  // A model that is silent now keeps a part of its weight.
  auto weight = std::max(demand.now_, demand.remembered_ / 3);
  if (demand.fast_ >= settings_.least_trend_) {
    weight = std::max(weight, demand.fast_);
  }
  return demand.now_ >= settings_.next_share_ * total_demand_
             ? std::max(weight, settings_.next_weight_ * top_demand_)
             : weight;
}

auto OrderPlanner::MayLoadFromStore(const EngineSpec& engine,
                                    std::size_t planned, TimePoint now)
    -> bool {
  while (!store_loads_.empty() &&
         now - store_loads_.front() > settings_.load_window_) {
    store_loads_.pop_front();
  }
  const auto most =
      settings_.load_share_ * engine.store_loads_per_second_ *
      std::chrono::duration<double>(settings_.load_window_).count();
  return static_cast<double>(store_loads_.size() + planned) + 1 <= most;
}

auto OrderPlanner::PlannedStoreLoads() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& item) {
        const auto& order = item.second.order_;
        if (!order) {
          return false;
        }
        const auto& load = order->kind_ == OrderKind::kLoad ? order->model_
                                                            : order->then_load_;
        const bool pending =
            order->kind_ == OrderKind::kUnload || !order->sent_;
        return pending && !load.empty() && item.second.cached_.count(load) == 0;
      }));
}

auto OrderPlanner::PlaceCopy(const std::string& service,
                             const EngineSpec& engine, const std::string& model,
                             TimePoint now) -> bool {
  const auto* spec = Spec(engine, model);
  if (spec == nullptr) {
    return false;
  }
  const auto gain = GainOfCopy(model);
  const bool may_load_from_store =
      MayLoadFromStore(engine, PlannedStoreLoads(), now);
  Server* best = nullptr;
  std::string best_id;
  std::string best_victim;
  double best_cost = std::numeric_limits<double>::max();
  for (auto& [id, server] : servers_) {
    if (server.registration_.service_ != service || !server.known_ ||
        server.registration_.leaving_ || server.order_ ||
        server.models_.count(model) > 0) {
      continue;
    }
    const bool cached = server.cached_.count(model) > 0;
    if (!cached && !may_load_from_store) {
      continue;
    }
    // The cost of a place is the demand that its present copy serves; a load
    // from the weight store costs more than one from the target's own copy.
    double cost = cached ? 0 : settings_.busy_copy_ / 20;
    std::string victim;
    const auto used_mb = UsedMb(server, engine);
    if (used_mb + spec->memory_mb_ > engine.weights_mb_) {
      double least = std::numeric_limits<double>::max();
      for (const auto& [resident, adapters] : server.models_) {
        const auto* resident_spec = Spec(engine, resident);
        if (resident_spec == nullptr ||
            used_mb - resident_spec->memory_mb_ -
                    resident_spec->adapter_mb_ *
                        static_cast<double>(adapters.size()) +
                    spec->memory_mb_ >
                engine.weights_mb_) {
          continue;
        }
        const auto lost = CostOfCopy(resident);
        if (lost < least) {
          least = lost;
          victim = resident;
        }
      }
      // Before any demand is known, the placement at hand says most of it.
      if (victim.empty() || (total_demand_ <= 0 && !all_fit_) ||
          gain < settings_.move_gain_ * least) {
        continue;
      }
      cost += least;
    }
    if (cost < best_cost) {
      best = &server;
      best_id = id;
      best_victim = victim;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return false;
  }
  ModelOrder order;
  if (best_victim.empty()) {
    order.kind_ = OrderKind::kLoad;
    order.model_ = model;
    order.not_before_ = now;
  } else {
    order.kind_ = OrderKind::kUnload;
    order.model_ = best_victim;
    order.then_load_ = model;
    order.not_before_ = now + settings_.removal_notice_;
    Announce({best_id, best_victim, "", true}, now);
    --copies_[best_victim];
  }
  best->order_ = order;
  ++copies_[model];
  return true;
}

auto OrderPlanner::PlanModels(const std::string& service,
                              const EngineSpec& engine, TimePoint now) -> void {
  copies_.clear();
  bool all_known = true;
  double room_mb = 0;
  for (const auto& [id, server] : servers_) {
    if (server.registration_.service_ != service ||
        server.registration_.leaving_) {
      continue;
    }
    room_mb += engine.weights_mb_;
    all_known = all_known && (server.seen_ || server.failed_reports_ > 1);
    for (const auto& [model, adapters] : server.models_) {
      ++copies_[model];
    }
    if (server.order_) {
      const auto& order = *server.order_;
      if (order.kind_ == OrderKind::kLoad &&
          server.models_.count(order.model_) == 0) {
        ++copies_[order.model_];
      } else if (order.kind_ == OrderKind::kUnload) {
        --copies_[order.model_];
        copies_[order.then_load_] += order.then_load_.empty() ? 0 : 1;
      }
    }
  }
  double models_mb = 0;
  for (const auto& model : engine.models_) {
    models_mb += model.memory_mb_;
  }
  all_fit_ = models_mb <= settings_.fit_share_ * room_mb;
  if (!all_known) {
    return;  // a copy that has not been seen yet may exist
  }
  // The model with the largest need goes first, and again as long as it has
  // the largest: a shift of demand asks for many copies of one model at once.
  std::priority_queue<std::pair<double, std::string>> by_need;
  const auto need_of = [this](const std::string& model) {
    const auto weight = Weight(model);
    const auto copies = copies_[model];
    if (copies <= 0) {
      return settings_.first_copy_need_ + weight;
    }
    const auto share = weight / static_cast<double>(copies);
    return share > settings_.busy_copy_ ? share : 0;
  };
  for (const auto& model : engine.models_) {
    if (const auto need = need_of(model.name_); need > 0) {
      by_need.emplace(need, model.name_);
    }
  }
  std::map<std::string, int> placed;
  while (!by_need.empty()) {
    const auto model = by_need.top().second;
    by_need.pop();
    if (!PlaceCopy(service, engine, model, now)) {
      continue;
    }
    const auto need = need_of(model);
    if (++placed[model] < settings_.copies_per_plan_ && need > 0) {
      by_need.emplace(need, model);
    }
  }
}

auto OrderPlanner::MakeOrder(const std::string& id, const Server& server,
                             OrderKind kind, const std::string& model,
                             const std::string& adapter) const -> EngineOrder {
  EngineOrder order;
  order.target_ = id;
  order.endpoint_ = server.registration_.endpoint_;
  order.kind_ = kind;
  order.model_ = model;
  order.adapter_ = adapter;
  order.expected_sequence_ = server.sequence_;
  return order;
}

auto OrderPlanner::Announce(HoldingChange change, TimePoint from) -> void {
  std::erase_if(changes_, [&change](const Change& entry) {
    return entry.change_.target_ == change.target_ &&
           entry.change_.model_ == change.model_ &&
           entry.change_.adapter_ == change.adapter_;
  });
  models_changed_ = models_changed_ || change.adapter_.empty();
  changes_.push_back({std::move(change), from});
}

auto OrderPlanner::PlanAdapters(TimePoint now,
                                std::vector<PlannerAction>& actions) -> void {
  for (auto entry = needs_.begin(); entry != needs_.end();) {
    const auto& [need, at] = entry->second;
    if (now - at > kNeedAge) {
      entry = needs_.erase(entry);
      continue;
    }
    const auto* engine = Engine(need.service_);
    Server* best = nullptr;
    std::string best_id;
    bool best_free = false;
    bool held = false;
    std::size_t best_count = 0;
    for (auto& [id, server] : servers_) {
      if (engine == nullptr || server.registration_.service_ != need.service_ ||
          server.registration_.leaving_ || !server.known_) {
        continue;
      }
      const auto model = server.models_.find(need.model_);
      if (model == server.models_.end()) {
        continue;
      }
      if (model->second.count(need.adapter_) > 0) {
        held = true;
        Announce({id, need.model_, need.adapter_, false}, now);
        if (now - server.next_report_ > kVerifyInterval && !server.calling_) {
          server.calling_ = true;
          server.next_report_ = now;
          actions.push_back({PlannerAction::Kind::kReport, id, {}});
        }
        break;
      }
      // An engine that carries out an order for a model refuses others.
      if (server.calling_ || now < server.next_adapter_ ||
          (server.order_ &&
           (server.order_->sent_ || server.order_->model_ == need.model_))) {
        continue;
      }
      const auto count = AdapterCount(server);
      const auto* spec = Spec(*engine, need.model_);
      const bool free =
          count < engine->adapter_places_ && spec != nullptr &&
          UsedMb(server, *engine) + spec->adapter_mb_ <= engine->weights_mb_;
      if (best == nullptr ||
          std::pair(!free, count) < std::pair(!best_free, best_count)) {
        best = &server;
        best_id = id;
        best_free = free;
        best_count = count;
      }
    }
    if (held) {
      entry = needs_.erase(entry);
      continue;
    }
    if (best == nullptr) {
      ++entry;
      continue;
    }
    if (best_free) {
      best->calling_ = true;
      actions.push_back({PlannerAction::Kind::kOrder, best_id,
                         MakeOrder(best_id, *best, OrderKind::kLoad,
                                   need.model_, need.adapter_)});
      entry = needs_.erase(entry);
      continue;
    }
    // The least recently used adapter makes way, if nobody uses it now.
    std::optional<std::pair<std::string, std::string>> victim;
    TimePoint oldest = now - settings_.adapter_idle_;
    for (const auto& [model, adapters] : best->models_) {
      for (const auto& adapter : adapters) {
        const auto used = best->used_.find({model, adapter});
        const auto last =
            used == best->used_.end() ? TimePoint{} : used->second;
        if (last < oldest) {
          oldest = last;
          victim = {model, adapter};
        }
      }
    }
    if (victim) {
      best->calling_ = true;
      Announce({best_id, victim->first, victim->second, true}, now);
      actions.push_back({PlannerAction::Kind::kOrder, best_id,
                         MakeOrder(best_id, *best, OrderKind::kUnload,
                                   victim->first, victim->second)});
    }
    ++entry;
  }
}

auto OrderPlanner::Advance(const std::string& id, Server& server, TimePoint now,
                           std::vector<PlannerAction>& actions) -> void {
  if (server.calling_) {
    return;
  }
  if (!server.known_ || (server.order_ && server.order_->sent_)) {
    if (now >= server.next_report_) {
      server.calling_ = true;
      server.next_report_ = now;
      actions.push_back({PlannerAction::Kind::kReport, id, {}});
    }
    return;
  }
  if (server.order_ && now >= server.order_->not_before_) {
    const auto* engine = Engine(server.registration_.service_);
    if (server.order_->kind_ == OrderKind::kLoad &&
        server.cached_.count(server.order_->model_) == 0) {
      if (engine == nullptr || !MayLoadFromStore(*engine, 0, now)) {
        return;
      }
      store_loads_.push_back(now);
    }
    server.calling_ = true;
    server.order_->sent_ = true;
    actions.push_back({PlannerAction::Kind::kOrder, id,
                       MakeOrder(id, server, server.order_->kind_,
                                 server.order_->model_, "")});
  }
}

auto OrderPlanner::Next(TimePoint now) -> std::vector<PlannerAction> {
  std::vector<PlannerAction> actions;
  PlanAdapters(now, actions);
  if (now >= next_plan_) {
    next_plan_ = now + kPlanInterval;
    UpdateDemand(now);
    for (const auto& [name, service] : services_) {
      if (service.engine_) {
        PlanModels(name, *service.engine_, now);
      }
    }
    while (!changes_.empty() && now - changes_.front().from_ > kChangeAge) {
      changes_.pop_front();
    }
  }
  for (auto& [id, server] : servers_) {
    if (!server.registration_.leaving_) {
      Advance(id, server, now, actions);
    }
  }
  return actions;
}

auto OrderPlanner::OnOrderResult(const EngineOrder& order, OrderResult result,
                                 TimePoint now) -> void {
  const auto found = servers_.find(order.target_);
  if (found == servers_.end()) {
    return;
  }
  auto& server = found->second;
  server.calling_ = false;
  const bool done =
      result == OrderResult::kAccepted || result == OrderResult::kHolds;
  if (done) {
    server.sequence_ = order.expected_sequence_.value_or(server.sequence_) + 1;
    server.accepted_at_ = now;
  }
  if (!order.adapter_.empty()) {
    auto& adapters = server.models_[order.model_];
    if (done && order.kind_ == OrderKind::kLoad) {
      adapters.insert(order.adapter_);
      server.used_[{order.model_, order.adapter_}] = now;
      Announce({order.target_, order.model_, order.adapter_, false},
               now + settings_.adapter_load_);
    } else if (done) {
      adapters.erase(order.adapter_);
    } else {
      // Reads what the engine holds before going on, once its report shows it.
      server.known_ = false;
      server.next_report_ = now + settings_.report_interval_;
      server.used_[{order.model_, order.adapter_}] = now;
    }
    return;
  }
  if (!server.order_) {
    return;
  }
  if (done) {
    server.order_->accepted_ = true;
    server.next_report_ = now + settings_.report_interval_;
  } else if (result == OrderResult::kUnknown) {
    // It may be carried out later: its memory stays counted until a report
    // shows the outcome.
    server.next_report_ = now + settings_.report_interval_;
  } else {
    server.order_.reset();
    server.known_ = false;
    server.next_report_ = now + settings_.report_interval_;
  }
}

auto OrderPlanner::OnNotSent(const EngineOrder& order, TimePoint now) -> void {
  const auto found = servers_.find(order.target_);
  if (found == servers_.end()) {
    return;
  }
  auto& server = found->second;
  server.calling_ = false;
  server.next_adapter_ = now + kPlanInterval;
  if (order.adapter_.empty() && server.order_) {
    server.order_->sent_ = false;
    server.order_->not_before_ = now + kPlanInterval;
  }
}

auto OrderPlanner::OnReport(const std::string& target,
                            const EngineReport& report, TimePoint now) -> void {
  const auto found = servers_.find(target);
  if (found == servers_.end()) {
    return;
  }
  auto& server = found->second;
  server.calling_ = false;
  server.failed_reports_ = 0;
  server.next_report_ = now + settings_.report_interval_;
  // A report is some hundred ms old: it may lack the last orders that the
  // engine accepted. A restarted engine counts from zero.
  const bool same_start = report.born_ms_ == server.report_born_ms_;
  // An order that held already did not count at the engine although it was
  // counted here; after the lag the report is right.
  if (same_start && report.orders_accepted_ < server.sequence_ &&
      now - server.accepted_at_ < settings_.report_lag_) {
    return;
  }
  server.seen_ = true;
  server.report_born_ms_ = report.born_ms_;
  server.sequence_ = report.orders_accepted_;
  server.models_.clear();
  for (const auto& model : report.models_) {
    server.models_[model.name_].insert(model.adapters_.begin(),
                                       model.adapters_.end());
  }
  server.known_ = !report.busy_ || server.order_.has_value();
  if (!server.order_ || !server.order_->sent_ || report.busy_) {
    return;
  }
  const auto order = *server.order_;
  const bool present = server.models_.count(order.model_) > 0;
  if (order.kind_ == OrderKind::kLoad && present) {
    Announce({target, order.model_, "", false}, now);
    server.order_.reset();
  } else if (order.kind_ == OrderKind::kUnload && !present) {
    server.order_.reset();
    if (!order.then_load_.empty()) {
      ModelOrder load;
      load.model_ = order.then_load_;
      load.not_before_ = now;
      server.order_ = load;
    }
  } else {
    // It did not take effect so far. The same order with the same expected
    // count takes effect at most once.
    server.order_->sent_ = false;
    server.order_->not_before_ = now + settings_.report_interval_;
  }
}

auto OrderPlanner::OnReportFailed(const std::string& target, TimePoint now)
    -> void {
  const auto found = servers_.find(target);
  if (found != servers_.end()) {
    found->second.calling_ = false;
    ++found->second.failed_reports_;
    found->second.next_report_ = now + kReportRetry;
  }
}

auto OrderPlanner::Summary(std::size_t models) const -> PlacementSummary {
  PlacementSummary summary;
  summary.demand_ = total_demand_;
  summary.store_loads_ = store_loads_.size();
  for (const auto& [id, server] : servers_) {
    if (!server.registration_.leaving_) {
      ++summary.servers_;
      summary.ordering_ += server.order_ ? 1 : 0;
    }
  }
  for (const auto& [model, copies] : copies_) {
    summary.busiest_.push_back({model, Weight(model), copies});
  }
  std::sort(summary.busiest_.begin(), summary.busiest_.end(),
            [](const auto& left, const auto& right) {
              return left.weight_ > right.weight_;
            });
  summary.busiest_.resize(std::min(models, summary.busiest_.size()));
  return summary;
}

auto OrderPlanner::ChangesSince(TimePoint since, TimePoint now) const
    -> std::vector<HoldingChange> {
  std::vector<HoldingChange> changes;
  for (const auto& entry : changes_) {
    if (entry.from_ <= now && entry.from_ >= since) {
      changes.push_back(entry.change_);
    }
  }
  return changes;
}

}  // namespace baobab::gateway
