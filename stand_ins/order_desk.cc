#include "stand_ins/order_desk.h"

#include <algorithm>
#include <utility>

namespace baobab::stand_in {
namespace {

/// Finished orders that the report lists.
constexpr std::size_t kFinishedHistory = 256;

/// Time to release the memory of a model.
constexpr Duration kUnloadTime = std::chrono::milliseconds(200);

auto AllocationName(const CopyName& copy) -> std::string {
  return "model/" + copy.model_ + "@" + copy.version_;
}

}  // namespace

auto OrderDesk::Accept(const Order& order, TimePoint start) -> OrderAnswer {
  if (seen_.count(order.order_id_) != 0) {
    return OrderAnswer::kDuplicate;
  }
  if (honours_fence_ && order.fence_ < fence_) {
    return OrderAnswer::kStaleFence;
  }
  fence_ = std::max(fence_, order.fence_);
  seen_.insert(order.order_id_);
  starting_.emplace(start, order);
  return OrderAnswer::kAccepted;
}

auto OrderDesk::Advance(TimePoint now) -> std::vector<std::string> {
  std::vector<std::string> removed;
  while (const auto due = NextDue()) {
    if (*due > now) {
      break;
    }
    if (!ending_.empty() && ending_.begin()->first == *due) {
      const auto order = ending_.begin()->second;
      ending_.erase(ending_.begin());
      End(order, removed);
    } else {
      const auto order = starting_.begin()->second;
      starting_.erase(starting_.begin());
      Start(order, *due);
    }
  }
  return removed;
}

auto OrderDesk::NextDue() const -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  for (const auto* orders : {&starting_, &ending_}) {
    if (!orders->empty()) {
      const auto due = orders->begin()->first;
      next = next ? std::min(*next, due) : due;
    }
  }
  return next;
}

auto OrderDesk::Start(const Order& order, TimePoint now) -> void {
  if (honours_fence_ && order.fence_ < fence_) {
    // An order that arrived late, after one with a higher number.
    Finish(order, false, "stale_fence");
  } else if (order.kind_ == "load" || order.kind_ == "set_version") {
    StartModel(order, now);
  } else if (order.kind_ == "unload") {
    StartUnload(order, now);
  } else if (order.kind_ == "load_adapter") {
    if (adapters_.count(order.adapter_) == 0) {
      memory_.Allocate("adapter/" + order.adapter_, order.memory_mb_);
    }
    ending_.emplace(weights_.StartAdapter(now), order);
  } else if (order.kind_ == "unload_adapter") {
    const bool present = adapters_.erase(order.adapter_) != 0;
    memory_.Release("adapter/" + order.adapter_);
    Finish(order, present, present ? "" : "not_loaded");
  } else if (order.kind_ == "set_role") {
    role_ = order.role_;
    Finish(order, true, "");
  } else {
    Finish(order, order.kind_ == "cancel",
           order.kind_ == "cancel" ? "" : "unknown_kind");
  }
}

auto OrderDesk::StartModel(const Order& order, TimePoint now) -> void {
  const CopyName copy{order.model_, order.version_};
  if (models_.count(copy) != 0) {
    Finish(order, false, "already_loaded");
    return;
  }
  models_[copy] = {order.memory_mb_, "loading"};
  memory_.Allocate(AllocationName(copy), order.memory_mb_);
  ending_.emplace(weights_.StartModel(now), order);
}

auto OrderDesk::StartUnload(const Order& order, TimePoint now) -> void {
  const auto found = models_.find({order.model_, order.version_});
  if (found == models_.end() || found->second.state_ != "loaded") {
    Finish(order, false, "not_loaded");
    return;
  }
  found->second.state_ = "unloading";
  ending_.emplace(now + kUnloadTime, order);
}

auto OrderDesk::End(const Order& order, std::vector<std::string>& removed)
    -> void {
  const CopyName copy{order.model_, order.version_};
  if (order.kind_ == "load_adapter") {
    adapters_.insert(order.adapter_);
  } else if (order.kind_ == "unload") {
    Remove(copy, &removed);
  } else {
    models_[copy].state_ = "loaded";
    if (order.kind_ == "set_version") {
      EndVersionChange(order);
    }
  }
  Finish(order, true, "");
}

// The new version took its memory before the other ones give theirs back.
auto OrderDesk::EndVersionChange(const Order& order) -> void {
  std::vector<CopyName> others;
  for (const auto& [copy, state] : models_) {
    if (copy.model_ == order.model_ && copy.version_ != order.version_ &&
        state.state_ == "loaded") {
      others.push_back(copy);
    }
  }
  for (const auto& copy : others) {
    Remove(copy, nullptr);
  }
}

auto OrderDesk::Remove(const CopyName& copy, std::vector<std::string>* removed)
    -> void {
  memory_.Release(AllocationName(copy));
  models_.erase(copy);
  if (removed != nullptr && !Holds(copy.model_)) {
    removed->push_back(copy.model_);
  }
}

auto OrderDesk::Outstanding() const -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (const auto* orders : {&starting_, &ending_}) {
    for (const auto& [due, order] : *orders) {
      ids.push_back(order.order_id_);
    }
  }
  return ids;
}

auto OrderDesk::Finish(const Order& order, bool ok, const std::string& reason)
    -> void {
  finished_.push_back({order.order_id_, ok, reason});
  if (finished_.size() > kFinishedHistory) {
    finished_.pop_front();
  }
}

auto OrderDesk::Holds(const std::string& model) const -> bool {
  return std::any_of(models_.begin(), models_.end(), [&](const auto& entry) {
    return entry.first.model_ == model && entry.second.state_ == "loaded";
  });
}

auto OrderDesk::HoldsAdapter(const std::string& adapter) const -> bool {
  return adapters_.count(adapter) != 0;
}

}  // namespace baobab::stand_in
