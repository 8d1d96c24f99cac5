#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_gateway/peer_report.h"

namespace baobab::gateway {

/// An instance with a role in the fleet, as a coordinator states it.
struct DigestMember {
  std::string instance_;
  std::string caller_address_;  ///< Address for callers, "ip:port".
  std::string zone_;            ///< Failure domain of the instance.
  /// CPU share of the instance in thousandths of a core.
  std::uint32_t cpu_permille_ = 0;
  bool is_entry_ = false;  ///< Directories list it for callers.
  bool is_coordinator_ = false;
  bool holds_order_lease_ = false;
  auto operator==(const DigestMember&) const -> bool = default;
};

/// A target that must get no more requests: its registration states that it is
/// leaving, or was removed.
struct LeavingTarget {
  std::string target_;
  std::int64_t revision_ = 0;  ///< Store revision of that change.
  auto operator==(const LeavingTarget&) const -> bool = default;
};

/// What a coordinator states about the fleet to every other instance.
///
/// In a fleet of hundreds, most instances are standbys: they exchange no
/// reports with each other and learn from digests which instances callers may
/// use and which targets are leaving. The number of datagrams grows with the
/// number of instances instead of its square, and a standby needs few calls to
/// the store. Each digest is complete in itself, since datagrams may be lost,
/// duplicated or reordered.
struct FleetDigest {
  /// State of the coordinator, without its load.
  PeerReport coordinator_;
  /// The coordinator has held its role for so long that it received the reports
  /// of all live instances.
  bool settled_ = false;
  std::uint32_t instance_count_ = 0;  ///< Known instances, in all roles.
  std::vector<DigestMember> members_;
  /// `leaving_targets_` lists all targets that began to leave after this store
  /// revision.
  std::int64_t leaving_complete_after_ = 0;
  std::vector<LeavingTarget> leaving_targets_;
};

/// Encodes a digest as the payload of a datagram.
[[nodiscard]] auto EncodeFleetDigest(const FleetDigest& digest) -> std::string;

/// Decodes a digest. Returns nullopt if `bytes` are not a complete one.
[[nodiscard]] auto DecodeFleetDigest(std::string_view bytes)
    -> std::optional<FleetDigest>;

}  // namespace baobab::gateway
