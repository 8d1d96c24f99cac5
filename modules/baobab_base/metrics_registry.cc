#include "baobab_base/metrics_registry.h"

#include <algorithm>
#include <array>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <sstream>

namespace baobab {
namespace {

constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e3;
// 187 buckets over seven decades make each bucket 9% wide.
constexpr unsigned kBuckets = 187;
constexpr std::array<double, 4> kQuantiles = {0.5, 0.95, 0.99, 0.999};

auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto Braced(const std::string& labels) -> std::string {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

template <class Map>
auto RenderPlain(std::ostringstream& out, const Map& values,
                 std::string_view type) -> void {
  std::string previous;
  for (const auto& [key, value] : values) {
    if (key.first != previous) {
      out << "# TYPE " << key.first << ' ' << type << '\n';
      previous = key.first;
    }
    out << key.first << Braced(key.second) << ' ' << value << '\n';
  }
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts_(
          std::make_tuple(LogAxis(kBuckets, kLowestSeconds, kHighestSeconds)),
          boost::histogram::dense_storage<std::uint64_t>()) {}

auto LatencyHistogram::Record(Duration latency) -> void {
  counts_(ToSeconds(latency));
  ++count_;
  sum_ += latency;
}

auto LatencyHistogram::Merge(const LatencyHistogram& other) -> void {
  counts_ += other.counts_;
  count_ += other.count_;
  sum_ += other.sum_;
}

auto LatencyHistogram::Quantile(double q) const -> Duration {
  if (count_ == 0) {
    return Duration::zero();
  }
  const auto rank =
      static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (int bucket = -1; bucket <= static_cast<int>(kBuckets); ++bucket) {
    seen += counts_.at(bucket);
    if (seen >= std::max<std::uint64_t>(rank, 1)) {
      const auto& axis = counts_.axis();
      const double edge =
          std::clamp(axis.value(bucket + 1), kLowestSeconds, kHighestSeconds);
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(edge));
    }
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kHighestSeconds));
}

auto LatencyHistogram::CountAtMost(Duration bound) const -> std::uint64_t {
  const int last = counts_.axis().index(ToSeconds(bound));
  std::uint64_t total = 0;
  for (int bucket = -1; bucket <= last; ++bucket) {
    total += counts_.at(bucket);
  }
  return total;
}

auto MetricsRegistry::Add(const std::string& name, const std::string& labels,
                          std::uint64_t amount) -> void {
  const std::lock_guard lock(mutex_);
  counters_[{name, labels}] += amount;
}

auto MetricsRegistry::Set(const std::string& name, const std::string& labels,
                          double value) -> void {
  const std::lock_guard lock(mutex_);
  gauges_[{name, labels}] = value;
}

auto MetricsRegistry::Record(const std::string& name, const std::string& labels,
                             Duration latency) -> void {
  const std::lock_guard lock(mutex_);
  histograms_[{name, labels}].Record(latency);
}

auto MetricsRegistry::Counter(const std::string& name,
                              const std::string& labels) const
    -> std::uint64_t {
  const std::lock_guard lock(mutex_);
  const auto found = counters_.find({name, labels});
  return found == counters_.end() ? 0 : found->second;
}

auto MetricsRegistry::Render() const -> std::string {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  RenderPlain(out, counters_, "counter");
  RenderPlain(out, gauges_, "gauge");
  std::string previous;
  for (const auto& [key, histogram] : histograms_) {
    const auto& [name, labels] = key;
    if (name != previous) {
      out << "# TYPE " << name << " summary\n";
      previous = name;
    }
    const std::string separator = labels.empty() ? "" : ",";
    for (const double q : kQuantiles) {
      out << name << '{' << labels << separator << "quantile=\"" << q << "\"} "
          << ToSeconds(histogram.Quantile(q)) << '\n';
    }
    out << name << "_sum" << Braced(labels) << ' ' << ToSeconds(histogram.sum())
        << '\n';
    out << name << "_count" << Braced(labels) << ' ' << histogram.count()
        << '\n';
  }
  return out.str();
}

}  // namespace baobab
