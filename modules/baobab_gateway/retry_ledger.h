#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Limit on the retries of a service, summed over all instances.
struct RetryBounds {
  double ratio_ = 0;  ///< Retries allowed per request of a service.
  Duration window_ = std::chrono::seconds(10);
  double slack_ = 0;  ///< Retries allowed in addition, over all instances.
};

/// Limits the retries of this instance to its share of the limit that applies
/// to the sum over all instances.
///
/// Each instance spends at most `ratio_` retries per request that it received
/// itself, and its share of the slack. The sum over all instances therefore
/// stays within the limit without any communication. Requests and retries are
/// counted over the same sliding window.
class RetryLedger {
 public:
  /// Factor on the computed allowance. The margin is needed because the windows
  /// of the instances differ by the network latency of a request.
  static constexpr double kSafetyFactor = 0.8;

  explicit RetryLedger(RetryBounds bounds) : bounds_(bounds) {}

  /// Sets the number of instances among which the slack is divided, including
  /// this one. Instances that reported recently are included whether or not
  /// they are still alive.
  auto SetInstanceCount(std::size_t instances) -> void {
    instances_ = instances;
  }

  /// Counts a request for `service` that was received at `now`.
  auto OnRequest(const std::string& service, TimePoint now) -> void {
    auto& history = histories_[service];
    history.requests_.push_back(now);
    Trim(history, now);
  }

  /// Counts one retry for `service` and returns true, or returns false if the
  /// share of this instance is used up.
  [[nodiscard]] auto TrySpend(const std::string& service, TimePoint now)
      -> bool {
    auto& history = histories_[service];
    Trim(history, now);
    const auto share_count =
        static_cast<double>(instances_ == 0 ? 1 : instances_);
    const auto allowed =
        kSafetyFactor *
        (bounds_.ratio_ * static_cast<double>(history.requests_.size()) +
         bounds_.slack_ / share_count);
    if (static_cast<double>(history.retries_.size()) + 1 > allowed) {
      return false;
    }
    history.retries_.push_back(now);
    return true;
  }

 private:
  struct History {
    std::deque<TimePoint> requests_;
    std::deque<TimePoint> retries_;
  };

  auto Trim(History& history, TimePoint now) const -> void {
    for (auto* times : {&history.requests_, &history.retries_}) {
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
