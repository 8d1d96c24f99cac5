#pragma once

// Member functions of RequestGateway that defer, admit, queue, reject and
// finish requests.

#include "baobab_gateway/request_gateway.h"

namespace baobab::gateway {

template <RequestTranslator Codec>
auto RequestGateway<Codec>::SetManifest(
    const std::shared_ptr<const Manifest>& manifest) -> void {
  manifest_ = manifest;
  routes_ = RouteTable(*manifest);
  key_gate_.SetManifest(*manifest);
  caps_.SetAccounts(key_gate_.accounts(), BootNow());
  dispatcher_.SetManifest(*manifest);
  server_.SetLimits(ConnectionLimits::ForCallers(settings_, manifest->limits_));
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::SetInstanceCount(std::size_t sharing_retries,
                                             std::size_t sharing_connections)
    -> void {
  retries_.SetInstanceCount(sharing_retries);
  dispatcher_.SetInstanceCount(sharing_connections);
  if (manifest_) {
    pool_->set_idle_per_target(
        IdleConnectionsPerTarget(manifest_->services_, sharing_connections));
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::StopAccepting() -> void {
  refusing_requests_ = true;
  server_.StopAccepting();
  ReleaseDeferredRequests(Now());
  ReleaseKeyWaits(Now());
  ReleaseCapWaits(/*answered=*/true);
  ReleaseOriginWaits(Now());
  std::vector<WorkId> unsent;
  for (const auto& [id, active] : active_) {
    if (!active.attempt_ && !active.response_started_) {
      unsent.push_back(id);
    }
  }
  for (const auto id : unsent) {
    FinishWithRefusal(id,
                      active_.at(id).may_have_run_
                          ? RefusalReason::kTargetFailed
                          : RefusalReason::kNotRun,
                      "stopping", kStoppingRetryAfter);
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::AnswerRest() -> void {
  std::vector<WorkId> rest;
  rest.reserve(active_.size());
  for (const auto& [id, active] : active_) {
    rest.push_back(id);
  }
  for (const auto id : rest) {
    auto& active = active_.at(id);
    const bool sent = active.attempt_ != nullptr || active.may_have_run_;
    if (active.attempt_) {
      active.attempt_->Cancel();
      active.attempt_.reset();
    }
    FinishWithRefusal(
        id, sent ? RefusalReason::kTargetFailed : RefusalReason::kNotRun,
        "stopping", kStoppingRetryAfter);
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnRequest(ExchangeId exchange, HttpRequest request)
    -> void {
  IngressRequest ingress;
  try {
    ingress = Codec::Decode(request);
  } catch (const StepError& error) {
    Refuse(exchange, "", RefusalReason::kMalformed, error.what(), {});
    return;
  }
  ingress.received_at_ = BootTime();
  TryAdmit(exchange, std::move(request), std::move(ingress), Now());
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::TryAdmit(ExchangeId exchange, HttpRequest request,
                                     IngressRequest ingress, TimePoint arrived)
    -> void {
  const auto request_id = ingress.id_;
  try {
    if (!HasRoutesAndTargets() && !refusing_requests_) {
      DeferRequest(exchange, std::move(request), std::move(ingress), arrived);
    } else {
      Admit(exchange, std::move(request), std::move(ingress), arrived);
    }
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "request_handler_failed")
        .With("id", request_id)
        .With("step", "admit")
        .With("reason", error.what());
    metrics_.Add("gateway_handler_failures_total", Label("step", "admit"));
    const auto known = by_exchange_.find(exchange);
    const bool sent = known != by_exchange_.end() &&
                      active_.count(known->second) > 0 &&
                      active_.at(known->second).attempt_ != nullptr;
    if (known != by_exchange_.end() && active_.count(known->second) > 0) {
      FinishWithRefusal(
          known->second,
          sent ? RefusalReason::kTargetFailed : RefusalReason::kNotRun,
          "internal_error");
    } else {
      Refuse(exchange, request_id, RefusalReason::kNotRun, "internal_error",
             kDefaultRetryAfter);
    }
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::DeferRequest(ExchangeId exchange,
                                         HttpRequest request,
                                         IngressRequest ingress, TimePoint now)
    -> void {
  const auto until = now + HoldPolicy::MaxHoldTime(ingress.time_left_);
  LogEvent(LogLevel::kInfo, "request_held")
      .With("id", ingress.id_)
      .With("reason", "no_manifest")
      .With("longest_ms", Milliseconds(until - now));
  deferred_.emplace(exchange, DeferredRequest{std::move(request),
                                              std::move(ingress), now, until});
  if (deferred_.size() == 1) {
    StartDeferTimer();
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::StartDeferTimer() -> void {
  defer_timer_.expires_after(kDeferCheckInterval);
  defer_timer_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    ReleaseDeferredRequests(Now());
    if (!deferred_.empty()) {
      StartDeferTimer();
    }
  });
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ReleaseDeferredRequests(TimePoint now) -> void {
  std::vector<ExchangeId> due;
  for (const auto& [exchange, deferred] : deferred_) {
    if (HasRoutesAndTargets() || refusing_requests_ ||
        deferred.expires_at_ <= now) {
      due.push_back(exchange);
    }
  }
  for (const auto exchange : due) {
    auto node = deferred_.extract(exchange);
    auto& deferred = node.mapped();
    if (HasRoutesAndTargets()) {
      Admit(exchange, std::move(deferred.request_),
            std::move(deferred.ingress_), deferred.arrived_);
    } else {
      Refuse(exchange, deferred.ingress_.id_, RefusalReason::kNotRun,
             "no_manifest",
             store_connected_ ? kNoManifestRetryAfter : kNoStoreRetryAfter);
    }
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::Admit(ExchangeId exchange, HttpRequest&& request,
                                  IngressRequest&& decoded, TimePoint arrived)
    -> void {
  const auto now = Now();
  ActiveRequest active;
  active.exchange_ = exchange;
  active.ingress_ = std::move(decoded);
  const auto& ingress = active.ingress_;
  if (refusing_requests_) {
    Refuse(exchange, ingress.id_, RefusalReason::kNotRun, "stopping",
           kStoppingRetryAfter);
    return;
  }
  if (ingress.id_.empty()) {
    Refuse(exchange, "", RefusalReason::kMalformed, "no_request_id", {});
    return;
  }
  active.route_ = routes_.Find(ingress.host_, request.path_);
  if (!active.route_) {
    Refuse(exchange, ingress.id_, RefusalReason::kNoRoute, "no_route", {});
    return;
  }
  const auto& route = *active.route_;
  const auto decision = key_gate_.Decide(route, ingress);
  if (decision.verdict_ == KeyGate::Verdict::kNeedsEvidence) {
    AwaitEvidence(exchange, std::move(request), std::move(active.ingress_),
                  arrived, route);
    return;
  }
  if (decision.verdict_ == KeyGate::Verdict::kUnknownKey) {
    key_gate_.OnRefused(ingress);
    Refuse(exchange, ingress.id_, RefusalReason::kUnknownKey, "unknown_key",
           {});
    return;
  }
  if (decision.account_ && key_gate_.NeedsRenewal(ingress.received_at_)) {
    RequestKeyRead();
  }
  if (!ResolveOrigin(active, request, arrived)) {
    return;
  }
  if (decision.account_ &&
      !AdmitWithinCap(request, active, decision.account_->name_, arrived)) {
    return;
  }
  active.request_body_ =
      std::make_shared<const std::string>(std::move(request.body_));
  active.request_ = std::move(request);
  active.events_ = EventStream(ingress.last_event_id_);
  auto& item = active.item_;
  item.id_ = ++last_id_;
  if (item.service_.empty()) {
    std::uniform_real_distribution<double> draw(0, 1);
    item.service_ = PickService(route, draw(random_));
  }
  if (ingress.generation_) {
    item.generation_ = *ingress.generation_;
  }
  item.priority_ = route.priority_;
  if (decision.account_) {
    item.account_ = decision.account_->name_;
    item.priority_ = decision.account_->priority_.value_or(route.priority_);
  }
  item.arrived_ = arrived;
  item.objective_at_ = arrived + route.latency_objective_;
  item.deadline_ =
      arrived + std::min(ingress.time_left_.value_or(route.time_limit_),
                         route.time_limit_);
  if (route.abandon_after_ > Duration::zero()) {
    item.first_event_by_ = arrived + route.abandon_after_;
  }
  retries_.OnRequest(item.service_, now);
  metrics_.Add("gateway_requests_total", Label("route", route.name_));
  const auto id = item.id_;
  by_exchange_[exchange] = id;
  time_limits_.insert({item.deadline_, id});
  const auto copy = item;
  active_.emplace(id, std::move(active));
  Enqueue(copy, now);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::Enqueue(const WorkItem& item, TimePoint now)
    -> void {
  if (const auto rejection = dispatcher_.Submit(item, now)) {
    Reject(*rejection);
    return;
  }
  Dispatch();
  const auto found = active_.find(item.id_);
  if (found == active_.end() || found->second.attempt_) {
    return;
  }
  const auto wait = dispatcher_.PredictedWait(item, now);
  LogEvent(LogLevel::kInfo, "request_queued")
      .With("id", found->second.ingress_.id_)
      .With("model", item.generation_.model_)
      .With("adapter", item.generation_.adapter_)
      .With("predicted_wait_ms", wait ? Milliseconds(*wait) : -1)
      .With("waiting", dispatcher_.waiting())
      .With("left_ms", Milliseconds(item.deadline_ - now));
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::Reject(const Rejection& rejection) -> void {
  const auto found = active_.find(rejection.id_);
  if (found == active_.end()) {
    return;
  }
  auto& active = found->second;
  if (active.response_started_) {
    server_.AbortStream(active.exchange_);
    Finish(rejection.id_, "stream_broken_off", 0);
    return;
  }
  const auto now = Now();
  LogEvent(LogLevel::kInfo, "told_to_return")
      .With("id", active.ingress_.id_)
      .With("reason", rejection.reason_)
      .With("priority", active.item_.priority_)
      .With("waited_ms", Milliseconds(now - active.item_.arrived_))
      .With("retry_after_ms", Milliseconds(rejection.retry_after_))
      .With("expected_wait_ms", Milliseconds(rejection.expected_wait_))
      .With("required_ms", Milliseconds(rejection.required_time_))
      .With("left_ms", Milliseconds(active.item_.deadline_ - now));
  metrics_.Add("gateway_told_to_return_total",
               Label("reason", rejection.reason_) + "," +
                   Label("priority", std::to_string(active.item_.priority_)));
  FinishWithRefusal(rejection.id_,
                    active.may_have_run_ ? RefusalReason::kTargetFailed
                                         : RefusalReason::kNotRun,
                    rejection.reason_, rejection.retry_after_);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::FinishWithRefusal(WorkId id, RefusalReason reason,
                                              const std::string& detail,
                                              Duration retry_after) -> void {
  auto& active = active_.at(id);
  if (active.response_started_) {
    // Nothing but the rest of the stream may follow its beginning.
    server_.AbortStream(active.exchange_);
    Finish(id, detail + "_in_stream", 0);
    return;
  }
  const auto response = Codec::EncodeErrorResponse(reason, active.ingress_.id_,
                                                   detail, retry_after);
  server_.Respond(active.exchange_, response);
  Finish(id, detail, response.status_);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::Refuse(ExchangeId exchange, const std::string& id,
                                   RefusalReason reason,
                                   const std::string& detail,
                                   Duration retry_after) -> void {
  const auto response =
      Codec::EncodeErrorResponse(reason, id, detail, retry_after);
  LogEvent(LogLevel::kInfo, "request_refused")
      .With("id", id)
      .With("reason", detail)
      .With("status", response.status_)
      .With("manifest", manifest_ ? manifest_->version_ : 0);
  metrics_.Add("gateway_refusals_total", Label("reason", detail));
  server_.Respond(exchange, response);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::Finish(WorkId id, const std::string& outcome,
                                   unsigned status) -> void {
  const auto found = active_.find(id);
  const auto& active = found->second;
  const auto now = Now();
  const auto total = now - active.item_.arrived_;
  const auto& account = active.item_.account_;
  ReturnUnits(active);
  {
    LogEvent event(LogLevel::kInfo, "request_finished");
    event.With("id", active.ingress_.id_)
        .With("route", active.route_->name_)
        .With("outcome", outcome)
        .With("status", status)
        .With("target", active.target_)
        .With("sends", active.attempts_)
        .With("model", active.item_.generation_.model_)
        .With("first_event_ms", Milliseconds(active.first_event_))
        .With("events", active.events_.last_event_id() + 1)
        .With("longest_pause_ms", Milliseconds(active.longest_event_gap_))
        .With("total_ms", Milliseconds(total));
    if (!account.empty()) {
      event.With("account", account);
    }
  }
  if (!account.empty()) {
    metrics_.Add("gateway_account_outcomes_total",
                 Label("account", account) + "," + Label("outcome", outcome));
  }
  metrics_.Add("gateway_outcomes_total", Label("outcome", outcome));
  metrics_.Record("gateway_request_seconds",
                  Label("route", active.route_->name_), total);
  dispatcher_.Forget(id);
  NotifyLoadChanged();
  by_exchange_.erase(active.exchange_);
  time_limits_.erase({active.item_.deadline_, id});
  active_.erase(found);
  if (dispatcher_.waiting() > 0 && !dispatch_pending_) {
    dispatch_pending_ = true;
    timer_.expires_after(Duration::zero());
    StartTimerWait();
  }
}

}  // namespace baobab::gateway
