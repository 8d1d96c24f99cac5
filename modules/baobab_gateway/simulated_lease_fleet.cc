#include "baobab_gateway/simulated_lease_fleet.h"

#include <algorithm>

namespace baobab::gateway::test {

// Processes.

auto SimulatedLeaseFleet::StartProcess(Machine& machine) -> void {
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

auto SimulatedLeaseFleet::EndProcess(Machine& machine) -> void {
  if (machine.process_) {
    machine.process_->alive_ = false;
    machine.process_.reset();
    machine.inbox_.clear();
    After(kRestartDelay, [this, &machine] { StartProcess(machine); });
  }
}

auto SimulatedLeaseFleet::RunIn(const std::weak_ptr<Process>& process,
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

auto SimulatedLeaseFleet::Tick(const std::weak_ptr<Process>& process) -> void {
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

auto SimulatedLeaseFleet::RenewInterval(const Process& self) const -> Duration {
  return self.directory_.IsActive(SteadyNow(*self.machine_))
             ? std::chrono::seconds(1)
             : std::chrono::seconds(3);
}

// The parts of EntryInstance that concern the lease.

auto SimulatedLeaseFleet::UpdateRoles(Process& self) -> void {
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
  self.election_.SetMayCompete(self.directory_.IsCoordinator() ||
                               (self.directory_.IsEntry() &&
                                !self.directory_.CoordinatorReachesStore(now)));
}

auto SimulatedLeaseFleet::CheckSuspension(Process& self) -> void {
  const auto suspended =
      self.suspension_.Check(now_, SteadyNow(*self.machine_));
  if (suspended > Duration::zero()) {
    self.directory_.OnSuspended(suspended);
  }
}

auto SimulatedLeaseFleet::IsConnected(const Process& self) const -> bool {
  return self.last_response_ != TimePoint{} &&
         SteadyNow(*self.machine_) - self.last_response_ <=
             RenewInterval(self) + std::chrono::milliseconds(700);
}

auto SimulatedLeaseFleet::MakeReport(Process& self) -> PeerReport {
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

auto SimulatedLeaseFleet::SendReport(Process& self, bool to_all) -> void {
  UpdateRoles(self);
  const auto now = SteadyNow(*self.machine_);
  const auto report = std::make_shared<PeerReport>(MakeReport(self));
  const auto recipients = self.directory_.ReportRecipients(now);
  for (const auto* peer : recipients) {
    Deliver(self, peer->address_,
            [this, report](Process& to) { OnReport(to, *report); });
  }
  if (to_all) {
    self.next_report_ = now_ + (self.directory_.IsActive(now)
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

auto SimulatedLeaseFleet::OnReport(Process& self, const PeerReport& report)
    -> void {
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

auto SimulatedLeaseFleet::Deliver(const Process& from, const std::string& to,
                                  std::function<void(Process&)> action)
    -> void {
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

// Orders.

auto SimulatedLeaseFleet::SendOrders(Process& self) -> void {
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

auto SimulatedLeaseFleet::Judge(Target& target, const Machine& machine,
                                std::int64_t token) -> void {
  if (now_ < machine.disturbed_until_ + kResumeTolerance) {
    return;
  }
  ++orders_;
  orderer_ = &machine;
  const bool turn = target.sender_ != nullptr && target.sender_ != &machine &&
                    now_ - target.at_ < kHandoverInterval;
  const bool is_shared =
      target.senders_.emplace(token, &machine).first->second != &machine;
  shared_token_count_ += is_shared ? 1 : 0;
  if ((token < target.token_ || turn || is_shared) && violation_count_++ == 0) {
    first_violation_ = std::to_string((now_ - kStart).count() / 1000) +
                       " ms: order of " + machine.name_ + " with token " +
                       std::to_string(token) + ", " +
                       std::to_string((now_ - target.at_).count() / 1000) +
                       " ms after one of " + target.sender_->name_ + " with " +
                       std::to_string(target.token_);
  }
  target.sender_ = &machine;
  target.at_ = now_;
  target.token_ = std::max(token, target.token_);
}

// Store.

template <class Execute, class OnResult>
auto SimulatedLeaseFleet::CallStore(Process& self, Execute execute,
                                    OnResult on_result) -> void {
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
      After(Chance(0.5) ? Latency() : kCallTimeout, [this, process, on_result] {
        RunIn(process, [on_result](Process& to) {
          on_result(to, std::optional<Result>());
        });
      });
      return;
    }
    const auto result = execute(*this);
    const auto era = store_.era();
    After(Latency(), [this, process, machine, on_result, result, era] {
      if (!IsStoreReachable(*machine) || Chance(options_.response_loss_)) {
        After(kCallTimeout, [this, process, on_result] {
          RunIn(process, [on_result](Process& to) {
            on_result(to, std::optional<Result>());
          });
        });
        return;
      }
      RunIn(process, [this, on_result, result, era](Process& to) {
        if (era < to.store_era_) {
          on_result(to, std::optional<Result>());
          return;
        }
        if (era > to.store_era_) {
          to.store_era_ = era;
          to.election_.OnStoreEra(era, now_);
        }
        to.last_response_ = SteadyNow(*to.machine_);
        on_result(to, std::optional<Result>(result));
      });
    });
  });
}

auto SimulatedLeaseFleet::IsStoreReachable(const Machine& machine) const
    -> bool {
  return store_outages_ == 0 && machine.cuts_ == 0 && machine.store_cuts_ == 0;
}

auto SimulatedLeaseFleet::MakeCalls(Process& self) -> void {
  for (const auto& call : self.election_.Next(now_)) {
    MakeCall(self, call);
  }
}

auto SimulatedLeaseFleet::MakeCall(Process& self, const HolderStoreCall& call)
    -> void {
  using Kind = HolderStoreCall::Kind;
  const auto sent = now_;
  switch (call.kind_) {
    case Kind::kGrantLease:
      CallStore(
          self,
          [](SimulatedLeaseFleet& fleet) {
            return fleet.store_.Grant(fleet.now_);
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
            return fleet.store_.Commit(change, fleet.now_);
          },
          [this](Process& to, std::optional<CommitResult> result) {
            to.election_.OnAcquireResult(
                result.value_or(CommitResult(StoreFailure::kUnknown)), now_);
            MakeCalls(to);
          });
      break;
    case Kind::kRenewLease:
      CallStore(
          self,
          [id = call.lease_id_](SimulatedLeaseFleet& fleet) {
            return fleet.store_.Renew(id, fleet.now_);
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
            return fleet.store_.Commit(change, fleet.now_);
          },
          [id = call.lease_id_](Process& to,
                                std::optional<CommitResult> result) {
            to.election_.OnHandoverEndRecorded(
                id, result && std::holds_alternative<std::int64_t>(*result));
          });
      break;
    case Kind::kRelease:
      CallStore(
          self,
          [change = call.change_](SimulatedLeaseFleet& fleet) {
            return fleet.store_.Commit(change, fleet.now_);
          },
          [](Process&, const auto&) {});
      break;
    case Kind::kRevokeLease:
      CallStore(
          self,
          [id = call.lease_id_](SimulatedLeaseFleet& fleet) {
            fleet.store_.Revoke(id, fleet.now_);
            return true;
          },
          [](Process&, const auto&) {});
      break;
  }
}

auto SimulatedLeaseFleet::ReadStore(Process& self) -> void {
  self.reading_ = true;
  CallStore(
      self,
      [revision = self.revision_](SimulatedLeaseFleet& fleet) {
        return fleet.store_.ChangesSince(revision, fleet.now_);
      },
      [this](Process& to, const auto& changes) {
        to.reading_ = false;
        const bool often =
            to.directory_.IsCoordinator() || to.election_.fencing_token() != 0;
        to.next_read_ =
            now_ + (often || !changes ? kReadInterval
                    : to.directory_.IsActive(SteadyNow(*to.machine_))
                        ? std::chrono::milliseconds(1400)
                        : std::chrono::seconds(12));
        if (changes) {
          ApplyChanges(to, *changes);
          to.election_.Start();
        }
        MakeCalls(to);
      });
}

auto SimulatedLeaseFleet::ApplyChanges(
    Process& self, const SimulatedLeaseStore::Changes& changes) -> void {
  auto gone = changes.is_listing_ ? std::exchange(self.known_keys_, {})
                                  : std::set<std::string>();
  for (const auto& entry : changes.entries_) {
    gone.erase(entry.key_);
    if (entry.removed_) {
      self.known_keys_.erase(entry.key_);
    } else {
      self.known_keys_.insert(entry.key_);
    }
    self.election_.OnStoreEntry(entry, now_);
  }
  for (const auto& key : gone) {
    self.election_.OnStoreEntry({key, "", changes.revision_, 0, true}, now_);
  }
  self.revision_ = changes.is_listing_
                       ? changes.revision_
                       : std::max(self.revision_, changes.revision_);
}

auto SimulatedLeaseFleet::CopyStore() -> void {
  if (store_outages_ == 0) {
    store_.TakeCopy(now_);
  }
  After(std::chrono::milliseconds(100), [this] { CopyStore(); });
}

}  // namespace baobab::gateway::test
