// The attempts of ChatController: first tries, retries, hedges, resumption.

#include <algorithm>
#include <utility>

#include "baobab_base/log.h"
#include "chat_controller.h"

namespace baobab {
namespace {

// A stream that fails this often is given up: its targets, not one
// connection, are at fault.
constexpr int kMaxResumes = 5;

auto ProblemOf(const ChatFailed& failed) -> Problem {
  const auto& failure = failed.failure_.failure_;
  Problem problem;
  const bool client_error = failed.failure_.status_ >= 400 &&
                            failed.failure_.status_ < 500 &&
                            failed.failure_.status_ != 429;
  problem.status_ = client_error                           ? 502
                    : failure.outcome_ == Outcome::kNotRun ? 503
                                                           : 502;
  problem.outcome_ = failure.outcome_;
  problem.step_ = failure.step_;
  problem.peer_ = failure.peer_;
  problem.detail_ = failure.reason_;
  if (failure.outcome_ == Outcome::kNotRun && !client_error) {
    problem.retry_after_ = std::chrono::seconds(1);
  }
  return problem;
}

}  // namespace

auto ChatController::StartFirst(std::uint64_t id) -> void {
  const auto found = works_.find(id);
  if (found == works_.end()) {
    return;
  }
  const WorkPointer work = found->second;
  const auto decision = targets_.selector().Select(work->route_, context_.Now(),
                                                   context_.random_);
  if (decision.refusal_ == RouteRefusal::kLongSlotsFull) {
    admission_.PutBack(id);
    return;
  }
  work->started_ = true;
  if (!decision.target_) {
    FailWork(work, {503, Outcome::kNotRun, "routing", "",
                    "no target for the model takes new work",
                    std::chrono::seconds(1)});
    return;
  }
  StartAttempt(work, decision, AttemptRole::kFirst, false);
}

auto ChatController::StartAttempt(const WorkPointer& work,
                                  const RouteDecision& decision,
                                  AttemptRole role, bool new_connection)
    -> void {
  auto& attempt = StartCopy(work, *decision.target_, role, new_connection);
  attempt.hedge_after_ = decision.hedge_after_;
  if (decision.probe_) {
    StartCopy(work, *decision.probe_, AttemptRole::kProbe, false);
  }
}

auto ChatController::StartCopy(const WorkPointer& work, TargetIndex target,
                               AttemptRole role, bool new_connection)
    -> ChatAttempt& {
  ChatAttempt attempt;
  attempt.id_ = context_.NextAttempt();
  attempt.target_ = target;
  attempt.request_id_ = work->name_ + "." + std::to_string(attempt.id_);
  attempt.sent_ = context_.Now();
  attempt.first_offset_ = work->offset_;
  ChatExtension extension;
  extension.request_id_ = attempt.request_id_;
  extension.priority_ = work->kind_ == WorkKind::kLong ? 0 : 1;
  extension.resume_offset_ = work->offset_;
  targets_.selector().OnStart(attempt.id_, target, role, work->route_,
                              attempt.sent_);
  context_.targets_.Send(StartChat{attempt.id_, targets_.EndpointOf(target),
                                   BuildChatBody(work->body_, extension),
                                   new_connection});
  if (work->caller_blocked_) {
    context_.targets_.Send(PauseAttempt{attempt.id_, true});
  }
  attempts_[attempt.id_] = work;
  work->tried_.push_back(target);
  work->attempts_.push_back(std::move(attempt));
  return work->attempts_.back();
}

auto ChatController::StartHedge(const WorkPointer& work, ChatAttempt& attempt)
    -> void {
  attempt.hedged_ = true;
  const auto decision = targets_.selector().SelectHedge(
      attempt.id_, context_.Now(), context_.random_);
  if (decision.target_) {
    context_.metrics_.Add("baobab_hedges_total", "");
    StartCopy(work, *decision.target_, AttemptRole::kHedge, false);
  } else if (decision.hedge_after_ > Duration::zero()) {
    attempt.hedged_ = false;  // ask again when it is urgent
    attempt.hedge_after_ += decision.hedge_after_;
  }
}

auto ChatController::DropAttempt(const WorkPointer& work,
                                 RouteAttemptId attempt, AttemptEnd end)
    -> void {
  attempts_.erase(attempt);
  silence_.Remove(attempt);
  std::uint64_t tokens = work->offset_;
  std::erase_if(work->attempts_, [&](const ChatAttempt& a) {
    tokens -= a.id_ == attempt ? a.first_offset_ : 0;
    return a.id_ == attempt;
  });
  targets_.selector().OnFinish(attempt, end, static_cast<std::uint32_t>(tokens),
                               context_.Now());
}

auto ChatController::KeepOnly(const WorkPointer& work, RouteAttemptId attempt)
    -> void {
  if (work->attempts_.size() == 1) {
    return;
  }
  const auto others = work->attempts_;
  for (const auto& other : others) {
    if (other.id_ != attempt) {
      context_.targets_.Send(CancelAttempt{other.id_});
      DropAttempt(work, other.id_, AttemptEnd::kCancelled);
    }
  }
}

auto ChatController::CancelAttempts(const WorkPointer& work) -> void {
  const auto attempts = work->attempts_;
  for (const auto& attempt : attempts) {
    context_.targets_.Send(CancelAttempt{attempt.id_});
    DropAttempt(work, attempt.id_, AttemptEnd::kCancelled);
  }
}

auto ChatController::OnEnded(RouteAttemptId attempt) -> void {
  const auto work = Find(attempt);
  if (!work) {
    return;
  }
  if (work->whole_) {
    DropAttempt(work, attempt, AttemptEnd::kCompleted);
    Complete(work);
    return;
  }
  DropAttempt(work, attempt, AttemptEnd::kFailed);
  Resume(work, {502, Outcome::kUnknown, "stream", "",
                "the end of the stream does not match its number of tokens",
                std::nullopt});
}

auto ChatController::OnFailed(const ChatFailed& failed) -> void {
  const auto work = Find(failed.attempt_);
  if (!work) {
    return;
  }
  const auto target =
      std::find_if(work->attempts_.begin(), work->attempts_.end(),
                   [&](const ChatAttempt& attempt) {
                     return attempt.id_ == failed.attempt_;
                   })
          ->target_;
  const bool rejected = failed.failure_.status_ != 0;
  DropAttempt(work, failed.attempt_,
              rejected ? AttemptEnd::kRejected : AttemptEnd::kFailed);
  if (failed.failure_.failure_.step_ == "connect") {
    targets_.OnUnreachable(target);
  }
  if (work->attempts_.empty()) {
    RetryOrFail(work, failed);
  }
}

auto ChatController::RetryOrFail(const WorkPointer& work,
                                 const ChatFailed& failed) -> void {
  const auto problem = ProblemOf(failed);
  if (work->answering_) {
    Resume(work, problem);
    return;
  }
  if (problem.outcome_ == Outcome::kNotRun && failed.failure_.status_ != 400) {
    const auto decision = targets_.selector().SelectRetry(
        work->route_, work->tried_, context_.Now(), context_.random_);
    if (decision.target_) {
      context_.metrics_.Add("baobab_retries_total", "");
      StartAttempt(work, decision, AttemptRole::kRetry, true);
      return;
    }
  }
  FailWork(work, problem);
}

auto ChatController::Resume(const WorkPointer& work, const Problem& problem)
    -> void {
  if (!work->attempts_.empty()) {
    return;  // another attempt goes on
  }
  if (work->whole_) {  // every token arrived, only the end marker is missing
    Complete(work);
    return;
  }
  if (++work->resumes_ > kMaxResumes || context_.Now() >= work->deadline_) {
    FailWork(work, problem);
    return;
  }
  const auto decision = targets_.selector().Select(work->route_, context_.Now(),
                                                   context_.random_);
  if (!decision.target_) {
    FailWork(work, problem);
    return;
  }
  context_.metrics_.Add("baobab_resumed_streams_total", "");
  LogEvent(LogLevel::kInfo, "stream_resumed")
      .With("request", work->name_)
      .With("offset", work->offset_)
      .With("reason", problem.detail_);
  StartCopy(work, *decision.target_, AttemptRole::kFirst, true);
}

auto ChatController::Tick() -> void {
  WatchSilence();
  const auto now = context_.Now();
  const auto works = works_;
  for (const auto& [id, work] : works) {
    if (!work->started_) {
      continue;  // the admission queue watches its deadline
    }
    if (now >= work->deadline_) {
      CancelAttempts(work);
      FailWork(work,
               {504, Outcome::kUnknown, "deadline", "",
                "the request did not end before its deadline", std::nullopt});
      continue;
    }
    if (!work->answering_ && work->attempts_.size() == 1) {
      auto& attempt = work->attempts_.front();
      if (attempt.hedge_after_ > Duration::zero() && !attempt.hedged_ &&
          now >= attempt.sent_ + attempt.hedge_after_) {
        StartHedge(work, attempt);
      }
    }
  }
}

}  // namespace baobab
