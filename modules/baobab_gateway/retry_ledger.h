#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// The bound on repeated sends that all instances share.
struct RetryBounds {
  double ratio_ = 0;  ///< Repeats per request of a service.
  Duration window_ = std::chrono::seconds(10);
  double slack_ = 0;  ///< Repeats beyond the ratio, over all instances.
};

/// This instance's part of the shared bound on repeated sends.
///
/// Each instance spends at most `ratio` times the requests that it received
/// itself, and its part of the slack, so the sum over all instances keeps the
/// bound without any exchange. Both are counted over the same sliding window.
class RetryLedger {
 public:
  /// Part of the computed allowance that is spent; the rest covers windows of
  /// instances that differ by the time a request travels.
  static constexpr double kSafetyFactor = 0.8;

  explicit RetryLedger(RetryBounds bounds) : bounds_(bounds) {}

  /// Sets the number of instances that may share the slack, including this one.
  /// Instances that were heard of lately count too, whether alive or not.
  auto SetInstances(std::size_t instances) -> void { instances_ = instances; }

  /// Counts a request for `service`.
  auto OnRequest(const std::string& service, TimePoint now) -> void {
    auto& history = histories_[service];
    history.requests_.push_back(now);
    Trim(history, now);
  }

  /// Spends one repeat for `service`; false if the part is used up.
  [[nodiscard]] auto TrySpend(const std::string& service, TimePoint now)
      -> bool {
    auto& history = histories_[service];
    Trim(history, now);
    const auto parts = static_cast<double>(instances_ == 0 ? 1 : instances_);
    const auto allowed =
        kSafetyFactor *
        (bounds_.ratio_ * static_cast<double>(history.requests_.size()) +
         bounds_.slack_ / parts);
    if (static_cast<double>(history.repeats_.size()) + 1 > allowed) {
      return false;
    }
    history.repeats_.push_back(now);
    return true;
  }

 private:
  struct History {
    std::deque<TimePoint> requests_;
    std::deque<TimePoint> repeats_;
  };

  auto Trim(History& history, TimePoint now) const -> void {
    for (auto* times : {&history.requests_, &history.repeats_}) {
      while (!times->empty() && now - times->front() > bounds_.window_) {
        times->pop_front();
      }
    }
  }

  RetryBounds bounds_;
  std::size_t instances_ = 1;
  std::map<std::string, History> histories_;
};

}  // namespace baobab::gateway
