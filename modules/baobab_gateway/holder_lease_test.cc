#include "baobab_gateway/holder_lease.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
constexpr Duration kHandoverInterval = milliseconds(3000);

// Guards against orders of two holders within a shorter interval than the
// platform allows, regardless of how the former holder lost the lease.
TEST_CASE("A new holder waits for the handover interval after the last order",
          "[gateway]") {
  struct Case {
    HolderLease::PriorHolder prior_holder_;
    // Time of the last Renew() of the former holder, which is called after a
    // renewal at the store and while no instance reaches the store. The new
    // holder acquires the lease at `acquired`, 10 s after the start.
    Duration former_last_renewal_;
  };
  const auto acquired = milliseconds(10'000);
  const auto test = GENERATE_COPY(values<Case>({
      {HolderLease::PriorHolder::kUnknown, acquired},
      {HolderLease::PriorHolder::kUnknown, acquired - milliseconds(1500)},
      {HolderLease::PriorHolder::kUnknownAfterOutage,
       acquired + HolderLease::kPostOutageWait},
  }));
  HolderLease former(kHandoverInterval);
  former.Acquire(1, HolderLease::PriorHolder::kOwn, Duration::zero(),
                 Duration::zero());
  former.Renew(test.former_last_renewal_);
  HolderLease next(kHandoverInterval);
  next.Acquire(2, test.prior_holder_, acquired, acquired);
  Duration last_order{};
  Duration first_order = Duration::max();
  for (Duration now = acquired; now < milliseconds(20'000);
       now += milliseconds(10)) {
    next.Renew(now);
    if (former.MaySendOrders(now)) {
      last_order = now;
    }
    if (next.MaySendOrders(now)) {
      first_order = std::min(first_order, now);
    }
  }
  CHECK(first_order - last_order >= kHandoverInterval);
  CHECK(first_order < milliseconds(20'000));
}

// Guards against a holder that resumes after a suspension and sends orders
// although its lease expired during the suspension.
TEST_CASE("The lease expires unless it is renewed", "[gateway]") {
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
  CHECK(lease.MaySendOrders(now) == may);
  lease.Release();
  CHECK_FALSE(lease.MaySendOrders(now));
}

// Guards against a new holder that waits although the former holder has
// reported that it sends no more orders.
TEST_CASE("The handover wait ends when the former holder reports its stop",
          "[gateway]") {
  HolderLease lease(kHandoverInterval);
  lease.Acquire(7, HolderLease::PriorHolder::kUnknown, Duration::zero(),
                Duration::zero());
  CHECK_FALSE(lease.MaySendOrders(milliseconds(500)));
  lease.EndHandoverWait(milliseconds(500));
  CHECK(lease.MaySendOrders(milliseconds(500)));
}

}  // namespace
}  // namespace baobab::gateway
