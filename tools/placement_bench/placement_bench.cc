#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "baobab_placement/order_tracker.h"
#include "tools/placement_bench/fleet_simulation.h"
#include "tools/placement_bench/placement_policies.h"
#include "tools/placement_bench/store_writes.h"
#include "tools/placement_bench/swing_demand.h"

namespace baobab::placement::bench {
namespace {

constexpr double kWarmUpSeconds = 600;

struct Result {
  double attainment_ = 0;
  double per_accelerator_ = 0;
  double moves_per_hour_ = 0;
};

auto Today(const std::string& name) -> FleetShape {
  FleetShape shape;
  shape.name_ = name;
  if (name == "cascade") {
    shape.servers_ = 18;
    shape.models_ = 30;
    shape.loads_per_second_ = 2;
    shape.demand_ = 8.1;
  }
  return shape;
}

auto TwoYear() -> FleetShape {
  FleetShape shape;
  shape.name_ = "two-year";
  shape.servers_ = 3400;
  shape.accelerators_ = 13000.0 / 3400;
  shape.memory_mb_ = 275000;
  shape.domains_ = 16;
  shape.models_ = 1600;
  shape.largest_mb_ = 100000;
  shape.loads_per_second_ = 12;  // Two per second in each of six regions.
  shape.full_speed_loads_ = 36;
  shape.demand_ = 5850;
  shape.step_seconds_ = 1;
  return shape;
}

auto Fewer(FleetShape shape) -> FleetShape {
  shape.servers_ = shape.servers_ * 2 / 3;
  return shape;
}

// A quarter more models, so that the loss of a domain leaves some models
// without a copy; at the plain sizes all models have a second one elsewhere.
auto Crowded(FleetShape shape) -> FleetShape {
  shape.models_ = shape.models_ * 5 / 4;
  return shape;
}

template <class Policy>
auto Measure(FleetSimulation* fleet, Policy* policy, SwingDemand* demand,
             double seconds) -> Result {
  bool warm = false;
  while (fleet->now() < kWarmUpSeconds + seconds) {
    if (!warm && fleet->now() >= kWarmUpSeconds) {
      fleet->ResetCounts();
      warm = true;
    }
    const auto& arrivals = demand->Step();
    fleet->Step(arrivals);
    policy->Step(arrivals);
  }
  const auto& shape = fleet->shape();
  return {fleet->Attainment(),
          fleet->ServedPerSecond() / static_cast<double>(shape.servers_) /
              shape.accelerators_,
          fleet->MovesPerHour()};
}

auto Print(const FleetShape& shape, const char* policy, const Result& result)
    -> void {
  std::printf(
      "%-10s %-22s servers=%-5zu attainment=%.4f served_per_accelerator=%.3f "
      "moves_per_hour=%.0f\n",
      shape.name_.c_str(), policy, shape.servers_, result.attainment_,
      result.per_accelerator_, result.moves_per_hour_);
}

template <class Policy, class... Arguments>
auto Run(const FleetShape& shape, const char* name, std::uint64_t seed,
         double seconds, const Arguments&... arguments) -> Result {
  SwingDemand demand(shape, seed);
  FleetSimulation fleet(shape, demand.memory_mb());
  Policy policy(&fleet, arguments...);
  const auto result = Measure(&fleet, &policy, &demand, seconds);
  Print(shape, name, result);
  return result;
}

auto Compare(const FleetShape& shape, std::uint64_t seed, double seconds)
    -> void {
  const auto fewer = Fewer(shape);
  const auto even = Run<StaticEven>(shape, "static_even", seed, seconds);
  Run<StaticEven>(fewer, "static_even", seed, seconds);
  const auto lru =
      Run<LeastRecentlyUsed>(fewer, "least_recently_used", seed, seconds);
  const auto mean = SwingDemand(shape, seed).MeanRates();
  Run<Planned>(fewer, "greedy_no_hysteresis", seed, seconds, false, mean);
  const auto planned =
      Run<Planned>(fewer, "planner", seed, seconds, true, mean);
  std::printf(
      "%-10s planner with a third fewer accelerators: attainment %.4f against "
      "%.4f of static even; moves %.2f of least recently used\n",
      shape.name_.c_str(), planned.attainment_, even.attainment_,
      planned.moves_per_hour_ / std::max(1.0, lru.moves_per_hour_));
}

auto Missing(const FleetSimulation& fleet) -> std::size_t {
  std::size_t missing = 0;
  for (std::size_t model = 0; model < fleet.shape().models_; ++model) {
    missing += fleet.ReadyCopies(model) == 0 ? 1 : 0;
  }
  return missing;
}

// Loses one failure domain and measures the time until every model has a copy
// again, against the time that the load rate alone would take.
auto Recover(const FleetShape& shape, std::uint64_t seed) -> void {
  SwingDemand demand(shape, seed);
  FleetSimulation fleet(shape, demand.memory_mb());
  Planned policy(&fleet, true, demand.MeanRates());
  const auto step = [&] {
    const auto& arrivals = demand.Step();
    fleet.Step(arrivals);
    policy.Step(arrivals);
  };
  while (fleet.now() < kWarmUpSeconds) {
    step();
  }
  for (std::size_t server = 0; server < shape.servers_;
       server += shape.domains_) {
    fleet.SetLive(server, false);
  }
  const auto lost_at = fleet.now();
  const auto missing = Missing(fleet);
  while (Missing(fleet) > 0 && fleet.now() < lost_at + 3600) {
    step();
  }
  const auto rate = shape.loads_per_second_;
  const auto one_load = static_cast<double>(shape.full_speed_loads_) / rate;
  const auto waves = std::ceil(static_cast<double>(missing) /
                               static_cast<double>(shape.full_speed_loads_));
  const auto bound = waves * one_load;
  const auto took = fleet.now() - lost_at;
  std::printf(
      "%-10s loss of one of %zu domains: models without a copy=%zu "
      "recovered_s=%.2f bound_s=%.2f ratio=%.2f\n",
      shape.name_.c_str(), shape.domains_, missing, took, bound,
      bound > 0 ? took / bound : 0.0);
}

auto ResidentKb() -> std::int64_t {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::stol(line.substr(6));
    }
  }
  return 0;
}

template <class Work>
auto MillisecondsOf(const Work& work) -> double {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

auto TimePlanning(std::uint64_t seed) -> void {
  const auto shape = TwoYear();
  SwingDemand demand(shape, seed);
  FleetSimulation fleet(shape, demand.memory_mb());
  const auto before_kb = ResidentKb();
  Planned policy(&fleet, true, demand.MeanRates());
  for (int i = 0; i < 30; ++i) {
    const auto& arrivals = demand.Step();
    fleet.Step(arrivals);
    policy.Step(arrivals);
  }
  std::vector<double> incremental;
  for (int i = 0; i < 100; ++i) {
    const auto& arrivals = demand.Step();
    fleet.Step(arrivals);
    incremental.push_back(MillisecondsOf([&] { policy.Step(arrivals); }));
  }
  const auto after_kb = ResidentKb();
  policy.Synchronize();
  const auto full = MillisecondsOf(
      [&] { static_cast<void>(policy.planner().FullPlan(TimePoint{})); });
  std::sort(incremental.begin(), incremental.end());
  std::printf(
      "two-year   planning: full_ms=%.0f incremental_ms median=%.1f p99=%.1f "
      "memory_mb=%.1f\n",
      full, incremental[50], incremental[99],
      static_cast<double>(after_kb - before_kb) / 1024);
}

}  // namespace
}  // namespace baobab::placement::bench

auto main(int argc, char** argv) -> int {
  namespace po = boost::program_options;
  using baobab::placement::bench::Compare;
  using baobab::placement::bench::Crowded;
  using baobab::placement::bench::Recover;
  using baobab::placement::bench::Today;
  using baobab::placement::bench::TwoYear;
  std::uint64_t seed = 1;
  double hours = 2;
  double large_hours = 0.5;
  po::options_description options("placement_bench");
  options.add_options()("help", "show this text")(
      "seed", po::value(&seed)->default_value(1))(
      "hours", po::value(&hours)->default_value(2),
      "simulated time at today's sizes")(
      "large-hours", po::value(&large_hours)->default_value(0.5),
      "simulated time at the two-year size; 0 leaves it out");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    for (const auto* name : {"ramcharan", "cascade"}) {
      Compare(Today(name), seed, hours * 3600);
      Recover(Crowded(Today(name)), seed);
    }
    std::printf("store writes per replacement of a copy: %.1f\n",
                baobab::placement::bench::StoreWritesPerReplacement());
    baobab::placement::bench::TimePlanning(seed);
    if (large_hours > 0) {
      Recover(TwoYear(), seed);
      Compare(TwoYear(), seed, large_hours * 3600);
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
