#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/virtual_network.h"
#include "baobab_peers/peer_node.h"

namespace baobab::peers {

/// Shape of a PeerTestFleet.
struct PeerFleetShape {
  std::size_t instances_ = 7;
  std::size_t domains_ = 3;
  std::size_t regions_ = 1;
  bool jitter_ = true;
  bool encode_ = false;  ///< Encode and decode every message, count bytes.
  Duration start_spread_ = std::chrono::seconds(1);
  bool all_read_ = false;  ///< Baseline: every instance watches the store.
};

/// What a PeerTestFleet has counted.
struct PeerFleetCounts {
  std::vector<std::uint64_t> sent_bytes_;  ///< By instance.
  std::uint64_t messages_ = 0;
  std::uint64_t store_reads_ = 0;
  std::uint64_t most_per_tick_ = 0;  ///< Most messages sent in one 10 ms.
};

/// PeerNodes over a VirtualNetwork with a configuration service that holds
/// contracts, has outages, and loses watch events. For tests and benchmarks.
class PeerTestFleet {
 public:
  PeerTestFleet(std::uint64_t seed, PeerFleetShape shape, LinkFaults faults);

  /// Starts a new process on `instance`, ending the one that runs.
  auto Start(std::size_t instance) -> void;

  /// Starts all, spread over start_spread_.
  auto StartAll() -> void;

  /// Ends the process on `instance`.
  auto Kill(std::size_t instance) -> void { processes_[instance].reset(); }

  auto RunUntil(TimePoint until) -> void { network_.RunUntil(until); }

  /// Accepts a change of `customer` at the configuration service; watches
  /// report it to readers.
  auto ChangeContract(const std::string& customer) -> void;

  /// Makes the configuration service unavailable until `until`.
  auto SetOutage(TimePoint until) -> void { outage_until_ = until; }

  /// Returns true while the configuration service is unavailable.
  [[nodiscard]] auto InOutage() const -> bool {
    return network_.now() < outage_until_;
  }

  /// Returns true if every running process has every accepted revision.
  [[nodiscard]] auto AllActive() const -> bool;

  /// Returns true if every running process sees every other as live.
  [[nodiscard]] auto AllKnown() const -> bool;

  /// Number of running processes whose contracts are complete and not stale.
  [[nodiscard]] auto FreshCount() const -> std::size_t;

  /// Revisions that went back within a process.
  [[nodiscard]] auto reversions() const -> std::size_t { return reversions_; }

  /// Live members that `instance` knows, itself left out.
  [[nodiscard]] auto LiveAt(std::size_t instance) const -> std::size_t {
    return processes_.at(instance)->node_->table().LiveMembers().size();
  }

  /// Number of processes that take themselves for readers.
  [[nodiscard]] auto readers() const -> std::size_t;
  [[nodiscard]] auto counts() const -> const PeerFleetCounts& {
    return counts_;
  }
  /// Starts counting anew.
  auto ResetCounts() -> void;

  [[nodiscard]] auto network() -> VirtualNetwork& { return network_; }

 private:
  struct Process {
    contract::ContractRegister contracts_;
    contract::ContractGossip gossip_{&contracts_};
    std::unique_ptr<membership::MembershipTable> table_;
    std::unique_ptr<PeerNode> node_;
    std::optional<TimePoint> next_read_;
    std::map<CustomerId, Revision> seen_;
  };
  using ProcessPtr = std::shared_ptr<Process>;

  [[nodiscard]] auto MakeInfo(std::size_t instance) -> membership::MemberInfo;
  [[nodiscard]] auto SeedsOf(std::size_t instance) const
      -> std::vector<std::string>;
  [[nodiscard]] auto IsReader(const Process& process) const -> bool;
  auto Schedule(std::size_t instance, const std::weak_ptr<Process>& process)
      -> void;
  auto Tick(std::size_t instance, const ProcessPtr& process) -> void;
  auto ReadStore(std::size_t instance, const ProcessPtr& process) -> void;
  auto Deliver(std::size_t from, const PeerOutgoings& messages) -> void;
  auto DeliverOne(std::size_t from, const PeerOutgoing& message) -> void;
  auto Receive(std::size_t at, const PeerMessage& message) -> void;
  auto CheckReversion(Process& process) -> void;

  PeerFleetShape shape_;
  VirtualNetwork network_;
  std::vector<ProcessPtr> processes_;
  std::map<CustomerId, contract::ContractRecord> records_;
  Revision revision_ = 100;
  TimePoint outage_until_{};
  Incarnation next_incarnation_ = 1;
  std::size_t reversions_ = 0;
  PeerFleetCounts counts_;
  std::map<Duration::rep, std::uint64_t> per_tick_;
};

}  // namespace baobab::peers
