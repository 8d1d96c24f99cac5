// What a process that was suspended knows afterwards.

#include <catch2/catch.hpp>
#include <string>

#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/instance_directory.h"
#include "baobab_gateway/read_schedule.h"
#include "baobab_gateway/suspension_detector.h"
#include "baobab_gateway/test_fleet.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow = TimePoint{} + seconds(100);

TEST_CASE("A suspension is the difference between two clocks", "[gateway]") {
  struct Case {
    const char* what_;
    Duration boot_;
    Duration steady_;
    Duration suspended_;
  };
  const auto test = GENERATE(values<Case>({
      {"running", seconds(5), seconds(5), seconds(0)},
      {"suspended", seconds(5), milliseconds(200), milliseconds(4800)},
      {"delay of a busy machine", milliseconds(1100), seconds(1), seconds(0)},
  }));
  INFO(test.what_);
  SuspensionDetector detector;
  CHECK(detector.Check(seconds(40), kNow) == Duration::zero());
  CHECK(detector.Check(seconds(40) + test.boot_, kNow + test.steady_) ==
        test.suspended_);
  CHECK(detector.Check(seconds(40) + test.boot_, kNow + test.steady_) ==
        Duration::zero());
}

// Guards against a process that acts on a permission or on facts which ran out
// while it was suspended, because its steady clock stood still.
TEST_CASE("After a suspension, what was known counts as older", "[gateway]") {
  const auto suspended = seconds(5);
  SECTION("the local copy of the store state is not confirmed") {
    ReadSchedule schedule;
    schedule.OnRead(kNow);
    schedule.OnSuspended(suspended);
    CHECK(schedule.NextRead() <= kNow);
  }
  SECTION("peers that reported before it are silent") {
    InstanceDirectory directory;
    PeerReport report;
    report.instance_ = "a";
    report.sequence_ = 1;
    report.caller_address_ = "10.0.0.1:80";
    report.ready_ = true;
    REQUIRE(directory.RecordReport(report, kNow));
    CHECK(directory.CallerAddresses("", "", kNow).size() == 1);
    directory.OnSuspended(suspended);
    CHECK(directory.CallerAddresses("", "", kNow).empty());
  }
  SECTION("the load of peers is unknown, and callers have less time left") {
    const auto registry = test::MakeRegistry(1, {"m0"});
    Dispatcher dispatcher({}, "z");
    dispatcher.SetManifest(test::MakeTestManifest({"m0"}));
    dispatcher.SetTargets(registry, kNow);
    dispatcher.OnPeerLoad("peer", {{"t0", {64, 1000, 0, 0}}}, kNow);
    WorkItem item;
    item.id_ = 1;
    item.service_ = "engines";
    item.generation_ = {"m0", "", 1000, 50, 0, {}};
    item.arrived_ = kNow;
    item.objective_at_ = kNow + seconds(1);
    item.deadline_ = kNow + seconds(5);
    REQUIRE_FALSE(dispatcher.Submit(item, kNow));
    CHECK(dispatcher.RejectInfeasible(kNow).empty());
    dispatcher.OnSuspended(suspended);
    dispatcher.ExpirePeers(kNow);
    CHECK(dispatcher.RejectInfeasible(kNow).size() == 1);
    item.id_ = 2;
    REQUIRE_FALSE(dispatcher.Submit(item, kNow));
    CHECK(dispatcher.Assign(kNow).size() == 1);
  }
}

}  // namespace
}  // namespace baobab::gateway
