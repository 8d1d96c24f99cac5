#include "baobab_gateway/retry_ledger.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

#include "baobab_base/random_source.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against instances that together exceed the shared retry limit in some
// window, with even and with skewed traffic.
TEST_CASE("All instances together keep the retry limit in every window",
          "[gateway]") {
  const auto [instances, skew, seed] =
      GENERATE(table<std::size_t, double, std::uint64_t>(
          {{1, 0.0, 1}, {7, 0.0, 2}, {7, 0.9, 3}, {83, 0.0, 4}, {83, 0.9, 5}}));
  const RetryBounds bounds{0.2, seconds(10), 54};
  std::vector<RetryLedger> ledgers(instances, RetryLedger(bounds));
  for (auto& ledger : ledgers) {
    ledger.SetInstanceCount(instances);
  }
  Random random(seed);
  std::uniform_real_distribution<double> unit(0, 1);
  std::uniform_int_distribution<std::size_t> any(0, instances - 1);
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;
  bool within_limit = true;
  std::size_t granted = 0;
  for (TimePoint now{}; now < TimePoint{} + seconds(60);
       now += milliseconds(5)) {
    const auto instance = unit(random) < skew ? 0 : any(random);
    ledgers[instance].OnRequest("s", now);
    requests.push_back(now);
    // Every request fails and is retried if the ledger allows it.
    if (ledgers[instance].TrySpend("s", now)) {
      retries.push_back(now);
      ++granted;
    }
    while (now - requests.front() > bounds.window_) {
      requests.pop_front();
    }
    while (!retries.empty() && now - retries.front() > bounds.window_) {
      retries.pop_front();
    }
    const auto allowed =
        bounds.ratio_ * static_cast<double>(requests.size()) + bounds.slack_;
    within_limit =
        within_limit && static_cast<double>(retries.size()) <= allowed;
  }
  CHECK(within_limit);
  CHECK(granted > 0);
}

}  // namespace
}  // namespace baobab::gateway
