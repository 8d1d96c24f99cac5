#include "baobab_gateway/read_schedule.h"

#include <catch2/catch.hpp>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against two failures: an instance does not read the store although the
// reports of watching instances no longer arrive, or it reads the store
// although these reports confirm that it is up to date. Reads of the second
// kind can make up 3,000 of the 6,500 store calls per day of a large site.
TEST_CASE("An instance reads by itself when no reader confirms its state",
          "[gateway]") {
  struct Case {
    const char* what_;
    StoreReadRole role_;
    Duration last_confirmation_;  // after the read; sent every 600 ms
    Duration reads_after_;
  };
  const auto test = GENERATE(values<Case>({
      {"watching instance", StoreReadRole::kWatching, seconds(0),
       ReadSchedule::kWatchingInstanceReadInterval},
      {"no confirmation", StoreReadRole::kActive, seconds(0),
       ReadSchedule::kMaxUnconfirmedTime},
      {"one confirmation", StoreReadRole::kActive, milliseconds(600),
       milliseconds(600) + ReadSchedule::kMaxUnconfirmedTime},
      {"regular confirmations", StoreReadRole::kActive, seconds(60),
       ReadSchedule::kMaxReadInterval},
      {"standby, no confirmation", StoreReadRole::kStandby, seconds(0),
       ReadSchedule::kMaxUnconfirmedTime},
      {"standby, regular confirmations", StoreReadRole::kStandby, seconds(60),
       ReadSchedule::kMaxStandbyReadInterval},
  }));
  INFO(test.what_);
  ReadSchedule schedule;
  schedule.SetRole(test.role_);
  const TimePoint start{seconds(100)};
  schedule.OnRead(start);
  auto now = start;
  while (now < schedule.NextRead()) {
    now += milliseconds(10);
    const auto elapsed = now - start;
    if (elapsed <= test.last_confirmation_ &&
        elapsed % milliseconds(600) == Duration::zero()) {
      schedule.OnLocalCopyConfirmed(now);
    }
  }
  CHECK(now - start == test.reads_after_);
}

// Guards against two failures: every instance calls the store for each of many
// successive changes, or a reported newer change does not shorten the read
// interval.
TEST_CASE("A hint shortens the read interval to its lower bound", "[gateway]") {
  const auto hint_after = GENERATE(milliseconds(100), milliseconds(900));
  ReadSchedule schedule;
  const TimePoint start{seconds(100)};
  schedule.OnRead(start);
  schedule.OnLocalCopyConfirmed(start + hint_after);
  schedule.OnNewerRevisionReported();
  CHECK(schedule.NextRead() == start + ReadSchedule::kMinHintInterval);
  schedule.OnRead(start + seconds(1));
  CHECK(schedule.NextRead() ==
        start + seconds(1) + ReadSchedule::kMaxUnconfirmedTime);
}

// Guards against hundreds of standbys that call the store for each change of a
// release, and against a standby that applies a new manifest too late.
TEST_CASE("A standby reads at once only for a newer manifest", "[gateway]") {
  const auto manifest = GENERATE(false, true);
  ReadSchedule schedule;
  schedule.SetRole(StoreReadRole::kStandby);
  const TimePoint start{seconds(100)};
  schedule.OnRead(start);
  schedule.OnLocalCopyConfirmed(start + seconds(10));
  schedule.OnNewerRevisionReported();
  if (manifest) {
    schedule.OnNewerManifestReported();
  }
  CHECK(schedule.NextRead() ==
        start + (manifest ? ReadSchedule::kMinHintInterval
                          : seconds(10) + ReadSchedule::kMaxUnconfirmedTime));
}

// Guards against a shorter read interval after a confirmation for a time before
// the last read.
TEST_CASE("A confirmation of an earlier time has no effect", "[gateway]") {
  ReadSchedule schedule;
  const TimePoint start{seconds(100)};
  schedule.OnRead(start);
  schedule.OnLocalCopyConfirmed(start - seconds(1));
  CHECK(schedule.NextRead() == start + ReadSchedule::kMaxUnconfirmedTime);
}

}  // namespace
}  // namespace baobab::gateway
