#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "baobab_base/virtual_network.h"
#include "baobab_limits/epoch_transition.h"
#include "baobab_limits/share_broker.h"

namespace baobab::limits {

/// Instances that share one limit over a VirtualNetwork, with clocks of
/// different rates, a configuration service that has outages, roster changes,
/// contract changes, and processes that stop, restart and pause. For tests.
class ShareTestFleet {
 public:
  ShareTestFleet(std::uint64_t seed, std::size_t instances, Units limit,
                 LinkFaults faults);

  /// Starts all processes; each joins the roster.
  auto StartAll() -> void;

  /// Runs until `until`, checking the sum of usable shares after every event.
  auto RunUntil(TimePoint until) -> void { network_.RunUntil(until); }

  /// Starts a new process on `instance`.
  auto Start(std::size_t instance) -> void;

  /// Ends the process on `instance`; its roster entry goes when its loans can
  /// no longer be in use.
  auto Kill(std::size_t instance) -> void;

  /// Writes a new limit to the configuration service; it reaches each process
  /// after a random delay of up to 2 s.
  auto ChangeLimit(Units limit) -> void;

  /// Writes the next roster epoch after `change`, retrying during an outage.
  auto ChangeRoster(std::function<void(RosterEpoch&)> change) -> void;

  /// Makes writes and reads of the configuration service fail until `until`.
  auto SetStoreOutage(TimePoint until) -> void { outage_until_ = until; }

  /// Sets which instance `instance` takes for the broker.
  auto SetBroker(std::size_t instance, std::size_t broker) -> void {
    brokers_.at(instance) = broker;
  }

  /// Sets the units that `instance` could use.
  auto SetNeed(std::size_t instance, Units need) -> void;

  /// Units usable at `instance` now; 0 if no process runs.
  [[nodiscard]] auto Usable(std::size_t instance) const -> Units;

  /// Sum over all running processes.
  [[nodiscard]] auto TotalUsable() const -> Units;

  /// Largest excess of the sum over the highest limit active anywhere.
  [[nodiscard]] auto worst_excess() const -> Units { return worst_excess_; }

  /// Returns true if every running process completed the newest epoch and
  /// enforces the newest limit.
  [[nodiscard]] auto IsSettled() const -> bool;

  [[nodiscard]] auto network() -> VirtualNetwork& { return network_; }

 private:
  struct Process {
    Process(const ProcessId& id, Duration offset, double rate);
    ProcessId id_;
    Duration clock_offset_;
    double clock_rate_;
    ShareLedger ledger_;
    ShareBroker broker_;
    EpochTransition transition_;
    Units need_ = 0;
    std::uint64_t limit_version_ = 0;
  };
  using ProcessPtr = std::shared_ptr<Process>;

  [[nodiscard]] auto LocalNow(const Process& process) const -> TimePoint;
  auto ScheduleTick(std::size_t instance, const std::weak_ptr<Process>& process)
      -> void;
  auto Tick(std::size_t instance, Process& process) -> void;
  auto ReadStore(Process& process) -> void;
  auto ScheduleHeartbeat(std::size_t instance,
                         const std::weak_ptr<Process>& process) -> void;
  auto Deliver(std::size_t from, const ProcessId& sender,
               const LoanMessages& messages) -> void;
  auto Receive(std::size_t at, const ProcessId& sender,
               const LoanMessage& message) -> void;
  auto Check() -> void;
  [[nodiscard]] auto IndexOf(const ProcessId& id) const -> std::size_t;

  VirtualNetwork network_;
  std::vector<ProcessPtr> processes_;
  std::vector<std::size_t> brokers_;
  std::vector<Units> needs_;
  RosterEpoch roster_;
  Units limit_;
  std::uint64_t limit_version_ = 1;
  TimePoint outage_until_{};
  Incarnation next_incarnation_ = 1;
  Units worst_excess_ = 0;
};

}  // namespace baobab::limits
