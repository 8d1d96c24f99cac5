#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Relative speed of each target, learned from how long work took there
/// compared with the same model at other targets.
///
/// The time factor of a target has two parts: a long-term part for machines
/// that are always slower or faster than others, and a recent deviation that
/// decays within a second, for machines that are slow for a while. What all
/// targets have in common belongs to the average per model, so that the
/// factors describe only differences: the geometric mean of the long-term
/// parts is 1.
///
/// The caller passes only samples that contain no load it does not know of.
/// Each instance learns for itself; nothing is exchanged with peers.
class TargetSpeed {
 public:
  /// Bounds of one sample and of the result: a wrong sample, such as one with
  /// an unknown wait, must not exclude a target.
  static constexpr double kMinFactor = 0.4;
  static constexpr double kMaxFactor = 4;
  /// Duration of work that moves the long-term part by 63% of the difference.
  /// Several slow periods of about 0.6 s must not look like a slow machine.
  static constexpr Duration kLongTermWork = std::chrono::seconds(5);
  /// Duration of work after which the long-term part follows a first sample.
  static constexpr Duration kInitialWork = std::chrono::milliseconds(150);
  /// Duration of work that moves the recent deviation by 63% of the difference.
  static constexpr Duration kRecentWork = std::chrono::milliseconds(150);
  /// Time constant with which the recent deviation decays without samples.
  static constexpr Duration kRecentDecay = std::chrono::milliseconds(600);
  /// Upper bound on the work that one sample counts as.
  static constexpr Duration kMaxSampleWork = std::chrono::milliseconds(200);
  /// Deviation of the factor from 1, as a natural logarithm, that is treated as
  /// noise: targets of equal speed must get equal estimates.
  static constexpr double kNoiseLog = 0.1;

  /// Adds a sample: work for `model` took `actual` at `target`, up to `now`.
  /// `expected` is the time by an estimate that knows the model and the load,
  /// but not the target; it may be wrong by a factor that is the same for all
  /// targets with the model.
  auto Observe(const std::string& target, const std::string& model,
               Duration actual, Duration expected, TimePoint now) -> void {
    if (actual <= Duration::zero() || expected <= Duration::zero()) {
      return;
    }
    const auto log_ratio = std::log(static_cast<double>(actual.count()) /
                                    static_cast<double>(expected.count()));
    const auto work = std::min(actual, kMaxSampleWork);
    const auto [entry, is_new] = entries_.try_emplace(target);
    auto& known = entry->second;
    if (is_new) {
      sum_ += known.long_term_ = MeanLogOf(entries_.size() - 1);
    }
    auto& model_average = model_averages_.try_emplace(model).first->second;
    const auto long_term = known.long_term_ - MeanLog();
    model_average.log_ += (log_ratio - long_term - model_average.log_) *
                          Share(work, model_average.Observe(work));
    const auto sample = std::clamp(log_ratio - model_average.log_,
                                   std::log(kMinFactor), std::log(kMaxFactor));
    const auto step = (sample - long_term) * Share(work, known.Observe(work));
    known.long_term_ += step;
    sum_ += step;
    known.recent_ = RecentAt(known, now);
    known.recent_ += (sample - (known.long_term_ - MeanLog()) - known.recent_) *
                     Share(work, kRecentWork);
    known.recent_at_ = now;
  }

  /// Returns by which factor work takes longer at `target` than at an average
  /// one over a long time; 1 if nothing is known.
  [[nodiscard]] auto LongTermFactor(const std::string& target) const -> double {
    const auto found = entries_.find(target);
    return found == entries_.end()
               ? 1
               : Factor(found->second.long_term_ - MeanLog());
  }

  /// Returns by which factor work takes longer at `target` at `now` than at an
  /// average one; 1 if nothing is known.
  [[nodiscard]] auto FactorAt(const std::string& target, TimePoint now) const
      -> double {
    const auto found = entries_.find(target);
    return found == entries_.end()
               ? 1
               : Factor(found->second.long_term_ - MeanLog() +
                        RecentAt(found->second, now));
  }

  /// Forgets a target that is gone or has restarted.
  auto Forget(const std::string& target) -> void {
    if (const auto found = entries_.find(target); found != entries_.end()) {
      sum_ -= found->second.long_term_;
      entries_.erase(found);
    }
  }

 private:
  /// Amount of work observed so far. The first samples of an average count
  /// more.
  struct Observed {
    Duration work_{};
    /// Adds `work` and returns the time constant of the average.
    auto Observe(Duration work) -> Duration {
      work_ = std::min(work_ + work, kLongTermWork);
      return std::min(work_ + kInitialWork, kLongTermWork);
    }
  };
  struct ModelAverage : Observed {
    double log_ = 0;  // natural logarithm of actual over expected time
  };
  struct Entry : Observed {
    double long_term_ = 0;  // natural logarithm, before MeanLog()
    double recent_ = 0;     // natural logarithm, at recent_at_
    TimePoint recent_at_{};
  };

  static auto Share(Duration work, Duration window) -> double {
    return 1 - std::exp(-std::chrono::duration<double>(work) /
                        std::chrono::duration<double>(window));
  }

  static auto RecentAt(const Entry& entry, TimePoint now) -> double {
    return entry.recent_ *
           std::exp(-std::chrono::duration<double>(now - entry.recent_at_) /
                    std::chrono::duration<double>(kRecentDecay));
  }

  static auto Factor(double log_factor) -> double {
    const auto beyond = std::max(0.0, std::abs(log_factor) - kNoiseLog);
    return std::clamp(std::exp(std::copysign(beyond, log_factor)), kMinFactor,
                      kMaxFactor);
  }

  [[nodiscard]] auto MeanLog() const -> double {
    return MeanLogOf(entries_.size());
  }
  [[nodiscard]] auto MeanLogOf(std::size_t count) const -> double {
    return count == 0 ? 0 : sum_ / static_cast<double>(count);
  }

  std::map<std::string, Entry> entries_;
  std::map<std::string, ModelAverage> model_averages_;
  double sum_ = 0;  // of long_term_
};

}  // namespace baobab::gateway
