#pragma once

// Member functions of RequestGateway that send requests to targets and handle
// responses, failures and retries.

#include "baobab_gateway/request_gateway.h"

namespace baobab::gateway {

template <RequestTranslator Codec>
auto RequestGateway<Codec>::StartAttempt(const Assignment& assignment) -> void {
  const auto found = active_.find(assignment.id_);
  const auto* entry = registry_->Find(assignment.target_);
  if (found == active_.end() || entry == nullptr) {
    dispatcher_.Forget(assignment.id_);
    return;
  }
  auto& active = found->second;
  const auto now = Now();
  ForwardOptions options;
  options.has_accounts_ = key_gate_.has_accounts();
  if (key_gate_.NeedsKey(*active.route_)) {
    const auto account = key_gate_.FindAccount(active.ingress_);
    if (!account) {
      // A newer manifest removed the key while the request waited.
      RefuseRevoked(assignment.id_);
      return;
    }
    options.account_ = account->name_;
  }
  options.target_id_ = assignment.target_;
  options.endpoint_ = entry->registration_.endpoint_;
  options.time_left_ = active.item_.deadline_ - now;
  options.priority_ = active.item_.priority_;
  if (active.response_started_) {
    options.last_event_id_ = active.events_.last_event_id();
  }
  if (registry_->HasAnnouncedDeparture(entry->registration_)) {
    LogEvent(LogLevel::kWarning, "request_to_leaving_target")
        .With("id", active.ingress_.id_)
        .With("target", assignment.target_);
    metrics_.Add("gateway_requests_to_leaving_targets_total", "");
  }
  if (const auto* source = registry_->Find(assignment.cache_source_)) {
    options.cache_source_ = source->registration_.endpoint_;
  }
  auto request = Codec::EncodeTargetRequest(active.request_, options);
  request.shared_body_ = active.request_body_;
  request.timeouts_.connect_ = kConnectTimeout;
  request.timeouts_.send_ = options.time_left_;
  request.timeouts_.head_ = options.time_left_;
  request.timeouts_.body_ = options.time_left_;
  const auto id = assignment.id_;
  ExchangeEvents events;
  events.on_head_ = [this, id](const TargetResponseHead& head) {
    Guard(id, "head", [&] { OnHead(id, head); });
  };
  events.on_data_ = [this, id](std::string_view data) {
    Guard(id, "data", [&] { OnData(id, data); });
  };
  events.on_end_ = [this, id]() { Guard(id, "end", [&] { OnEnd(id); }); };
  events.on_failure_ = [this, id](const AttemptFailure& failure) {
    Guard(id, "failure", [&] { OnFailure(id, failure); });
  };
  active.target_ = assignment.target_;
  active.target_version_ = entry->registration_.software_version_;
  active.endpoint_ = options.endpoint_;
  active.head_.reset();
  active.is_event_stream_ = false;
  active.body_.clear();
  active.events_.DiscardPartialEvent();
  active.buffered_ = BufferBudget::Share{buffers_};
  active.sent_at_ = now;
  ++active.attempts_;
  active.cap_spent_ = true;
  LogEvent(LogLevel::kInfo, "request_sent")
      .With("id", active.ingress_.id_)
      .With("target", assignment.target_)
      .With("attempt", active.attempts_)
      .With("waited_ms", Milliseconds(now - active.item_.arrived_))
      .With("score_ms", Milliseconds(assignment.cost_))
      .With("first_token_ms", Milliseconds(assignment.first_token_))
      .With("step_us", assignment.token_time_.count())
      .With("busy_permille",
            assignment.load_before_.prefill_utilization_permille_)
      .With("running", assignment.load_before_.running_)
      .With("cache_source", assignment.cache_source_)
      .With("left_ms", Milliseconds(options.time_left_));
  active.attempt_ =
      TargetExchange::Start(pool_, std::move(request), std::move(events));
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnHead(WorkId id, const TargetResponseHead& head)
    -> void {
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return;
  }
  found->second.head_ = head;
  const auto info = Codec::DecodeResponseHead(head);
  found->second.is_event_stream_ =
      found->second.route_->kind_ == RequestKind::kStream &&
      info.event_stream_ && info.authenticated_;
  if (info.load_) {
    dispatcher_.OnStatedLoad(found->second.target_, *info.load_, Now());
  } else if (info.malformed_load_) {
    LogEvent(LogLevel::kWarning, "stated_load_unreadable")
        .With("target", found->second.target_);
    metrics_.Add("gateway_unreadable_loads_total", "");
  }
  if (info.retry_after_) {
    LogEvent(LogLevel::kInfo, "target_paused")
        .With("target", found->second.target_)
        .With("ms", Milliseconds(*info.retry_after_));
    metrics_.Add("gateway_target_pauses_total", "");
    dispatcher_.OnRetryAfter(found->second.target_, *info.retry_after_, Now());
    if (on_retry_after_) {
      on_retry_after_(found->second.target_, *info.retry_after_);
    }
  } else if (info.malformed_retry_after_) {
    LogEvent(LogLevel::kWarning, "retry_after_unreadable")
        .With("target", found->second.target_)
        .With("value", head.Header("Retry-After"));
    metrics_.Add("gateway_unreadable_retry_after_total", "");
  }
  if (info.leaving_) {
    ReportLeaving(found->second, info);
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ReportLeaving(const ActiveRequest& active,
                                          const TargetResponseInfo& info)
    -> void {
  metrics_.Add("gateway_leaving_responses_total", "");
  if (on_leaving_) {
    on_leaving_({info.target_.empty() ? active.target_ : info.target_,
                 active.endpoint_,
                 std::chrono::time_point_cast<WallTime::duration>(
                     std::chrono::system_clock::now())});
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnData(WorkId id, std::string_view data) -> void {
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return;
  }
  auto& active = found->second;
  if (!active.is_event_stream_) {
    active.body_ += data;
    if (!active.buffered_.Resize(active.body_.size())) {
      OnResponseTooLarge(id);
    }
    return;
  }
  const auto previous_event_id = active.events_.last_event_id();
  const auto events = active.events_.Feed(data);
  if (!active.buffered_.Resize(active.events_.partial_bytes())) {
    OnResponseTooLarge(id);
    return;
  }
  if (events.empty()) {
    return;
  }
  const auto now = Now();
  dispatcher_.OnFirstToken(id, now);
  NotifyEvidence();
  if (active.response_started_) {
    active.longest_event_gap_ =
        std::max(active.longest_event_gap_, now - active.last_event_at_);
    dispatcher_.OnEvents(
        id,
        static_cast<std::uint32_t>(active.events_.last_event_id() -
                                   previous_event_id),
        now);
  }
  active.last_event_at_ = now;
  if (!active.response_started_) {
    active.response_started_ = true;
    RecordOrigin(active, now);
    active.first_event_ = now - active.item_.arrived_;
    metrics_.Record("gateway_first_event_seconds",
                    Label("route", active.route_->name_), active.first_event_);
    server_.BeginStream(active.exchange_,
                        Codec::EncodeResponseHead(*active.head_));
    server_.Write(active.exchange_, events);
    Dispatch();  // The prefill is complete: the target may accept more load.
    return;
  }
  server_.Write(active.exchange_, events);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::RecordOrigin(ActiveRequest& active, TimePoint now)
    -> void {
  active.item_.version_ = active.target_version_;
  const auto& ingress = active.ingress_;
  const auto& stream =
      ingress.last_event_id_ < 0 ? ingress.id_ : ingress.resumed_stream_;
  if (!stream.empty()) {
    origins().Record(stream, {active.item_.service_, active.target_version_},
                     now);
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnResponseTooLarge(WorkId id) -> void {
  auto& active = active_.at(id);
  LogEvent(LogLevel::kWarning, "response_too_large")
      .With("id", active.ingress_.id_)
      .With("target", active.target_)
      .With("bytes", active.body_.size() + active.events_.partial_bytes())
      .With("buffered", buffers_.used());
  metrics_.Add("gateway_oversized_responses_total", "");
  active.attempt_->Cancel();
  active.attempt_.reset();
  active.body_.clear();
  active.events_.DiscardPartialEvent();
  (void)active.buffered_.Resize(0);
  // Another target would probably send the same response.
  active.may_have_run_ = true;
  dispatcher_.OnErrorResponse(id);
  if (active.response_started_) {
    server_.AbortStream(active.exchange_);
    Finish(id, "response_too_large", 0);
  } else {
    FinishWithRefusal(id, RefusalReason::kTargetFailed, "response_too_large");
  }
}

template <RequestTranslator Codec>
template <class Action>
auto RequestGateway<Codec>::Guard(WorkId id, const char* step, Action action)
    -> void {
  try {
    action();
    return;
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "request_handler_failed")
        .With("step", step)
        .With("reason", error.what());
  }
  metrics_.Add("gateway_handler_failures_total", Label("step", step));
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return;
  }
  auto& active = found->second;
  const bool sent = active.attempt_ != nullptr || active.may_have_run_;
  if (active.attempt_) {
    active.attempt_->Cancel();
    active.attempt_.reset();
  }
  if (active.response_started_) {
    server_.AbortStream(active.exchange_);
    Finish(id, "internal_error", 0);
  } else {
    FinishWithRefusal(
        id, sent ? RefusalReason::kTargetFailed : RefusalReason::kNotRun,
        "internal_error");
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnEnd(WorkId id) -> void {
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return;
  }
  auto& active = found->second;
  active.attempt_.reset();
  const auto info = Codec::DecodeResponseHead(*active.head_);
  if (info.not_run_) {
    OnTargetRefused(id, info);
    return;
  }
  if (active.is_event_stream_) {
    if (active.events_.HasPartialEvent() || !active.response_started_) {
      OnAttemptInterrupted(id, "incomplete_stream", /*crashed=*/true);
      return;
    }
    server_.EndStream(active.exchange_);
    dispatcher_.OnServed(id, Now());
    Finish(id, "served", active.head_->status_);
    return;
  }
  const auto status = active.head_->status_;
  const bool failed = status >= 500 || !info.authenticated_;
  if (failed) {
    dispatcher_.OnErrorResponse(id);
    ++active.accepted_attempts_;
    if (!active.response_started_ && RetryIfAllowed(active, "target_error")) {
      return;
    }
  } else {
    dispatcher_.OnServed(id, Now());
  }
  if (active.response_started_) {
    // Part of an event stream was sent to the caller, and this response does
    // not continue that stream.
    server_.AbortStream(active.exchange_);
    Finish(id, "stream_broken_off", status);
    return;
  }
  if (!info.authenticated_) {
    // The response lacks the receipt header (the header that targets add to
    // authenticate their responses), so it may not come from the target.
    // Respond with an error instead.
    FinishWithRefusal(id, RefusalReason::kTargetFailed, "unproven_response");
    return;
  }
  auto response = Codec::EncodeResponseHead(*active.head_);
  response.body_ = std::move(active.body_);
  server_.Respond(active.exchange_, response);
  Finish(id, failed ? "target_error_passed_on" : "served", status);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnTargetRefused(WorkId id,
                                            const TargetResponseInfo& info)
    -> void {
  auto& active = active_.at(id);
  active.cap_spent_ = false;
  dispatcher_.OnTargetRefused(id, info.model_not_loaded_, Now());
  LogEvent(LogLevel::kInfo, "target_refused")
      .With("id", active.ingress_.id_)
      .With("target", active.target_)
      .With("status", active.head_->status_);
  active.refusals_ += info.model_not_loaded_ ? 0 : 1;
  // A target at capacity may be tried again, because it soon has free capacity.
  // A target that has not loaded the model is excluded from the retry.
  if (active.refusals_ >= AttemptPolicy::kMaxRefusals ||
      !TryRequeue(active, "target_refused", /*spends_budget=*/true,
                  /*exclude_target=*/info.model_not_loaded_)) {
    FinishWithRefusal(id,
                      active.may_have_run_ ? RefusalReason::kTargetFailed
                                           : RefusalReason::kNotRun,
                      "target_refused");
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnFailure(WorkId id, const AttemptFailure& failure)
    -> void {
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return;
  }
  auto& active = found->second;
  active.attempt_.reset();
  const auto now = Now();
  LogEvent(LogLevel::kWarning, "attempt_failed")
      .With("id", active.ingress_.id_)
      .With("target", active.target_)
      .With("step", failure.step_)
      .With("reason", failure.reason_)
      .With("outcome", ToString(failure.outcome_))
      .With("after_ms", Milliseconds(now - active.sent_at_))
      .With("begun", dispatcher_.HasBegun(id) ? "yes" : "no")
      .With("parts", DescribeParts(active.item_.generation_));
  if (failure.outcome_ == Outcome::kNotRun) {
    active.cap_spent_ = false;
    dispatcher_.OnTargetFailed(id, now);
    if (!TryRequeue(active, "not_sent", /*spends_budget=*/false)) {
      FinishWithRefusal(id,
                        active.may_have_run_ ? RefusalReason::kTargetFailed
                                             : RefusalReason::kNotRun,
                        "target_unreachable");
    }
    return;
  }
  // A target that has too many connections resets new ones: a reset without a
  // response is no sign of a crash.
  const bool crashed =
      !failure.timed_out_ && (active.head_.has_value() || failure.closed_);
  OnAttemptInterrupted(id, "target_broke_off", crashed);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnAttemptInterrupted(WorkId id, const char* reason,
                                                 bool crashed) -> void {
  auto& active = active_.at(id);
  active.may_have_run_ = true;
  ++active.accepted_attempts_;
  if (crashed) {
    dispatcher_.OnTargetBrokeOff(id, Now());
    NotifyEvidence();
  } else {
    dispatcher_.OnTargetFailed(id, Now());
  }
  if (RetryIfAllowed(active, reason)) {
    return;
  }
  if (active.response_started_) {
    server_.AbortStream(active.exchange_);
    Finish(id, "stream_broken_off", 0);
  } else {
    FinishWithRefusal(id, RefusalReason::kTargetFailed, reason);
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::RetryIfAllowed(ActiveRequest& active,
                                           const char* reason) -> bool {
  const auto& route = *active.route_;
  if (!dispatcher_.MayRepeat(active.item_.generation_)) {
    LogEvent(LogLevel::kInfo, "repeat_refused")
        .With("id", active.ingress_.id_)
        .With("reason", "suspected_part")
        .With("parts", DescribeParts(active.item_.generation_));
    return false;
  }
  return route.IsRetryable() &&
         active.accepted_attempts_ < route.max_attempts_ &&
         TakeUnitsForRetry(active) &&
         TryRequeue(active, reason, /*spends_budget=*/true);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::TryRequeue(ActiveRequest& active,
                                       const char* reason, bool spends_budget,
                                       bool exclude_target) -> bool {
  const auto now = Now();
  if (!AttemptPolicy::MayRetry(active.attempts_, active.item_.deadline_, now) ||
      (spends_budget && !retries_.TrySpend(active.item_.service_, now))) {
    return false;
  }
  LogEvent(LogLevel::kInfo, "request_repeated")
      .With("id", active.ingress_.id_)
      .With("reason", reason)
      .With("after_event", active.events_.last_event_id())
      .With("sends", active.attempts_);
  metrics_.Add("gateway_repeats_total", Label("reason", reason));
  if (exclude_target) {
    active.item_.excluded_.insert(active.target_);
  }
  active.item_.resumed_ = active.response_started_;
  if (active.response_started_ &&
      active.route_->abandon_after_ > Duration::zero()) {
    active.item_.first_event_by_ =
        active.last_event_at_ + active.route_->abandon_after_;
  }
  const auto copy = active.item_;
  Enqueue(copy, now);
  return true;
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ApplyVerdicts(TimePoint now) -> void {
  for (const auto part : dispatcher_.poison_parts().TakeAcquitted()) {
    LogEvent(LogLevel::kWarning, "part_acquitted").With("part", ToHex(part));
    metrics_.Add("gateway_acquitted_parts_total", "");
  }
  const auto verdicts = dispatcher_.TakeVerdicts();
  for (const auto& verdict : verdicts) {
    LogEvent(LogLevel::kWarning, "part_convicted")
        .With("part", ToHex(verdict.part_))
        .With("crashes", verdict.crashes_)
        .With("oldest_crash_ms", Milliseconds(verdict.oldest_crash_))
        .With("verdict_ms", Milliseconds(verdict.remaining_))
        .With("convictions", verdict.convictions_);
    metrics_.Add("gateway_convicted_parts_total", "");
  }
  if (verdicts.empty()) {
    return;
  }
  for (const auto id : dispatcher_.FindConvicted(now)) {
    auto& active = active_.at(id);
    const bool sent = active.attempt_ && active.attempt_->Cancel();
    active.attempt_.reset();
    FinishWithRefusal(id,
                      sent || active.may_have_run_
                          ? RefusalReason::kTargetFailed
                          : RefusalReason::kNotRun,
                      "poison_part");
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnCallerGone(ExchangeId exchange) -> void {
  deferred_.erase(exchange);
  cap_waits_.erase(exchange);
  ForgetKeyWait(exchange);
  TakeOriginWait(exchange);
  const auto found = by_exchange_.find(exchange);
  if (found == by_exchange_.end()) {
    return;
  }
  const auto id = found->second;
  auto& active = active_.at(id);
  if (active.attempt_) {
    active.attempt_->Cancel();
  }
  Finish(id, "caller_gone", 0);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnCallerBlocked(ExchangeId exchange, bool blocked)
    -> void {
  const auto found = by_exchange_.find(exchange);
  if (found != by_exchange_.end() && active_.at(found->second).attempt_) {
    active_.at(found->second).attempt_->Pause(blocked);
  }
}

}  // namespace baobab::gateway
