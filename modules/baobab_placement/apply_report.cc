#include <algorithm>

#include "baobab_placement/order_tracker.h"

namespace baobab::placement {
namespace {

// Returns what the report proves of the order, or an empty optional if the
// order may still take effect later.
auto ProvenEvent(const OutstandingOrder& order, const CopyKey& key,
                 const ServerReport& report, bool honours_fence)
    -> std::optional<CopyEvent> {
  const bool present = report.contents_.contains(key);
  if (report.finished_.contains(order.id_)) {
    if (order.kind_ == OrderKind::kLoad) {
      return present ? CopyEvent::kLoadProven : CopyEvent::kLoadFailed;
    }
    return present ? CopyEvent::kUnloadFailed : CopyEvent::kUnloadProven;
  }
  if (honours_fence && report.fence_ > order.fence_ &&
      !report.running_.contains(order.id_)) {
    return CopyEvent::kOrderFenced;
  }
  return std::nullopt;
}

auto ReplaceEngine(const ServerReport& report, ServerRecord* record) -> void {
  record->engine_ = report.engine_;
  record->copies_.clear();
  for (const auto& [key, memory] : report.contents_) {
    record->copies_.emplace(
        key, ModelCopy{CopyPhase::kResident, memory, std::nullopt});
  }
}

}  // namespace

auto ApplyReport(const ServerRecord& record, const ServerReport& report,
                 bool honours_fence) -> ServerRecord {
  auto result = record;
  if (report.engine_ != record.engine_) {
    // Orders are bound to the process they were written for, so none of them
    // can reach the new one.
    ReplaceEngine(report, &result);
    return result;
  }
  for (auto copy = result.copies_.begin(); copy != result.copies_.end();) {
    auto& state = copy->second;
    const auto event = state.order_ ? ProvenEvent(*state.order_, copy->first,
                                                  report, honours_fence)
                                    : std::nullopt;
    const auto phase =
        event ? Advance(state.phase_, *event) : std::optional(state.phase_);
    if (!phase) {
      copy = result.copies_.erase(copy);
      continue;
    }
    if (event) {
      state.phase_ = *phase;
      state.order_.reset();
    }
    ++copy;
  }
  return result;
}

}  // namespace baobab::placement
