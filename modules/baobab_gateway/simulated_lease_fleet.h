#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_gateway/holder_election.h"
#include "baobab_gateway/instance_directory.h"
#include "baobab_gateway/report_intervals.h"
#include "baobab_gateway/simulated_lease_store.h"
#include "baobab_gateway/suspension_detector.h"

namespace baobab::gateway::test {

/// Simulates instances that compete for the order lease, their store, their
/// network and the targets that they send orders to, under virtual time.
///
/// Each instance runs InstanceDirectory and HolderElection as EntryInstance
/// does. Targets do not check fencing tokens; the simulation records each order
/// that reaches one out of turn.
class SimulatedLeaseFleet {
 public:
  enum class Fault : std::uint8_t {
    kCut,             ///< Isolated from store, peers and targets.
    kStoreCut,        ///< Isolated from the store only.
    kFreeze,          ///< Suspended; the steady clock stands still.
    kPause,           ///< Gets no processor time; the steady clock runs on.
    kKill,            ///< The process ends and starts again.
    kKillOthers,      ///< As kKill, of all other instances.
    kStop,            ///< The process ends as planned and starts again.
    kHolderStop,      ///< As kStop, of the instance that holds the lease.
    kHolderKill,      ///< As kKill, of the instance that holds the lease.
    kHolderStoreCut,  ///< As kStoreCut, of the instance that holds the lease.
    kStoreDown,       ///< The store responds to nobody.
    /// As kStoreDown, and the store returns from a copy is Event::age_ old
    /// when the outage began.
    kStoreRestored,
  };
  struct Event {
    Duration at_{};  ///< Since the call of Schedule().
    Fault fault_ = Fault::kCut;
    Duration time_{};        ///< Ignored for ends of processes.
    std::size_t index_ = 0;  ///< Instance; 0 is the first holder.
    Duration age_{};         ///< Of the copy, for kStoreRestored.
  };
  struct Options {
    std::size_t instances_ = 7;
    std::uint64_t seed_ = 1;
    bool leases_expire_in_outage_ = false;
    double datagram_loss_ = 0.01;
    /// Share of store calls whose response is lost.
    double response_loss_ = 0;
  };

  /// Minimum interval between orders of two holders to one target.
  static constexpr Duration kHandoverInterval = std::chrono::seconds(3);
  static constexpr Duration kOrderMargin = std::chrono::milliseconds(700);
  /// Orders that arrive so soon after their sender was resumed or reconnected
  /// are not judged.
  static constexpr Duration kResumeTolerance = std::chrono::milliseconds(300);

  explicit SimulatedLeaseFleet(Options options)
      : options_(options), random_(options.seed_) {
    for (std::size_t i = 0; i < options_.instances_; ++i) {
      machines_.push_back(std::make_unique<Machine>());
      machines_.back()->name_ = "i" + std::to_string(i);
      by_name_[machines_.back()->name_] = machines_.back().get();
    }
    for (auto& machine : machines_) {
      StartProcess(*machine);
    }
    CopyStore();
  }

  /// Schedules faults, relative to the current time.
  auto Schedule(const std::vector<Event>& events) -> void {
    for (const auto& event : events) {
      After(event.at_, [this, event] { Begin(event); });
    }
  }

  auto Run(Duration time) -> void {
    const auto end = now_ + time;
    while (!queue_.empty() && queue_.top().at_ <= end) {
      const auto next = queue_.top();
      queue_.pop();
      now_ = next.at_;
      next.action_();
    }
    now_ = end;
  }

  /// Runs until an instance sends orders and makes it instance 0 of the events.
  auto RunUntilFirstOrder() -> void {
    while (orders_ == 0) {
      Run(std::chrono::milliseconds(100));
    }
    std::swap(machines_[0], *std::find_if(machines_.begin(), machines_.end(),
                                          [this](const auto& machine) {
                                            return machine.get() == orderer_;
                                          }));
  }

  /// Returns the number of orders that arrived out of turn.
  [[nodiscard]] auto violation_count() const -> int { return violation_count_; }
  /// Returns the number of orders that arrived with the fencing token of an
  /// order of another instance.
  [[nodiscard]] auto shared_token_count() const -> int {
    return shared_token_count_;
  }
  /// Returns a description of the first order out of turn.
  [[nodiscard]] auto first_violation() const -> const std::string& {
    return first_violation_;
  }
  [[nodiscard]] auto TakeOrderCount() -> int {
    return std::exchange(orders_, 0);
  }

 private:
  using CommitResult = SimulatedLeaseStore::CommitResult;

  // Times of the platform, and of EntryInstance, PlatformStore and StateSync.
  static constexpr Duration kStart = std::chrono::seconds(1000);
  static constexpr Duration kTick = std::chrono::milliseconds(20);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kRestartDelay = std::chrono::milliseconds(700);
  static constexpr Duration kStopTime = std::chrono::milliseconds(4500);
  static constexpr Duration kReadInterval = std::chrono::milliseconds(200);
  static constexpr Duration kOrderInterval = std::chrono::milliseconds(100);
  static constexpr std::size_t kTargets = 3;
  /// Size of the receive buffer of an instance that is suspended: the oldest
  /// datagrams of about a second are kept.
  static constexpr std::size_t kMaxQueuedDatagrams = 60;
  static constexpr const char* kKey = "orders";

  struct Machine;

  struct Process {
    Process(HolderElection::Settings settings, std::uint64_t seed)
        : election_(std::move(settings), seed) {}
    Machine* machine_ = nullptr;
    bool alive_ = true;
    bool stopping_ = false;
    std::int64_t incarnation_ = 0;
    std::int64_t sequence_ = 0;
    InstanceDirectory directory_;
    HolderElection election_;
    SuspensionDetector suspension_;
    TimePoint started_at_{};
    TimePoint last_response_{};   // of the store
    std::int64_t store_era_ = 0;  // of that response
    std::int64_t revision_ = 0;
    std::set<std::string> known_keys_;  // of the store
    bool reading_ = false;
    Duration next_report_{};
    Duration next_read_{};
    Duration next_renewal_{};
    Duration next_order_{};
    TimePoint digest_sent_at_{};
  };

  struct Machine {
    std::string name_;
    std::shared_ptr<Process> process_;
    int cuts_ = 0;
    int store_cuts_ = 0;
    int freezes_ = 0;
    int pauses_ = 0;
    Duration frozen_time_{};  // in total
    Duration frozen_at_{};
    Duration disturbed_until_{};  // last time it was resumed or reconnected
    std::vector<std::function<void()>> inbox_;  // while suspended
  };

  struct Action {
    Duration at_{};
    std::uint64_t number_ = 0;
    std::function<void()> action_;
    auto operator<(const Action& other) const -> bool {
      return std::pair(at_, number_) > std::pair(other.at_, other.number_);
    }
  };

  struct Target {
    const Machine* sender_ = nullptr;
    Duration at_{};
    std::int64_t token_ = 0;
    std::map<std::int64_t, const Machine*> senders_;  // by token
  };

  auto After(Duration delay, std::function<void()> action) -> void {
    queue_.push({now_ + delay, ++action_count_, std::move(action)});
  }

  auto Draw(Duration from, Duration to) -> Duration {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        from.count(), to.count())(random_));
  }
  auto Chance(double share) -> bool {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  auto Latency() -> Duration {
    return Draw(std::chrono::milliseconds(1), std::chrono::milliseconds(6));
  }

  [[nodiscard]] auto SteadyNow(const Machine& machine) const -> TimePoint {
    return TimePoint{} + now_ - machine.frozen_time_;
  }
  [[nodiscard]] static auto IsSuspended(const Machine& machine) -> bool {
    return machine.freezes_ + machine.pauses_ > 0;
  }

  auto StartProcess(Machine& machine) -> void;
  auto EndProcess(Machine& machine) -> void;
  /// Runs `action` in the process, once its machine is not suspended.
  auto RunIn(const std::weak_ptr<Process>& process,
             std::function<void(Process&)> action) -> void;
  auto Tick(const std::weak_ptr<Process>& process) -> void;
  [[nodiscard]] auto RenewInterval(const Process& self) const -> Duration;
  auto UpdateRoles(Process& self) -> void;
  auto CheckSuspension(Process& self) -> void;
  [[nodiscard]] auto IsConnected(const Process& self) const -> bool;
  [[nodiscard]] auto MakeReport(Process& self) -> PeerReport;
  auto SendReport(Process& self, bool to_all) -> void;
  auto OnReport(Process& self, const PeerReport& report) -> void;
  auto Deliver(const Process& from, const std::string& to,
               std::function<void(Process&)> action) -> void;
  auto SendOrders(Process& self) -> void;
  auto Judge(Target& target, const Machine& machine, std::int64_t token)
      -> void;
  /// Makes a call that `execute` carries out at the store. `on_result` gets its
  /// result, or nothing if there is no response.
  template <class Execute, class OnResult>
  auto CallStore(Process& self, Execute execute, OnResult on_result) -> void;
  [[nodiscard]] auto IsStoreReachable(const Machine& machine) const -> bool;
  auto MakeCalls(Process& self) -> void;
  auto MakeCall(Process& self, const HolderStoreCall& call) -> void;
  auto ReadStore(Process& self) -> void;
  auto ApplyChanges(Process& self, const SimulatedLeaseStore::Changes& changes)
      -> void;
  auto CopyStore() -> void;
  auto Begin(const Event& event) -> void;
  /// Outages may overlap; leases stand still from the first one to the end of
  /// the last one, or expire.
  auto BeginStoreOutage() -> void;
  auto EndStoreOutage() -> void;
  /// Returns the connected instance that holds the lease; without one, instance
  /// `fallback`.
  [[nodiscard]] auto FindHolder(std::size_t fallback) const -> Machine*;
  auto Resume(Machine& machine) -> void;
  auto BeginStop(Machine& machine) -> void;

  Options options_;
  Random random_;
  Duration now_ = kStart;
  std::priority_queue<Action> queue_;
  std::uint64_t action_count_ = 0;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::map<std::string, Machine*> by_name_;
  SimulatedLeaseStore store_;
  int store_outages_ = 0;
  Duration leases_paused_at_{};
  std::map<std::size_t, Target> targets_;
  int violation_count_ = 0;
  int shared_token_count_ = 0;
  std::string first_violation_;
  int orders_ = 0;
  const Machine* orderer_ = nullptr;
};

}  // namespace baobab::gateway::test
