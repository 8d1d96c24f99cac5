#include "baobab_gateway/store_outage_detector.h"

#include <catch2/catch.hpp>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests to a target that left, 3.1 to 4.2 s after it reported
// that it leaves: an instance that was disconnected from the store for 7 s
// treats this as a store outage and keeps the target for a grace period.
TEST_CASE("Registrations expire only while no instance reaches the store",
          "[gateway]") {
  struct Case {
    const char* what_;
    bool failed_;
    Duration silence_;
    bool peer_reads_;  // a peer reads the store every 600 ms
    bool may_have_lapsed_;
  };
  const auto test = GENERATE(values<Case>({
      {"no call failed", false, seconds(7), false, false},
      {"one failed call", true, milliseconds(500), false, false},
      {"an outage", true, seconds(7), false, true},
      {"only this instance was disconnected", true, seconds(7), true, false},
  }));
  INFO(test.what_);
  StoreOutageDetector record;
  const TimePoint start{seconds(100)};
  CHECK_FALSE(record.OnStoreResponse(start));
  if (test.failed_) {
    CHECK(record.OnFailure());
    CHECK_FALSE(record.OnFailure());
    CHECK_FALSE(record.is_connected());
  }
  if (test.peer_reads_) {
    for (auto at = start; at < start + test.silence_; at += milliseconds(600)) {
      record.OnPeerRead(at);
    }
  }
  CHECK(record.OnStoreResponse(start + test.silence_) == test.may_have_lapsed_);
  CHECK(record.is_connected());
  // Later responses without another failed call indicate no outage.
  CHECK_FALSE(record.OnStoreResponse(start + test.silence_ + seconds(7)));
}

}  // namespace
}  // namespace baobab::gateway
