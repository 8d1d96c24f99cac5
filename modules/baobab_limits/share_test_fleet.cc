#include "baobab_limits/share_test_fleet.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace baobab::limits {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kHeartbeatInterval = milliseconds(400);

auto TestKey() -> ShareKey {
  return {CustomerId("customer"), LimitKind::kRequestRate};
}

}  // namespace

ShareTestFleet::Process::Process(const ProcessId& id, Duration offset,
                                 double rate)
    : id_(id),
      clock_offset_(offset),
      clock_rate_(rate),
      ledger_(TestKey(), id),
      broker_(&ledger_, id, ShareBrokerSettings::ForRate()),
      transition_(id) {}

ShareTestFleet::ShareTestFleet(std::uint64_t seed, std::size_t instances,
                               Units limit, LinkFaults faults)
    : network_(seed, faults),
      processes_(instances),
      brokers_(instances, 0),
      needs_(instances, 0),
      limit_(limit) {}

auto ShareTestFleet::StartAll() -> void {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    Start(i);
  }
}

auto ShareTestFleet::Start(std::size_t instance) -> void {
  auto& random = network_.random();
  const ProcessId id{InstanceId(std::to_string(instance)), next_incarnation_++};
  // Clock rates differ by less than the 10% that a lender adds to a term.
  const auto rate = 0.955 + 0.09 * static_cast<double>(random() % 1000) / 999;
  const auto process =
      std::make_shared<Process>(id, milliseconds(random() % 1'000'000), rate);
  processes_[instance] = process;
  process->broker_.SetNeed(needs_[instance]);
  ReadStore(*process);
  ScheduleTick(instance, process);
  ScheduleHeartbeat(instance, process);
  // A process that ended while it waited for the store does not join.
  ChangeRoster([id, joining = std::weak_ptr(process)](RosterEpoch& roster) {
    if (!joining.expired()) {
      roster.members_.push_back({id, roster.epoch_});
    }
  });
}

auto ShareTestFleet::Kill(std::size_t instance) -> void {
  const auto process = std::exchange(processes_[instance], nullptr);
  if (!process) {
    return;
  }
  // The longest counted term, by a clock that is up to 5% slow.
  const auto horizon = milliseconds(2400);
  network_.After(horizon, [this, id = process->id_](TimePoint) {
    ChangeRoster([id](RosterEpoch& roster) {
      std::erase_if(roster.members_, [&](const RosterMember& member) {
        return member.process_ == id;
      });
    });
  });
}

auto ShareTestFleet::ChangeLimit(Units limit) -> void {
  limit_ = limit;
  ++limit_version_;
}

auto ShareTestFleet::ChangeRoster(std::function<void(RosterEpoch&)> change)
    -> void {
  if (network_.now() < outage_until_) {
    network_.At(outage_until_, [this, change = std::move(change)](TimePoint) {
      ChangeRoster(change);
    });
    return;
  }
  ++roster_.epoch_;
  change(roster_);
}

auto ShareTestFleet::SetNeed(std::size_t instance, Units need) -> void {
  needs_[instance] = need;
  if (processes_[instance]) {
    processes_[instance]->broker_.SetNeed(need);
  }
}

auto ShareTestFleet::LocalNow(const Process& process) const -> TimePoint {
  const auto elapsed =
      static_cast<double>(network_.now().time_since_epoch().count());
  return TimePoint(process.clock_offset_ + Duration(static_cast<Duration::rep>(
                                               elapsed * process.clock_rate_)));
}

auto ShareTestFleet::ScheduleTick(std::size_t instance,
                                  const std::weak_ptr<Process>& process)
    -> void {
  network_.OnNode(instance, kTickInterval, [=, this](TimePoint) {
    if (const auto running = process.lock()) {
      Tick(instance, *running);
      ScheduleTick(instance, process);
    }
  });
}

auto ShareTestFleet::Tick(std::size_t instance, Process& process) -> void {
  if (network_.random()() % 10 == 0) {
    ReadStore(process);
  }
  if (processes_[brokers_[instance]]) {
    Deliver(instance, process.id_,
            process.broker_.Tick(processes_[brokers_[instance]]->id_,
                                 LocalNow(process)));
  }
  if (process.ledger_.IsCovered(LocalNow(process))) {
    process.transition_.MarkApplied();
    process.ledger_.SetEpochs(process.transition_.epochs());
  }
  Check();
}

auto ShareTestFleet::ReadStore(Process& process) -> void {
  if (network_.now() < outage_until_) {
    return;
  }
  process.limit_version_ = limit_version_;
  process.ledger_.SetLimit(limit_);
  if (process.transition_.Learn(roster_)) {
    process.ledger_.SetEpochs(process.transition_.epochs());
  }
}

auto ShareTestFleet::ScheduleHeartbeat(std::size_t instance,
                                       const std::weak_ptr<Process>& process)
    -> void {
  network_.OnNode(instance, kHeartbeatInterval, [=, this](TimePoint) {
    const auto running = process.lock();
    if (!running) {
      return;
    }
    const auto epoch = running->transition_.applied_epoch();
    for (std::size_t to = 0; to < processes_.size(); ++to) {
      network_.Send(instance, to, [=, this, id = running->id_](TimePoint) {
        if (const auto receiver = processes_[to]) {
          receiver->transition_.OnReport(id, epoch);
          receiver->ledger_.SetEpochs(receiver->transition_.epochs());
          Check();
        }
      });
    }
    ScheduleHeartbeat(instance, process);
  });
}

auto ShareTestFleet::Deliver(std::size_t from, const ProcessId& sender,
                             const LoanMessages& messages) -> void {
  for (const auto& message : messages) {
    const auto to = IndexOf(message.to_);
    network_.Send(from, to, [=, this](TimePoint) {
      Receive(to, sender, message);
      Check();
    });
  }
}

auto ShareTestFleet::Receive(std::size_t at, const ProcessId& sender,
                             const LoanMessage& message) -> void {
  const auto process = processes_[at];
  if (!process || process->id_ != message.to_) {
    return;
  }
  const auto now = LocalNow(*process);
  const auto* request = std::get_if<LoanRequest>(&message.body_);
  Deliver(at, process->id_,
          request != nullptr
              ? process->broker_.OnRequest(sender, *request, now)
              : process->broker_.OnAnswer(
                    sender, std::get<LoanAnswer>(message.body_), now));
}

auto ShareTestFleet::IndexOf(const ProcessId& id) const -> std::size_t {
  return std::stoul(id.instance_.value());
}

auto ShareTestFleet::Usable(std::size_t instance) const -> Units {
  const auto& process = processes_[instance];
  return process ? process->ledger_.Usable(LocalNow(*process)) : 0;
}

auto ShareTestFleet::TotalUsable() const -> Units {
  Units total = 0;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    total += Usable(i);
  }
  return total;
}

auto ShareTestFleet::Check() -> void {
  Units highest = 0;
  for (const auto& process : processes_) {
    highest = std::max(highest, process ? process->ledger_.limit() : 0);
  }
  worst_excess_ = std::max(worst_excess_, TotalUsable() - highest);
}

auto ShareTestFleet::IsSettled() const -> bool {
  return std::ranges::all_of(processes_, [this](const ProcessPtr& process) {
    return !process || (process->limit_version_ == limit_version_ &&
                        process->transition_.complete() &&
                        process->transition_.newest().epoch_ == roster_.epoch_);
  });
}

}  // namespace baobab::limits
