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

/// Simulates an engine that executes load and unload orders, for planner tests.
///
/// It executes one model order at a time and its reports lag by kReportAge. An
/// order can be delayed: its sender gets no result, and it takes effect later.
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

  /// Executes `order` at `now`. With `delayed_until`, returns kUnknown and
  /// executes it at that time.
  auto Receive(const EngineOrder& order, std::optional<TimePoint> delayed_until,
               TimePoint now) -> OrderResult {
    if (delayed_until) {
      delayed_orders_.push_back({order, *delayed_until});
      return OrderResult::kUnknown;
    }
    return ApplyOrder(order, now);
  }

  /// Advances the simulation to `now`. Returns the start times of model loads
  /// from the weight store since the last call.
  auto Advance(TimePoint now) -> std::vector<TimePoint> {
    for (auto delayed = delayed_orders_.begin();
         delayed != delayed_orders_.end();) {
      if (delayed->second <= now) {
        ApplyOrder(delayed->first, now);
        delayed = delayed_orders_.erase(delayed);
      } else {
        ++delayed;
      }
    }
    if (running_order_ && now >= order_done_at_) {
      if (running_order_->kind_ == OrderKind::kLoad) {
        models_[running_order_->model_];
      } else {
        models_.erase(running_order_->model_);
      }
      running_order_.reset();
    }
    report_history_.emplace_back(now, CurrentReport());
    while (report_history_.size() > 1 &&
           report_history_[1].first + kReportAge <= now) {
      report_history_.pop_front();
    }
    return std::exchange(store_loads_, {});
  }

  /// Returns the report that the engine sends now: the latest recorded state
  /// that is at least kReportAge old, or the oldest one if all are newer.
  [[nodiscard]] auto Report() const -> EngineReport {
    return report_history_.empty() ? CurrentReport()
                                   : report_history_.front().second;
  }

  /// Simulates a restart of the engine process, after which nothing is loaded.
  /// `start_time` is the start time of the new process (Unix time in
  /// milliseconds).
  auto Restart(std::int64_t start_time) -> void {
    models_.clear();
    running_order_.reset();
    delayed_orders_.clear();
    report_history_.clear();
    sequence_ = 0;
    start_time_ = start_time;
  }

  [[nodiscard]] auto Models() const -> std::size_t {
    return models_.size() +
           (running_order_ && running_order_->kind_ == OrderKind::kLoad ? 1
                                                                        : 0);
  }
  [[nodiscard]] auto Adapters() const -> std::size_t {
    std::size_t count = 0;
    for (const auto& [model, adapters] : models_) {
      count += adapters.size();
    }
    return count;
  }
  [[nodiscard]] auto HasLoaded(const std::string& model,
                               const std::string& adapter = "") const -> bool {
    const auto found = models_.find(model);
    return found != models_.end() &&
           (adapter.empty() || found->second.count(adapter) > 0);
  }
  [[nodiscard]] auto start_time() const -> std::int64_t { return start_time_; }
  [[nodiscard]] auto refused() const -> int { return refused_; }

 private:
  [[nodiscard]] auto CurrentReport() const -> EngineReport {
    EngineReport report;
    for (const auto& [model, adapters] : models_) {
      report.models_.push_back({model, {adapters.begin(), adapters.end()}});
    }
    report.busy_ = running_order_.has_value();
    report.orders_accepted_ = sequence_;
    report.start_time_ms_ = start_time_;
    return report;
  }

  auto ApplyOrder(const EngineOrder& order, TimePoint now) -> OrderResult {
    if (order.expected_sequence_ && *order.expected_sequence_ != sequence_) {
      ++refused_;
      return OrderResult::kBusyOrSequenceMismatch;
    }
    if (!order.adapter_.empty() && running_order_) {
      ++refused_;  // a model order is in progress
      return OrderResult::kBusyOrSequenceMismatch;
    }
    if (!order.adapter_.empty()) {
      const auto model = models_.find(order.model_);
      if (model == models_.end()) {
        return OrderResult::kRejected;
      }
      const bool load = order.kind_ == OrderKind::kLoad;
      if (load == (model->second.count(order.adapter_) > 0)) {
        return OrderResult::kAlreadyInEffect;  // leaves `sequence_` unchanged
      }
      ++sequence_;
      if (load) {
        model->second.insert(order.adapter_);
        return OrderResult::kAccepted;
      }
      model->second.erase(order.adapter_);
      return OrderResult::kAlreadyInEffect;
    }
    if (running_order_) {
      ++refused_;
      return OrderResult::kBusyOrSequenceMismatch;
    }
    if ((order.kind_ == OrderKind::kLoad) ==
        (models_.count(order.model_) > 0)) {
      return OrderResult::kAlreadyInEffect;
    }
    ++sequence_;
    running_order_ = order;
    order_done_at_ =
        now + (order.kind_ == OrderKind::kLoad ? kLoadTime : kUnloadTime);
    if (order.kind_ == OrderKind::kLoad) {
      store_loads_.push_back(now);
    }
    return OrderResult::kAccepted;
  }

  std::map<std::string, std::set<std::string>> models_;
  std::optional<EngineOrder> running_order_;
  TimePoint order_done_at_{};
  std::vector<std::pair<EngineOrder, TimePoint>> delayed_orders_;
  std::deque<std::pair<TimePoint, EngineReport>> report_history_;
  std::vector<TimePoint> store_loads_;
  std::int64_t sequence_ = 0;
  std::int64_t start_time_ = 1;
  int refused_ = 0;
};

}  // namespace baobab::gateway::test
