#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include "baobab_base/time_types.h"
#include "baobab_gateway/work_item.h"

namespace baobab::gateway {

/// Demand per model in tokens per second, the sum of prompt tokens and weighted
/// output tokens, as a moving average that follows a shift of demand within
/// about two seconds.
class ModelDemand {
 public:
  /// Time constant of the moving average; demand at the sites shifts over 4 to
  /// 6 s.
  static constexpr auto kTimeConstant = std::chrono::milliseconds(1000);
  /// Cost of an output token in prompt tokens. A step of 4 ms for a batch of
  /// about ten requests produces one token for each of them, while prefill
  /// processes 40 tokens per ms.
  static constexpr double kOutputTokenWeight = 8;
  /// Share of the shared prompt tokens that engines prefill although an earlier
  /// prompt contained them; at the sites 0.2 to 0.35, depending on the day.
  static constexpr double kSharedPrefillShare = 0.3;
  /// Models with a demand below this many tokens per second are dropped.
  static constexpr double kMinTokensPerSecond = 1;

  /// Adds the expected prompt and output tokens of a request to the demand of
  /// its model.
  auto OnRequest(const Generation& generation, TimePoint now) -> void {
    const auto output = generation.expected_output_tokens_ > 0
                            ? generation.expected_output_tokens_
                            : generation.max_output_tokens_;
    const auto own = generation.parts_.empty()
                         ? generation.prompt_tokens_
                         : std::min(generation.parts_.back().tokens_,
                                    generation.prompt_tokens_);
    const auto read =
        own + kSharedPrefillShare * (generation.prompt_tokens_ - own);
    auto& average = averages_[generation.model_];
    Decay(average, now);
    average.rate_ += (read + kOutputTokenWeight * output) /
                     std::chrono::duration<double>(kTimeConstant).count();
  }

  /// Returns the demand by model, in tokens per second, and drops the models
  /// with negligible demand.
  [[nodiscard]] auto Rates(TimePoint now) -> std::map<std::string, double> {
    std::map<std::string, double> rates;
    for (auto entry = averages_.begin(); entry != averages_.end();) {
      Decay(entry->second, now);
      if (entry->second.rate_ < kMinTokensPerSecond) {
        entry = averages_.erase(entry);
      } else {
        rates[entry->first] = entry->second.rate_;
        ++entry;
      }
    }
    return rates;
  }

 private:
  struct Average {
    double rate_ = 0;
    TimePoint updated_at_{};
  };

  static auto Decay(Average& average, TimePoint now) -> void {
    const std::chrono::duration<double> elapsed = now - average.updated_at_;
    average.rate_ *=
        std::exp(-elapsed / std::chrono::duration<double>(kTimeConstant));
    average.updated_at_ = now;
  }

  std::map<std::string, Average> averages_;
};

}  // namespace baobab::gateway
