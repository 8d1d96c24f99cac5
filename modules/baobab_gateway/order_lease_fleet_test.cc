// Replays faults around the order lease in whole fleets under virtual time.

#include <catch2/catch.hpp>
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

}  // namespace
}  // namespace baobab::gateway
