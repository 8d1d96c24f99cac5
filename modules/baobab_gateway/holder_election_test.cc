#include "baobab_gateway/holder_election.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHandoverInterval = seconds(3);
constexpr Duration kMargin = milliseconds(700);

/// Drives the election of instance "b" against a store that grants every call.
class ElectionFixture {
 public:
  ElectionFixture()
      : election_({"orders", "b", "b/1", kHandoverInterval, kMargin}, 1) {
    election_.SetMayCompete(true);
    election_.SetStoreConnected(true, now_ - seconds(60));
    election_.OnStoreEntry({"orders/last", former_, ++revision_, 0, false},
                           now_);
    election_.Start();
  }

  /// Runs until this instance has acquired the lease.
  auto Acquire() -> void {
    while (!election_.is_held()) {
      now_ += milliseconds(50);
      for (const auto& call : election_.Next(now_)) {
        if (call.kind_ == HolderStoreCall::Kind::kGrantLease) {
          election_.OnLeaseGranted(++lease_id_, now_, now_);
        } else if (call.kind_ == HolderStoreCall::Kind::kAcquire) {
          election_.OnAcquireResult(++revision_, now_);
          Apply(call.change_);
        }
      }
    }
  }

  /// Lets the lease end at the store.
  auto EndLease() -> void {
    election_.OnRenewResult(lease_id_, now_, StoreFailure::kNoLease);
    election_.OnStoreEntry({"orders", "", ++revision_, 0, true}, now_);
  }

  /// Lets time pass while the lease is renewed.
  auto Pass(Duration time) -> void {
    now_ += time;
    election_.OnRenewResult(lease_id_, now_, StoreLease{lease_id_, {}});
  }

  Duration now_ = seconds(100);
  std::string former_ = "a/1";
  HolderElection election_;

 private:
  auto Apply(const StoreTransaction& change) -> void {
    for (const auto& write : change.writes_) {
      election_.OnStoreEntry(
          {write.key_, write.value_, revision_, write.lease_, false}, now_);
    }
  }

  std::int64_t revision_ = 10;
  std::int64_t lease_id_ = 0;
};

// Guards against orders within the handover interval after those of the former
// holder: a new holder that lost the lease while it waited, and acquired it
// again, took itself for the former holder and sent orders at once.
TEST_CASE("A holder that acquires the lease again goes on waiting",
          "[gateway]") {
  const bool former_has_reported = GENERATE(false, true);
  ElectionFixture fixture;
  fixture.Acquire();
  const auto acquired_at = fixture.now_;
  if (former_has_reported) {
    fixture.election_.OnPeerNotHolder("a/1", {{"t1", milliseconds(100)}},
                                      fixture.now_);
  }
  fixture.Pass(milliseconds(500));
  fixture.EndLease();
  fixture.Acquire();
  fixture.Pass({});
  const auto now = fixture.now_;
  REQUIRE(now - acquired_at < seconds(2));
  CHECK(fixture.election_.MaySendOrders(now) == former_has_reported);
  CHECK(fixture.election_.IsBlocked("t1", now) == former_has_reported);
  // The remaining wait ends as it would have without the loss.
  fixture.Pass(acquired_at + HolderLease::kValidity + kHandoverInterval +
               kMargin - now);
  CHECK(fixture.election_.MaySendOrders(fixture.now_));
  CHECK_FALSE(fixture.election_.IsBlocked("t1", fixture.now_));
}

}  // namespace
}  // namespace baobab::gateway
