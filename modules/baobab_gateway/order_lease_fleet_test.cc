// Replays faults around the order lease in whole fleets under virtual time.

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <random>
#include <vector>

#include "baobab_gateway/simulated_lease_fleet.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fleet = test::SimulatedLeaseFleet;
using Fault = Fleet::Fault;

// Guards against orders of a former holder, with its lower fencing token, after
// those of its successor: the lease ended while the former holder was cut off,
// and an outage of the store made it look valid again.
TEST_CASE("A lease that ended before an outage is not renewed by reports",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::size_t instances_;
    std::vector<Fleet::Event> events_;
  };
  const auto test = GENERATE(values<Case>({
      {"the successor is stopped in the outage",
       300,
       {{seconds(2), Fault::kCut, seconds(8), 0},
        {milliseconds(9200), Fault::kStoreDown, seconds(6), 0},
        {milliseconds(9400), Fault::kHolderStop, {}, 0}}},
      {"the successor is stopped in the outage",
       7,
       {{seconds(2), Fault::kCut, seconds(8), 0},
        {milliseconds(9200), Fault::kStoreDown, seconds(6), 0},
        {milliseconds(9400), Fault::kHolderStop, {}, 0}}},
      {"all other instances start again in the outage",
       7,
       {{seconds(2), Fault::kCut, seconds(8), 0},
        {milliseconds(9200), Fault::kStoreDown, seconds(6), 0},
        {milliseconds(9400), Fault::kKillOthers, {}, 0}}},
      {"the successor takes over while only the first holder misses the store",
       7,
       {{seconds(2), Fault::kStoreCut, seconds(12), 0},
        {milliseconds(9200), Fault::kStoreDown, seconds(6), 0},
        {milliseconds(9400), Fault::kHolderStop, {}, 0}}},
  }));
  INFO(test.what_ << ", " << test.instances_ << " instances");
  Fleet fleet({.instances_ = test.instances_});
  fleet.RunUntilFirstOrder();
  fleet.Schedule(test.events_);
  fleet.Run(seconds(25));
  INFO(fleet.first_violation());
  CHECK(fleet.violation_count() == 0);
  (void)fleet.TakeOrderCount();
  fleet.Run(seconds(5));
  CHECK(fleet.TakeOrderCount() > 0);
}

// Guards against a lease that is not extended although no other instance can
// have acquired it: requests for adapters that are not loaded would wait for
// the end of the outage.
TEST_CASE("A holder sends orders throughout an outage of the store",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::size_t instances_;
    std::vector<Fleet::Event> events_;
  };
  const auto test = GENERATE(values<Case>({
      {"nothing else happens",
       7,
       {{milliseconds(100), Fault::kStoreDown, seconds(10), 0}}},
      {"an instance starts again",
       300,
       {{milliseconds(100), Fault::kStoreDown, seconds(10), 0},
        {seconds(4), Fault::kKill, {}, 1}}},
      {"an instance starts again",
       7,
       {{milliseconds(100), Fault::kStoreDown, seconds(10), 0},
        {seconds(4), Fault::kKill, {}, 1}}},
  }));
  INFO(test.what_ << ", " << test.instances_ << " instances");
  Fleet fleet({.instances_ = test.instances_});
  fleet.RunUntilFirstOrder();
  fleet.Schedule(test.events_);
  fleet.Run(seconds(6));
  for (int i = 0; i < 4; ++i) {
    (void)fleet.TakeOrderCount();
    fleet.Run(seconds(1));
    CHECK(fleet.TakeOrderCount() > 0);
  }
  fleet.Run(seconds(10));
  INFO(fleet.first_violation());
  CHECK(fleet.violation_count() == 0);
}

// Guards against a third holder that learns of the second one that it sends no
// orders, and sends its own although those of the first one are recent: the
// second one was still waiting.
TEST_CASE("A third holder waits for the first one", "[gateway]") {
  struct Case {
    const char* what_;
    std::size_t instances_;
    std::vector<Fleet::Event> events_;
  };
  const auto test = GENERATE(values<Case>({
      {"planned stops of two holders in turn",
       7,
       {{milliseconds(500), Fault::kHolderStop, {}, 0},
        {milliseconds(1300), Fault::kHolderStop, {}, 0},
        {milliseconds(2100), Fault::kHolderStop, {}, 0}}},
      {"the first one is cut off, the second one stops",
       7,
       {{milliseconds(500), Fault::kCut, seconds(6), 0},
        {milliseconds(3000), Fault::kHolderStop, {}, 0}}},
      {"the first one is cut off, the second one stops",
       300,
       {{milliseconds(500), Fault::kCut, seconds(6), 0},
        {milliseconds(3000), Fault::kHolderStop, {}, 0}}},
      {"the first one is cut off, the second one ends and starts again",
       3,
       {{milliseconds(500), Fault::kCut, seconds(6), 0},
        {milliseconds(3000), Fault::kHolderKill, {}, 0}}},
      {"the first one is cut off, the second one misses the store",
       7,
       {{milliseconds(500), Fault::kCut, seconds(6), 0},
        {milliseconds(3000), Fault::kHolderStoreCut, seconds(4), 0}}},
  }));
  const auto seed = GENERATE(std::uint64_t{1}, std::uint64_t{2});
  INFO(test.what_ << ", " << test.instances_ << " instances");
  Fleet fleet({.instances_ = test.instances_, .seed_ = seed});
  fleet.RunUntilFirstOrder();
  fleet.Run(seconds(4));
  fleet.Schedule(test.events_);
  fleet.Run(seconds(12));
  INFO(fleet.first_violation());
  CHECK(fleet.violation_count() == 0);
  (void)fleet.TakeOrderCount();
  fleet.Run(seconds(3));
  CHECK(fleet.TakeOrderCount() > 0);
}

// Guards against a holder that was paused and takes the reports that waited for
// it for present ones: they say that the store is unreachable, although another
// instance has acquired the lease since.
TEST_CASE("Reports that waited during a pause do not extend the lease",
          "[gateway]") {
  const auto fault = GENERATE(Fault::kPause, Fault::kFreeze);
  const auto seed = GENERATE(std::uint64_t{1}, std::uint64_t{2});
  INFO("seed " << seed);
  Fleet fleet({.seed_ = seed});
  fleet.RunUntilFirstOrder();
  fleet.Schedule({{milliseconds(100), Fault::kStoreDown, seconds(10), 0},
                  {seconds(8), fault, milliseconds(8600), 0}});
  fleet.Run(seconds(20));
  INFO(fleet.first_violation());
  CHECK(fleet.violation_count() == 0);
  (void)fleet.TakeOrderCount();
  fleet.Run(seconds(4));
  CHECK(fleet.TakeOrderCount() > 0);
}

// Guards against two holders of the order lease with one fencing token, and
// against a token that goes back: the store returned from an older copy and
// gave out its revisions again.
TEST_CASE("Fencing tokens rise when the store returns from an older copy",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::size_t instances_;
    std::vector<std::uint64_t> seeds_;
    std::vector<Fleet::Event> events_;
  };
  const auto test = GENERATE(values<Case>({
      {"the holder has just changed",
       7,
       {1, 2, 3, 4, 5},
       {{milliseconds(500), Fault::kHolderKill, {}, 0},
        {seconds(7), Fault::kStoreRestored, seconds(1), 0, seconds(8)}}},
      {"the holder has just changed",
       300,
       {3, 4},
       {{milliseconds(500), Fault::kHolderKill, {}, 0},
        {seconds(7), Fault::kStoreRestored, seconds(1), 0, seconds(8)}}},
      {"the holder ends in the outage",
       7,
       {1, 2, 3, 4, 5},
       {{milliseconds(500), Fault::kHolderStop, {}, 0},
        {seconds(9), Fault::kStoreRestored, seconds(2), 0, seconds(6)},
        {milliseconds(9500), Fault::kHolderKill, {}, 0}}},
      {"the store returns from a copy several times",
       7,
       {1, 2, 3, 4, 5},
       {{milliseconds(500), Fault::kHolderKill, {}, 0},
        {seconds(7), Fault::kStoreRestored, seconds(1), 0, seconds(7)},
        {milliseconds(7500), Fault::kHolderKill, {}, 0},
        {seconds(14), Fault::kStoreRestored, seconds(1), 0, seconds(6)},
        {milliseconds(14500), Fault::kHolderKill, {}, 0}}},
  }));
  for (const auto seed : test.seeds_) {
    INFO(test.what_ << ", " << test.instances_ << " instances, seed " << seed);
    Fleet fleet({.instances_ = test.instances_, .seed_ = seed});
    fleet.RunUntilFirstOrder();
    fleet.Run(seconds(5));
    fleet.Schedule(test.events_);
    fleet.Run(seconds(35));
    INFO(fleet.first_violation());
    CHECK(fleet.shared_token_count() == 0);
    CHECK(fleet.violation_count() == 0);
    (void)fleet.TakeOrderCount();
    fleet.Run(seconds(5));
    CHECK(fleet.TakeOrderCount() > 0);
  }
}

/// Draws faults within 20 s that overlap and repeat.
auto DrawEvents(std::size_t instances, std::uint64_t seed)
    -> std::vector<Fleet::Event> {
  Random random(seed);
  const auto draw = [&random](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
  };
  constexpr std::array kFaults = {
      Fault::kCut,        Fault::kStoreCut,   Fault::kFreeze,
      Fault::kPause,      Fault::kKill,       Fault::kStop,
      Fault::kHolderStop, Fault::kHolderKill, Fault::kHolderStoreCut,
      Fault::kStoreDown};
  std::vector<Fleet::Event> events;
  for (int count = draw(2, 10); count > 0; --count) {
    Fleet::Event event;
    event.at_ = milliseconds(draw(0, 20'000));
    event.fault_ = kFaults[static_cast<std::size_t>(
        draw(0, static_cast<int>(kFaults.size()) - 1))];
    event.time_ = milliseconds(draw(200, 9000));
    // Half of the faults meet the first holder.
    event.index_ = draw(0, 1) == 0 ? 0
                                   : static_cast<std::size_t>(draw(
                                         0, static_cast<int>(instances) - 1));
    events.push_back(event);
  }
  return events;
}

/// Draws drills within 20 s in which the store returns from an older copy.
auto DrawRestores(std::uint64_t seed) -> std::vector<Fleet::Event> {
  Random random(seed);
  const auto draw = [&random](int from, int to) {
    return milliseconds(std::uniform_int_distribution<int>(from, to)(random));
  };
  std::vector<Fleet::Event> events;
  for (auto count = 1 + seed % 3; count > 0; --count) {
    events.push_back({draw(0, 20'000), Fault::kStoreRestored, draw(200, 2500),
                      0, draw(500, 8000)});
  }
  return events;
}

auto RunHistory(std::uint64_t seed, bool restores = false) -> void {
  const std::size_t instances = 3 + seed % 5;
  INFO("seed " << seed << ", " << instances << " instances");
  Fleet fleet({.instances_ = instances,
               .seed_ = seed,
               .leases_expire_in_outage_ = seed % 2 == 0,
               .datagram_loss_ = seed % 3 == 0 ? 0.3 : 0.01,
               .response_loss_ = seed % 4 == 0 ? 0.15 : 0});
  fleet.RunUntilFirstOrder();
  fleet.Schedule(DrawEvents(instances, seed));
  if (restores) {
    fleet.Schedule(DrawRestores(seed));
  }
  fleet.Run(seconds(40));
  INFO(fleet.first_violation());
  CHECK(fleet.shared_token_count() == 0);
  CHECK(fleet.violation_count() == 0);
  (void)fleet.TakeOrderCount();
  fleet.Run(seconds(4));
  CHECK(fleet.TakeOrderCount() > 0);
}

// Guards against holders that follow each other too closely, and against a
// fleet that stays without one, in histories of cuts, suspensions, ends of
// processes and outages of the store that overlap.
TEST_CASE("Orders of two holders keep the handover interval", "[gateway]") {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    RunHistory(seed);
  }
}

// Guards against a third holder that trusts a process that took over from its
// predecessor on the same instance and stopped at once.
TEST_CASE("A restarted holder that stops at once hides no orders",
          "[gateway]") {
  RunHistory(8349);
}

// The same with a store that returns from older copies: its revisions, which
// are the fencing tokens, and its lease ids are given out again.
TEST_CASE("Orders keep their order when the store returns from older copies",
          "[gateway]") {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    RunHistory(seed, /*restores=*/true);
  }
}

// The same with more seeds; to be run by hand.
TEST_CASE("Orders of two holders keep the handover interval, long",
          "[.][long]") {
  const bool restores = GENERATE(false, true);
  for (std::uint64_t seed = 300; seed < 20'000; ++seed) {
    RunHistory(seed, restores);
  }
}

}  // namespace
}  // namespace baobab::gateway
