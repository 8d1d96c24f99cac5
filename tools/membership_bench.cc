// Measures membership and contract distribution on the deterministic core:
// control bytes and CPU time per daemon, calls on the configuration service,
// and the time until an accepted change is active on every instance.
//
//   membership_bench [seconds of virtual time, default 30]

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "baobab_peers/peer_test_fleet.h"

namespace {

using baobab::Duration;
using baobab::LinkFaults;
using baobab::TimePoint;
using baobab::peers::PeerFleetCounts;
using baobab::peers::PeerFleetShape;
using baobab::peers::PeerTestFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for every instance to start and to know the others.
constexpr seconds kWarmUp(12);
constexpr std::uint64_t kSeed = 1;

struct Size {
  std::size_t instances_;
  std::size_t domains_;
  std::size_t regions_;
};

constexpr std::array<Size, 4> kSizes = {
    {{7, 3, 1}, {50, 6, 2}, {200, 12, 4}, {360, 16, 6}}};

auto CpuSeconds() -> double {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

auto Network() -> LinkFaults {
  return {milliseconds(1), milliseconds(3), 0, 0};
}

auto Shape(const Size& size) -> PeerFleetShape {
  PeerFleetShape shape;
  shape.instances_ = size.instances_;
  shape.domains_ = size.domains_;
  shape.regions_ = size.regions_;
  return shape;
}

auto MeasureLoad(const Size& size, bool jitter, bool together,
                 int virtual_seconds) -> void {
  auto shape = Shape(size);
  shape.jitter_ = jitter;
  shape.encode_ = true;
  if (together) {
    shape.start_spread_ = Duration::zero();
  }
  PeerTestFleet fleet(kSeed, shape, Network());
  fleet.StartAll();
  fleet.RunUntil(TimePoint(kWarmUp));
  fleet.ResetCounts();
  const auto cpu_before = CpuSeconds();
  fleet.RunUntil(TimePoint(kWarmUp + seconds(virtual_seconds)));
  const auto cpu = CpuSeconds() - cpu_before;
  const auto& counts = fleet.counts();
  std::uint64_t total = 0;
  for (const auto bytes : counts.sent_bytes_) {
    total += bytes;
  }
  const auto most = *std::ranges::max_element(counts.sent_bytes_);
  const auto daemon_seconds =
      static_cast<double>(size.instances_) * virtual_seconds;
  std::printf("%5zu  %-6s  %-8s  %8.0f  %8.0f  %8.1f  %8.3f%%  %10llu\n",
              size.instances_, jitter ? "on" : "off",
              together ? "together" : "in 1 s",
              static_cast<double>(total) / daemon_seconds,
              static_cast<double>(most) / virtual_seconds,
              static_cast<double>(counts.messages_) / daemon_seconds,
              100 * cpu / daemon_seconds,
              static_cast<unsigned long long>(counts.most_per_tick_));
}

auto MeasureStore(const Size& size, bool all_read) -> void {
  constexpr int kSeconds = 20;
  auto shape = Shape(size);
  shape.all_read_ = all_read;
  PeerTestFleet fleet(kSeed, shape, Network());
  fleet.StartAll();
  fleet.RunUntil(TimePoint(kWarmUp));
  fleet.ResetCounts();
  fleet.RunUntil(TimePoint(kWarmUp + seconds(kSeconds)));
  std::printf("%5zu  %-14s  %8zu  %10.1f\n", size.instances_,
              all_read ? "every instance" : "two per region", fleet.readers(),
              static_cast<double>(fleet.counts().store_reads_) / kSeconds);
}

auto MeasurePropagation(const Size& size, int changes) -> void {
  PeerTestFleet fleet(kSeed, Shape(size), Network());
  fleet.StartAll();
  fleet.RunUntil(TimePoint(kWarmUp));
  std::vector<Duration> times;
  for (int i = 0; i < changes; ++i) {
    fleet.ChangeContract("customer-" + std::to_string(i % 5));
    const auto began = fleet.network().now();
    Duration took{};
    while (!fleet.AllActive() && took < seconds(30)) {
      took += milliseconds(5);
      fleet.RunUntil(began + took);
    }
    times.push_back(took);
  }
  std::ranges::sort(times);
  const auto at = [&](double q) {
    const auto index = static_cast<double>(times.size() - 1) * q;
    return times[static_cast<std::size_t>(std::lround(index))].count() / 1000;
  };
  std::printf("%5zu  %8d  %8lld  %8lld  %8lld\n", size.instances_, changes,
              static_cast<long long>(at(0.5)), static_cast<long long>(at(0.99)),
              static_cast<long long>(at(1)));
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const auto virtual_seconds = argc > 1 ? std::stoi(argv[1]) : 30;
  std::printf("control load per daemon over %d s\n", virtual_seconds);
  std::printf(
      " inst  jitter  started   mean B/s   max B/s     msg/s       CPU  "
      "most/10 ms\n");
  for (const auto& size : kSizes) {
    for (const auto together : {false, true}) {
      MeasureLoad(size, true, together, virtual_seconds);
      MeasureLoad(size, false, together, virtual_seconds);
    }
  }
  std::printf("\nconfiguration service\n");
  std::printf(" inst  watching         watches     reads/s\n");
  for (const auto& size : {kSizes.front(), kSizes.back()}) {
    MeasureStore(size, false);
    MeasureStore(size, true);
  }
  std::printf("\ntime until a change is active everywhere, ms\n");
  std::printf(" inst   changes       p50       p99       max\n");
  MeasurePropagation(kSizes.front(), 500);
  MeasurePropagation(kSizes.back(), 100);
  return 0;
}
