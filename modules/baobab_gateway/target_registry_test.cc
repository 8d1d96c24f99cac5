#include "baobab_gateway/target_registry.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace baobab::gateway {
namespace {

auto Registration(const std::string& id, bool draining = false)
    -> TargetRegistration {
  TargetRegistration registration;
  registration.id_ = id;
  registration.draining_ = draining;
  return registration;
}

// Guards against a response from before an outage, or from a slow peer, that
// overwrites newer state.
TEST_CASE("Older revisions do not replace newer ones", "[gateway]") {
  const auto [first, second, draining] =
      GENERATE(table<std::int64_t, std::int64_t, bool>(
          {{5, 6, true}, {6, 6, true}, {7, 6, false}}));
  TargetRegistry registry;
  registry.Put(Registration("t"), first);
  registry.Put(Registration("t", true), second);
  CHECK(registry.Find("t")->registration_.draining_ == draining);
}

// Guards against removing every target because the registrations expired during
// a store outage, and against keeping targets that never register again.
TEST_CASE(
    "A target missing after an outage is used until its grace period ends",
    "[gateway]") {
  const auto [after_outage, waited, returns, present] =
      GENERATE(table<bool, Duration, bool, bool>({
          {false, Duration::zero(), false, false},
          {true, Duration::zero(), false, true},
          {true, TargetRegistry::kExpiryGracePeriod, false, false},
          {true, TargetRegistry::kExpiryGracePeriod, true, true},
      }));
  TargetRegistry registry;
  registry.Put(Registration("t"), 5);
  const TimePoint now{};
  registry.Reconcile(std::set<std::string>{}, 9, after_outage, now);
  if (returns) {
    registry.Put(Registration("t"), 10);
  }
  registry.Expire(now + waited);
  CHECK((registry.Find("t") != nullptr) == present);
}

TEST_CASE("A removal that may be an expiry takes effect after the grace period",
          "[gateway]") {
  TargetRegistry registry;
  registry.Put(Registration("t"), 5);
  const TimePoint until = TimePoint{} + std::chrono::seconds(2);
  registry.MarkPossiblyExpired("t", 6, until);
  CHECK(registry.NextExpiry() == until);
  CHECK(registry.Expire(until - Duration(1)).empty());
  CHECK(registry.Expire(until).size() == 1);
  CHECK_FALSE(registry.NextExpiry().has_value());
  CHECK(registry.Find("t") == nullptr);
}

// Guards against restarting the grace period of every missing target when
// another registration expires, which would keep all of them in use until the
// last grace period ends.
TEST_CASE("Each grace period ends by itself", "[gateway]") {
  TargetRegistry registry;
  const TimePoint start{std::chrono::seconds(100)};
  for (const std::string id : {"a", "b"}) {
    TargetRegistration registration;
    registration.id_ = id;
    registry.Put(registration, 1);
  }
  registry.MarkPossiblyExpired("a", 2, start + std::chrono::seconds(1));
  registry.MarkPossiblyExpired("b", 3, start + std::chrono::seconds(2));
  CHECK(registry.NextExpiry() == start + std::chrono::seconds(1));
  CHECK(registry.Expire(start + std::chrono::seconds(1)) ==
        std::vector<std::string>{"a"});
  CHECK(registry.NextExpiry() == start + std::chrono::seconds(2));
}

}  // namespace
}  // namespace baobab::gateway
