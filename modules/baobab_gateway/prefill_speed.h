#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Prompt tokens per millisecond that engines read, learned per model from the
/// time to the first token. The manifest does not state it.
class PrefillSpeed {
 public:
  /// Used until a model was observed; near the slowest engines in use, so that
  /// the first estimates err towards spreading work.
  static constexpr double kInitial = 35;
  static constexpr double kLowest = 4;
  static constexpr double kHighest = 400;
  /// Weight of one observation in the moving average.
  static constexpr double kWeight = 0.1;
  /// Fewer tokens say more of the engine's step than of its reading.
  static constexpr std::uint64_t kFewestTokens = 1500;

  /// Records that `tokens` were read in `time`.
  auto Observe(const std::string& model, std::uint64_t tokens, Duration time)
      -> void {
    if (tokens < kFewestTokens || time <= Duration::zero()) {
      return;
    }
    const auto sample = std::clamp(
        static_cast<double>(tokens) * 1000.0 / static_cast<double>(time.count()),
        kLowest, kHighest);
    const auto [entry, is_new] = speeds_.try_emplace(model, kInitial);
    entry->second += (sample - entry->second) * (is_new ? 0.5 : kWeight);
  }

  /// Returns the time in which `tokens` of `model` are read.
  [[nodiscard]] auto TimeFor(const std::string& model,
                             std::uint64_t tokens) const -> Duration {
    const auto found = speeds_.find(model);
    const auto speed = found == speeds_.end() ? kInitial : found->second;
    return Duration(static_cast<Duration::rep>(static_cast<double>(tokens) *
                                               1000.0 / speed));
  }

 private:
  std::map<std::string, double> speeds_;
};

}  // namespace baobab::gateway
