#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "baobab_base/roster_epoch.h"
#include "baobab_base/strong_id.h"
#include "baobab_contract/contract.h"

namespace baobab::limits {

/// Whole units of a limit: requests/s, tokens/s or concurrent requests.
using Units = std::int64_t;

/// The limits of a contract that are divided over the instances.
enum class LimitKind : std::uint8_t {
  kRequestRate,
  kTokenRate,
  kConcurrentRequests,
  kConcurrentBookings,
};

/// Number of limit kinds.
inline constexpr int kLimitKinds = 4;

/// Returns "request_rate", "token_rate", "concurrent_requests" or
/// "concurrent_bookings".
[[nodiscard]] auto ToString(LimitKind kind) -> std::string_view;

/// Returns the value of limit `kind` in a contract.
[[nodiscard]] auto LimitOf(const contract::ContractLimits& limits,
                           LimitKind kind) -> Units;

/// One limit of one customer.
struct ShareKey {
  CustomerId customer_;
  LimitKind kind_ = LimitKind::kRequestRate;
  auto operator<=>(const ShareKey&) const = default;
};

/// Returns the units of `limit` that `member` owns under `roster`: the limit
/// divided by the number of members; the remainder goes one unit each to the
/// first members in rendezvous order for the key. Shares of all members add up
/// to the limit and never fall when the limit rises. 0 for a non-member.
[[nodiscard]] auto BaseShare(const ShareKey& key, Units limit,
                             const RosterEpoch& roster, const ProcessId& member)
    -> Units;

}  // namespace baobab::limits
