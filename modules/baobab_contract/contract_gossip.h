#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "baobab_base/roster_epoch.h"
#include "baobab_base/time_types.h"
#include "baobab_contract/contract_register.h"

namespace baobab::contract {

/// Asks a peer for every record that is newer than these revisions.
struct ContractPull {
  std::map<CustomerId, Revision> known_;
};

/// Records that the receiver may lack.
struct ContractPush {
  std::vector<ContractRecord> records_;
};

/// A message to send to another process.
struct ContractMessage {
  ProcessId to_;
  std::variant<ContractPull, ContractPush> body_;
};

using ContractMessages = std::vector<ContractMessage>;

/// Spreads contracts between instances: what is new here is pushed on, and a
/// peer whose digest differs is asked for what is missing (anti-entropy).
class ContractGossip {
 public:
  /// A peer is asked at most this often, since the answer to the first request
  /// may still be under way.
  static constexpr Duration kPullInterval = std::chrono::milliseconds(500);

  /// `contracts` must outlive this object.
  explicit ContractGossip(ContractRegister* contracts)
      : contracts_(contracts) {}

  /// Sets the processes that changes are pushed to.
  auto SetPeers(std::vector<ProcessId> peers) -> void {
    peers_ = std::move(peers);
  }

  /// Takes records that a watch of the configuration service reported.
  [[nodiscard]] auto OnStoreRecords(const std::vector<ContractRecord>& records)
      -> ContractMessages;

  /// Takes all records under the prefix, read by a request sent at `sent`.
  [[nodiscard]] auto OnStoreRead(const std::vector<ContractRecord>& records,
                                 TimePoint sent) -> ContractMessages;

  /// Takes the digest of a heartbeat and the age of the peer's contracts.
  [[nodiscard]] auto OnDigest(const ProcessId& peer,
                              const ContractDigest& digest,
                              std::optional<Duration> age, TimePoint now)
      -> ContractMessages;

  /// Answers a pull.
  [[nodiscard]] auto OnPull(const ProcessId& peer,
                            const ContractPull& pull) const -> ContractMessages;

  /// Takes pushed records and passes on those that were new here.
  [[nodiscard]] auto OnPush(const ProcessId& peer, const ContractPush& push)
      -> ContractMessages;

 private:
  auto Offer(const std::vector<ContractRecord>& records)
      -> std::vector<ContractRecord>;
  auto PushToPeers(const std::vector<ContractRecord>& records,
                   const ProcessId* except) const -> ContractMessages;

  ContractRegister* contracts_;
  std::vector<ProcessId> peers_;
  std::map<ProcessId, TimePoint> pulled_;
};

}  // namespace baobab::contract
