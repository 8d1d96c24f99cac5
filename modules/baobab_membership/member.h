#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "baobab_base/random_source.h"
#include "baobab_base/roster_epoch.h"
#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"

namespace baobab::membership {

/// What a member says about itself.
enum class MemberState : std::uint8_t { kStarting, kReady, kDraining };

/// What others conclude about a member.
enum class Liveness : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// Returns "starting", "ready" or "draining".
[[nodiscard]] auto ToString(MemberState state) -> std::string_view;

/// Returns "alive", "suspect", "dead" or "left".
[[nodiscard]] auto ToString(Liveness liveness) -> std::string_view;

/// What a member announces and rarely changes.
struct MemberInfo {
  ProcessId process_;
  std::string peer_address_;    ///< host:port of the pull socket.
  std::string caller_address_;  ///< host:port that callers connect to.
  FailureDomain domain_;
  Region region_;
  MemberState state_ = MemberState::kStarting;
  std::uint64_t applied_epoch_ = 0;  ///< Roster epoch applied.
  auto operator==(const MemberInfo&) const -> bool = default;
};

/// Content of one heartbeat.
struct Heartbeat {
  MemberInfo info_;
  std::uint64_t sequence_ = 0;  ///< Grows with each heartbeat of a process.
  Revision contract_highest_ = 0;
  std::uint64_t contract_hash_ = 0;
  /// Time since the sender's contracts were confirmed; unset if never.
  std::optional<Duration> contract_age_;
  double load_ = 0;  ///< Used part of the instance's capacity, 0 to 1.
};

/// Draws the incarnation of a process: milliseconds of the wall clock and 20
/// random bits, so that a later process of an instance has a higher one. The
/// random bits tell apart two starts in the same millisecond.
template <RandomSource Generator>
[[nodiscard]] auto DrawIncarnation(WallTime now, Generator& random)
    -> Incarnation {
  constexpr unsigned kRandomBits = 20;
  const auto low = std::uniform_int_distribution<std::uint64_t>(
      0, (1U << kRandomBits) - 1)(random);
  const auto ms = static_cast<Incarnation>(now.time_since_epoch().count());
  return (ms << kRandomBits) | low;
}

}  // namespace baobab::membership
