#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Moving average of the share of an engine's time that the prefill of one
/// instance's prompts takes.
class PrefillUtilization {
 public:
  /// Time constant of the moving average. A highly loaded engine prefills a few
  /// prompts in this time.
  static constexpr auto kTimeConstant = std::chrono::milliseconds(700);

  /// Records that a prompt was sent whose prefill takes `time`.
  auto Add(Duration time, TimePoint now) -> void {
    utilization_ = At(now) + std::chrono::duration<double>(time) /
                                 std::chrono::duration<double>(kTimeConstant);
    updated_at_ = now;
  }

  /// Returns the utilization at `now`: at least 0, and above 1 for an
  /// overloaded engine.
  [[nodiscard]] auto At(TimePoint now) const -> double {
    return utilization_ *
           std::exp(-(std::chrono::duration<double>(now - updated_at_) /
                      std::chrono::duration<double>(kTimeConstant)));
  }

 private:
  double utilization_ = 0;
  TimePoint updated_at_{};
};

/// Prefill speed in prompt tokens per millisecond, learned per model from the
/// time to the first token. The manifest does not state it.
class PrefillSpeed {
 public:
  /// Speed assumed for a model without samples. It is close to that of the
  /// slowest engines in use, so that the first estimates tend to distribute the
  /// requests over several targets.
  static constexpr double kInitialTokensPerMs = 35;
  static constexpr double kMinTokensPerMs = 4;
  static constexpr double kMaxTokensPerMs = 400;
  /// Weight of one sample in the moving average.
  static constexpr double kSampleWeight = 0.1;
  /// Minimum number of prompt tokens in a sample. The time to the first token
  /// of a shorter prompt depends more on the step time of the engine than on
  /// the prefill.
  static constexpr std::uint64_t kMinSampleTokens = 1500;

  /// Adds a sample: the prefill of `tokens` took `time`.
  auto Observe(const std::string& model, std::uint64_t tokens, Duration time)
      -> void {
    if (tokens < kMinSampleTokens || time <= Duration::zero()) {
      return;
    }
    const auto sample = std::clamp(static_cast<double>(tokens) * 1000.0 /
                                       static_cast<double>(time.count()),
                                   kMinTokensPerMs, kMaxTokensPerMs);
    const auto [entry, is_new] =
        speeds_.try_emplace(model, kInitialTokensPerMs);
    entry->second += (sample - entry->second) * (is_new ? 0.5 : kSampleWeight);
  }

  /// Returns the time of one decode step of an engine that runs `running`
  /// requests and no prefill. Engines with faster prefill also have shorter
  /// steps.
  [[nodiscard]] auto StepTime(const std::string& model,
                              std::uint32_t running) const -> Duration {
    // Measured for the slowest engines of the sites, at the initial speed: 4.4
    // ms plus 0.02 ms per request. The estimate uses 0.03 ms per request.
    constexpr double kStepMilliseconds = 4.4;
    constexpr double kPerRequestMilliseconds = 0.03;
    const auto found = speeds_.find(model);
    const auto speed =
        found == speeds_.end() ? kInitialTokensPerMs : found->second;
    return Duration(static_cast<Duration::rep>(
        (kStepMilliseconds + kPerRequestMilliseconds * running) * 1000 *
        kInitialTokensPerMs / speed));
  }

  /// Returns how many prompt tokens of `model` are prefilled in `time`.
  [[nodiscard]] auto TokensPrefilledIn(const std::string& model,
                                       Duration time) const -> std::uint64_t {
    const auto found = speeds_.find(model);
    const auto speed =
        found == speeds_.end() ? kInitialTokensPerMs : found->second;
    return static_cast<std::uint64_t>(static_cast<double>(time.count()) *
                                      speed / 1000.0);
  }

  /// Returns how long the prefill of `tokens` prompt tokens of `model` takes.
  [[nodiscard]] auto PrefillTime(const std::string& model,
                                 std::uint64_t tokens) const -> Duration {
    const auto found = speeds_.find(model);
    const auto speed =
        found == speeds_.end() ? kInitialTokensPerMs : found->second;
    return Duration(static_cast<Duration::rep>(static_cast<double>(tokens) *
                                               1000.0 / speed));
  }

 private:
  std::map<std::string, double> speeds_;
};

}  // namespace baobab::gateway
