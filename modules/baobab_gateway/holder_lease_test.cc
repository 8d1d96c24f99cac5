#include "baobab_gateway/holder_lease.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
constexpr Duration kHandoverInterval = milliseconds(3000);

// Guards against two holders whose orders lie closer together than the
// platform allows, however the former one lost its right.
TEST_CASE("A new holder's first order keeps the distance to the last one",
          "[gateway]") {
  struct Case {
    HolderLease::PriorHolder prior_holder_;
    // The former holder's last renewal, and until when it may be prolonged
    // because no instance reached the store; the new one acquires at 10 s.
    Duration former_renewed_;
  };
  const auto acquired = milliseconds(10'000);
  const auto test = GENERATE_COPY(values<Case>({
      {HolderLease::PriorHolder::kUnknown, acquired},
      {HolderLease::PriorHolder::kUnknown, acquired - milliseconds(1500)},
      {HolderLease::PriorHolder::kAfterOutage,
       acquired + HolderLease::kPostOutageWait},
  }));
  HolderLease former(kHandoverInterval);
  former.Acquire(1, HolderLease::PriorHolder::kOwn, Duration::zero(),
                 Duration::zero());
  former.Renew(test.former_renewed_);
  HolderLease next(kHandoverInterval);
  next.Acquire(2, test.prior_holder_, acquired, acquired);
  Duration last_order{};
  Duration first_order = Duration::max();
  for (Duration now = acquired; now < milliseconds(20'000);
       now += milliseconds(10)) {
    next.Renew(now);
    if (former.MayIssueOrders(now)) {
      last_order = now;
    }
    if (next.MayIssueOrders(now)) {
      first_order = std::min(first_order, now);
    }
  }
  CHECK(first_order - last_order >= kHandoverInterval);
  CHECK(first_order < milliseconds(20'000));
}

// Guards against a holder that wakes from a suspension and gives orders under a
// right that has lapsed meanwhile.
TEST_CASE("The right lapses unless it is renewed", "[gateway]") {
  const auto [renewed, now, may] = GENERATE(table<Duration, Duration, bool>({
      {milliseconds(0), milliseconds(0), true},
      {milliseconds(0), HolderLease::kValidity - Duration(1), true},
      {milliseconds(0), HolderLease::kValidity, false},
      {milliseconds(900), milliseconds(1900), true},
      {milliseconds(900), milliseconds(8000), false},
  }));
  HolderLease lease(kHandoverInterval);
  lease.Acquire(7, HolderLease::PriorHolder::kOwn, Duration::zero(),
                Duration::zero());
  lease.Renew(renewed);
  CHECK(lease.MayIssueOrders(now) == may);
  lease.Release();
  CHECK_FALSE(lease.MayIssueOrders(now));
}

TEST_CASE("The wait ends when the former holder is known to have stopped",
          "[gateway]") {
  HolderLease lease(kHandoverInterval);
  lease.Acquire(7, HolderLease::PriorHolder::kUnknown, Duration::zero(),
                Duration::zero());
  CHECK_FALSE(lease.MayIssueOrders(milliseconds(500)));
  lease.EndHandoverWait(milliseconds(500));
  CHECK(lease.MayIssueOrders(milliseconds(500)));
}

}  // namespace
}  // namespace baobab::gateway
