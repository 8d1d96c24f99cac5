#include "baobab_gateway/order_planner.h"

// Placement of adapters.

#include <optional>
#include <utility>

namespace baobab::gateway {
namespace {

/// Maximum age of a report of a missing adapter; older ones are dropped.
constexpr Duration kMaxMissingAdapterAge = std::chrono::milliseconds(600);
/// Minimum interval between two report requests to a target that are caused by
/// a missing adapter that the target has already loaded as far as the planner
/// knows.
constexpr Duration kVerifyInterval = std::chrono::milliseconds(500);

}  // namespace

auto OrderPlanner::PlanAdapters(TimePoint now,
                                std::vector<PlannerAction>& actions) -> void {
  for (auto entry = missing_adapters_.begin();
       entry != missing_adapters_.end();) {
    const auto& [missing, at] = entry->second;
    if (now - at > kMaxMissingAdapterAge) {
      entry = missing_adapters_.erase(entry);
      continue;
    }
    const auto* engine = FindEngine(missing.service_);
    TargetState* best = nullptr;
    std::string best_id;
    bool best_free = false;
    bool held = false;
    std::size_t best_count = 0;
    for (auto& [id, server] : servers_) {
      if (engine == nullptr ||
          server.registration_.service_ != missing.service_ ||
          server.registration_.draining_ || !server.contents_known_) {
        continue;
      }
      const auto model = server.models_.find(missing.model_);
      if (model == server.models_.end()) {
        continue;
      }
      if (model->second.count(missing.adapter_) > 0) {
        held = true;
        Announce({id, missing.model_, missing.adapter_, false}, now);
        if (now - server.next_report_ > kVerifyInterval &&
            !server.call_in_progress_) {
          server.call_in_progress_ = true;
          server.next_report_ = now;
          actions.push_back({PlannerAction::Kind::kReport, id, {}});
        }
        break;
      }
      // An engine with an order for a model in progress rejects other orders.
      if (server.call_in_progress_ || now < server.next_adapter_order_at_ ||
          (server.order_ &&
           (server.order_->sent_ || server.order_->model_ == missing.model_))) {
        continue;
      }
      const auto count = AdapterCount(server);
      const auto* spec = FindModelSpec(*engine, missing.model_);
      const bool free = count < engine->adapter_slots_ && spec != nullptr &&
                        UsedMb(server, *engine) + spec->adapter_mb_ <=
                            engine->weight_memory_mb_;
      if (best == nullptr ||
          std::pair(!free, count) < std::pair(!best_free, best_count)) {
        best = &server;
        best_id = id;
        best_free = free;
        best_count = count;
      }
    }
    if (held) {
      entry = missing_adapters_.erase(entry);
      continue;
    }
    if (best == nullptr) {
      ++entry;
      continue;
    }
    if (best_free) {
      best->call_in_progress_ = true;
      actions.push_back({PlannerAction::Kind::kOrder, best_id,
                         MakeOrder(best_id, *best, OrderKind::kLoad,
                                   missing.model_, missing.adapter_)});
      entry = missing_adapters_.erase(entry);
      continue;
    }
    // Evicts the least recently used adapter, unless it was in use recently.
    std::optional<std::pair<std::string, std::string>> victim;
    TimePoint oldest = now - settings_.min_adapter_idle_;
    for (const auto& [model, adapters] : best->models_) {
      for (const auto& adapter : adapters) {
        const auto used = best->adapter_last_used_.find({model, adapter});
        const auto last =
            used == best->adapter_last_used_.end() ? TimePoint{} : used->second;
        if (last < oldest) {
          oldest = last;
          victim = {model, adapter};
        }
      }
    }
    if (victim) {
      best->call_in_progress_ = true;
      Announce({best_id, victim->first, victim->second, true}, now);
      actions.push_back({PlannerAction::Kind::kOrder, best_id,
                         MakeOrder(best_id, *best, OrderKind::kUnload,
                                   victim->first, victim->second)});
    }
    ++entry;
  }
}

}  // namespace baobab::gateway
