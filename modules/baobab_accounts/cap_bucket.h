#pragma once

#include <algorithm>
#include <deque>
#include <limits>

#include "baobab_base/time_types.h"

namespace baobab::accounts {

/// Token bucket whose rate and size change, and to which units can be added
/// for a moment in the past.
///
/// Adding units for a moment in the past leaves the bucket no fuller than it
/// would be if they had been in it since then: what would have overflowed
/// meanwhile is lost. Otherwise the units of requests that were given back
/// would come on top of a bucket that was full at the start of a window.
class CapBucket {
 public:
  /// How far in the past units can be added; they are lost before that.
  static constexpr Duration kHistory = std::chrono::seconds(5);
  /// Number of steps in the history of levels. Further steps are joined, so
  /// that less can be added than would be right, never more.
  static constexpr std::size_t kMaxSteps = 96;

  /// Sets rate (units per second) and size (units). A smaller size drops what
  /// is above it; a larger one adds nothing. Returns the dropped units.
  auto SetShape(double rate, double size, TimePoint now) -> double {
    Refill(now);
    rate_ = std::max(0.0, rate);
    size_ = std::max(0.0, size);
    const auto dropped = std::max(0.0, level_ - size_);
    level_ -= dropped;
    BeginStep(now);
    return dropped;
  }

  /// Adds units as far as there is room.
  auto Add(double units, TimePoint now) -> void {
    Refill(now);
    level_ = std::min(size_, level_ + std::max(0.0, units));
  }

  /// Adds what has refilled until `now`.
  auto Refill(TimePoint now) -> void {
    if (now > updated_at_) {
      const auto seconds =
          std::chrono::duration<double>(now - updated_at_).count();
      level_ = std::min(size_, level_ + rate_ * seconds);
      updated_at_ = now;
      if (!steps_.empty()) {
        auto& step = steps_.back();
        step.until_ = now;
        step.peak_ = std::max(step.peak_, level_);
        step.room_ = std::min(step.room_, size_ - level_);
      }
    }
  }

  /// Begins a step of the history, so that units can be added for `now` without
  /// regard to the levels before.
  auto BeginStep(TimePoint now) -> void {
    Refill(now);
    while (!steps_.empty() && now - steps_.front().until_ > kHistory) {
      steps_.pop_front();
    }
    if (steps_.size() >= kMaxSteps) {
      const auto oldest = steps_.front();
      steps_.pop_front();
      steps_.front().peak_ = std::max(steps_.front().peak_, oldest.peak_);
      steps_.front().room_ = std::min(steps_.front().room_, oldest.room_);
    }
    steps_.push_back({now, now, level_, size_ - level_});
  }

  /// Takes `units` if the bucket holds them.
  [[nodiscard]] auto Take(double units, TimePoint now) -> bool {
    Refill(now);
    if (units > level_) {
      return false;
    }
    level_ -= units;
    BeginStep(now);
    return true;
  }

  /// Takes up to `units` and returns how many.
  auto TakeUpTo(double units, TimePoint now) -> double {
    Refill(now);
    const auto taken = std::clamp(units, 0.0, level_);
    level_ -= taken;
    BeginStep(now);
    return taken;
  }

  /// Gives back up to `units` that were taken at `since`.
  auto GiveBack(double units, TimePoint since, TimePoint now) -> void {
    Refill(now);
    if (now - since > kHistory) {
      return;
    }
    auto room = size_ - level_;
    for (const auto& step : steps_) {
      if (step.IsAfter(since)) {
        room = std::min(room, step.room_);
      }
    }
    Raise(std::min(units, room), since);
  }

  /// Adds up to `units` that were set aside for this bucket, with its present
  /// size, some time after `since`.
  auto AddCredit(double units, TimePoint since, TimePoint now) -> void {
    Refill(now);
    if (now - since > kHistory) {
      return;
    }
    auto peak = level_;
    for (const auto& step : steps_) {
      if (step.IsAfter(since)) {
        peak = std::max(peak, step.peak_);
      }
    }
    Raise(std::min(units, size_ - peak), since);
  }

  [[nodiscard]] auto level() const -> double { return level_; }
  [[nodiscard]] auto rate() const -> double { return rate_; }
  [[nodiscard]] auto size() const -> double { return size_; }

 private:
  // Extremes over one step of the history, which ends where the next begins.
  struct Step {
    TimePoint from_{};
    TimePoint until_{};
    double peak_ = 0;  // highest level
    double room_ = 0;  // smallest difference between size and level

    // A step that ends at `since` was before it, unless it began then as well.
    [[nodiscard]] auto IsAfter(TimePoint since) const -> bool {
      return until_ > since || from_ >= since;
    }
  };

  auto Raise(double units, TimePoint since) -> void {
    if (units <= 0) {
      return;
    }
    level_ += units;
    for (auto& step : steps_) {
      if (step.IsAfter(since)) {
        step.peak_ += units;
        step.room_ -= units;
      }
    }
  }

  double rate_ = 0;
  double size_ = 0;
  double level_ = 0;
  TimePoint updated_at_{};
  std::deque<Step> steps_;
};

}  // namespace baobab::accounts
