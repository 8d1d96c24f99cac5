#pragma once

#include "baobab_peers/peer_node.h"
#include "contract_controller.h"
#include "control_context.h"
#include "limit_controller.h"
#include "membership_controller.h"
#include "peer_io.h"

namespace baobab {

/// Control's exchange with other daemons: heartbeats, contracts and loans.
/// Runs on the control thread.
class PeerController {
 public:
  PeerController(ControlContext& context, MembershipController& members,
                 ContractController& contracts, LimitController& limits);

  /// Sets where messages go; without it, none are sent.
  auto SetCommands(PeerCommands* commands) -> void { commands_ = commands; }

  /// Sends what is due. Call every 50 ms.
  auto Tick() -> void;

  /// Handles a message of another daemon.
  auto Handle(const peers::PeerMessage& message) -> void;

  /// Sends contracts that the gossip passes on.
  auto SendContracts(contract::ContractMessages messages) -> void;

  /// Tries the daemons of the instance list too.
  auto OnInstances(const InstancesListed& listed) -> void;

  /// Tells all peers that this process ends.
  auto Leave() -> void;

 private:
  auto Send(peers::PeerOutgoings messages) -> void;
  auto SendLoans(const limits::LoanMessages& messages) -> void;
  auto OnHeartbeat(const ProcessId& from,
                   const peers::HeartbeatMessage& message) -> void;
  auto OnLoans(const ProcessId& from, const peers::PeerBody& body) -> void;

  ControlContext& context_;
  MembershipController& members_;
  ContractController& contracts_;
  LimitController& limits_;
  PeerCommands* commands_ = nullptr;
  peers::PeerNode node_;
};

}  // namespace baobab
