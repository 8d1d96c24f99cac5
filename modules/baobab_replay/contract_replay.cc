#include "baobab_replay/contract_replay.h"

#include <algorithm>
#include <chrono>

#include "baobab_contract/contract.h"

namespace baobab::replay {
namespace {

using contract::ChangeAction;
using contract::ChangeVerdict;
using contract::ContractChange;
using contract::ContractRecord;

constexpr std::size_t kReaders = 2;
constexpr int kMaxSteps = 8;  // then the operator's time is up
constexpr auto kSettle = std::chrono::seconds(10);

auto ContractText(std::int64_t requests_per_second) -> std::string {
  contract::Contract contract;
  contract.customer_ = CustomerId("customer");
  contract.key_digests_ = {std::string(64, 'a')};
  contract.limits_ = {requests_per_second, 10, 1000, 1,
                      std::chrono::seconds(60)};
  return CanonicalText(contract);
}

}  // namespace

ContractReplay::ContractReplay(const Trace& trace)
    : events_(trace.seed_, LinkFaults{}),
      instances_(static_cast<std::size_t>(trace.settings_.Number("instances"))),
      relay_delay_(trace.settings_.Milliseconds("relay_ms")) {
  for (const auto* name :
       {"accepted", "conflicts", "not_accepted", "unknown", "reverted",
        "active_everywhere_ms", "instances_behind", "lost_changes"}) {
    measures_[name] = 0;
  }
}

auto ContractReplay::Apply(const TraceEvent& event) -> void {
  events_.RunUntil(event.at_);
  const auto& fields = event.fields_;
  if (event.type_ == "put") {
    Put(fields, event.at_);
  } else if (event.type_ == "read") {
    if (store_ != StoreState::kDown) {
      last_read_[fields.Text("operator")] = stored_ ? stored_->revision_ : 0;
    }
  } else if (event.type_ == "store") {
    SetStore(fields);
  } else if (event.type_ == "restart") {
    Restart(static_cast<std::size_t>(fields.Number("instance")), event.at_);
  } else {
    fields.Fail("unknown event \"" + event.type_ + "\"");
  }
}

auto ContractReplay::Finish() -> Measures {
  events_.RunUntil(events_.now() + kSettle);
  for (const auto& instance : instances_) {
    const auto* active =
        instance.register_.ActiveRecord(CustomerId("customer"));
    const bool behind = stored_ && (active == nullptr ||
                                    active->revision_ < stored_->revision_);
    measures_["instances_behind"] += behind ? 1 : 0;
  }
  for (const auto& change : accepted_) {
    const auto& recent = stored_->value_.recent_changes_;
    const bool kept =
        stored_->value_.change_id_ == change.change_id_ ||
        std::ranges::any_of(recent, [&](const contract::RecentChange& entry) {
          return entry.change_id_ == change.change_id_ &&
                 entry.revision_ == change.revision_;
        });
    measures_["lost_changes"] += kept ? 0 : 1;
  }
  return measures_;
}

auto ContractReplay::SetStore(const TraceFields& fields) -> void {
  const auto state = fields.Text("state");
  if (state == "up") {
    store_ = StoreState::kUp;
    Distribute();
  } else if (state == "down") {
    store_ = StoreState::kDown;
  } else if (state == "lose_answers") {
    store_ = StoreState::kLoseAnswers;
  } else {
    fields.Fail("unknown state \"" + state + "\"");
  }
}

auto ContractReplay::Put(const TraceFields& fields, TimePoint now) -> void {
  contract::ContractChangeRequest request;
  request.customer_ = CustomerId("customer");
  request.change_id_ = fields.Text("change");
  request.base_revision_ = last_read_[fields.Text("operator")];
  request.text_ = ContractText(
      static_cast<std::int64_t>(fields.Number("requests_per_second")));
  request.author_ = fields.Text("operator");
  ContractChange change(request);
  auto action = change.Start();
  for (int step = 0; step < kMaxSteps && action != ChangeAction::kFinished;
       ++step) {
    action = Step(change, action);
  }
  if (action != ChangeAction::kFinished) {
    change.OnTimeLimit();
  }
  const auto& result = change.result();
  switch (result.verdict_) {
    case ChangeVerdict::kAccepted:
      ++measures_["accepted"];
      accepted_.push_back({request.change_id_, result.revision_, now});
      NoteActivation(now);
      break;
    case ChangeVerdict::kConflict:
      ++measures_["conflicts"];
      break;
    case ChangeVerdict::kNotAccepted:
      ++measures_["not_accepted"];
      break;
    case ChangeVerdict::kUnknown:
      ++measures_["unknown"];
      break;
  }
}

auto ContractReplay::Step(ContractChange& change, ChangeAction action)
    -> ChangeAction {
  if (action == ChangeAction::kRead) {
    return store_ == StoreState::kDown ? change.OnReadLost()
                                       : change.OnRead(stored_);
  }
  return store_ == StoreState::kDown ? change.OnSwapNotSent()
                                     : CompareAndSwap(change);
}

auto ContractReplay::CompareAndSwap(ContractChange& change) -> ChangeAction {
  const auto current = stored_ ? stored_->revision_ : 0;
  if (current != change.swap_revision()) {
    return store_ == StoreState::kLoseAnswers ? change.OnSwapLost()
                                              : change.OnSwapRefused(stored_);
  }
  stored_ = ContractRecord{CustomerId("customer"), ++store_revision_,
                           change.swap_value()};
  if (store_ == StoreState::kLoseAnswers) {
    Distribute();
    return change.OnSwapLost();
  }
  Distribute();
  return change.OnSwapAccepted(store_revision_);
}

auto ContractReplay::Distribute() -> void {
  if (!stored_) {
    return;
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const auto delay = i < kReaders ? Duration::zero() : relay_delay_;
    events_.After(delay, [this, i, record = *stored_](TimePoint at) {
      Offer(i, record, at);
    });
  }
}

auto ContractReplay::Offer(std::size_t instance, const ContractRecord& record,
                           TimePoint now) -> void {
  auto& target = instances_[instance];
  target.register_.Offer(record);
  const auto* active = target.register_.ActiveRecord(CustomerId("customer"));
  const auto revision = active == nullptr ? 0 : active->revision_;
  measures_["reverted"] += revision < target.highest_seen_ ? 1 : 0;
  target.highest_seen_ = std::max(target.highest_seen_, revision);
  NoteActivation(now);
}

// A new instance takes contracts from the store, or from any peer that has
// them while the store is down.
auto ContractReplay::Restart(std::size_t instance, TimePoint now) -> void {
  const auto seen = instances_.at(instance).highest_seen_;
  instances_[instance] = Instance{{}, seen};
  if (store_ != StoreState::kDown) {
    if (stored_) {
      Offer(instance, *stored_, now);
    }
    return;
  }
  for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
    for (const auto& record : instances_[peer].register_.RecordsNewerThan({})) {
      events_.After(relay_delay_, [this, instance, record](TimePoint at) {
        Offer(instance, record, at);
      });
    }
  }
}

auto ContractReplay::NoteActivation(TimePoint now) -> void {
  while (activated_ < accepted_.size()) {
    const auto& change = accepted_[activated_];
    const bool everywhere =
        std::ranges::all_of(instances_, [&](const Instance& instance) {
          const auto* active =
              instance.register_.ActiveRecord(CustomerId("customer"));
          return active != nullptr && active->revision_ >= change.revision_;
        });
    if (!everywhere) {
      return;
    }
    const double delay =
        std::chrono::duration<double, std::milli>(now - change.at_).count();
    measures_["active_everywhere_ms"] =
        std::max(measures_["active_everywhere_ms"], delay);
    ++activated_;
  }
}

}  // namespace baobab::replay
