#include "planner_lease.h"

#include <chrono>

#include "baobab_base/log.h"

namespace baobab {
namespace {

constexpr auto kKey = "/baobab/planner";
constexpr auto kTtl = std::chrono::seconds(6);
constexpr auto kInterval = std::chrono::seconds(2);

}  // namespace

auto PlannerLease::Tick(TimePoint now) -> void {
  if (calling_ || now < next_call_) {
    return;
  }
  calling_ = true;
  next_call_ = now + kInterval;
  if (Term(now) != 0) {
    Renew(now);
  } else {
    Take(now);
  }
}

auto PlannerLease::Take(TimePoint now) -> void {
  term_ = 0;
  store_.GrantLease(
      kTtl, [this, now, alive = alive_](const platform::LeaseResult& result) {
        if (!*alive) {
          return;
        }
        if (result.effect_ == platform::Effect::kTookEffect) {
          Create(result.id_, now);
        } else {
          calling_ = false;
        }
      });
}

auto PlannerLease::Create(std::int64_t lease, TimePoint asked) -> void {
  lease_ = lease;
  store_.CompareAndSwap(
      kKey, 0, holder_, lease,
      [this, asked, lease,
       alive = alive_](const platform::WriteResult& result) {
        if (!*alive) {
          return;
        }
        calling_ = false;
        if (result.effect_ == platform::Effect::kTookEffect) {
          term_ = static_cast<std::uint64_t>(result.revision_);
          valid_until_ = asked + kTtl;
          LogEvent(LogLevel::kInfo, "planner_lease_taken").With("term", term_);
        } else {
          store_.RevokeLease(lease, [](const platform::LeaseResult&) {});
        }
      });
}

auto PlannerLease::Renew(TimePoint now) -> void {
  store_.KeepLeaseAlive(
      lease_, [this, now, alive = alive_](const platform::LeaseResult& result) {
        if (!*alive) {
          return;
        }
        calling_ = false;
        if (result.effect_ != platform::Effect::kTookEffect) {
          return;  // Tried again until the lease has run out here.
        }
        valid_until_ = result.ttl_.count() > 0 ? now + kTtl : now;
      });
}

}  // namespace baobab
