#include "baobab_gateway/order_planner.h"

// Placement of models.

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <queue>
#include <utility>

namespace baobab::gateway {
namespace {

/// Maximum age of a report of demand; older ones are dropped.
constexpr Duration kMaxDemandReportAge = std::chrono::seconds(2);
/// Gain of the first copy of a model that must have one. Exceeds every gain
/// that follows from demand.
constexpr double kFirstCopyGain = 1e12;

}  // namespace

auto OrderPlanner::UpdateDemand(TimePoint now) -> void {
  const auto elapsed = std::chrono::duration<double>(now - demand_at_);
  demand_at_ = now;
  const auto keep = std::exp(
      -elapsed / std::chrono::duration<double>(settings_.demand_decay_));
  std::erase_if(demand_by_instance_, [now](const auto& item) {
    return now - item.second.second > kMaxDemandReportAge;
  });
  const auto weight = 1 - std::exp(-elapsed / std::chrono::duration<double>(
                                                  settings_.demand_smoothing_));
  std::map<std::string, double> current;
  for (const auto& [instance, report] : demand_by_instance_) {
    for (const auto& [model, share] : report.first) {
      current[model] += share;
      demand_.try_emplace(model);
    }
  }
  const auto fast_weight =
      1 - std::exp(-elapsed / std::chrono::duration<double>(
                                  settings_.fast_demand_smoothing_));
  for (auto& [model, demand] : demand_) {
    demand.smoothed_ += (current[model] - demand.smoothed_) * weight;
    demand.fast_smoothed_ +=
        (current[model] - demand.fast_smoothed_) * fast_weight;
  }
  total_demand_ = 0;
  max_demand_ = 0;
  for (auto& [model, demand] : demand_) {
    demand.decaying_peak_ =
        std::max(demand.decaying_peak_ * keep, demand.smoothed_);
    total_demand_ += demand.smoothed_;
    max_demand_ = std::max(max_demand_, demand.smoothed_);
  }
}

auto OrderPlanner::PlacementDemand(const std::string& model) const -> double {
  const auto found = demand_.find(model);
  if (found == demand_.end()) {
    return 0;
  }
  const auto& demand = found->second;
  // A model whose requests have ceased keeps at least a third of its decaying
  // peak.
  auto weight = std::max(demand.smoothed_, demand.decaying_peak_ / 3);
  if (demand.fast_smoothed_ >= settings_.min_fast_demand_) {
    weight = std::max(weight, demand.fast_smoothed_);
  }
  return demand.smoothed_ >= settings_.rising_demand_share_ * total_demand_
             ? std::max(weight, settings_.rising_demand_weight_ * max_demand_)
             : weight;
}

auto OrderPlanner::MayLoadFromStore(const EngineSpec& engine,
                                    std::size_t planned, TimePoint now)
    -> bool {
  while (!store_loads_.empty() &&
         now - store_loads_.front() > settings_.weight_store_rate_window_) {
    store_loads_.pop_front();
  }
  const auto most =
      settings_.store_load_share_ * engine.max_store_loads_per_second_ *
      std::chrono::duration<double>(settings_.weight_store_rate_window_)
          .count();
  return static_cast<double>(store_loads_.size() + planned) + 1 <= most;
}

auto OrderPlanner::PlannedStoreLoads() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& item) {
        const auto& order = item.second.order_;
        if (!order) {
          return false;
        }
        const auto& load = order->kind_ == OrderKind::kLoad
                               ? order->model_
                               : order->load_after_unload_;
        const bool pending =
            order->kind_ == OrderKind::kUnload || !order->sent_;
        return pending && !load.empty() &&
               item.second.cached_models_.count(load) == 0;
      }));
}

auto OrderPlanner::GainOfCopy(const ModelPlacement& model) const -> double {
  if (model.copies_ > 0) {
    return model.demand_ / static_cast<double>(model.copies_ + 1);
  }
  return all_fit_ || model.demand_ > settings_.negligible_demand_
             ? kFirstCopyGain
             : settings_.unused_copy_value_;
}

auto OrderPlanner::CostOfCopy(const ModelPlacement& model) const -> double {
  if (model.copies_ > 1) {
    return model.demand_ / static_cast<double>(model.copies_ - 1);
  }
  return all_fit_ || model.demand_ > settings_.negligible_demand_
             ? std::numeric_limits<double>::max()
             : settings_.unused_copy_value_;
}

auto OrderPlanner::NeedOfCopy(const ModelPlacement& model) const -> double {
  if (model.copies_ <= 0) {
    return settings_.first_copy_need_ + model.demand_;
  }
  const auto share = model.demand_ / static_cast<double>(model.copies_);
  return share > settings_.busy_copy_demand_ ? share : 0;
}

auto OrderPlanner::WouldBlockAdapters(const PlacementPass& pass,
                                      const OpenTarget& target) -> bool {
  return std::any_of(target.residents_.begin(), target.residents_.end(),
                     [&pass](const auto& resident) {
                       const auto& model = pass.models_[resident.first];
                       return model.adapters_in_use_ && model.free_copies_ <= 1;
                     });
}

auto OrderPlanner::BeginPass(const std::string& service,
                             const EngineSpec& engine, TimePoint now)
    -> PlacementPass {
  PlacementPass pass;
  pass.planned_store_loads_ = PlannedStoreLoads();
  pass.models_.reserve(engine.models_.size());
  for (const auto& spec : engine.models_) {
    const auto used = adapters_used_.find(spec.name_);
    pass.models_.push_back(
        {&spec, PlacementDemand(spec.name_), 0, 0,
         used != adapters_used_.end() &&
             now - used->second <= settings_.adapter_in_use_period_});
  }
  const auto find = [this, &engine, &pass](const std::string& model) {
    const auto* spec = FindModelSpec(engine, model);
    return spec == nullptr ? nullptr
                           : &pass.models_[static_cast<std::size_t>(
                                 spec - engine.models_.data())];
  };
  for (auto& [id, server] : servers_) {
    if (server.registration_.service_ != service ||
        server.registration_.draining_) {
      continue;
    }
    pass.memory_mb_ += engine.weight_memory_mb_;
    pass.all_known_ =
        pass.all_known_ && (server.report_read_ || server.failed_reports_ > 1);
    OpenTarget open;
    open.id_ = &id;
    open.state_ = &server;
    open.used_mb_ = UsedMb(server, engine);
    if (server.models_.empty() && !server.report_read_) {
      // An engine that does not respond is not necessarily gone: until its
      // registration is, its models count as loaded.
      for (const auto& registered : server.registration_.models_) {
        if (auto* model = find(registered.name_)) {
          ++model->copies_;
        }
      }
    }
    for (const auto& [name, adapters] : server.models_) {
      if (auto* model = find(name)) {
        ++model->copies_;
        model->free_copies_ += server.order_ ? 0 : 1;
        open.residents_.emplace_back(
            model - pass.models_.data(),
            model->spec_->memory_mb_ +
                model->spec_->adapter_mb_ *
                    static_cast<double>(adapters.size()));
      }
    }
    if (!server.order_) {
      if (server.contents_known_) {
        pass.targets_.push_back(std::move(open));
      }
      continue;
    }
    const auto& order = *server.order_;
    auto* model = find(order.model_);
    if (order.kind_ == OrderKind::kLoad) {
      if (model != nullptr && server.models_.count(order.model_) == 0) {
        ++model->copies_;
      }
    } else {
      if (model != nullptr) {
        --model->copies_;
      }
      if (auto* next = find(order.load_after_unload_)) {
        ++next->copies_;
      }
    }
  }
  return pass;
}

auto OrderPlanner::PlaceCopy(const EngineSpec& engine, PlacementPass& pass,
                             std::size_t index, TimePoint now) -> bool {
  auto& model = pass.models_[index];
  const auto& name = model.spec_->name_;
  const auto gain = GainOfCopy(model);
  const bool may_load_from_store =
      MayLoadFromStore(engine, pass.planned_store_loads_, now);
  auto best = pass.targets_.end();
  bool best_is_cached = false;
  std::optional<std::size_t> best_victim;
  double best_cost = std::numeric_limits<double>::max();
  for (auto target = pass.targets_.begin(); target != pass.targets_.end();
       ++target) {
    const auto& residents = target->residents_;
    const bool is_resident = std::any_of(
        residents.begin(), residents.end(),
        [index](const auto& resident) { return resident.first == index; });
    if (is_resident || WouldBlockAdapters(pass, *target)) {
      continue;
    }
    const bool cached = target->state_->cached_models_.count(name) > 0;
    if (!cached && !may_load_from_store) {
      continue;
    }
    // The cost is the demand that the evicted copy serves. A load from the
    // weight store costs more than one from the target's host memory or disk.
    double cost = cached ? 0 : settings_.busy_copy_demand_ / 20;
    std::optional<std::size_t> victim;
    const auto needed_mb = target->used_mb_ + model.spec_->memory_mb_;
    if (needed_mb > engine.weight_memory_mb_) {
      double least = std::numeric_limits<double>::max();
      for (const auto& [resident, memory_mb] : residents) {
        const auto lost = CostOfCopy(pass.models_[resident]);
        if (needed_mb - memory_mb <= engine.weight_memory_mb_ && lost < least) {
          least = lost;
          victim = resident;
        }
      }
      // Before any demand is known, the current placement is the best estimate
      // of the demand: nothing is evicted unless all models fit.
      if (!victim || (total_demand_ <= 0 && !all_fit_) ||
          gain < settings_.min_replacement_gain_ratio_ * least) {
        continue;
      }
      cost += least;
    }
    if (cost < best_cost) {
      best = target;
      best_is_cached = cached;
      best_victim = victim;
      best_cost = cost;
    }
  }
  if (best == pass.targets_.end()) {
    return false;
  }
  ModelOrder order;
  if (!best_victim) {
    order.kind_ = OrderKind::kLoad;
    order.model_ = name;
    order.not_before_ = now;
  } else {
    auto& victim = pass.models_[*best_victim];
    order.kind_ = OrderKind::kUnload;
    order.model_ = victim.spec_->name_;
    order.load_after_unload_ = name;
    order.not_before_ = now + settings_.unload_announcement_time_;
    Announce({*best->id_, order.model_, "", true}, now);
    --victim.copies_;
  }
  for (const auto& [resident, memory_mb] : best->residents_) {
    --pass.models_[resident].free_copies_;
  }
  best->state_->order_ = order;
  pass.targets_.erase(best);
  pass.planned_store_loads_ += best_is_cached ? 0 : 1;
  ++model.copies_;
  return true;
}

auto OrderPlanner::PlanModels(const std::string& service,
                              const EngineSpec& engine, TimePoint now) -> void {
  auto pass = BeginPass(service, engine, now);
  double models_mb = 0;
  for (const auto& model : engine.models_) {
    models_mb += model.memory_mb_;
  }
  all_fit_ = models_mb <= settings_.max_fit_share_ * pass.memory_mb_;
  if (pass.all_known_) {  // else a target that has not reported may hold a copy
    // Places models in descending order of need. One model may get several
    // copies in succession while its need is the largest: a shift of demand
    // requires many copies of one model at once.
    std::priority_queue<std::pair<double, std::size_t>> by_need;
    for (std::size_t i = 0; i < pass.models_.size(); ++i) {
      if (const auto need = NeedOfCopy(pass.models_[i]); need > 0) {
        by_need.emplace(need, i);
      }
    }
    std::vector<int> placed(pass.models_.size());
    while (!by_need.empty()) {
      const auto index = by_need.top().second;
      by_need.pop();
      if (!PlaceCopy(engine, pass, index, now)) {
        continue;
      }
      const auto need = NeedOfCopy(pass.models_[index]);
      if (++placed[index] < settings_.max_copies_per_plan_ && need > 0) {
        by_need.emplace(need, index);
      }
    }
  }
  copies_.clear();
  for (const auto& model : pass.models_) {
    copies_[model.spec_->name_] = model.copies_;
  }
}

}  // namespace baobab::gateway
