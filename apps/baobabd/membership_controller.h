#pragma once

#include <functional>
#include <optional>
#include <string>

#include "baobab_membership/entry_directory.h"
#include "baobab_membership/membership_table.h"
#include "baobab_membership/roster.h"
#include "control_context.h"
#include "limit_controller.h"
#include "platform_messages.h"

namespace baobab {

/// Knows the other daemons: liveness, the roster and the entry responses.
/// Owned by the control thread.
class MembershipController {
 public:
  MembershipController(ControlContext& context, PlatformCommands& commands,
                       LimitController& limits);

  /// Advances liveness and the roster; `load` is the used part of this
  /// instance's capacity, 0 to 1. Call every 50 ms.
  auto Tick(double load) -> void;

  auto OnRosterRead(const RosterRead& read) -> void;
  auto OnRosterSwapped() -> void;
  auto OnInstances(const InstancesListed& listed) -> void;

  /// Takes a heartbeat; returns false if it is old.
  auto OnHeartbeat(const membership::Heartbeat& heartbeat) -> bool;
  auto OnLeave(const ProcessId& process) -> void;

  /// The next heartbeat of this process.
  [[nodiscard]] auto MakeHeartbeat() -> membership::Heartbeat;

  /// Starts to leave the roster.
  auto LeaveRoster() -> void;

  /// Returns true if this process may serve: its contracts are complete and it
  /// owns base shares, or has waited long enough for the roster.
  [[nodiscard]] auto IsReady() const -> bool;

  /// Returns true if the roster lists this process.
  [[nodiscard]] auto InRoster() const -> bool {
    return roster_.Contains(self_);
  }

  /// Caller address of a live owner with exactly this incarnation.
  [[nodiscard]] auto FindOwner(const OperationOwner& owner) const
      -> std::optional<TargetEndpoint>;

  /// Body of the answer to `GET /v1/entry`.
  [[nodiscard]] auto EntryBody(const std::string& caller) const -> std::string;

  /// Number of live processes, this one included, and its place among them.
  [[nodiscard]] auto PlaceAmongLive() const
      -> std::pair<std::uint32_t, std::uint32_t>;

  /// Members and roster, as JSON.
  [[nodiscard]] auto Describe() const -> std::string;

  [[nodiscard]] auto table() const -> const membership::MembershipTable& {
    return table_;
  }
  [[nodiscard]] auto table() -> membership::MembershipTable& { return table_; }

 private:
  auto UpdateSelf() -> void;
  auto TickRoster() -> void;
  [[nodiscard]] auto Candidates() const
      -> std::vector<membership::EntryCandidate>;

  ControlContext& context_;
  PlatformCommands& commands_;
  LimitController& limits_;
  ProcessId self_;
  membership::MembershipTable table_;
  membership::Roster roster_;
  std::uint64_t heartbeat_sequence_ = 0;
  double load_ = 0;
  Revision roster_revision_ = 0;
  bool roster_known_ = false;
  bool call_pending_ = false;
  bool read_wanted_ = true;
  bool leaving_ = false;
  TimePoint next_call_;
  TimePoint next_read_;
  std::optional<TimePoint> complete_since_;
};

}  // namespace baobab
