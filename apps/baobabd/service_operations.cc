// The part of ServiceController that carries out what the ledger decides.

#include <boost/json.hpp>
#include <utility>

#include "baobab_base/log.h"
#include "request_fields.h"
#include "service_controller.h"

namespace baobab {
namespace {

constexpr std::string_view kOperations = "/v1/operations/";

auto StatusOf(const LedgerStep& step) -> unsigned {
  switch (step.reason_) {
    case LedgerReason::kKeyMismatch:
      return 422;
    case LedgerReason::kExpired:
    case LedgerReason::kNeverIssued:
    case LedgerReason::kOwnerGone:
      return 410;
    case LedgerReason::kForwardedTwice:
      return 421;
    case LedgerReason::kTimedOut:
      return 504;
    default:
      return step.outcome_ == Outcome::kNotRun ? 503 : 502;
  }
}

auto ProblemOf(const LedgerStep& step) -> Problem {
  Problem problem;
  problem.status_ = StatusOf(step);
  problem.outcome_ = step.outcome_;
  problem.step_ = "operation";
  problem.peer_ = step.owner_.instance_.value();
  problem.detail_ = step.reason_ == LedgerReason::kNone
                        ? "the operation has no recorded answer"
                        : std::string(ToString(step.reason_));
  if (step.reason_ == LedgerReason::kStoreUnavailable) {
    problem.detail_ =
        "the configuration service cannot bind the key; use a key issued by "
        "POST /v1/operation-keys";
  }
  if (problem.status_ == 503) {
    problem.retry_after_ = std::chrono::seconds(1);
  }
  return problem;
}

auto AnswerOf(const OperationAnswer& answer) -> HttpResponse {
  HttpResponse response;
  response.status_ = static_cast<unsigned>(answer.status_);
  response.content_type_ = answer.content_type_;
  response.body_ = answer.body_;
  return response;
}

}  // namespace

auto ServiceController::Perform(const LedgerStep& step) -> void {
  switch (step.kind_) {
    case LedgerStep::Kind::kNone:
    case LedgerStep::Kind::kJoined:
      break;
    case LedgerStep::Kind::kSend:
      PerformSend(step);
      break;
    case LedgerStep::Kind::kDone:
      PerformDone(step);
      break;
    case LedgerStep::Kind::kForward:
      PerformForward(step);
      break;
    case LedgerStep::Kind::kCallStore:
      call_store_(step);
      break;
  }
}

auto ServiceController::PerformSend(const LedgerStep& step) -> void {
  // Any submission of the operation will do: the ledger compares digests.
  const auto found = operations_.find(step.ref_);
  const auto work = found == operations_.end() ? nullptr : found->second;
  const auto decision =
      work ? targets_.selector().Select(RouteOf(*work), context_.Now(),
                                        context_.random_)
           : RouteDecision{};
  if (!decision.target_ ||
      !ledger_.OnSent(step.ref_, step.attempt_, context_.Now())) {
    Perform(ledger_.OnFailed(step.ref_, step.attempt_, false));
    return;
  }
  Attempt attempt;
  attempt.work_ = work->id_;
  attempt.operation_ = step.ref_;
  attempt.ledger_attempt_ = step.attempt_;
  attempt.deadline_ = work->deadline_;
  SendAttempt(*work, *decision.target_, AttemptRole::kFirst,
              std::move(attempt));
}

auto ServiceController::PerformForward(const LedgerStep& step) -> void {
  operations_.erase(step.ref_);
  const auto owner = find_owner_(step.owner_);
  for (const auto waiter : step.waiters_) {
    const auto work = Find(waiter);
    if (!work) {
      continue;
    }
    if (!owner) {
      FailWork(work, {502, Outcome::kUnknown, "operation.forward",
                      step.owner_.instance_.value(),
                      "the owner of the key is gone or cannot be reached",
                      std::nullopt});
      continue;
    }
    Attempt attempt;
    attempt.work_ = work->id_;
    attempt.deadline_ = work->deadline_;
    StartService start;
    start.attempt_ = context_.NextAttempt();
    start.call_.endpoint_ = *owner;
    start.call_.method_ = work->request_.method_;
    start.call_.path_ = work->request_.path_;
    if (!work->request_.query_.empty()) {
      start.call_.path_ += "?" + work->request_.query_;
    }
    start.call_.body_ = work->request_.body_;
    start.call_.headers_.emplace_back(std::string(kHopHeader), "1");
    for (const auto* name : {"Authorization", "Content-Type", "Accept",
                             "Idempotency-Key", "X-Request-Id"}) {
      if (const auto value = work->request_.Header(name); !value.empty()) {
        start.call_.headers_.emplace_back(name, std::string(value));
      }
    }
    attempts_[start.attempt_] = std::move(attempt);
    context_.targets_.Send(std::move(start));
  }
}

auto ServiceController::PerformDone(const LedgerStep& step) -> void {
  // A mismatch or expiry concerns one submission, not the one in progress.
  if (ledger_.StateOf(step.ref_) != OperationState::kSending) {
    operations_.erase(step.ref_);
  }
  LogEvent(LogLevel::kInfo, "operation_ended")
      .With("customer", step.ref_.customer_.value())
      .With("key", step.ref_.key_)
      .With("outcome", ToString(step.outcome_))
      .With("reason", ToString(step.reason_))
      .With("waiters", step.waiters_.size());
  for (const auto waiter : step.waiters_) {
    const auto work = Find(waiter);
    if (!work) {
      continue;
    }
    if (step.answer_) {
      context_.Reply(work->caller_, AnswerOf(*step.answer_));
      Finish(work, step.answer_->status_ < 500);
    } else {
      FailWork(work, ProblemOf(step));
    }
  }
}

auto ServiceController::OnClaimAnswer(const OperationRef& ref,
                                      const ClaimAnswer& answer) -> void {
  Perform(ledger_.OnClaimAnswer(ref, answer, context_.Now()));
}

auto ServiceController::IssueKey(const CallerRef& caller) -> void {
  HttpResponse response;
  response.status_ = 201;
  response.body_ = boost::json::serialize(
      boost::json::object{{"key", ledger_.Issue(context_.Now()).text()}});
  context_.Reply(caller, std::move(response));
}

auto ServiceController::LookUp(const RequestArrived& arrived,
                               const CustomerId& customer) -> void {
  namespace json = boost::json;
  const auto key =
      OperationKey::Parse(arrived.request_.path_.substr(kOperations.size()));
  if (!key) {
    context_.Fail(arrived.caller_,
                  {400, Outcome::kNotRun, "request", "",
                   "the operation key is not valid", std::nullopt});
    return;
  }
  const auto step = ledger_.Lookup(customer, *key, context_.Now());
  if (step.kind_ == LedgerStep::Kind::kNone) {
    context_.Fail(arrived.caller_,
                  {404, Outcome::kUnknown, "operation", "",
                   "nothing is known of the key here", std::nullopt});
    return;
  }
  json::object body{{"key", key->text()}};
  if (step.kind_ == LedgerStep::Kind::kJoined) {
    body["state"] = "in_progress";
  } else if (step.kind_ == LedgerStep::Kind::kDone) {
    body["state"] = "ended";
    body["outcome"] = std::string(ToString(step.outcome_));
    if (step.answer_) {
      body["status"] = step.answer_->status_;
      body["content_type"] = step.answer_->content_type_;
      body["body"] = step.answer_->body_;
    }
  }
  if (step.kind_ == LedgerStep::Kind::kForward) {
    const bool forwarded = !arrived.request_.Header(kHopHeader).empty();
    const auto owner = forwarded ? std::nullopt : find_owner_(step.owner_);
    if (!owner) {
      context_.Fail(
          arrived.caller_,
          {404, Outcome::kUnknown, "operation.forward",
           step.owner_.instance_.value(),
           "the owner of the key is gone or cannot be reached", std::nullopt});
      return;
    }
    auto work = std::make_shared<Work>();
    work->id_ = ++last_id_;
    work->caller_ = arrived.caller_;
    work->customer_ = customer;
    work->request_ = arrived.request_;
    work->arrived_ = arrived.arrived_;
    work->deadline_ = arrived.arrived_ + std::chrono::seconds(5);
    works_[work->id_] = work;
    callers_[work->caller_] = work->id_;
    LedgerStep forward = step;
    forward.waiters_ = {work->id_};
    PerformForward(forward);
    return;
  }
  context_.ReplyJson(arrived.caller_, json::serialize(body));
}

}  // namespace baobab
