#include "baobab_operations/operation_ledger.h"

#include <algorithm>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab {
namespace {

// One mark per second bounds the marks of a day's retention to 86,400.
constexpr auto kIssueMarkPeriod = std::chrono::seconds(1);

auto Done(const OperationRef& ref, Outcome outcome, LedgerReason reason,
          std::vector<WaiterId> waiters) -> LedgerStep {
  LedgerStep step;
  step.kind_ = LedgerStep::Kind::kDone;
  step.ref_ = ref;
  step.outcome_ = outcome;
  step.reason_ = reason;
  step.waiters_ = std::move(waiters);
  return step;
}

auto Forward(const OperationRef& ref, const OperationOwner& owner,
             std::vector<WaiterId> waiters) -> LedgerStep {
  LedgerStep step;
  step.kind_ = LedgerStep::Kind::kForward;
  step.ref_ = ref;
  step.owner_ = owner;
  step.waiters_ = std::move(waiters);
  return step;
}

auto Joined(const OperationRef& ref) -> LedgerStep {
  LedgerStep step;
  step.kind_ = LedgerStep::Kind::kJoined;
  step.ref_ = ref;
  return step;
}

auto IsFinal(OperationState state) -> bool {
  return state == OperationState::kCompleted ||
         state == OperationState::kUnknown;
}

auto OutcomeOf(OperationState state) -> Outcome {
  switch (state) {
    case OperationState::kCompleted:
      return Outcome::kCompleted;
    case OperationState::kNew:
    case OperationState::kNotRun:
      return Outcome::kNotRun;
    default:
      return Outcome::kUnknown;
  }
}

}  // namespace

auto ToString(LedgerReason reason) -> std::string_view {
  switch (reason) {
    case LedgerReason::kKeyMismatch:
      return "key_mismatch";
    case LedgerReason::kExpired:
      return "key_expired";
    case LedgerReason::kNeverIssued:
      return "key_never_issued";
    case LedgerReason::kOwnerGone:
      return "owner_gone";
    case LedgerReason::kForwardedTwice:
      return "forwarded_twice";
    case LedgerReason::kStoreUnavailable:
      return "store_unavailable";
    case LedgerReason::kFull:
      return "ledger_full";
    case LedgerReason::kTimedOut:
      return "timed_out";
    case LedgerReason::kNone:
      break;
  }
  return "none";
}

auto OperationRefHash::operator()(const OperationRef& ref) const noexcept
    -> std::size_t {
  return HashKey(ref.key_, HashKey(ref.customer_.value()));
}

OperationLedger::OperationLedger(OperationOwner self,
                                 OperationLedgerSettings settings)
    : self_(std::move(self)), settings_(settings) {}

auto OperationLedger::Issue(TimePoint now) -> OperationKey {
  if (issue_marks_.empty() ||
      now - issue_marks_.back().second >= kIssueMarkPeriod) {
    issue_marks_.emplace_back(next_sequence_, now);
  }
  return OperationKey::Issued(self_, next_sequence_++);
}

auto OperationLedger::Begin(const OperationRequest& request, TimePoint now)
    -> LedgerStep {
  const OperationRef ref{request.customer_, request.key_.text()};
  AdvanceLowWaterMark(now);
  if (const auto found = entries_.find(ref); found != entries_.end()) {
    return BeginAgain(request, ref, found->second, now);
  }
  if (request.key_.issued()) {
    auto step = CheckIssued(request, now);
    if (step.kind_ != LedgerStep::Kind::kNone) {
      return step;
    }
  }
  return BeginNew(request, ref, now);
}

auto OperationLedger::CheckIssued(const OperationRequest& request,
                                  TimePoint now) const -> LedgerStep {
  const OperationRef ref{request.customer_, request.key_.text()};
  const auto& owner = *request.key_.owner();
  const std::vector<WaiterId> waiters{request.waiter_};
  if (owner.instance_ != self_.instance_) {
    if (request.forwarded_) {
      return Done(ref, Outcome::kUnknown, LedgerReason::kForwardedTwice,
                  waiters);
    }
    return Forward(ref, owner, waiters);
  }
  if (owner.incarnation_ != self_.incarnation_) {
    auto step = Lookup(request.customer_, request.key_, now);
    step.waiters_ = waiters;
    return step;
  }
  if (request.key_.sequence() >= next_sequence_ ||
      request.key_.sequence() == 0) {
    return Done(ref, Outcome::kNotRun, LedgerReason::kNeverIssued, waiters);
  }
  // The outcome has been dropped, so it may have run: unknown, not not_run.
  if (request.key_.sequence() < low_water_mark_) {
    return Done(ref, Outcome::kUnknown, LedgerReason::kExpired, waiters);
  }
  return {};
}

auto OperationLedger::BeginNew(const OperationRequest& request,
                               const OperationRef& ref, TimePoint now)
    -> LedgerStep {
  if (entries_.size() >= settings_.max_entries_ && !MakeRoom()) {
    return Done(ref, Outcome::kNotRun, LedgerReason::kFull, {request.waiter_});
  }
  // MakeRoom may have raised the low-water mark above this key.
  if (request.key_.issued() && request.key_.sequence() < low_water_mark_) {
    return Done(ref, Outcome::kUnknown, LedgerReason::kExpired,
                {request.waiter_});
  }
  auto& entry = entries_[ref];
  entry.life_cycle_.start();
  entry.sequence_ = request.key_.sequence();
  entry.digest_ = request.digest_;
  entry.created_ = now;
  entry.deadline_ = request.deadline_;
  entry.waiters_.push_back(request.waiter_);
  by_age_.emplace_back(now, ref);
  if (request.key_.issued()) {
    return StartAttempt(ref, entry);
  }
  entry.claim_.emplace(ClaimRecord{self_, next_claim_++});
  return StartClaim(ref, entry);
}

auto OperationLedger::BeginAgain(const OperationRequest& request,
                                 const OperationRef& ref, Entry& entry,
                                 TimePoint now) -> LedgerStep {
  if (entry.digest_ != request.digest_) {
    return Done(ref, Outcome::kNotRun, LedgerReason::kKeyMismatch,
                {request.waiter_});
  }
  if (in_progress_.contains(ref)) {
    entry.waiters_.push_back(request.waiter_);
    return Joined(ref);
  }
  const auto state = entry.life_cycle_.state();
  if (IsFinal(state)) {
    auto step =
        Done(ref, OutcomeOf(state), LedgerReason::kNone, {request.waiter_});
    step.answer_ = entry.answer_;
    return step;
  }
  // A claim in the store may end with its lease; nothing is sent after that.
  if (IsExpired(entry, now)) {
    return Done(ref, Outcome::kUnknown, LedgerReason::kExpired,
                {request.waiter_});
  }
  entry.waiters_.push_back(request.waiter_);
  entry.deadline_ = request.deadline_;
  const bool owned =
      !entry.claim_ || entry.claim_->state() == ClaimState::kOwned;
  return owned ? StartAttempt(ref, entry) : StartClaim(ref, entry);
}

auto OperationLedger::StartAttempt(const OperationRef& ref, Entry& entry)
    -> LedgerStep {
  entry.attempt_ = next_attempt_++;
  in_progress_.insert(ref);
  LedgerStep step;
  step.kind_ = LedgerStep::Kind::kSend;
  step.ref_ = ref;
  step.attempt_ = entry.attempt_;
  return step;
}

auto OperationLedger::StartClaim(const OperationRef& ref, Entry& entry)
    -> LedgerStep {
  in_progress_.insert(ref);
  return StepOfClaim(ref, entry, entry.claim_->Start());
}

auto OperationLedger::OnClaimAnswer(const OperationRef& ref,
                                    const ClaimAnswer& answer, TimePoint now)
    -> LedgerStep {
  const auto found = entries_.find(ref);
  if (found == entries_.end() || !found->second.claim_ ||
      !in_progress_.contains(ref)) {
    return {};
  }
  auto& entry = found->second;
  auto& claim = *entry.claim_;
  if (claim.state() != ClaimState::kPending || answer.call_ != claim.call()) {
    return {};
  }
  const auto action = claim.OnAnswer(answer);
  if (claim.state() == ClaimState::kExpired || IsExpired(entry, now)) {
    return EndWithoutEntry(
        found, Done(ref, Outcome::kUnknown, LedgerReason::kExpired, {}));
  }
  if (claim.state() != ClaimState::kForeign) {
    return StepOfClaim(ref, entry, action);
  }
  if (claim.owner().instance_ == self_.instance_) {
    return EndWithoutEntry(
        found, Done(ref, Outcome::kUnknown, LedgerReason::kOwnerGone, {}));
  }
  return EndWithoutEntry(found, Forward(ref, claim.owner(), {}));
}

auto OperationLedger::StepOfClaim(const OperationRef& ref, Entry& entry,
                                  ClaimAction action) -> LedgerStep {
  switch (entry.claim_->state()) {
    case ClaimState::kOwned:
      return StartAttempt(ref, entry);
    case ClaimState::kUnresolved:
      return Finish(ref, entry, LedgerReason::kStoreUnavailable);
    default:
      break;
  }
  LedgerStep step;
  step.kind_ = LedgerStep::Kind::kCallStore;
  step.ref_ = ref;
  step.claim_action_ = action;
  step.claim_ = entry.claim_->record();
  step.claim_call_ = entry.claim_->call();
  return step;
}

auto OperationLedger::OnSent(const OperationRef& ref, AttemptId attempt,
                             TimePoint now) -> bool {
  auto* entry = FindAttempt(ref, attempt);
  if (entry == nullptr ||
      entry->life_cycle_.state() == OperationState::kSending) {
    return false;
  }
  // A process that paused between Begin and here must not send late.
  if (now > entry->deadline_ || IsExpired(*entry, now)) {
    return false;
  }
  entry->life_cycle_.process_event(operation_event::Send{});
  return true;
}

auto OperationLedger::OnAnswer(const OperationRef& ref, AttemptId attempt,
                               OperationAnswer answer) -> LedgerStep {
  auto* entry = FindAttempt(ref, attempt);
  if (entry == nullptr ||
      entry->life_cycle_.state() != OperationState::kSending) {
    return {};
  }
  entry->life_cycle_.process_event(operation_event::Answer{});
  entry->answer_ = std::make_shared<const OperationAnswer>(std::move(answer));
  return Finish(ref, *entry, LedgerReason::kNone);
}

auto OperationLedger::OnFailed(const OperationRef& ref, AttemptId attempt,
                               bool bytes_may_have_left) -> LedgerStep {
  auto* entry = FindAttempt(ref, attempt);
  if (entry == nullptr) {
    return {};
  }
  const bool sending = entry->life_cycle_.state() == OperationState::kSending;
  if (sending && bytes_may_have_left) {
    entry->life_cycle_.process_event(operation_event::Lost{});
  } else {
    entry->life_cycle_.process_event(operation_event::NotExecuted{});
  }
  return Finish(ref, *entry, LedgerReason::kNone);
}

auto OperationLedger::Finish(const OperationRef& ref, Entry& entry,
                             LedgerReason reason) -> LedgerStep {
  in_progress_.erase(ref);
  auto step = Done(ref, OutcomeOf(entry.life_cycle_.state()), reason,
                   std::move(entry.waiters_));
  step.attempt_ = std::exchange(entry.attempt_, 0);
  entry.waiters_.clear();
  step.answer_ = entry.answer_;
  return step;
}

auto OperationLedger::EndWithoutEntry(Entries::iterator found, LedgerStep step)
    -> LedgerStep {
  in_progress_.erase(step.ref_);
  step.waiters_ = std::move(found->second.waiters_);
  Erase(found);
  return step;
}

auto OperationLedger::ForgetWaiter(const OperationRef& ref, WaiterId waiter)
    -> void {
  if (const auto found = entries_.find(ref); found != entries_.end()) {
    std::erase(found->second.waiters_, waiter);
  }
}

auto OperationLedger::FindAttempt(const OperationRef& ref, AttemptId attempt)
    -> Entry* {
  const auto found = entries_.find(ref);
  return found == entries_.end() || found->second.attempt_ != attempt ||
                 attempt == 0
             ? nullptr
             : &found->second;
}

auto OperationLedger::StateOf(const OperationRef& ref) const
    -> std::optional<OperationState> {
  const auto found = entries_.find(ref);
  return found == entries_.end()
             ? std::nullopt
             : std::optional(found->second.life_cycle_.state());
}

auto OperationLedger::Lookup(const CustomerId& customer,
                             const OperationKey& key, TimePoint now) const
    -> LedgerStep {
  const OperationRef ref{customer, key.text()};
  if (const auto found = entries_.find(ref); found != entries_.end()) {
    if (in_progress_.contains(ref)) {
      return Joined(ref);
    }
    auto step = Done(ref, OutcomeOf(found->second.life_cycle_.state()),
                     LedgerReason::kNone, {});
    step.answer_ = found->second.answer_;
    return step;
  }
  const auto copy = copies_.find(ref);
  if (copy != copies_.end() &&
      now - copy->second.received_ < settings_.retention_) {
    auto step = Done(ref, Outcome::kCompleted, LedgerReason::kNone, {});
    step.answer_ = copy->second.answer_;
    return step;
  }
  if (!key.issued()) {
    return {};
  }
  if (key.owner()->instance_ != self_.instance_) {
    return Forward(ref, *key.owner(), {});
  }
  if (key.owner()->incarnation_ != self_.incarnation_) {
    return Done(ref, Outcome::kUnknown, LedgerReason::kOwnerGone, {});
  }
  if (key.sequence() < low_water_mark_) {
    return Done(ref, Outcome::kUnknown, LedgerReason::kExpired, {});
  }
  return {};
}

}  // namespace baobab
