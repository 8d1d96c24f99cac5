#include "baobab_gateway/order_planner.h"

// Placement of models.

#include <algorithm>
#include <cmath>
#include <limits>
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

auto OrderPlanner::GainOfCopy(const std::string& model) const -> double {
  const auto found = copies_.find(model);
  const auto copies = found == copies_.end() ? 0 : found->second;
  const auto weight = PlacementDemand(model);
  if (copies > 0) {
    return weight / static_cast<double>(copies + 1);
  }
  return all_fit_ || weight > settings_.negligible_demand_
             ? kFirstCopyGain
             : settings_.unused_copy_value_;
}

auto OrderPlanner::CostOfCopy(const std::string& model) const -> double {
  const auto found = copies_.find(model);
  const auto copies = found == copies_.end() ? 0 : found->second;
  const auto weight = PlacementDemand(model);
  if (copies > 1) {
    return weight / static_cast<double>(copies - 1);
  }
  return all_fit_ || weight > settings_.negligible_demand_
             ? std::numeric_limits<double>::max()
             : settings_.unused_copy_value_;
}

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

auto OrderPlanner::WouldBlockAdapters(const TargetState& server,
                                      TimePoint now) const -> bool {
  return std::any_of(
      server.models_.begin(), server.models_.end(), [this, now](const auto& e) {
        const auto used = adapters_used_.find(e.first);
        const auto free = free_copies_.find(e.first);
        return used != adapters_used_.end() &&
               now - used->second <= settings_.adapter_in_use_period_ &&
               free != free_copies_.end() && free->second <= 1;
      });
}

auto OrderPlanner::PlaceCopy(const std::string& service,
                             const EngineSpec& engine, const std::string& model,
                             TimePoint now) -> bool {
  const auto* spec = FindModelSpec(engine, model);
  if (spec == nullptr) {
    return false;
  }
  const auto gain = GainOfCopy(model);
  const bool may_load_from_store =
      MayLoadFromStore(engine, PlannedStoreLoads(), now);
  TargetState* best = nullptr;
  std::string best_id;
  std::string best_victim;
  double best_cost = std::numeric_limits<double>::max();
  for (auto& [id, server] : servers_) {
    if (server.registration_.service_ != service || !server.contents_known_ ||
        server.registration_.draining_ || server.order_ ||
        server.models_.count(model) > 0 || WouldBlockAdapters(server, now)) {
      continue;
    }
    const bool cached = server.cached_models_.count(model) > 0;
    if (!cached && !may_load_from_store) {
      continue;
    }
    // The cost is the demand that the evicted copy serves. A load from the
    // weight store costs more than one from the target's host memory or disk.
    double cost = cached ? 0 : settings_.busy_copy_demand_ / 20;
    std::string victim;
    const auto used_mb = UsedMb(server, engine);
    if (used_mb + spec->memory_mb_ > engine.weight_memory_mb_) {
      double least = std::numeric_limits<double>::max();
      for (const auto& [resident, adapters] : server.models_) {
        const auto* resident_spec = FindModelSpec(engine, resident);
        if (resident_spec == nullptr ||
            used_mb - resident_spec->memory_mb_ -
                    resident_spec->adapter_mb_ *
                        static_cast<double>(adapters.size()) +
                    spec->memory_mb_ >
                engine.weight_memory_mb_) {
          continue;
        }
        const auto lost = CostOfCopy(resident);
        if (lost < least) {
          least = lost;
          victim = resident;
        }
      }
      // Before any demand is known, the current placement is the best estimate
      // of the demand: nothing is evicted unless all models fit.
      if (victim.empty() || (total_demand_ <= 0 && !all_fit_) ||
          gain < settings_.min_replacement_gain_ratio_ * least) {
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
    order.load_after_unload_ = model;
    order.not_before_ = now + settings_.unload_announcement_time_;
    Announce({best_id, best_victim, "", true}, now);
    --copies_[best_victim];
  }
  for (const auto& [resident, adapters] : best->models_) {
    --free_copies_[resident];
  }
  best->order_ = order;
  ++copies_[model];
  return true;
}

auto OrderPlanner::PlanModels(const std::string& service,
                              const EngineSpec& engine, TimePoint now) -> void {
  copies_.clear();
  free_copies_.clear();
  bool all_known = true;
  double room_mb = 0;
  for (const auto& [id, server] : servers_) {
    if (server.registration_.service_ != service ||
        server.registration_.draining_) {
      continue;
    }
    room_mb += engine.weight_memory_mb_;
    all_known =
        all_known && (server.report_read_ || server.failed_reports_ > 1);
    for (const auto& [model, adapters] : server.models_) {
      ++copies_[model];
      free_copies_[model] += server.order_ ? 0 : 1;
    }
    if (server.order_) {
      const auto& order = *server.order_;
      if (order.kind_ == OrderKind::kLoad &&
          server.models_.count(order.model_) == 0) {
        ++copies_[order.model_];
      } else if (order.kind_ == OrderKind::kUnload) {
        --copies_[order.model_];
        copies_[order.load_after_unload_] +=
            order.load_after_unload_.empty() ? 0 : 1;
      }
    }
  }
  double models_mb = 0;
  for (const auto& model : engine.models_) {
    models_mb += model.memory_mb_;
  }
  all_fit_ = models_mb <= settings_.max_fit_share_ * room_mb;
  if (!all_known) {
    return;  // a target that has not reported yet may hold a copy
  }
  // Places models in descending order of need_of(). One model may get several
  // copies in succession while its need is the largest: a shift of demand
  // requires many copies of one model at once.
  std::priority_queue<std::pair<double, std::string>> by_need;
  const auto need_of = [this](const std::string& model) {
    const auto weight = PlacementDemand(model);
    const auto copies = copies_[model];
    if (copies <= 0) {
      return settings_.first_copy_need_ + weight;
    }
    const auto share = weight / static_cast<double>(copies);
    return share > settings_.busy_copy_demand_ ? share : 0;
  };
  for (const auto& model : engine.models_) {
    if (const auto missing = need_of(model.name_); missing > 0) {
      by_need.emplace(missing, model.name_);
    }
  }
  std::map<std::string, int> placed;
  while (!by_need.empty()) {
    const auto model = by_need.top().second;
    by_need.pop();
    if (!PlaceCopy(service, engine, model, now)) {
      continue;
    }
    const auto missing = need_of(model);
    if (++placed[model] < settings_.max_copies_per_plan_ && missing > 0) {
      by_need.emplace(missing, model);
    }
  }
}

}  // namespace baobab::gateway
