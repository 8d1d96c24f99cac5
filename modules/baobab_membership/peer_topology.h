#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "baobab_membership/membership_table.h"

namespace baobab::membership {

/// To whom this instance sends.
struct PeerPlan {
  /// Heartbeats and contract changes go to these.
  std::vector<ProcessId> mesh_;
  /// Whether this instance relays for its failure domain.
  bool is_relay_ = false;
  /// Relays of other domains; contract changes go to all of them.
  std::vector<ProcessId> relays_;
  /// One relay of each other domain, to which a relay sends summaries: the
  /// one of the same rank, so that the two relays of a domain use separate
  /// paths and each summary is sent half as often.
  std::vector<ProcessId> summary_relays_;
};

/// Chooses peers: up to kFullMesh members form a full mesh; above that, a full
/// mesh inside each failure domain and two relays between domains.
class PeerTopology {
 public:
  /// Largest full mesh, this instance included.
  static constexpr std::size_t kFullMesh = 24;
  /// Relays of a failure domain.
  static constexpr std::size_t kRelays = 2;
  /// Instances of a region that watch the configuration service.
  static constexpr std::size_t kReaders = 2;

  /// Returns the plan for the live members of `table`.
  [[nodiscard]] static auto Plan(const MembershipTable& table) -> PeerPlan;

  /// Returns true if this instance is one of the readers of its region.
  [[nodiscard]] static auto IsReader(const MembershipTable& table) -> bool;

  /// Returns the live process that stands first for `key`, for example the
  /// broker of a customer's limits; this process if it is alone.
  [[nodiscard]] static auto Choose(const MembershipTable& table,
                                   const std::string& key) -> ProcessId;
};

}  // namespace baobab::membership
