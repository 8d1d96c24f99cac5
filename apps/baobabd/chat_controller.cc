#include "chat_controller.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "baobab_base/log.h"
#include "request_fields.h"

namespace baobab {
namespace {

// Length of the blocks over which prompt prefixes are compared; engines
// publish cache events over blocks of the same length.
constexpr std::size_t kPrefixBlockBytes = 256;
constexpr std::size_t kBytesPerToken = 4;  // of English text, about

auto NamesModel(const contract::Contract& contract, const ChatSummary& summary)
    -> bool {
  const auto found =
      std::find_if(contract.models_.begin(), contract.models_.end(),
                   [&](const contract::ContractModel& model) {
                     return model.name_.value() == summary.model_;
                   });
  if (found == contract.models_.end()) {
    return false;
  }
  return summary.adapter_.empty() ||
         std::find(found->adapters_.begin(), found->adapters_.end(),
                   AdapterId(summary.adapter_)) != found->adapters_.end();
}

auto Rejection(unsigned status, std::string detail) -> Problem {
  Problem problem;
  problem.status_ = status;
  problem.step_ = "request";
  problem.detail_ = std::move(detail);
  return problem;
}

}  // namespace

ChatController::ChatController(ControlContext& context,
                               TargetDirectory& targets,
                               AdmissionControl& admission,
                               RequestEndHandler on_end)
    : context_(context),
      targets_(targets),
      admission_(admission),
      on_end_(std::move(on_end)) {}

auto ChatController::Begin(const RequestArrived& arrived,
                           const CustomerId& customer) -> void {
  const auto* contract = context_.contracts_.Find(customer);
  auto work = std::make_shared<ChatWork>();
  work->caller_ = arrived.caller_;
  work->customer_ = customer;
  work->arrived_ = arrived.arrived_;
  if (const auto problem = Check(arrived, *contract, *work)) {
    context_.Fail(arrived.caller_, *problem);
    return;
  }
  work->id_ = ++last_id_;
  works_[work->id_] = work;
  callers_[work->caller_] = work;
  AdmissionRequest request;
  request.customer_ = customer;
  request.kind_ = work->kind_;
  request.model_ = work->route_.model_;
  request.deadline_ = work->deadline_;
  const auto number =
      targets_.selector().table().FindModel(work->route_.model_);
  const auto predicted = targets_.selector().predictor().Predict(
      number.value_or(0), work->kind_, work->route_.prompt_tokens_);
  request.predicted_service_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(predicted.seconds_));
  request.predicted_tokens_ = static_cast<std::uint64_t>(predicted.tokens_);
  admission_.Submit(
      work->id_, request, [this](std::uint64_t id) { StartFirst(id); },
      [this](std::uint64_t id, const Problem& problem) {
        if (const auto found = works_.find(id); found != works_.end()) {
          FailWork(WorkPointer(found->second), problem);
        }
      });
}

auto ChatController::Check(const RequestArrived& arrived,
                           const contract::Contract& contract, ChatWork& work)
    -> std::optional<Problem> {
  std::string error;
  auto summary = ParseChatRequest(arrived.request_.body_, error);
  if (!summary) {
    return Rejection(400, error);
  }
  work.summary_ = std::move(*summary);
  if (!NamesModel(contract, work.summary_)) {
    return Rejection(404, "the contract names no model \"" +
                              work.summary_.model_ +
                              "\" with the requested adapter");
  }
  work.body_ = arrived.request_.body_;
  work.name_ = context_.self_.instance_.value() + "-" +
               std::to_string(context_.self_.incarnation_) + "-" +
               std::to_string(last_id_ + 1);
  ReadResumption(arrived.request_, work);
  work.deadline_ = DeadlineOf(arrived, contract.limits_.max_duration_,
                              context_.settings_.admission_.default_deadline_);
  Predict(work);
  return std::nullopt;
}

auto ChatController::ReadResumption(const HttpRequest& request, ChatWork& work)
    -> void {
  // Event ids are "<name>:<tokens so far>"; any instance can resume from them.
  const auto id = request.Header("Last-Event-ID");
  const auto colon = id.rfind(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const auto digits = id.substr(colon + 1);
  std::uint64_t offset = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), offset);
  if (parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size()) {
    work.offset_ = offset;
    work.first_offset_ = offset;
    work.name_ = std::string(id.substr(0, colon));
  }
}

auto ChatController::Predict(ChatWork& work) -> void {
  const auto tokens =
      work.summary_.prompt_.size() / kBytesPerToken + work.summary_.max_tokens_;
  work.kind_ = tokens > context_.settings_.admission_.long_work_tokens_
                   ? WorkKind::kLong
                   : WorkKind::kShort;
  work.route_.model_ = ModelId(work.summary_.model_);
  work.route_.kind_ = work.kind_;
  work.route_.prompt_tokens_ =
      static_cast<std::uint32_t>(work.summary_.prompt_.size() / kBytesPerToken);
  work.route_.prefixes_ = HashPrefixes(
      work.summary_.model_, work.summary_.prompt_, kPrefixBlockBytes);
}

auto ChatController::Find(RouteAttemptId attempt) -> WorkPointer {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : found->second;
}

auto ChatController::OnCallerGone(const CallerRef& caller) -> void {
  const auto found = callers_.find(caller);
  if (found == callers_.end()) {
    return;
  }
  const WorkPointer work = found->second;
  CancelAttempts(work);
  context_.metrics_.Add("baobab_callers_gone_total", "");
  Remove(work, false);
}

auto ChatController::OnCallerBlocked(const CallerBlocked& blocked) -> void {
  const auto found = callers_.find(blocked.caller_);
  if (found == callers_.end()) {
    return;
  }
  found->second->caller_blocked_ = blocked.blocked_;
  for (auto& attempt : found->second->attempts_) {
    context_.targets_.Send(PauseAttempt{attempt.id_, blocked.blocked_});
    if (blocked.blocked_) {  // reading stops, so that silence means nothing
      silence_.Remove(attempt.id_);
      attempt.watched_ = false;
    }
  }
}

auto ChatController::OnLoad(const LoadArrived& arrived) -> void {
  const auto work = Find(arrived.attempt_);
  if (!work) {
    return;
  }
  for (const auto& attempt : work->attempts_) {
    if (attempt.id_ == arrived.attempt_) {
      targets_.OnLoad(attempt.target_, arrived.load_);
    }
  }
}

auto ChatController::OnChunk(ChunkArrived& arrived) -> void {
  const auto work = Find(arrived.attempt_);
  if (!work) {
    return;  // a late chunk of an attempt that was given up
  }
  auto& chunk = arrived.chunk_;
  const auto attempt = std::find_if(
      work->attempts_.begin(), work->attempts_.end(),
      [&](const ChatAttempt& a) { return a.id_ == arrived.attempt_; });
  if (chunk.request_id_ != attempt->request_id_) {
    return;
  }
  if (chunk.total_tokens_) {
    work->whole_ = *chunk.total_tokens_ == work->offset_;
    return;
  }
  if (chunk.offset_ + chunk.tokens_ <= work->offset_) {
    return;  // repeated
  }
  if (chunk.offset_ != work->offset_) {
    DropAttempt(work, arrived.attempt_, AttemptEnd::kFailed);
    context_.targets_.Send(CancelAttempt{arrived.attempt_});
    Resume(work, {502, Outcome::kUnknown, "stream", "",
                  "the stream skipped tokens", std::nullopt});
    return;
  }
  const auto now = context_.Now();
  if (!work->answering_) {
    work->answering_ = true;
    context_.metrics_.Record(
        "baobab_first_token_seconds",
        "kind=\"" + std::string(ToString(work->kind_)) + "\"",
        now - work->arrived_);
  }
  KeepOnly(work, arrived.attempt_);
  auto& current = work->attempts_.front();
  OnData(*work, current);
  targets_.selector().OnFirstToken(arrived.attempt_, now);
  work->offset_ += chunk.tokens_;
  targets_.selector().OnProgress(
      arrived.attempt_,
      static_cast<std::uint32_t>(work->offset_ - current.first_offset_), now);
  Forward(work, chunk);
}

auto ChatController::Forward(const WorkPointer& work, ChatChunk& chunk)
    -> void {
  if (!work->summary_.stream_) {
    work->content_ += chunk.content_;
    if (work->content_.size() > context_.settings_.caller_limits_.body_bytes_) {
      CancelAttempts(work);
      FailWork(work,
               {502, Outcome::kUnknown, "stream", "",
                "the response is too long for one JSON body", std::nullopt});
    }
    return;
  }
  BeginStreaming(work);
  context_.callers_.Send(
      SendPiece{work->caller_, "id: " + work->name_ + ":" +
                                   std::to_string(work->offset_) +
                                   "\ndata: " + chunk.data_ + "\n\n"});
}

auto ChatController::BeginStreaming(const WorkPointer& work) -> void {
  if (std::exchange(work->streaming_, true)) {
    return;
  }
  HttpResponse head;
  head.content_type_ = "text/event-stream";
  head.headers_.push_back({"Cache-Control", "no-store"});
  context_.callers_.Send(BeginStream{work->caller_, std::move(head)});
}

auto ChatController::Complete(const WorkPointer& work) -> void {
  if (work->summary_.stream_) {
    BeginStreaming(work);
    context_.callers_.Send(SendPiece{work->caller_, "data: [DONE]\n\n"});
    context_.callers_.Send(EndStream{work->caller_});
  } else {
    context_.ReplyJson(work->caller_,
                       BuildChatResponse(work->name_, work->summary_.model_,
                                         work->content_, work->offset_));
  }
  Remove(work, true);
}

auto ChatController::FailWork(const WorkPointer& work, const Problem& problem)
    -> void {
  if (work->streaming_) {
    context_.callers_.Send(SendPiece{
        work->caller_, "event: error\ndata: " + ProblemBody(problem) + "\n\n"});
    context_.callers_.Send(AbortStream{work->caller_});
  } else {
    context_.Fail(work->caller_, problem);
  }
  LogEvent(LogLevel::kInfo, "chat_failed")
      .With("customer", work->customer_.value())
      .With("model", work->summary_.model_)
      .With("outcome", ToString(problem.outcome_))
      .With("step", problem.step_)
      .With("peer", problem.peer_)
      .With("reason", problem.detail_);
  Remove(work, false);
}

auto ChatController::Remove(const WorkPointer& work, bool succeeded) -> void {
  const auto latency = context_.Now() - work->arrived_;
  context_.metrics_.Add("baobab_requests_total",
                        "customer=\"" + work->customer_.value() + "\",kind=\"" +
                            std::string(ToString(work->kind_)) +
                            "\",succeeded=\"" + (succeeded ? "1" : "0") + "\"");
  context_.metrics_.Record(
      "baobab_request_seconds",
      "kind=\"" + std::string(ToString(work->kind_)) + "\"", latency);
  callers_.erase(work->caller_);
  works_.erase(work->id_);
  on_end_(work->customer_, work->kind_, succeeded, latency);
  admission_.Finish(work->id_);
}

}  // namespace baobab
