#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_gateway/holder_election.h"
#include "baobab_gateway/instance_directory.h"
#include "baobab_gateway/report_intervals.h"
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
  };
  struct Event {
    Duration at_{};  ///< Since the start of the fleet.
    Fault fault_ = Fault::kCut;
    Duration time_{};        ///< Ignored for ends of processes.
    std::size_t index_ = 0;  ///< Instance; 0 is the first holder.
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
  /// Returns a description of the first such order.
  [[nodiscard]] auto first_violation() const -> const std::string& {
    return first_violation_;
  }
  [[nodiscard]] auto TakeOrderCount() -> int {
    return std::exchange(orders_, 0);
  }

 private:
  static constexpr Duration kStart = std::chrono::seconds(1000);
  static constexpr Duration kTick = std::chrono::milliseconds(20);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
  static constexpr Duration kRestartDelay = std::chrono::milliseconds(700);
  static constexpr Duration kStopTime = std::chrono::milliseconds(4500);
  static constexpr Duration kReadInterval = std::chrono::milliseconds(200);
  static constexpr Duration kOrderInterval = std::chrono::milliseconds(100);
  static constexpr std::size_t kTargets = 3;
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
    TimePoint last_response_{};  // of the store
    std::int64_t revision_ = 0;
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

  // --- processes

  auto StartProcess(Machine& machine) -> void {
    const auto incarnation = static_cast<std::int64_t>(random_() >> 2U);
    HolderElection::Settings settings;
    settings.key_ = kKey;
    settings.instance_ = machine.name_;
    settings.owner_id_ = machine.name_ + "/" + std::to_string(incarnation);
    settings.handover_interval_ = kHandoverInterval;
    settings.handover_margin_ = kOrderMargin;
    auto process = std::make_shared<Process>(std::move(settings), random_());
    process->machine_ = &machine;
    process->incarnation_ = incarnation;
    process->started_at_ = SteadyNow(machine);
    for (const auto& peer : machines_) {
      if (peer.get() != &machine) {
        process->directory_.Register(
            peer->name_, {peer->name_, peer->name_ + ":80", "z", 500});
      }
    }
    machine.process_ = process;
    process->next_report_ = now_ + Draw({}, std::chrono::milliseconds(100));
    Tick(process);
  }

  auto EndProcess(Machine& machine) -> void {
    if (machine.process_) {
      machine.process_->alive_ = false;
      machine.process_.reset();
      machine.inbox_.clear();
      After(kRestartDelay, [this, &machine] { StartProcess(machine); });
    }
  }

  /// Runs `action` in the process, once its machine is not suspended.
  auto RunIn(const std::weak_ptr<Process>& process,
             std::function<void(Process&)> action) -> void {
    const auto locked = process.lock();
    if (!locked || !locked->alive_) {
      return;
    }
    if (IsSuspended(*locked->machine_)) {
      locked->machine_->inbox_.push_back(
          [this, process, action = std::move(action)] {
            RunIn(process, action);
          });
      return;
    }
    action(*locked);
  }

  auto Tick(const std::weak_ptr<Process>& process) -> void {
    After(kTick, [this, process] {
      RunIn(process, [this, process](Process& self) {
        Tick(process);
        if (now_ >= self.next_report_) {
          SendReport(self, /*to_all=*/true);
        }
        if (now_ >= self.next_renewal_) {
          self.next_renewal_ = now_ + RenewInterval(self);
          CallStore(
              self, [](SimulatedLeaseFleet&) { return true; },
              [](Process&, const auto&) {});
        }
        if (now_ >= self.next_read_ && !self.reading_) {
          ReadStore(self);
        }
        MakeCalls(self);
        SendOrders(self);
      });
    });
  }

  [[nodiscard]] auto RenewInterval(const Process& self) const -> Duration {
    return self.directory_.IsActive(SteadyNow(*self.machine_))
               ? std::chrono::seconds(1)
               : std::chrono::seconds(3);
  }

  // --- the parts of EntryInstance that concern the lease

  auto UpdateRoles(Process& self) -> void {
    CheckSuspension(self);
    const auto now = SteadyNow(*self.machine_);
    self.directory_.Expire(now);
    self.directory_.Update(
        {self.machine_->name_, "z", self.machine_->name_ + ":80", 500,
         !self.stopping_, self.election_.fencing_token() != 0},
        now);
    const bool connected = IsConnected(self);
    self.election_.SetStoreConnected(connected, now_);
    if (!connected) {
      if (const auto outage = self.directory_.FindStoreOutage(now)) {
        self.election_.OnStoreOutage(
            now_ - (now - outage->from_),
            now_ - (now - outage->until_) - std::chrono::milliseconds(150));
      }
    }
    self.election_.SetHasStrongerPeer(false, now_);
    self.election_.SetMayCompete(
        self.directory_.IsCoordinator() ||
        (self.directory_.IsEntry() &&
         !self.directory_.CoordinatorReachesStore(now)));
  }

  auto CheckSuspension(Process& self) -> void {
    const auto suspended =
        self.suspension_.Check(now_, SteadyNow(*self.machine_));
    if (suspended > Duration::zero()) {
      self.directory_.OnSuspended(suspended);
    }
  }

  [[nodiscard]] auto IsConnected(const Process& self) const -> bool {
    return self.last_response_ != TimePoint{} &&
           SteadyNow(*self.machine_) - self.last_response_ <=
               RenewInterval(self) + std::chrono::milliseconds(700);
  }

  [[nodiscard]] auto MakeReport(Process& self) -> PeerReport {
    PeerReport report;
    report.instance_ = self.machine_->name_;
    report.incarnation_ = self.incarnation_;
    report.sequence_ = ++self.sequence_;
    report.address_ = self.machine_->name_;
    report.caller_address_ = self.machine_->name_ + ":80";
    report.zone_ = "z";
    report.cpu_permille_ = 500;
    report.ready_ = !self.stopping_;
    report.stopping_ = self.stopping_;
    report.store_connected_ = IsConnected(self);
    report.sent_at_ = SteadyNow(*self.machine_) - self.started_at_;
    report.store_response_at_ =
        std::max(self.last_response_, self.started_at_) - self.started_at_;
    report.fencing_token_ = self.election_.fencing_token();
    auto handover = self.election_.MakeHandoverReport(now_);
    report.recent_orders_ = std::move(handover.recent_orders_);
    report.handover_wait_ = handover.wait_;
    report.last_fencing_token_ = handover.last_token_;
    return report;
  }

  auto SendReport(Process& self, bool to_all) -> void {
    UpdateRoles(self);
    const auto now = SteadyNow(*self.machine_);
    const auto report = std::make_shared<PeerReport>(MakeReport(self));
    const auto recipients = self.directory_.ReportRecipients(now);
    for (const auto* peer : recipients) {
      Deliver(self, peer->address_,
              [this, report](Process& to) { OnReport(to, *report); });
    }
    if (to_all) {
      self.next_report_ =
          now_ + (self.directory_.IsActive(now)
                      ? ReportIntervals::Report(recipients.size())
                      : ReportIntervals::kStandbyReport);
    }
    if (!self.directory_.HasDigests() || !self.directory_.IsCoordinator() ||
        now - self.digest_sent_at_ <
            ReportIntervals::Digest(self.directory_.CountIncludingSelf())) {
      return;
    }
    self.digest_sent_at_ = now;
    const auto digest =
        std::make_shared<FleetDigest>(self.directory_.MakeDigest(*report, now));
    digest->coordinator_.sequence_ = ++self.sequence_;
    for (const auto& [name, peer] : self.directory_.instances()) {
      Deliver(self, name, [this, digest](Process& to) {
        if (to.directory_.RecordDigest(*digest, SteadyNow(*to.machine_))) {
          to.election_.OnPeerHolder(digest->coordinator_.fencing_token_);
        }
      });
    }
  }

  auto OnReport(Process& self, const PeerReport& report) -> void {
    if (!self.directory_.RecordReport(report, SteadyNow(*self.machine_))) {
      return;
    }
    self.election_.OnPeerHolder(report.fencing_token_);
    if (report.fencing_token_ == 0) {
      self.election_.OnPeerNotHolder(
          {report.instance_ + "/" + std::to_string(report.incarnation_),
           report.last_fencing_token_, report.handover_wait_,
           report.recent_orders_},
          now_);
    }
    MakeCalls(self);
  }

  auto Deliver(const Process& from, const std::string& to,
               std::function<void(Process&)> action) -> void {
    auto* sender = from.machine_;
    auto* receiver = by_name_.at(to);
    if (Chance(options_.datagram_loss_)) {
      return;
    }
    After(Latency(), [this, sender, receiver, action = std::move(action)] {
      if (sender->cuts_ > 0 || receiver->cuts_ > 0 || !receiver->process_ ||
          receiver->inbox_.size() > kMaxQueuedDatagrams) {
        return;
      }
      RunIn(receiver->process_, action);
    });
  }

  // --- orders

  auto SendOrders(Process& self) -> void {
    auto& election = self.election_;
    const bool may_send = election.MaySendOrders(now_);
    (void)election.TakeEvents();
    if (!may_send || now_ < self.next_order_) {
      return;
    }
    self.next_order_ = now_ + kOrderInterval;
    for (std::size_t i = 0; i < kTargets; ++i) {
      if (election.IsBlocked("t" + std::to_string(i), now_)) {
        continue;
      }
      election.OnOrderSent("t" + std::to_string(i), now_);
      const auto token = election.fencing_token();
      const auto* machine = self.machine_;
      if (machine->cuts_ == 0) {
        After(Latency(), [this, i, machine, token] {
          if (machine->cuts_ == 0) {
            Judge(targets_[i], *machine, token);
          }
        });
      }
    }
  }

  auto Judge(Target& target, const Machine& machine, std::int64_t token)
      -> void {
    if (now_ < machine.disturbed_until_ + kResumeTolerance) {
      return;
    }
    ++orders_;
    orderer_ = &machine;
    const bool turn = target.sender_ != nullptr && target.sender_ != &machine &&
                      now_ - target.at_ < kHandoverInterval;
    if ((token < target.token_ || turn) && violation_count_++ == 0) {
      first_violation_ = std::to_string((now_ - kStart).count() / 1000) +
                         " ms: order of " + machine.name_ + " with token " +
                         std::to_string(token) + ", " +
                         std::to_string((now_ - target.at_).count() / 1000) +
                         " ms after one of " + target.sender_->name_ +
                         " with " + std::to_string(target.token_);
    }
    target = {&machine, now_, std::max(token, target.token_)};
  }

  // --- store

  /// Makes a call that `execute` carries out at the store. `on_result` gets its
  /// result, or nothing if there is no response.
  template <class Execute, class OnResult>
  auto CallStore(Process& self, Execute execute, OnResult on_result) -> void {
    using Result = decltype(execute(*this));
    const std::weak_ptr<Process> process = self.machine_->process_;
    auto* machine = self.machine_;
    After(Latency(), [this, process, machine, execute, on_result] {
      if (!IsStoreReachable(*machine)) {
        if (Chance(0.1)) {
          // Carried out later, without a response.
          After(Draw({}, std::chrono::seconds(3)), [this, execute] {
            if (store_outages_ == 0) {
              (void)execute(*this);
            }
          });
        }
        After(Chance(0.5) ? Latency() : kCallTimeout,
              [this, process, on_result] {
                RunIn(process, [on_result](Process& to) {
                  on_result(to, std::optional<Result>());
                });
              });
        return;
      }
      const auto result = execute(*this);
      After(Latency(), [this, process, machine, on_result, result] {
        if (!IsStoreReachable(*machine) || Chance(options_.response_loss_)) {
          After(kCallTimeout, [this, process, on_result] {
            RunIn(process, [on_result](Process& to) {
              on_result(to, std::optional<Result>());
            });
          });
          return;
        }
        RunIn(process, [this, on_result, result](Process& to) {
          to.last_response_ = SteadyNow(*to.machine_);
          on_result(to, std::optional<Result>(result));
        });
      });
    });
  }

  [[nodiscard]] auto IsStoreReachable(const Machine& machine) const -> bool {
    return store_outages_ == 0 && machine.cuts_ == 0 &&
           machine.store_cuts_ == 0;
  }

  auto MakeCalls(Process& self) -> void {
    for (const auto& call : self.election_.Next(now_)) {
      MakeCall(self, call);
    }
  }

  auto MakeCall(Process& self, const HolderStoreCall& call) -> void {
    using Kind = HolderStoreCall::Kind;
    const auto sent = now_;
    switch (call.kind_) {
      case Kind::kGrantLease:
        CallStore(
            self,
            [](SimulatedLeaseFleet& fleet) {
              fleet.leases_[++fleet.last_lease_] =
                  fleet.now_ + HolderLease::kStoreLeaseTtl;
              return fleet.last_lease_;
            },
            [this, sent](Process& to, std::optional<std::int64_t> id) {
              to.election_.OnLeaseGranted(id, sent, now_);
              MakeCalls(to);
            });
        break;
      case Kind::kAcquire:
        CallStore(
            self,
            [change = call.change_](SimulatedLeaseFleet& fleet) {
              return fleet.Commit(change);
            },
            [this](Process& to, std::optional<AcquireResult> result) {
              to.election_.OnAcquireResult(
                  result.value_or(AcquireResult(StoreFailure::kUnknown)), now_);
              MakeCalls(to);
            });
        break;
      case Kind::kRenewLease:
        CallStore(
            self,
            [id = call.lease_id_](SimulatedLeaseFleet& fleet) {
              return fleet.Renew(id);
            },
            [this, sent, id = call.lease_id_](Process& to,
                                              std::optional<bool> renewed) {
              using RenewResult = std::variant<StoreLease, StoreFailure>;
              to.election_.OnRenewResult(
                  id, sent,
                  !renewed   ? RenewResult(StoreFailure::kUnknown)
                  : *renewed ? RenewResult(StoreLease{id, {}})
                             : RenewResult(StoreFailure::kNoLease));
              MakeCalls(to);
            });
        break;
      case Kind::kRecordHandoverEnd:
        CallStore(
            self,
            [change = call.change_](SimulatedLeaseFleet& fleet) {
              return fleet.Commit(change);
            },
            [id = call.lease_id_](Process& to,
                                  std::optional<AcquireResult> result) {
              to.election_.OnHandoverEndRecorded(
                  id, result && std::holds_alternative<std::int64_t>(*result));
            });
        break;
      case Kind::kRelease:
        CallStore(
            self,
            [change = call.change_](SimulatedLeaseFleet& fleet) {
              return fleet.Commit(change);
            },
            [](Process&, const auto&) {});
        break;
      case Kind::kRevokeLease:
        CallStore(
            self,
            [id = call.lease_id_](SimulatedLeaseFleet& fleet) {
              fleet.leases_.erase(id);
              fleet.ExpireLeases();
              return true;
            },
            [](Process&, const auto&) {});
        break;
    }
  }

  using AcquireResult = std::variant<std::int64_t, StoreFailure>;

  auto Commit(const StoreTransaction& change) -> AcquireResult {
    ExpireLeases();
    for (const auto& expected : change.preconditions_) {
      const auto found = entries_.find(expected.key_);
      const auto revision = found == entries_.end() || found->second.removed_
                                ? 0
                                : found->second.revision_;
      if (revision != expected.revision_) {
        return StoreFailure::kConflict;
      }
    }
    for (const auto& write : change.writes_) {
      if (write.lease_ != 0 && leases_.count(write.lease_) == 0) {
        return StoreFailure::kNoLease;
      }
    }
    ++store_revision_;
    for (const auto& write : change.writes_) {
      entries_[write.key_] = {write.key_, write.value_, store_revision_,
                              write.lease_, false};
    }
    for (const auto& key : change.removals_) {
      entries_[key] = {key, "", store_revision_, 0, true};
    }
    return store_revision_;
  }

  auto Renew(std::int64_t lease) -> bool {
    ExpireLeases();
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
      return false;
    }
    found->second = now_ + HolderLease::kStoreLeaseTtl;
    return true;
  }

  auto ExpireLeases() -> void {
    std::erase_if(leases_,
                  [this](const auto& lease) { return lease.second <= now_; });
    for (auto& [key, entry] : entries_) {
      if (!entry.removed_ && entry.lease_ != 0 &&
          leases_.count(entry.lease_) == 0) {
        entry = {key, "", ++store_revision_, 0, true};
      }
    }
  }

  auto ReadStore(Process& self) -> void {
    self.reading_ = true;
    CallStore(
        self,
        [revision = self.revision_](SimulatedLeaseFleet& fleet) {
          fleet.ExpireLeases();
          std::pair<std::vector<StoreEntry>, std::int64_t> changes;
          for (const auto& [key, entry] : fleet.entries_) {
            if (entry.revision_ > revision) {
              changes.first.push_back(entry);
            }
          }
          changes.second = fleet.store_revision_;
          return changes;
        },
        [this](Process& to, const auto& changes) {
          to.reading_ = false;
          const bool often = to.directory_.IsCoordinator() ||
                             to.election_.fencing_token() != 0;
          to.next_read_ =
              now_ + (often || !changes ? kReadInterval
                      : to.directory_.IsActive(SteadyNow(*to.machine_))
                          ? std::chrono::milliseconds(1400)
                          : std::chrono::seconds(12));
          if (changes) {
            to.revision_ = std::max(to.revision_, changes->second);
            for (const auto& entry : changes->first) {
              to.election_.OnStoreEntry(entry, now_);
            }
            to.election_.Start();
          }
          MakeCalls(to);
        });
  }

  // --- faults

  auto Begin(const Event& event) -> void {
    const bool is_of_holder = event.fault_ == Fault::kHolderStop ||
                              event.fault_ == Fault::kHolderKill ||
                              event.fault_ == Fault::kHolderStoreCut;
    auto* machine = is_of_holder
                        ? FindHolder(event.index_)
                        : machines_[event.index_ % machines_.size()].get();
    switch (event.fault_) {
      case Fault::kCut:
        ++machine->cuts_;
        After(event.time_, [this, machine] {
          --machine->cuts_;
          machine->disturbed_until_ = now_;
        });
        break;
      case Fault::kStoreCut:
      case Fault::kHolderStoreCut:
        ++machine->store_cuts_;
        After(event.time_, [machine] { --machine->store_cuts_; });
        break;
      case Fault::kFreeze:
        if (machine->freezes_++ == 0) {
          machine->frozen_at_ = now_;
        }
        After(event.time_, [this, machine] {
          if (--machine->freezes_ == 0) {
            machine->frozen_time_ += now_ - machine->frozen_at_;
          }
          Resume(*machine);
        });
        break;
      case Fault::kPause:
        ++machine->pauses_;
        After(event.time_, [this, machine] {
          --machine->pauses_;
          Resume(*machine);
        });
        break;
      case Fault::kKill:
      case Fault::kHolderKill:
        EndProcess(*machine);
        break;
      case Fault::kKillOthers:
        for (const auto& other : machines_) {
          if (other.get() != machine) {
            EndProcess(*other);
          }
        }
        break;
      case Fault::kHolderStop:
      case Fault::kStop:
        BeginStop(*machine);
        break;
      case Fault::kStoreDown:
        ++store_outages_;
        After(event.time_, [this, time = event.time_] {
          --store_outages_;
          if (!options_.leases_expire_in_outage_) {
            for (auto& [id, expires_at] : leases_) {
              expires_at += time;
            }
          }
        });
        break;
    }
  }

  /// Returns the connected instance that holds the lease; without one, instance
  /// `fallback`.
  [[nodiscard]] auto FindHolder(std::size_t fallback) const -> Machine* {
    for (const auto& machine : machines_) {
      if (machine->process_ && !machine->process_->stopping_ &&
          machine->process_->election_.is_held() && machine->cuts_ == 0) {
        return machine.get();
      }
    }
    return machines_[fallback % machines_.size()].get();
  }

  auto Resume(Machine& machine) -> void {
    machine.disturbed_until_ = now_;
    if (!IsSuspended(machine)) {
      for (const auto& action : std::exchange(machine.inbox_, {})) {
        action();
      }
    }
  }

  auto BeginStop(Machine& machine) -> void {
    const std::weak_ptr<Process> process = machine.process_;
    RunIn(process, [this](Process& self) {
      self.stopping_ = true;
      self.election_.Stop();
      MakeCalls(self);
      SendReport(self, /*to_all=*/true);
    });
    After(kStopTime, [this, process, &machine] {
      if (const auto locked = process.lock(); locked && locked->alive_) {
        EndProcess(machine);
      }
    });
  }

  Options options_;
  Random random_;
  Duration now_ = kStart;
  std::priority_queue<Action> queue_;
  std::uint64_t action_count_ = 0;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::map<std::string, Machine*> by_name_;
  std::map<std::string, StoreEntry> entries_;
  std::map<std::int64_t, Duration> leases_;
  std::int64_t last_lease_ = 0;
  std::int64_t store_revision_ = 10;
  int store_outages_ = 0;
  std::map<std::size_t, Target> targets_;
  int violation_count_ = 0;
  std::string first_violation_;
  int orders_ = 0;
  const Machine* orderer_ = nullptr;
};

}  // namespace baobab::gateway::test
