#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_contract/contract_gossip.h"
#include "baobab_membership/membership_table.h"
#include "baobab_membership/peer_topology.h"
#include "baobab_peers/peer_message.h"

namespace baobab::peers {

/// A message and the address to send it to.
struct PeerOutgoing {
  std::string address_;
  PeerMessage message_;
};

using PeerOutgoings = std::vector<PeerOutgoing>;

/// Settings of a PeerNode.
struct PeerNodeSettings {
  membership::MembershipSettings membership_;
  /// Peer addresses tried while their member is unknown or gone.
  std::vector<std::string> seeds_;
  /// Every how many heartbeats seeds are tried and full heartbeats sent.
  std::uint64_t slow_every_ = 8;
  /// Every how many heartbeats a relay sends domain summaries.
  std::uint64_t summary_every_ = 2;
  bool jitter_ = true;  ///< Off only to measure what it is worth.
};

/// One daemon's part in membership and contract distribution: sends
/// heartbeats and domain summaries, keeps the MembershipTable, and spreads
/// contracts and the roster. Deterministic.
class PeerNode {
 public:
  /// All pointers must outlive this object; `gossip` spreads `contracts`.
  PeerNode(membership::MembershipTable* table,
           contract::ContractRegister* contracts,
           contract::ContractGossip* gossip, Random* random,
           PeerNodeSettings settings);

  /// Sends what is due. Call at least ten times per heartbeat interval.
  [[nodiscard]] auto Tick(TimePoint now) -> PeerOutgoings;

  /// Handles heartbeats, leaves, summaries, contracts and rosters; other
  /// messages are ignored here.
  [[nodiscard]] auto OnMessage(const PeerMessage& message, TimePoint now)
      -> PeerOutgoings;

  /// Takes contracts that a watch of the configuration service reported.
  [[nodiscard]] auto OnStoreRecords(
      const std::vector<contract::ContractRecord>& records) -> PeerOutgoings;

  /// Takes a complete read of the contracts, sent at `sent`.
  [[nodiscard]] auto OnStoreRead(
      const std::vector<contract::ContractRecord>& records, TimePoint sent)
      -> PeerOutgoings;

  /// Returns the announcement that this process stops.
  [[nodiscard]] auto LeaveAll(bool loans_settled) -> PeerOutgoings;

  /// Chooses peers anew at the next heartbeat, after the table was changed
  /// from outside.
  auto RequestPlan() -> void { plan_due_ = true; }

  /// Replaces the addresses tried while their member is unknown or gone.
  auto SetSeeds(std::vector<std::string> seeds) -> void {
    settings_.seeds_ = std::move(seeds);
  }

  /// Sets the load reported.
  auto SetLoad(double load) -> void { load_ = load; }

  /// Sets the newest roster known here; a higher epoch replaces a lower one.
  auto LearnRoster(const RosterEpoch& roster) -> bool;

  /// Newest roster known.
  [[nodiscard]] auto roster() const -> const RosterEpoch& { return roster_; }

  /// Members as seen here.
  [[nodiscard]] auto table() const -> const membership::MembershipTable& {
    return *table_;
  }

  /// Current peers.
  [[nodiscard]] auto plan() const -> const membership::PeerPlan& {
    return plan_;
  }

  /// Returns `body` addressed to `process`, or nothing if it is not known.
  [[nodiscard]] auto Address(const ProcessId& process, PeerBody body)
      -> std::optional<PeerOutgoing>;

  /// Addresses whose connection should be replaced: the peer says that it does
  /// not hear this process. Empties the list.
  [[nodiscard]] auto TakeReconnects() -> std::vector<std::string> {
    return std::exchange(reconnects_, {});
  }

 private:
  auto UpdatePlan() -> void;
  [[nodiscard]] auto Envelope(const std::string& address, PeerBody body)
      -> PeerOutgoing;
  auto Append(PeerOutgoings& out, const ProcessId& to, PeerBody body) -> void;
  auto Append(PeerOutgoings& out, contract::ContractMessages messages) -> void;
  [[nodiscard]] auto MakeHeartbeat(TimePoint now) const -> HeartbeatMessage;
  auto SendHeartbeats(PeerOutgoings& out, TimePoint now) -> void;
  auto SendSeeds(PeerOutgoings& out, TimePoint now) -> void;
  auto SendSummaries(PeerOutgoings& out, TimePoint now) -> void;
  [[nodiscard]] auto MakeSummary(const FailureDomain& domain,
                                 std::optional<TimePoint> since,
                                 TimePoint now) const -> DomainSummaryMessage;
  auto ForwardSummary(PeerOutgoings& out, const FailureDomain& domain,
                      TimePoint since, TimePoint now) -> void;
  auto OnHeartbeat(PeerOutgoings& out, const ProcessId& from,
                   const HeartbeatMessage& message, TimePoint now) -> void;
  auto OnSummary(PeerOutgoings& out, const ProcessId& from,
                 const DomainSummaryMessage& message, TimePoint now) -> void;
  auto AnswerWants(PeerOutgoings& out, const ProcessId& from,
                   const HeartbeatMessage& message, TimePoint now) -> void;
  auto AskFor(PeerOutgoings& out, const ProcessId& from, bool remote,
              bool roster, TimePoint now) -> void;

  membership::MembershipTable* table_;
  contract::ContractRegister* contracts_;
  contract::ContractGossip* gossip_;
  membership::MemberInfo announced_;  ///< Own state as last announced.
  Random* random_;
  PeerNodeSettings settings_;
  membership::PeerPlan plan_;
  bool plan_due_ = true;
  std::optional<TimePoint> next_heartbeat_;
  std::optional<TimePoint> judged_;
  std::uint64_t sequence_ = 0;
  std::uint64_t message_sequence_ = 0;
  std::map<ProcessId, int> full_sent_;  ///< Full heartbeats by mesh peer.
  double load_ = 0;
  RosterEpoch roster_;
  TimePoint summarized_{};
  std::optional<TimePoint> asked_;
  std::vector<std::string> reconnects_;
};

}  // namespace baobab::peers
