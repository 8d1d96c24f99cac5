#include "baobab_gateway/holder_election.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHandoverInterval = seconds(3);
constexpr Duration kMargin = milliseconds(700);
/// Revision of the entry that names the last holder.
constexpr std::int64_t kLastRevision = 10;

/// Drives the election of instance "b" against a store that grants every call.
class ElectionFixture {
 public:
  /// `last_holder` is the value of the entry that names the last holder.
  explicit ElectionFixture(const std::string& last_holder = "a/1",
                           std::int64_t era = 0)
      : election_({"orders", "b", "b/1", kHandoverInterval, kMargin}, 1),
        revision_(StorePosition::Make(era, kLastRevision)) {
    election_.SetMayCompete(true);
    election_.SetStoreConnected(true, now_ - seconds(60));
    if (era != 0) {
      election_.OnStoreEra(era, now_ - seconds(60));
    }
    election_.OnStoreEntry({"orders/last", last_holder, revision_, 0, false},
                           now_);
    election_.Start();
  }

  /// Lets the store return, in the era `era`, from a copy in which the lease is
  /// free and the entry that names the last holder is `last_holder`; empty: it
  /// is missing.
  auto Restore(std::int64_t era, const std::string& last_holder) -> void {
    election_.OnStoreEra(era, now_);
    revision_ = StorePosition::Make(era, kLastRevision + 2);
    election_.OnStoreEntry({"orders", "", revision_, 0, true}, now_);
    election_.OnStoreEntry(
        {"orders/last", last_holder, revision_, 0, last_holder.empty()}, now_);
  }

  /// Runs until this instance commits the acquisition of the lease, and returns
  /// the transaction.
  auto RequestLease() -> StoreTransaction {
    for (int i = 0; i < 100; ++i) {
      now_ += milliseconds(50);
      for (const auto& call : election_.Next(now_)) {
        if (call.kind_ == HolderStoreCall::Kind::kGrantLease) {
          election_.OnLeaseGranted(++lease_id_, now_, now_);
        } else if (call.kind_ == HolderStoreCall::Kind::kAcquire) {
          return call.change_;
        }
      }
    }
    FAIL("no attempt to acquire the lease");
    return {};
  }

  /// Runs until this instance has acquired the lease.
  auto Acquire() -> void {
    const auto change = RequestLease();
    election_.OnAcquireResult(++revision_, now_);
    Apply(change);
  }

  /// Delivers the entries that `change` wrote, as a read of the store does.
  auto Apply(const StoreTransaction& change) -> void {
    for (const auto& write : change.writes_) {
      election_.OnStoreEntry(
          {write.key_, write.value_, revision_, write.lease_, false}, now_);
    }
  }

  /// Advances the revision of the store and returns it.
  auto NextRevision() -> std::int64_t { return ++revision_; }

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

  [[nodiscard]] auto lease_id() const -> std::int64_t { return lease_id_; }

  Duration now_ = seconds(100);
  HolderElection election_;

 private:
  std::int64_t revision_;
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
    fixture.election_.OnPeerNotHolder(
        {"a/1", 7, {}, {{"t1", milliseconds(100)}}}, fixture.now_);
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

// Guards against a holder that trusts the report of the former one although
// that had to wait for an earlier holder, or did not know that it was the
// holder.
TEST_CASE("The wait of a new holder follows from what is known of the last one",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::string last_holder_;
    bool has_reported_;
    std::int64_t reported_token_;
    Duration reported_wait_;
    Duration expected_wait_;  // after the acquisition
  };
  constexpr auto kUnknownWait = HolderLease::kValidity + kHandoverInterval;
  const auto test = GENERATE_COPY(values<Case>({
      {"unknown", "a/1", false, 0, {}, kUnknownWait},
      {"reported", "a/1", true, 7, {}, {}},
      {"another process reported", "a/2", true, 7, {}, kUnknownWait},
      {"released", "releaseda/1", false, 0, {}, kHandoverInterval},
      {"waiting", "waitinga/1", false, 0, {}, kUnknownWait},
      {"waiting, reported its wait", "waitinga/1", true, kLastRevision,
       seconds(2), seconds(2)},
      {"waiting, does not know its term",
       "waitinga/1",
       true,
       7,
       {},
       kUnknownWait},
      {"released while waiting",
       "releasedwaitinga/1",
       false,
       0,
       {},
       kUnknownWait},
      {"released while waiting, reported", "releasedwaitinga/1", true, 9,
       seconds(1), seconds(1)},
      {"earlier process of this instance", "b/0", false, 0, {}, {}},
      {"earlier process of this instance, waiting",
       "waitingb/0",
       false,
       0,
       {},
       kUnknownWait},
  }));
  INFO(test.what_);
  ElectionFixture fixture(test.last_holder_);
  fixture.Acquire();
  const auto acquired_at = fixture.now_;
  if (test.has_reported_) {
    fixture.election_.OnPeerNotHolder(
        {"a/1", test.reported_token_, test.reported_wait_, {}}, fixture.now_);
  }
  if (test.expected_wait_ > Duration::zero()) {
    fixture.Pass(test.expected_wait_ - milliseconds(1));
    CHECK_FALSE(fixture.election_.MaySendOrders(fixture.now_));
  }
  fixture.Pass(acquired_at + test.expected_wait_ - fixture.now_);
  CHECK(fixture.election_.MaySendOrders(fixture.now_));
}

// Guards against a lease that a late response brings back after the store has
// already removed its entry.
TEST_CASE("A late response does not bring back a lease that has ended",
          "[gateway]") {
  ElectionFixture fixture;
  const auto change = fixture.RequestLease();
  const auto revision = fixture.NextRevision();
  fixture.Apply(change);
  REQUIRE(fixture.election_.is_held());
  fixture.EndLease();
  fixture.election_.OnAcquireResult(revision, fixture.now_);
  CHECK_FALSE(fixture.election_.is_held());
  fixture.Acquire();
  CHECK(fixture.election_.is_held());
}

// Guards against a holder that renews another lease than the one that its entry
// is attached to: the response to its first attempt was lost, and the entry
// vanished with the first lease while the second one was renewed.
TEST_CASE("An entry that is attached to an earlier lease gives no right",
          "[gateway]") {
  const bool second_is_applied = GENERATE(false, true);
  ElectionFixture fixture;
  auto change = fixture.RequestLease();
  fixture.election_.OnAcquireResult(StoreFailure::kUnknown, fixture.now_);
  const auto second = fixture.RequestLease();
  fixture.election_.OnAcquireResult(
      second_is_applied ? StoreFailure::kUnknown : StoreFailure::kConflict,
      fixture.now_);
  fixture.NextRevision();
  fixture.Apply(second_is_applied ? second : change);
  CHECK(fixture.election_.is_held() == second_is_applied);
}

// Guards against a stopping instance that becomes the holder because its last
// attempt succeeds late: it sent orders until its end, and its successor had to
// wait for the end of the lease.
TEST_CASE("A stopping instance releases a lease that it acquires late",
          "[gateway]") {
  ElectionFixture fixture;
  const auto change = fixture.RequestLease();
  fixture.election_.Stop();
  const auto revision = fixture.NextRevision();
  fixture.election_.OnAcquireResult(revision, fixture.now_);
  CHECK_FALSE(fixture.election_.is_held());
  const auto calls = fixture.election_.Next(fixture.now_);
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].kind_ == HolderStoreCall::Kind::kRelease);
  CHECK(calls[0].change_.preconditions_[0].revision_ == revision);
  fixture.Apply(change);
  CHECK_FALSE(fixture.election_.is_held());
}

// Guards against a holder that goes on after the store has returned from an
// older copy, renewing a lease whose id is that of another one now, and against
// an entry of the copy that is taken for that of the last holder.
TEST_CASE("A holder starts anew when the store returns from a copy",
          "[gateway]") {
  struct Case {
    const char* what_;
    bool expires_first_;        // locally, before the return
    std::string last_holder_;   // in the copy
    std::int64_t entry_era_;    // in which that was written
    Duration expected_wait_{};  // after the acquisition
  };
  constexpr auto kUnknownWait =
      HolderLease::kValidity + kHandoverInterval + HolderLease::kPostOutageWait;
  const auto test = GENERATE_COPY(values<Case>({
      {"held until the return", false, "a/1#1", 1, {}},
      {"entry lost", false, "", 0, {}},
      {"expired before", true, "a/1#1", 1, kUnknownWait},
      {"expired before, own entry", true, "b/1#1", 1, kUnknownWait},
      {"expired before, entry lost", true, "", 0, kUnknownWait},
      {"another one held it since", false, "a/1#2", 2, kUnknownWait},
      {"another one released it since", false, "releaseda/1#2", 2,
       kHandoverInterval},
  }));
  INFO(test.what_);
  ElectionFixture fixture("releaseda/0#1", 1);
  fixture.Acquire();
  fixture.Pass(kHandoverInterval);
  REQUIRE(fixture.election_.MaySendOrders(fixture.now_));
  const auto token = fixture.election_.fencing_token();
  const auto lease = fixture.lease_id();
  if (test.expires_first_) {
    fixture.now_ += HolderLease::kValidity;
  }
  fixture.Restore(2, test.last_holder_);
  CHECK_FALSE(fixture.election_.MaySendOrders(fixture.now_));
  fixture.election_.OnRenewResult(lease, fixture.now_, StoreLease{lease, {}});
  CHECK_FALSE(fixture.election_.is_held());
  // The entry of this process in the copy, attached to the lease that it had.
  fixture.election_.OnStoreEntry(
      {"orders", "b/1", StorePosition::Make(2, kLastRevision + 1), lease,
       false},
      fixture.now_);
  CHECK_FALSE(fixture.election_.is_held());
  fixture.election_.OnStoreEntry(
      {"orders", "", StorePosition::Make(2, kLastRevision + 1), 0, true},
      fixture.now_);
  for (const auto& call : fixture.election_.Next(fixture.now_)) {
    CHECK(call.lease_id_ != lease);
  }
  fixture.Acquire();
  const auto acquired_at = fixture.now_;
  CHECK(fixture.election_.fencing_token() > token);
  fixture.election_.OnPeerNotHolder({"a/1", token, {}, {}}, fixture.now_);
  if (test.expected_wait_ > Duration::zero() && test.entry_era_ != 2) {
    fixture.Pass(test.expected_wait_ - milliseconds(1));
    CHECK_FALSE(fixture.election_.MaySendOrders(fixture.now_));
    fixture.Pass(acquired_at + test.expected_wait_ - fixture.now_);
  }
  CHECK(fixture.election_.MaySendOrders(fixture.now_));
}

// Guards against a lease entry that stays attached to the lease of another
// entry: the store returned from a copy between the grant of the lease and the
// transaction, and gave out the id of the lease again.
TEST_CASE("A lease of an earlier era gives no right", "[gateway]") {
  ElectionFixture fixture("a/1#1", 1);
  (void)fixture.RequestLease();
  fixture.election_.OnStoreEra(2, fixture.now_);
  const auto position = StorePosition::Make(2, 12);
  fixture.election_.OnAcquireResult(position, fixture.now_);
  CHECK_FALSE(fixture.election_.is_held());
  const auto calls = fixture.election_.Next(fixture.now_);
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].kind_ == HolderStoreCall::Kind::kRelease);
  CHECK(calls[0].change_.preconditions_[0].revision_ == position);
  CHECK(calls[0].change_.removals_ == std::vector<std::string>{"orders"});
}

// Guards against an attempt that expects the entry of an earlier era: a
// revision that was given out again could meet it.
TEST_CASE("An instance competes only with the last holder of the present era",
          "[gateway]") {
  ElectionFixture fixture("a/1#1", 1);
  fixture.election_.OnStoreEra(2, fixture.now_);
  const auto count_calls = [&fixture] {
    std::size_t count = 0;
    for (int i = 0; i < 40; ++i) {
      fixture.now_ += milliseconds(50);
      count += fixture.election_.Next(fixture.now_).size();
    }
    return count;
  };
  CHECK(count_calls() == 0);
  fixture.election_.OnStoreEntry(
      {"orders/last", "a/1#1", StorePosition::Make(2, kLastRevision), 0, false},
      fixture.now_);
  CHECK(count_calls() == 1);
}

// Guards against a successor that sends orders too soon after those of a
// process that ended: the next process of the same instance took over without a
// wait, stopped, and reported that it had sent none.
TEST_CASE("A restarted holder reports a wait for its predecessor's orders",
          "[gateway]") {
  struct Case {
    std::string last_holder_;
    bool reports_wait_;
  };
  const auto test = GENERATE(values<Case>({
      {"b/0", true},          // an earlier process of this instance
      {"releaseda/1", false}  // its own wait for "a" is over
  }));
  INFO(test.last_holder_);
  ElectionFixture fixture(test.last_holder_);
  fixture.Acquire();
  if (!test.reports_wait_) {
    fixture.Pass(kHandoverInterval);
  }
  fixture.election_.Stop();
  const auto report = fixture.election_.MakeHandoverReport(fixture.now_);
  CHECK((report.wait_ >= kHandoverInterval) == test.reports_wait_);
  CHECK(report.recent_orders_.empty());
  const auto later =
      fixture.election_.MakeHandoverReport(fixture.now_ + seconds(4));
  CHECK(later.wait_ == Duration::zero());
}

// Guards against a holder that is taken for a waiting one after it has sent
// orders, so that each successor waits longer than necessary.
TEST_CASE("A holder records that its wait is over", "[gateway]") {
  ElectionFixture fixture;
  fixture.Acquire();
  fixture.election_.OnPeerNotHolder({"a/1", 7, {}, {{"t1", milliseconds(0)}}},
                                    fixture.now_);
  const auto records = [&fixture] {
    int count = 0;
    for (const auto& call : fixture.election_.Next(fixture.now_)) {
      count += call.kind_ == HolderStoreCall::Kind::kRecordHandoverEnd ? 1 : 0;
    }
    return count;
  };
  CHECK(records() == 0);  // t1 gets no order so far
  fixture.Pass(kHandoverInterval + kMargin);
  CHECK(records() == 1);
  CHECK(records() == 0);  // the result is outstanding
  fixture.Pass(HolderElection::kRecordInterval);
  CHECK(records() == 1);
  fixture.election_.OnHandoverEndRecorded(fixture.lease_id(), true);
  fixture.Pass(HolderElection::kRecordInterval);
  CHECK(records() == 0);
}

}  // namespace
}  // namespace baobab::gateway
