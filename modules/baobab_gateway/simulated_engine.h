#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/order_types.h"

namespace baobab::gateway::test {

/// What an engine does with orders, for tests of the planner: one order for a
/// model at a time, reports that are some hundred ms old, orders that get no
/// answer and are carried out late.
class SimulatedEngine {
 public:
  static constexpr Duration kLoadTime = std::chrono::milliseconds(4200);
  static constexpr Duration kUnloadTime = std::chrono::milliseconds(300);
  static constexpr Duration kReportAge = std::chrono::milliseconds(250);

  explicit SimulatedEngine(const std::vector<std::string>& models) {
    for (const auto& model : models) {
      models_[model];
    }
  }

  /// Carries out `order` at `now`, or later if `late`.
  auto Receive(const EngineOrder& order, std::optional<TimePoint> late,
               TimePoint now) -> OrderResult {
    if (late) {
      late_.push_back({order, *late});
      return OrderResult::kUnknown;
    }
    return Apply(order, now);
  }

  /// Lets time pass. Returns the loads from the weight store that began.
  auto Advance(TimePoint now) -> std::vector<TimePoint> {
    for (auto entry = late_.begin(); entry != late_.end();) {
      if (entry->second <= now) {
        Apply(entry->first, now);
        entry = late_.erase(entry);
      } else {
        ++entry;
      }
    }
    if (order_ && now >= done_at_) {
      if (order_->kind_ == OrderKind::kLoad) {
        models_[order_->model_];
      } else {
        models_.erase(order_->model_);
      }
      order_.reset();
    }
    history_.emplace_back(now, Current());
    while (history_.size() > 1 && history_[1].first + kReportAge <= now) {
      history_.pop_front();
    }
    return std::exchange(loads_, {});
  }

  /// The report that the engine gives at `now`: its state some time ago.
  [[nodiscard]] auto Report() const -> EngineReport {
    return history_.empty() ? Current() : history_.front().second;
  }

  /// Ends the process and starts another that holds nothing.
  auto Restart(std::int64_t born) -> void {
    models_.clear();
    order_.reset();
    late_.clear();
    history_.clear();
    sequence_ = 0;
    born_ = born;
  }

  [[nodiscard]] auto Models() const -> std::size_t {
    return models_.size() +
           (order_ && order_->kind_ == OrderKind::kLoad ? 1 : 0);
  }
  [[nodiscard]] auto Adapters() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& [model, adapters] : models_) {
      count += adapters.size();
    }
    return count;
  }
  [[nodiscard]] auto Holds(const std::string& model,
                           const std::string& adapter = "") const -> bool {
    const auto found = models_.find(model);
    return found != models_.end() &&
           (adapter.empty() || found->second.count(adapter) > 0);
  }
  [[nodiscard]] auto born() const -> std::int64_t { return born_; }
  [[nodiscard]] auto refused() const -> int { return refused_; }

 private:
  [[nodiscard]] auto Current() const -> EngineReport {
    EngineReport report;
    for (const auto& [model, adapters] : models_) {
      report.models_.push_back({model, {adapters.begin(), adapters.end()}});
    }
    report.busy_ = order_.has_value();
    report.orders_accepted_ = sequence_;
    report.born_ms_ = born_;
    return report;
  }

  auto Apply(const EngineOrder& order, TimePoint now) -> OrderResult {
    if (order.expected_sequence_ && *order.expected_sequence_ != sequence_) {
      ++refused_;
      return OrderResult::kBusyOrOutOfDate;
    }
    if (!order.adapter_.empty() && order_) {
      ++refused_;  // one order at a time
      return OrderResult::kBusyOrOutOfDate;
    }
    if (!order.adapter_.empty()) {
      const auto model = models_.find(order.model_);
      if (model == models_.end()) {
        return OrderResult::kRejected;
      }
      const bool load = order.kind_ == OrderKind::kLoad;
      if (load == (model->second.count(order.adapter_) > 0)) {
        return OrderResult::kHolds;  // not counted
      }
      ++sequence_;
      if (load) {
        model->second.insert(order.adapter_);
        return OrderResult::kAccepted;
      }
      model->second.erase(order.adapter_);
      return OrderResult::kHolds;
    }
    if (order_) {
      ++refused_;
      return OrderResult::kBusyOrOutOfDate;
    }
    if ((order.kind_ == OrderKind::kLoad) ==
        (models_.count(order.model_) > 0)) {
      return OrderResult::kHolds;
    }
    ++sequence_;
    order_ = order;
    done_at_ =
        now + (order.kind_ == OrderKind::kLoad ? kLoadTime : kUnloadTime);
    if (order.kind_ == OrderKind::kLoad) {
      loads_.push_back(now);
    }
    return OrderResult::kAccepted;
  }

  std::map<std::string, std::set<std::string>> models_;
  std::optional<EngineOrder> order_;
  TimePoint done_at_{};
  std::vector<std::pair<EngineOrder, TimePoint>> late_;
  std::deque<std::pair<TimePoint, EngineReport>> history_;
  std::vector<TimePoint> loads_;
  std::int64_t sequence_ = 0;
  std::int64_t born_ = 1;
  int refused_ = 0;
};

}  // namespace baobab::gateway::test
