#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Time that requests occupy a slot of a target, from sending to the end of the
/// response, as a moving average by service and model.
class ServiceTimeEstimate {
 public:
  /// Weight of one sample in the moving average.
  static constexpr double kSampleWeight = 0.05;

  auto Observe(const std::string& service, const std::string& model,
               Duration time) -> void {
    const auto [entry, is_new] = times_.try_emplace({service, model}, time);
    if (!is_new) {
      entry->second += Duration(static_cast<Duration::rep>(
          static_cast<double>((time - entry->second).count()) * kSampleWeight));
    }
  }

  /// Returns the average time; nothing without a sample.
  [[nodiscard]] auto Find(const std::string& service,
                          const std::string& model) const
      -> std::optional<Duration> {
    const auto found = times_.find({service, model});
    return found == times_.end() ? std::nullopt : std::optional(found->second);
  }

 private:
  std::map<std::pair<std::string, std::string>, Duration> times_;
};

}  // namespace baobab::gateway
