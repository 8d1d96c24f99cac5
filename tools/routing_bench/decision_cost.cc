#include "decision_cost.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <fstream>
#include <string>
#include <vector>

#include "baobab_base/clock.h"
#include "baobab_routing/target_selector.h"

namespace baobab::bench {
namespace {

constexpr std::size_t kDecisions = 200'000;
constexpr std::size_t kInProgress = 4'000;
constexpr std::size_t kBlocks = 12;

auto ResidentMb() -> double {
  std::ifstream statm("/proc/self/statm");
  double size = 0;
  double resident = 0;
  statm >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// A few models are held by hundreds of servers, most by a few.
auto DrawModel(std::size_t models, Random& random) -> std::size_t {
  const double u = std::uniform_real_distribution<double>(0, 1)(random);
  return static_cast<std::size_t>(u * u * u * static_cast<double>(models));
}

auto Fill(TargetSelector& selector, std::size_t servers, std::size_t models,
          std::size_t models_per_server, Random& random) -> void {
  for (std::size_t i = 0; i < servers; ++i) {
    const auto target = selector.table().AddTarget(
        {TargetId("server-" + std::to_string(i)), FailureDomain("domain"), 32});
    std::vector<ModelId> held{ModelId("m" + std::to_string(i % models))};
    while (held.size() < models_per_server) {
      held.emplace_back("m" + std::to_string(DrawModel(models, random)));
    }
    selector.table().SetModels(target, held);
  }
}

}  // namespace

auto MeasureDecisionCost(std::size_t servers, std::size_t models,
                         std::size_t models_per_server, std::uint64_t seed)
    -> DecisionCost {
  Random random(seed);
  const double memory_before = ResidentMb();
  TargetSelector selector({.table_ = {.instance_ = "bench"}});
  Fill(selector, servers, models, models_per_server, random);
  std::vector<double> costs;
  costs.reserve(kDecisions);
  std::deque<RouteAttemptId> in_progress;
  TimePoint now;
  for (std::size_t i = 0; i < kDecisions; ++i) {
    now += std::chrono::microseconds(100);
    RouteRequest request;
    request.model_ = ModelId("m" + std::to_string(DrawModel(models, random)));
    request.kind_ = i % 10 == 0 ? WorkKind::kLong : WorkKind::kShort;
    if (i % 2 == 0) {
      const auto prompt = std::to_string(random() % 5'000);
      request.prompt_tokens_ = 6'000;
      request.prefixes_ = HashPrefixes(prompt, std::string(kBlocks, '.'), 1);
    }
    const auto start = std::chrono::steady_clock::now();
    const auto decision = selector.Select(request, now, random);
    const auto end = std::chrono::steady_clock::now();
    costs.push_back(
        std::chrono::duration<double, std::micro>(end - start).count());
    if (!decision.target_) {
      continue;
    }
    selector.OnStart(i, *decision.target_, AttemptRole::kFirst, request, now);
    selector.OnReport(*decision.target_, {8, 0}, now);
    in_progress.push_back(i);
    if (in_progress.size() > kInProgress) {
      selector.OnFinish(in_progress.front(), AttemptEnd::kCompleted, 50, now);
      in_progress.pop_front();
    }
  }
  DecisionCost cost;
  cost.memory_mb_ = ResidentMb() - memory_before -
                    static_cast<double>(kDecisions * sizeof(double)) / 1e6;
  std::sort(costs.begin(), costs.end());
  cost.median_us_ = costs[costs.size() / 2];
  cost.p99_us_ = costs[costs.size() * 99 / 100];
  cost.p999_us_ = costs[costs.size() * 999 / 1000];
  return cost;
}

}  // namespace baobab::bench
