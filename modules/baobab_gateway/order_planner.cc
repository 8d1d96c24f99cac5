#include "baobab_gateway/order_planner.h"

#include <algorithm>
#include <utility>

namespace baobab::gateway {
namespace {

/// Interval of model placement decisions.
constexpr Duration kPlanInterval = std::chrono::milliseconds(250);
/// Time for which changes stay in the reports to peers: until the registration
/// of the target includes them, which may be delayed by a heartbeat and by the
/// delivery of a watch event.
constexpr Duration kMaxChangeAge = std::chrono::seconds(3);
/// Delay before a failed report request is retried.
constexpr Duration kReportRetryDelay = std::chrono::milliseconds(700);

}  // namespace

auto OrderPlanner::SetManifest(const Manifest& manifest) -> void {
  services_.clear();
  for (const auto& service : manifest.services_) {
    auto& own = services_[service.name_];
    own = service;
    if (own.engine_) {
      // Sorted because FindModelSpec() searches by name for every target that a
      // plan considers.
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
    if (FindEngine(registration.service_) == nullptr) {
      continue;
    }
    auto& server = servers_[id];
    if (server.registration_.start_time_ms_ != registration.start_time_ms_ ||
        server.registration_.endpoint_ != registration.endpoint_) {
      const bool calling = server.call_in_progress_;
      server = TargetState();
      server.call_in_progress_ = calling;
    }
    server.registration_ = registration;
    server.cached_models_.clear();
    server.cached_models_.insert(registration.models_in_host_memory_.begin(),
                                 registration.models_in_host_memory_.end());
    server.cached_models_.insert(registration.models_on_disk_.begin(),
                                 registration.models_on_disk_.end());
    if (!server.contents_known_) {
      server.next_report_ = std::min(server.next_report_, now);
    }
  }
}

auto OrderPlanner::StartTerm(bool may_have_loaded, TimePoint now) -> void {
  for (auto& [id, server] : servers_) {
    server.contents_known_ = false;
    server.report_read_ = false;
    server.order_.reset();
    server.next_report_ = now;
  }
  store_loads_.clear();
  changes_.clear();
  if (may_have_loaded) {
    for (const auto& [name, service] : services_) {
      if (service.engine_) {
        const auto loads =
            service.engine_->max_store_loads_per_second_ *
            std::chrono::duration<double>(settings_.weight_store_rate_window_)
                .count();
        store_loads_.insert(store_loads_.end(), static_cast<std::size_t>(loads),
                            now);
      }
    }
  }
}

auto OrderPlanner::FindEngine(const std::string& service) const
    -> const EngineSpec* {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.engine_
             ? &*found->second.engine_
             : nullptr;
}

auto OrderPlanner::FindModelSpec(const EngineSpec& engine,
                                 const std::string& model) const
    -> const ModelSpec* {
  const auto found =
      std::lower_bound(engine.models_.begin(), engine.models_.end(), model,
                       [](const ModelSpec& spec, const std::string& name) {
                         return spec.name_ < name;
                       });
  return found == engine.models_.end() || found->name_ != model ? nullptr
                                                                : &*found;
}

auto OrderPlanner::UsedMb(const TargetState& server,
                          const EngineSpec& engine) const -> double {
  double used = 0;
  for (const auto& [model, adapters] : server.models_) {
    if (const auto* spec = FindModelSpec(engine, model)) {
      used += spec->memory_mb_ +
              spec->adapter_mb_ * static_cast<double>(adapters.size());
    } else {
      // The size of a model that the manifest no longer names is unknown: the
      // engine counts as full.
      used += engine.weight_memory_mb_;
    }
  }
  if (server.order_ && server.order_->kind_ == OrderKind::kLoad &&
      server.models_.count(server.order_->model_) == 0) {
    if (const auto* spec = FindModelSpec(engine, server.order_->model_)) {
      used += spec->memory_mb_;
    }
  }
  return used;
}

auto OrderPlanner::AdapterCount(const TargetState& server) const
    -> std::size_t {
  std::size_t count = 0;
  for (const auto& [model, adapters] : server.models_) {
    count += adapters.size();
  }
  return count;
}

auto OrderPlanner::OnPeerDemand(
    const std::string& instance, const std::map<std::string, double>& demand,
    const std::vector<MissingAdapter>& missing_adapters,
    const std::vector<AdapterUse>& uses, TimePoint now) -> void {
  demand_by_instance_[instance] = {demand, now};
  for (const auto& missing : missing_adapters) {
    missing_adapters_[{missing.model_, missing.adapter_}] = {missing, now};
    adapters_used_[missing.model_] = now;
  }
  for (const auto& use : uses) {
    adapters_used_[use.model_] = now;
    const auto server = servers_.find(use.target_);
    if (server != servers_.end()) {
      server->second.adapter_last_used_[{use.model_, use.adapter_}] = now;
    }
  }
}

auto OrderPlanner::MakeOrder(const std::string& id, const TargetState& server,
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

auto OrderPlanner::Announce(LoadedModelChange change, TimePoint from) -> void {
  std::erase_if(changes_, [&change](const Change& entry) {
    return entry.change_.target_ == change.target_ &&
           entry.change_.model_ == change.model_ &&
           entry.change_.adapter_ == change.adapter_;
  });
  models_changed_ = models_changed_ || change.adapter_.empty();
  changes_.push_back({std::move(change), from});
}

auto OrderPlanner::Advance(const std::string& id, TargetState& server,
                           TimePoint now, std::vector<PlannerAction>& actions)
    -> void {
  if (server.call_in_progress_) {
    return;
  }
  if (!server.contents_known_ || (server.order_ && server.order_->sent_)) {
    if (now >= server.next_report_) {
      server.call_in_progress_ = true;
      server.next_report_ = now;
      actions.push_back({PlannerAction::Kind::kReport, id, {}});
    }
    return;
  }
  if (server.order_ && now >= server.order_->not_before_) {
    const auto* engine = FindEngine(server.registration_.service_);
    if (server.order_->kind_ == OrderKind::kLoad &&
        server.cached_models_.count(server.order_->model_) == 0) {
      if (engine == nullptr || !MayLoadFromStore(*engine, 0, now)) {
        return;
      }
      store_loads_.push_back(now);
    }
    server.call_in_progress_ = true;
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
    while (!changes_.empty() && now - changes_.front().from_ > kMaxChangeAge) {
      changes_.pop_front();
    }
  }
  for (auto& [id, server] : servers_) {
    if (!server.registration_.draining_) {
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
  server.call_in_progress_ = false;
  const bool done = result == OrderResult::kAccepted ||
                    result == OrderResult::kAlreadyInEffect;
  if (done) {
    server.sequence_ = order.expected_sequence_.value_or(server.sequence_) + 1;
    server.accepted_at_ = now;
  }
  if (!order.adapter_.empty()) {
    auto& adapters = server.models_[order.model_];
    if (done && order.kind_ == OrderKind::kLoad) {
      adapters.insert(order.adapter_);
      server.adapter_last_used_[{order.model_, order.adapter_}] = now;
      Announce({order.target_, order.model_, order.adapter_, false},
               now + settings_.adapter_load_time_);
    } else if (done) {
      adapters.erase(order.adapter_);
    } else {
      // The engine gets no further orders until a report lists its adapters.
      server.contents_known_ = false;
      server.next_report_ = now + settings_.report_interval_;
      server.adapter_last_used_[{order.model_, order.adapter_}] = now;
      if (order.kind_ == OrderKind::kLoad) {
        // Records the adapter as missing again, so that another engine gets the
        // order at once, before the instances repeat their reports.
        missing_adapters_[{order.model_, order.adapter_}] = {
            {server.registration_.service_, order.model_, order.adapter_, 1},
            now};
      }
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
    // The order may be carried out later: its memory counts as used until a
    // report shows the outcome.
    server.next_report_ = now + settings_.report_interval_;
  } else {
    server.order_.reset();
    server.contents_known_ = false;
    server.next_report_ = now + settings_.report_interval_;
  }
}

auto OrderPlanner::OnNotSent(const EngineOrder& order, TimePoint now) -> void {
  const auto found = servers_.find(order.target_);
  if (found == servers_.end()) {
    return;
  }
  auto& server = found->second;
  server.call_in_progress_ = false;
  server.next_adapter_order_at_ = now + kPlanInterval;
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
  server.call_in_progress_ = false;
  server.failed_reports_ = 0;
  server.next_report_ = now + settings_.report_interval_;
  // A report is some hundred ms old and may lack the last orders that the
  // engine accepted. A restarted engine counts its orders from zero.
  const bool same_start =
      report.start_time_ms_ == server.reported_start_time_ms_;
  // `sequence_` also counts orders that were already in effect, which the
  // engine does not count; after report_lag_ the number in the report is
  // correct.
  if (same_start && report.orders_accepted_ < server.sequence_ &&
      now - server.accepted_at_ < settings_.report_lag_) {
    return;
  }
  server.report_read_ = true;
  server.reported_start_time_ms_ = report.start_time_ms_;
  server.sequence_ = report.orders_accepted_;
  server.models_.clear();
  for (const auto& model : report.models_) {
    server.models_[model.name_].insert(model.adapters_.begin(),
                                       model.adapters_.end());
  }
  server.contents_known_ = !report.busy_ || server.order_.has_value();
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
    if (!order.load_after_unload_.empty()) {
      ModelOrder load;
      load.model_ = order.load_after_unload_;
      load.not_before_ = now;
      server.order_ = load;
    }
  } else {
    // The order has not taken effect so far. A retry is safe: an order with an
    // unchanged expected number of orders takes effect at most once.
    server.order_->sent_ = false;
    server.order_->not_before_ = now + settings_.report_interval_;
  }
}

auto OrderPlanner::OnReportFailed(const std::string& target, TimePoint now)
    -> void {
  const auto found = servers_.find(target);
  if (found != servers_.end()) {
    found->second.call_in_progress_ = false;
    ++found->second.failed_reports_;
    found->second.next_report_ = now + kReportRetryDelay;
  }
}

auto OrderPlanner::Summary(std::size_t models) const -> PlacementSummary {
  PlacementSummary summary;
  summary.demand_ = total_demand_;
  summary.store_loads_ = store_loads_.size();
  for (const auto& [id, server] : servers_) {
    if (!server.registration_.draining_) {
      ++summary.servers_;
      summary.ordering_ += server.order_ ? 1 : 0;
    }
  }
  for (const auto& [model, copies] : copies_) {
    summary.busiest_.push_back({model, PlacementDemand(model), copies});
  }
  std::sort(summary.busiest_.begin(), summary.busiest_.end(),
            [](const auto& left, const auto& right) {
              return left.weight_ > right.weight_;
            });
  summary.busiest_.resize(std::min(models, summary.busiest_.size()));
  return summary;
}

auto OrderPlanner::ChangesSince(TimePoint since, TimePoint now) const
    -> std::vector<LoadedModelChange> {
  std::vector<LoadedModelChange> changes;
  for (const auto& entry : changes_) {
    if (entry.from_ <= now && entry.from_ >= since) {
      changes.push_back(entry.change_);
    }
  }
  return changes;
}

}  // namespace baobab::gateway
