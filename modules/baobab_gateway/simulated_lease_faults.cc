// The faults of SimulatedLeaseFleet.

#include <utility>

#include "baobab_gateway/simulated_lease_fleet.h"

namespace baobab::gateway::test {

auto SimulatedLeaseFleet::Begin(const Event& event) -> void {
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
      BeginStoreOutage();
      After(event.time_, [this] { EndStoreOutage(); });
      break;
    case Fault::kStoreRestored:
      BeginStoreOutage();
      After(event.time_, [this, copied_at = now_ - event.age_] {
        store_.Restore(copied_at, now_);
        leases_paused_at_ = now_;  // Restore() has set their ends
        EndStoreOutage();
      });
      break;
  }
}

auto SimulatedLeaseFleet::BeginStoreOutage() -> void {
  if (store_outages_++ == 0) {
    leases_paused_at_ = now_;
  }
}

auto SimulatedLeaseFleet::EndStoreOutage() -> void {
  if (--store_outages_ == 0 && !options_.leases_expire_in_outage_) {
    store_.ExtendLeases(now_ - leases_paused_at_);
  }
}

auto SimulatedLeaseFleet::FindHolder(std::size_t fallback) const -> Machine* {
  for (const auto& machine : machines_) {
    if (machine->process_ && !machine->process_->stopping_ &&
        machine->process_->election_.is_held() && machine->cuts_ == 0) {
      return machine.get();
    }
  }
  return machines_[fallback % machines_.size()].get();
}

auto SimulatedLeaseFleet::Resume(Machine& machine) -> void {
  machine.disturbed_until_ = now_;
  if (!IsSuspended(machine)) {
    for (const auto& action : std::exchange(machine.inbox_, {})) {
      action();
    }
  }
}

auto SimulatedLeaseFleet::BeginStop(Machine& machine) -> void {
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

}  // namespace baobab::gateway::test
