#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "baobab_base/virtual_network.h"
#include "server_model.h"
#include "workload.h"

namespace baobab::bench {

/// How targets are chosen.
enum class Policy : std::uint8_t {
  kSelector,
  kSelectorWithoutAffinity,
  kRandom,
  kRoundRobin,
  kLeastReported,  ///< Fewest requests in the last report.
};

/// Returns the name of a policy.
auto ToString(Policy policy) -> std::string_view;

/// One run.
struct RunSettings {
  Policy policy_ = Policy::kSelector;
  std::uint64_t seed_ = 1;
  bool with_long_ = true;
  double load_ = 0.65;  ///< Of all slots, with the whole mix.
  Duration length_ = std::chrono::seconds(150);
  Duration warm_up_ = std::chrono::seconds(20);
  std::size_t slow_servers_ = 0;     ///< Ten times slower after the warm-up.
  Duration slow_rotation_{};         ///< Other servers after each; 0 for never.
  std::size_t failing_servers_ = 0;  ///< Reject everything after the warm-up.
  bool swing_ = false;  ///< A tenth of the load, then all of it within 5 s.
};

/// Results after the warm-up.
struct RunResult {
  std::vector<double> short_seconds_;  ///< Sorted; kinds short and lookup.
  std::vector<double> long_seconds_;
  std::uint64_t requests_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t hedges_ = 0;  ///< Probes included.
  std::uint64_t retries_ = 0;
  double prefix_hit_rate_ = 0;
  double attainment_ = 0;  ///< Part of short requests within kObjective.

  /// Quantile of sorted latencies in seconds.
  [[nodiscard]] static auto Quantile(const std::vector<double>& sorted,
                                     double q) -> double;
};

/// Objective of short requests from arrival to the end.
inline constexpr double kObjectiveSeconds = 3;

/// Instances with their own selectors, and servers, under virtual time.
class Simulation {
 public:
  Simulation(const Deployment& deployment, const RunSettings& settings);
  auto Run() -> RunResult;

 private:
  struct Instance {
    std::unique_ptr<TargetSelector> selector_;
    std::vector<std::uint32_t> reported_;
    std::unordered_map<std::string, std::size_t> next_in_turn_;
    std::deque<std::uint64_t> waiting_long_;
  };
  struct Request {
    WorkItem item_;
    std::size_t instance_ = 0;
    TimePoint arrived_;
    std::vector<RouteAttemptId> attempts_;
    std::vector<TargetIndex> tried_;
    bool answering_ = false;
    bool done_ = false;
  };
  struct Attempt {
    std::uint64_t request_ = 0;
    TargetIndex target_ = 0;
  };

  auto Build() -> void;
  auto ScheduleArrivals() -> void;
  auto ScheduleFaults() -> void;
  auto ScheduleReports() -> void;
  auto PublishCacheEvents() -> void;
  auto Rate(TimePoint now) const -> double;
  auto Arrive() -> void;
  auto Route(std::uint64_t request) -> bool;
  auto Baseline(Instance& instance, const WorkItem& item) -> TargetIndex;
  auto Start(std::uint64_t request, TargetIndex target, AttemptRole role)
      -> RouteAttemptId;
  auto Hedge(RouteAttemptId attempt) -> void;
  auto Retry(std::uint64_t request) -> void;
  auto OnServerEvent(const ServerEvent& event) -> void;
  auto CancelOthers(Request& request, RouteAttemptId winner) -> void;
  auto Finish(Request& request, bool completed) -> void;
  auto Counted(const Request& request) const -> bool;
  auto IsSelector() const -> bool;

  Deployment deployment_;
  RunSettings settings_;
  VirtualNetwork network_;
  Random random_;
  std::vector<std::unique_ptr<ServerModel>> servers_;
  std::vector<Instance> instances_;
  std::vector<Request> requests_;
  std::unordered_map<RouteAttemptId, Attempt> attempts_;
  RouteAttemptId next_attempt_ = 1;
  RunResult result_;
};

}  // namespace baobab::bench
