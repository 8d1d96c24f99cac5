#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab {

/// A latency histogram with logarithmic buckets from 100 us to 1,000 s.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Counts one observation.
  auto Record(Duration latency) -> void;

  /// Adds all observations of `other`.
  auto Merge(const LatencyHistogram& other) -> void;

  /// Returns the upper edge of the bucket that holds the `q` quantile (0 to 1),
  /// or zero if nothing was recorded. The relative error is one bucket, 9%.
  [[nodiscard]] auto Quantile(double q) const -> Duration;

  /// Number of observations.
  [[nodiscard]] auto count() const -> std::uint64_t { return count_; }

  /// Sum of all observations.
  [[nodiscard]] auto sum() const -> Duration { return sum_; }

  /// Number of observations at most `bound`, to within one bucket.
  [[nodiscard]] auto CountAtMost(Duration bound) const -> std::uint64_t;

 private:
  using LogAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts = boost::histogram::histogram<
      std::tuple<LogAxis>, boost::histogram::dense_storage<std::uint64_t>>;
  Counts counts_;
  std::uint64_t count_ = 0;
  Duration sum_{};
};

/// Counters, gauges and latency histograms of one process, by name and labels.
/// All methods may be called from any thread.
class MetricsRegistry {
 public:
  /// Adds `amount` to the counter `name` with `labels` (for example
  /// `customer="a",kind="short"`).
  auto Add(const std::string& name, const std::string& labels,
           std::uint64_t amount = 1) -> void;

  /// Sets the gauge `name` with `labels`.
  auto Set(const std::string& name, const std::string& labels, double value)
      -> void;

  /// Records `latency` in the histogram `name` with `labels`.
  auto Record(const std::string& name, const std::string& labels,
              Duration latency) -> void;

  /// Returns the counter's value, or zero.
  [[nodiscard]] auto Counter(const std::string& name,
                             const std::string& labels) const -> std::uint64_t;

  /// Renders everything in the Prometheus text format, histograms as
  /// summaries with the quantiles 0.5, 0.95, 0.99 and 0.999 in seconds.
  [[nodiscard]] auto Render() const -> std::string;

 private:
  using Key = std::pair<std::string, std::string>;
  mutable std::mutex mutex_;
  std::map<Key, std::uint64_t> counters_;
  std::map<Key, double> gauges_;
  std::map<Key, LatencyHistogram> histograms_;
};

}  // namespace baobab
