#include "baobab_replay/operation_replay.h"

#include <chrono>

namespace baobab::replay {
namespace {

constexpr auto kSettle = std::chrono::minutes(1);
constexpr auto kAttemptTimeout = std::chrono::seconds(5);
constexpr int kOk = 200;

auto NameOf(std::size_t index) -> InstanceId {
  return InstanceId("instance-" + std::to_string(index));
}

}  // namespace

OperationReplay::OperationReplay(const Trace& trace)
    : events_(trace.seed_, LinkFaults{}),
      instances_(static_cast<std::size_t>(trace.settings_.Number("instances"))),
      service_time_(trace.settings_.Milliseconds("service_ms")) {
  for (const auto* name : {"completed", "not_run", "unknown", "runs",
                           "keys_run_twice", "false_not_run", "unanswered"}) {
    measures_[name] = 0;
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    StartInstance(i);
  }
}

auto OperationReplay::Apply(const TraceEvent& event) -> void {
  events_.RunUntil(event.at_);
  const auto& fields = event.fields_;
  if (event.type_ == "issue") {
    const auto index = static_cast<std::size_t>(fields.Number("instance"));
    keys_.insert_or_assign(fields.Text("key"),
                           instances_.at(index).ledger_->Issue(event.at_));
  } else if (event.type_ == "submit") {
    Submit(fields, event.at_);
  } else if (event.type_ == "kill") {
    StartInstance(static_cast<std::size_t>(fields.Number("instance")));
  } else if (event.type_ == "service") {
    const auto state = fields.Text("state");
    const std::map<std::string, ServiceState> states = {
        {"up", ServiceState::kUp},
        {"lose_answers", ServiceState::kLoseAnswers},
        {"reject", ServiceState::kReject},
        {"unreachable", ServiceState::kUnreachable}};
    if (!states.contains(state)) {
      fields.Fail("unknown state \"" + state + "\"");
    }
    service_ = states.at(state);
  } else {
    fields.Fail("unknown event \"" + event.type_ + "\"");
  }
}

auto OperationReplay::Finish() -> Measures {
  events_.RunUntil(events_.now() + kSettle);
  for (const auto& [key, runs] : runs_) {
    measures_["runs"] += runs;
    measures_["keys_run_twice"] += runs > 1 ? 1 : 0;
  }
  measures_["unanswered"] = static_cast<double>(waiting_.size());
  return measures_;
}

auto OperationReplay::StartInstance(std::size_t index) -> void {
  auto& instance = instances_.at(index);
  instance.incarnation_ = next_incarnation_++;
  instance.ledger_ = std::make_shared<OperationLedger>(
      OperationOwner{NameOf(index), instance.incarnation_},
      OperationLedgerSettings{});
  // The callers of a killed process see their connection end; an instance
  // that forwarded to it answers unknown.
  for (auto waiter = waiting_.begin(); waiter != waiting_.end();) {
    if (waiter->second.entry_ == index || waiter->second.owner_ == index) {
      ++measures_["unknown"];
      waiter = waiting_.erase(waiter);
    } else {
      ++waiter;
    }
  }
}

auto OperationReplay::Submit(const TraceFields& fields, TimePoint now) -> void {
  const auto found = keys_.find(fields.Text("key"));
  if (found == keys_.end()) {
    fields.Fail("key \"" + fields.Text("key") + "\" was not issued");
  }
  const auto index = static_cast<std::size_t>(fields.Number("instance"));
  for (int copy = 0; copy < fields.Number("copies", 1); ++copy) {
    const auto waiter = next_waiter_++;
    waiting_[waiter] = {index, index};
    SubmitAt(index, found->second, waiter, false, now);
  }
}

auto OperationReplay::SubmitAt(std::size_t index, const OperationKey& key,
                               WaiterId waiter, bool forwarded, TimePoint now)
    -> void {
  OperationRequest request{CustomerId("customer"), key, 0, waiter, forwarded,
                           now + kAttemptTimeout};
  Handle(index, instances_[index].ledger_->Begin(request, now), key, now);
}

auto OperationReplay::Handle(std::size_t index, const LedgerStep& step,
                             const OperationKey& key, TimePoint now) -> void {
  switch (step.kind_) {
    case LedgerStep::Kind::kSend:
      Send(index, step, key, now);
      break;
    case LedgerStep::Kind::kDone:
      for (const auto waiter : step.waiters_) {
        Tell(waiter, step.outcome_, key.text());
      }
      break;
    case LedgerStep::Kind::kForward:
      for (const auto waiter : step.waiters_) {
        if (const auto owner = FindOwner(step.owner_)) {
          waiting_[waiter].owner_ = *owner;
          SubmitAt(*owner, key, waiter, true, now);
        } else {
          Tell(waiter, Outcome::kUnknown, key.text());
        }
      }
      break;
    default:
      break;
  }
}

auto OperationReplay::Send(std::size_t index, const LedgerStep& step,
                           const OperationKey& key, TimePoint now) -> void {
  const auto ledger = instances_[index].ledger_;
  if (service_ == ServiceState::kUnreachable ||
      !ledger->OnSent(step.ref_, step.attempt_, now)) {
    Handle(index, ledger->OnFailed(step.ref_, step.attempt_, false), key, now);
    return;
  }
  events_.After(service_time_, [this, index, step, key, ledger](TimePoint at) {
    if (service_ == ServiceState::kReject) {
      Handle(index, ledger->OnFailed(step.ref_, step.attempt_, false), key, at);
      return;
    }
    ++runs_[key.text()];
    if (service_ == ServiceState::kLoseAnswers) {
      Handle(index, ledger->OnFailed(step.ref_, step.attempt_, true), key, at);
    } else {
      Handle(index,
             ledger->OnAnswer(step.ref_, step.attempt_,
                              {kOk, "text/plain", key.text()}),
             key, at);
    }
  });
}

auto OperationReplay::Tell(WaiterId waiter, Outcome outcome,
                           const std::string& key) -> void {
  if (waiting_.erase(waiter) == 0) {
    return;  // its instance was killed
  }
  ++measures_[std::string(ToString(outcome))];
  if (outcome == Outcome::kNotRun && runs_.contains(key)) {
    ++measures_["false_not_run"];
  }
}

auto OperationReplay::FindOwner(const OperationOwner& owner) const
    -> std::optional<std::size_t> {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (NameOf(i) == owner.instance_ &&
        instances_[i].incarnation_ == owner.incarnation_) {
      return i;
    }
  }
  return std::nullopt;
}

}  // namespace baobab::replay
