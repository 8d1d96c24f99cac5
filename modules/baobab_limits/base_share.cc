#include "baobab_limits/base_share.h"

#include <algorithm>
#include <string>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::limits {
namespace {

auto RendezvousWeight(const ShareKey& key, const ProcessId& process)
    -> std::pair<std::uint64_t, ProcessId> {
  const auto seed = HashKey(key.customer_.value(),
                            process.incarnation_ + static_cast<int>(key.kind_));
  return {HashKey(process.instance_.value(), seed), process};
}

}  // namespace

auto ToString(LimitKind kind) -> std::string_view {
  switch (kind) {
    case LimitKind::kRequestRate:
      return "request_rate";
    case LimitKind::kTokenRate:
      return "token_rate";
    case LimitKind::kConcurrentRequests:
      return "concurrent_requests";
    case LimitKind::kConcurrentBookings:
      break;
  }
  return "concurrent_bookings";
}

auto LimitOf(const contract::ContractLimits& limits, LimitKind kind) -> Units {
  switch (kind) {
    case LimitKind::kRequestRate:
      return limits.requests_per_second_;
    case LimitKind::kTokenRate:
      return limits.tokens_per_second_;
    case LimitKind::kConcurrentRequests:
      return limits.concurrent_requests_;
    case LimitKind::kConcurrentBookings:
      break;
  }
  return limits.concurrent_bookings_;
}

auto BaseShare(const ShareKey& key, Units limit, const RosterEpoch& roster,
               const ProcessId& member) -> Units {
  const auto is_member = std::ranges::any_of(
      roster.members_, [&](const auto& m) { return m.process_ == member; });
  if (!is_member) {
    return 0;
  }
  const auto own = RendezvousWeight(key, member);
  const auto rank = std::ranges::count_if(roster.members_, [&](const auto& m) {
    return RendezvousWeight(key, m.process_) > own;
  });
  const auto count = static_cast<Units>(roster.members_.size());
  return limit / count + (rank < limit % count ? 1 : 0);
}

}  // namespace baobab::limits
