// Measures the choice of targets against baselines on a queueing model of the
// servers, and the cost of one decision. Usage: routing_bench [--seeds N]
// [--scenario long|slow|swing|prefix|fail|cost|all] [--deployment NAME].
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "decision_cost.h"
#include "simulation.h"

namespace baobab::bench {
namespace {

constexpr std::array kPolicies = {Policy::kSelector, Policy::kRandom,
                                  Policy::kRoundRobin, Policy::kLeastReported};

auto Merge(std::vector<double>& all, const std::vector<double>& more) -> void {
  all.insert(all.end(), more.begin(), more.end());
  std::sort(all.begin(), all.end());
}

auto RunSeeds(const Deployment& deployment, RunSettings settings, int seeds)
    -> RunResult {
  RunResult sum;
  for (int seed = 1; seed <= seeds; ++seed) {
    settings.seed_ = static_cast<std::uint64_t>(seed);
    const auto result = Simulation(deployment, settings).Run();
    Merge(sum.short_seconds_, result.short_seconds_);
    Merge(sum.long_seconds_, result.long_seconds_);
    sum.requests_ += result.requests_;
    sum.failed_ += result.failed_;
    sum.hedges_ += result.hedges_;
    sum.retries_ += result.retries_;
    sum.prefix_hit_rate_ += result.prefix_hit_rate_ / seeds;
    sum.attainment_ += result.attainment_ / seeds;
  }
  return sum;
}

auto Print(const Deployment& deployment, std::string_view scenario,
           Policy policy, const RunResult& result) -> void {
  const auto q = [&](double p) {
    return RunResult::Quantile(result.short_seconds_, p);
  };
  const auto requests = static_cast<double>(result.requests_);
  std::printf(
      "%-10s %-14s %-15s short p50 %6.3f p99 %7.3f p99.9 %7.3f s | long p99 "
      "%7.2f s | hit %5.1f%% | within %gs %6.2f%% | hedges %4.2f%% retries "
      "%5.2f%% failed %5.2f%% of %llu\n",
      deployment.name_.c_str(), std::string(scenario).c_str(),
      std::string(ToString(policy)).c_str(), q(0.5), q(0.99), q(0.999),
      RunResult::Quantile(result.long_seconds_, 0.99),
      100 * result.prefix_hit_rate_, kObjectiveSeconds,
      100 * result.attainment_,
      100 * static_cast<double>(result.hedges_) / requests,
      100 * static_cast<double>(result.retries_) / requests,
      100 * static_cast<double>(result.failed_) / requests,
      static_cast<unsigned long long>(result.requests_));
  std::fflush(stdout);
}

struct Scenario {
  std::string group_;
  std::string name_;
  RunSettings settings_;
};

auto Scenarios(const Deployment& deployment) -> std::vector<Scenario> {
  const auto with = [](auto change) {
    RunSettings settings;
    change(settings);
    return settings;
  };
  return {
      {"long", "no_long", with([](auto& s) { s.with_long_ = false; })},
      {"long", "10%_long", with([](auto&) {})},
      {"slow", "healthy", with([](auto&) {})},
      {"slow", "slowed",
       with([&](auto& s) { s.slow_servers_ = deployment.slow_servers_; })},
      {"slow", "slowed_moving", with([&](auto& s) {
         s.slow_servers_ = deployment.slow_servers_;
         s.slow_rotation_ = std::chrono::seconds(30);
       })},
      {"swing", "swing", with([](auto& s) {
         s.swing_ = true;
         s.length_ = std::chrono::seconds(60);
       })},
      {"fail", "half_failing", with([&](auto& s) {
         s.failing_servers_ = deployment.servers_ / 2;
         s.load_ = 0.4;
       })},
  };
}

auto RunDeployment(const Deployment& deployment, const std::string& wanted,
                   int seeds) -> void {
  for (const auto& scenario : Scenarios(deployment)) {
    if (wanted != "all" && wanted != scenario.group_) {
      continue;
    }
    for (const auto policy : kPolicies) {
      auto settings = scenario.settings_;
      settings.policy_ = policy;
      Print(deployment, scenario.name_, policy,
            RunSeeds(deployment, settings, seeds));
    }
  }
  if (wanted == "all" || wanted == "prefix") {
    for (const auto policy :
         {Policy::kSelector, Policy::kSelectorWithoutAffinity}) {
      RunSettings settings;
      settings.policy_ = policy;
      Print(deployment, "prefix", policy,
            RunSeeds(deployment, settings, seeds));
    }
  }
}

auto RunCost() -> void {
  struct Row {
    std::size_t servers_;
    std::size_t models_;
    std::size_t models_per_server_;
  };
  for (const auto row : {Row{12, 20, 10}, Row{3400, 1600, 8}}) {
    const auto cost = MeasureDecisionCost(row.servers_, row.models_,
                                          row.models_per_server_, 1);
    std::printf(
        "decision   %zu servers %zu models: median %.2f p99 %.2f p99.9 %.2f "
        "us, memory %.1f MB\n",
        row.servers_, row.models_, cost.median_us_, cost.p99_us_, cost.p999_us_,
        cost.memory_mb_);
  }
}

auto Main(int argc, char** argv) -> int {
  namespace options = boost::program_options;
  int seeds = 3;
  std::string scenario = "all";
  std::string deployment = "all";
  options::options_description description("routing_bench");
  description.add_options()("help", "print this text")(
      "seeds", options::value(&seeds), "runs per row")(
      "scenario", options::value(&scenario),
      "long, slow, swing, prefix, fail, cost or all")(
      "deployment", options::value(&deployment), "ramcharan, cascade or all");
  options::variables_map map;
  options::store(options::parse_command_line(argc, argv, description), map);
  options::notify(map);
  if (map.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (scenario == "all" || scenario == "cost") {
    RunCost();
  }
  for (const auto& candidate : {Ramcharan(), Cascade()}) {
    if (scenario != "cost" &&
        (deployment == "all" || deployment == candidate.name_)) {
      RunDeployment(candidate, scenario, seeds);
    }
  }
  return 0;
}

}  // namespace
}  // namespace baobab::bench

auto main(int argc, char** argv) -> int {
  try {
    return baobab::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "routing_bench: " << error.what() << '\n';
    return 1;
  }
}
