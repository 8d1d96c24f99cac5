#include "service_controller.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "baobab_base/rendezvous_hash.h"
#include "request_fields.h"

namespace baobab {
namespace {

constexpr std::string_view kPrefix = "/v1/services/";

auto Rejection(unsigned status, std::string detail) -> Problem {
  Problem problem;
  problem.status_ = status;
  problem.step_ = "request";
  problem.detail_ = std::move(detail);
  return problem;
}

auto NoTarget() -> Problem {
  return {503,
          Outcome::kNotRun,
          "routing",
          "",
          "no target of the service takes new work",
          std::chrono::seconds(1)};
}

auto FindService(const contract::Contract& contract, const std::string& name)
    -> const contract::ContractService* {
  const auto found =
      std::find_if(contract.services_.begin(), contract.services_.end(),
                   [&](const contract::ContractService& service) {
                     return service.name_ == name;
                   });
  return found == contract.services_.end() ? nullptr : &*found;
}

}  // namespace

ServiceController::ServiceController(ControlContext& context,
                                     TargetDirectory& targets,
                                     AdmissionControl& admission,
                                     RequestEndHandler on_end)
    : context_(context),
      targets_(targets),
      admission_(admission),
      on_end_(std::move(on_end)),
      ledger_(context.self_, {}) {}

auto ServiceController::SetSeams(FindOwner find_owner, CallStore call_store,
                                 CopyOutcome copy_outcome) -> void {
  find_owner_ = std::move(find_owner);
  call_store_ = std::move(call_store);
  copy_outcome_ = std::move(copy_outcome);
}

auto ServiceController::Check(const RequestArrived& arrived,
                              const contract::Contract& contract, Work& work)
    -> std::optional<Problem> {
  const auto rest = arrived.request_.path_.substr(kPrefix.size());
  const auto slash = rest.find('/');
  work.service_ = rest.substr(0, slash);
  work.path_ = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!arrived.request_.query_.empty()) {
    work.path_ += "?" + arrived.request_.query_;
  }
  const auto* service = FindService(contract, work.service_);
  if (service == nullptr) {
    return Rejection(404,
                     "the contract names no service \"" + work.service_ + "\"");
  }
  if (!service->idempotent_) {
    work.kind_ = WorkKind::kBooking;
    work.key_ = OperationKey::Parse(arrived.request_.Header("Idempotency-Key"));
    if (!work.key_) {
      return Rejection(400, "the service needs a valid Idempotency-Key header");
    }
  }
  return std::nullopt;
}

auto ServiceController::Begin(const RequestArrived& arrived,
                              const CustomerId& customer) -> void {
  const auto* contract = context_.contracts_.Find(customer);
  auto work = std::make_shared<Work>();
  work->caller_ = arrived.caller_;
  work->customer_ = customer;
  work->request_ = arrived.request_;
  work->arrived_ = arrived.arrived_;
  work->deadline_ = DeadlineOf(arrived, contract->limits_.max_duration_,
                               context_.settings_.admission_.default_deadline_);
  if (const auto problem = Check(arrived, *contract, *work)) {
    context_.Fail(arrived.caller_, *problem);
    return;
  }
  work->id_ = ++last_id_;
  works_[work->id_] = work;
  callers_[work->caller_] = work->id_;
  AdmissionRequest request;
  request.customer_ = customer;
  request.kind_ = work->kind_;
  request.model_ = ModelId(work->service_);
  request.deadline_ = work->deadline_;
  admission_.Submit(
      work->id_, request, [this](std::uint64_t id) { Start(id); },
      [this](std::uint64_t id, const Problem& problem) {
        if (const auto refused = Find(id)) {
          FailWork(refused, problem);
        }
      });
}

auto ServiceController::Find(std::uint64_t id) -> WorkPointer {
  const auto found = works_.find(id);
  return found == works_.end() ? nullptr : found->second;
}

auto ServiceController::RouteOf(const Work& work) const -> RouteRequest {
  RouteRequest route;
  route.model_ = ModelId(work.service_);
  route.kind_ = work.kind_;
  route.idempotent_ = !work.key_;
  return route;
}

auto ServiceController::Start(std::uint64_t id) -> void {
  const auto work = Find(id);
  if (!work) {
    return;
  }
  if (!work->key_) {
    StartIdempotent(work);
    return;
  }
  OperationRequest request{work->customer_,
                           *work->key_,
                           0,
                           work->id_,
                           !work->request_.Header(kHopHeader).empty(),
                           work->deadline_};
  request.digest_ = HashKey(
      work->request_.body_,
      HashKey(work->request_.method_ + " " + work->service_ + work->path_));
  operations_.emplace(OperationRef{work->customer_, work->key_->text()}, work);
  Perform(ledger_.Begin(request, context_.Now()));
}

auto ServiceController::StartIdempotent(const WorkPointer& work) -> void {
  const bool first = work->tried_.empty();
  const auto route = RouteOf(*work);
  const auto decision =
      first
          ? targets_.selector().Select(route, context_.Now(), context_.random_)
          : targets_.selector().SelectRetry(route, work->tried_, context_.Now(),
                                            context_.random_);
  if (!decision.target_) {
    FailWork(work, NoTarget());
    return;
  }
  Attempt attempt;
  attempt.work_ = work->id_;
  attempt.deadline_ = work->deadline_;
  work->tried_.push_back(*decision.target_);
  if (decision.hedge_after_ > Duration::zero()) {
    attempt.hedge_at_ = context_.Now() + decision.hedge_after_;
  }
  SendAttempt(*work, *decision.target_,
              first ? AttemptRole::kFirst : AttemptRole::kRetry,
              std::move(attempt));
  if (decision.probe_ && decision.probe_ != decision.target_) {
    StartCopy(work, *decision.probe_, AttemptRole::kProbe);
  }
}

auto ServiceController::SendAttempt(const Work& work, TargetIndex target,
                                    AttemptRole role, Attempt attempt)
    -> RouteAttemptId {
  const auto id = context_.NextAttempt();
  attempt.routed_ = true;
  targets_.selector().OnStart(id, target, role, RouteOf(work), context_.Now());
  StartService start;
  start.attempt_ = id;
  start.call_.endpoint_ = targets_.EndpointOf(target);
  start.call_.method_ = work.request_.method_;
  start.call_.path_ = work.path_;
  start.call_.body_ = work.request_.body_;
  start.call_.idempotent_ = !work.key_;
  start.call_.headers_.emplace_back("X-Customer", work.customer_.value());
  for (const auto* name : {"Content-Type", "Accept", "Idempotency-Key"}) {
    if (const auto value = work.request_.Header(name); !value.empty()) {
      start.call_.headers_.emplace_back(name, std::string(value));
    }
  }
  attempts_[id] = std::move(attempt);
  context_.targets_.Send(std::move(start));
  return id;
}

auto ServiceController::Take(RouteAttemptId attempt) -> std::optional<Attempt> {
  auto node = attempts_.extract(attempt);
  return node ? std::optional(std::move(node.mapped())) : std::nullopt;
}

auto ServiceController::OnAnswered(ServiceAnswered& answered) -> void {
  const auto attempt = Take(answered.attempt_);
  if (!attempt) {
    return;
  }
  auto& response = answered.response_;
  const auto outcome = OutcomeOfStatus(response.head_.status_);
  if (attempt->routed_) {
    targets_.selector().OnFirstToken(answered.attempt_, context_.Now());
    targets_.selector().OnFinish(answered.attempt_,
                                 outcome == Outcome::kNotRun
                                     ? AttemptEnd::kRejected
                                     : AttemptEnd::kCompleted,
                                 1, context_.Now());
  }
  if (attempt->operation_ && attempt->routed_) {
    const auto step =
        outcome == Outcome::kCompleted
            ? ledger_.OnAnswer(
                  *attempt->operation_, attempt->ledger_attempt_,
                  {static_cast<int>(response.head_.status_),
                   std::string(response.head_.Header("Content-Type")),
                   std::move(response.body_)})
            : ledger_.OnFailed(*attempt->operation_, attempt->ledger_attempt_,
                               outcome == Outcome::kUnknown);
    if (step.kind_ == LedgerStep::Kind::kDone &&
        step.outcome_ == Outcome::kCompleted && copy_outcome_) {
      copy_outcome_(step);
    }
    Perform(step);
    return;
  }
  if (const auto work = Find(attempt->work_)) {
    if (outcome == Outcome::kNotRun && HasCopy(work->id_)) {
      return;  // the copy may still answer
    }
    CancelCopies(work->id_);
    RelayAnswer(work, response);
  }
}

auto ServiceController::OnFailed(const ServiceFailed& failed) -> void {
  const auto attempt = Take(failed.attempt_);
  if (!attempt) {
    return;
  }
  const auto& failure = failed.failure_;
  if (attempt->routed_) {
    targets_.selector().OnFinish(failed.attempt_, AttemptEnd::kFailed, 0,
                                 context_.Now());
  }
  if (attempt->operation_ && attempt->routed_) {
    Perform(ledger_.OnFailed(*attempt->operation_, attempt->ledger_attempt_,
                             failure.outcome_ != Outcome::kNotRun));
    return;
  }
  const auto work = Find(attempt->work_);
  if (!work) {
    return;
  }
  if (HasCopy(work->id_)) {
    return;  // the copy may still answer
  }
  // Repeating an idempotent call is safe, but only calls that certainly did
  // not run are retried, so that a slow service is not sent twice the load.
  if (attempt->routed_ && failure.outcome_ == Outcome::kNotRun &&
      context_.Now() < work->deadline_) {
    StartIdempotent(work);
    return;
  }
  // A forward that failed says nothing about the owner's own attempt.
  const auto outcome = attempt->routed_ ? failure.outcome_ : Outcome::kUnknown;
  FailWork(work, {502, outcome, failure.step_, failure.peer_, failure.reason_,
                  std::nullopt});
}

auto ServiceController::RelayAnswer(const WorkPointer& work,
                                    const TargetResponse& response) -> void {
  HttpResponse answer;
  answer.status_ = response.head_.status_;
  answer.content_type_ = response.head_.Header("Content-Type");
  if (const auto retry = response.head_.Header("Retry-After"); !retry.empty()) {
    answer.headers_.push_back({"Retry-After", std::string(retry)});
  }
  answer.body_ = response.body_;
  context_.Reply(work->caller_, std::move(answer));
  Finish(work, response.head_.status_ < 500);
}

auto ServiceController::OnCallerGone(const CallerRef& caller) -> void {
  const auto found = callers_.find(caller);
  const auto work = found == callers_.end() ? nullptr : Find(found->second);
  if (!work) {
    return;
  }
  if (work->key_) {  // the operation goes on; its outcome stays recorded
    ledger_.ForgetWaiter({work->customer_, work->key_->text()}, work->id_);
  }
  Finish(work, false);
}

auto ServiceController::FailWork(const WorkPointer& work,
                                 const Problem& problem) -> void {
  context_.Fail(work->caller_, problem);
  Finish(work, false);
}

auto ServiceController::Finish(const WorkPointer& work, bool succeeded)
    -> void {
  const auto latency = context_.Now() - work->arrived_;
  const std::string kind(ToString(work->kind_));
  context_.metrics_.Add("baobab_requests_total",
                        "customer=\"" + work->customer_.value() + "\",kind=\"" +
                            kind + "\",succeeded=\"" + (succeeded ? "1" : "0") +
                            "\"");
  context_.metrics_.Record("baobab_request_seconds", "kind=\"" + kind + "\"",
                           latency);
  callers_.erase(work->caller_);
  works_.erase(work->id_);
  on_end_(work->customer_, work->kind_, succeeded, latency);
  admission_.Finish(work->id_);
}

auto ServiceController::Tick() -> void {
  const auto now = context_.Now();
  for (const auto& step : ledger_.Sweep(now)) {
    Perform(step);
  }
  HedgeLate(now);
  std::vector<RouteAttemptId> overdue;
  for (const auto& [id, attempt] : attempts_) {
    if (now >= attempt.deadline_) {
      overdue.push_back(id);
    }
  }
  for (const auto id : overdue) {
    context_.targets_.Send(CancelAttempt{id});
    AttemptFailure failure;
    failure.step_ = "deadline";
    failure.reason_ = "the call did not end before its deadline";
    OnFailed({id, failure});
  }
}

}  // namespace baobab
