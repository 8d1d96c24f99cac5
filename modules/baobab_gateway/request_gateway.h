#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobab_base/log.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_base/random_source.h"
#include "baobab_base/step_error.h"
#include "baobab_base/time_types.h"
#include "baobab_gateway/attempt_policy.h"
#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/event_stream.h"
#include "baobab_gateway/gateway_metrics.h"
#include "baobab_gateway/hold_policy.h"
#include "baobab_gateway/ingress_types.h"
#include "baobab_gateway/instance_settings.h"
#include "baobab_gateway/retry_ledger.h"
#include "baobab_gateway/route_table.h"
#include "baobab_http/http_server.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/target_exchange.h"

namespace baobab::gateway {

/// Translates between headers of one platform and the types of the gateway.
template <class C>
concept RequestTranslator = requires(const HttpRequest& request,
                                     const ForwardOptions& options,
                                     const TargetResponseHead& head,
                                     RefusalReason reason,
                                     const std::string& text, Duration time) {
  { C::Decode(request) } -> std::same_as<IngressRequest>;
  { C::Forward(request, options) } -> std::same_as<TargetRequest>;
  { C::Facts(head) } -> std::same_as<ResponseFacts>;
  { C::CallerHead(head) } -> std::same_as<HttpResponse>;
  { C::Refusal(reason, text, text, time) } -> std::same_as<HttpResponse>;
};

/// The way of a request from a caller to a target and back.
///
/// Decisions are made by RouteTable, Dispatcher, AttemptPolicy and RetryLedger;
/// this class carries them out. It runs on the thread of its io_context.
template <RequestTranslator Codec>
class RequestGateway {
 public:
  RequestGateway(boost::asio::io_context& io, const InstanceSettings& settings,
                 MetricsRegistry& metrics)
      : settings_(settings),
        metrics_(metrics),
        pool_(std::make_shared<ConnectionPool>(io, kIdlePerTarget, kIdleTime)),
        server_(io, HttpLimits(),
                {[this](ExchangeId exchange, HttpRequest request) {
                   OnRequest(exchange, std::move(request));
                 },
                 [this](ExchangeId exchange) { OnCallerGone(exchange); },
                 [this](ExchangeId exchange, bool blocked) {
                   OnCallerBlocked(exchange, blocked);
                 }}),
        timer_(io),
        hold_timer_(io),
        dispatcher_(DispatchSettings(), settings.zone_, std::random_device{}()),
        retries_(settings.retries_),
        random_(std::random_device{}()) {}

  /// Idle connections that are kept per target. A target serves one request at
  /// a time on each, so this is about the usual concurrency per target.
  static constexpr std::size_t kIdlePerTarget = 16;
  /// Connections of a target per idle one: the others are for requests in
  /// progress. 83 instances with 16 each had gone over the 560 of a target.
  static constexpr std::size_t kConnectionsPerIdle = 2;
  /// Longest idle time, if the target does not state a shorter one.
  static constexpr Duration kIdleTime = std::chrono::seconds(4);
  /// Interval of dispatch decisions while requests wait.
  static constexpr Duration kDispatchInterval = std::chrono::milliseconds(15);
  /// Time to connect to a target in the same region.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
  /// Largest response that is held back until it is whole.
  static constexpr std::size_t kLargestWhole = std::size_t{8} << 20;

  /// Starts to accept callers.
  auto Listen(const TargetEndpoint& endpoint) -> void {
    server_.Listen(endpoint.host_, endpoint.port_);
  }

  /// Puts a manifest in force for the requests that arrive from now on.
  auto SetManifest(const std::shared_ptr<const Manifest>& manifest) -> void {
    manifest_ = manifest;
    routes_ = RouteTable(*manifest);
    dispatcher_.SetManifest(*manifest);
    HttpLimits limits;
    limits.header_bytes_ = manifest->limits_.header_bytes_;
    limits.body_bytes_ = manifest->limits_.body_bytes_;
    limits.header_timeout_ = manifest->limits_.header_timeout_;
    limits.idle_timeout_ = manifest->limits_.idle_timeout_;
    server_.SetLimits(limits);
  }

  /// Sets the targets in force.
  auto SetTargets(const TargetRegistry& registry) -> void {
    registry_ = &registry;
    dispatcher_.SetTargets(registry, Now());
    ReleaseHeld(Now());
    Pump();
  }

  /// Sets the number of instances that share the retry bound.
  auto SetInstances(std::size_t instances) -> void {
    retries_.SetInstances(instances);
    if (manifest_) {
      pool_->set_idle_per_target(
          IdlePerTarget(manifest_->services_, instances));
    }
  }

  /// Returns how many idle connections an instance keeps per target, so that
  /// all instances together stay well below what a target accepts.
  [[nodiscard]] static auto IdlePerTarget(const std::vector<Service>& services,
                                          std::size_t instances)
      -> std::size_t {
    auto most = kIdlePerTarget;
    for (const auto& service : services) {
      if (service.max_connections_ > 0 && instances > 0) {
        most = std::min(
            most, service.max_connections_ / (kConnectionsPerIdle * instances));
      }
    }
    return std::max<std::size_t>(1, most);
  }

  /// Tells whether this instance reaches the store.
  auto SetStoreConnected(bool connected) -> void {
    store_connected_ = connected;
  }

  /// Announces the end of each connection in its next response.
  auto BeginStop() -> void { server_.CloseAfterResponses(); }

  /// Refuses new connections, and requests that still arrive on open ones: this
  /// instance may end before they do.
  auto RefuseNew() -> void {
    refusing_ = true;
    server_.StopAccepting();
    ReleaseHeld(Now());
    std::vector<WorkId> unsent;
    for (const auto& [id, active] : active_) {
      if (!active.attempt_ && !active.begun_) {
        unsent.push_back(id);
      }
    }
    for (const auto id : unsent) {
      Conclude(id,
               active_.at(id).may_have_run_ ? RefusalReason::kTargetFailed
                                            : RefusalReason::kNotRun,
               "stopping", kStoppingRetry);
    }
  }

  /// Requests whose final response has not been handed over to the system.
  [[nodiscard]] auto active() const -> std::size_t {
    return std::max(active_.size(), server_.exchanges());
  }
  [[nodiscard]] auto dispatcher() -> Dispatcher& { return dispatcher_; }
  [[nodiscard]] auto pool() -> const std::shared_ptr<ConnectionPool>& {
    return pool_;
  }

  /// Sends what can be sent now, and refuses what cannot be served any more.
  auto Pump() -> void {
    const auto now = Now();
    for (const auto& rejection : dispatcher_.RejectHopeless(now)) {
      Reject(rejection);
    }
    for (const auto& assignment : dispatcher_.Assign(now)) {
      StartAttempt(assignment);
    }
    SendWorkUpdates();
    if (on_needs_ && dispatcher_.waiting() > 0) {
      on_needs_();
    }
    ArmTimer();
  }

  /// Calls `handler` when waiting requests may need something from the holder
  /// of orders.
  auto OnNeeds(std::function<void()> handler) -> void {
    on_needs_ = std::move(handler);
  }

  /// Calls `handler` with targets to which a long prompt was sent or which have
  /// read one.
  auto OnWorkChanged(std::function<void(const std::set<std::string>&)> handler)
      -> void {
    on_work_changed_ = std::move(handler);
  }

 private:
  struct Active {
    ExchangeId exchange_ = 0;
    HttpRequest request_;
    IngressRequest facts_;
    std::shared_ptr<const Route> route_;
    WorkItem item_;
    std::shared_ptr<TargetExchange> attempt_;
    std::string target_;
    int attempts_ = 0;  // targets that received it and did not refuse it
    int sends_ = 0;
    int refusals_ = 0;  // by targets that were full
    bool may_have_run_ = false;
    bool begun_ = false;  // the caller has received a part of the response
    std::optional<TargetResponseHead> head_;
    std::string body_;
    Duration first_event_{};  // from its arrival
    TimePoint last_event_at_{};
    Duration longest_pause_{};  // between two events that went to the caller
    EventStream events_;
    TimePoint sent_at_{};
  };

  struct Held {
    HttpRequest request_;
    IngressRequest facts_;
    TimePoint arrived_{};
    TimePoint until_{};
  };

  [[nodiscard]] static auto Now() -> TimePoint {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }

  auto OnRequest(ExchangeId exchange, HttpRequest request) -> void {
    IngressRequest facts;
    try {
      facts = Codec::Decode(request);
    } catch (const StepError& error) {
      Refuse(exchange, "", RefusalReason::kMalformed, error.what(), {});
      return;
    }
    const auto now = Now();
    if (!IsComplete() && !refusing_) {
      Hold(exchange, std::move(request), std::move(facts), now);
    } else {
      Admit(exchange, std::move(request), std::move(facts), now);
    }
  }

  [[nodiscard]] auto IsComplete() const -> bool {
    return manifest_ && registry_ != nullptr;
  }

  /// Keeps a request for a while that arrives before the routes are known.
  auto Hold(ExchangeId exchange, HttpRequest request, IngressRequest facts,
            TimePoint now) -> void {
    const auto until = now + HoldPolicy::LongestHold(facts.time_left_);
    LogEvent(LogLevel::kInfo, "request_held")
        .With("id", facts.id_)
        .With("reason", "no_manifest")
        .With("longest_ms", Milliseconds(until - now));
    held_.emplace(exchange,
                  Held{std::move(request), std::move(facts), now, until});
    if (held_.size() == 1) {
      WaitForHeld();
    }
  }

  auto WaitForHeld() -> void {
    hold_timer_.expires_after(kHoldCheck);
    hold_timer_.async_wait([this](boost::system::error_code error) {
      if (error) {
        return;
      }
      ReleaseHeld(Now());
      if (!held_.empty()) {
        WaitForHeld();
      }
    });
  }

  /// Admits the held requests once the routes are known, and refuses those that
  /// were held for too long.
  auto ReleaseHeld(TimePoint now) -> void {
    std::vector<ExchangeId> due;
    for (const auto& [exchange, held] : held_) {
      if (IsComplete() || refusing_ || held.until_ <= now) {
        due.push_back(exchange);
      }
    }
    for (const auto exchange : due) {
      auto node = held_.extract(exchange);
      auto& held = node.mapped();
      if (IsComplete()) {
        Admit(exchange, std::move(held.request_), std::move(held.facts_),
              held.arrived_);
      } else {
        Refuse(exchange, held.facts_.id_, RefusalReason::kNotRun, "no_manifest",
               store_connected_ ? kNoManifestRetry : kNoStoreRetry);
      }
    }
  }

  auto Admit(ExchangeId exchange, HttpRequest&& request,
             IngressRequest&& decoded, TimePoint arrived) -> void {
    const auto now = Now();
    Active active;
    active.exchange_ = exchange;
    active.facts_ = std::move(decoded);
    const auto& facts = active.facts_;
    if (refusing_) {
      Refuse(exchange, facts.id_, RefusalReason::kNotRun, "stopping",
             kStoppingRetry);
      return;
    }
    if (facts.id_.empty()) {
      Refuse(exchange, "", RefusalReason::kMalformed, "no_request_id", {});
      return;
    }
    active.route_ = routes_.Find(facts.host_, request.path_);
    if (!active.route_) {
      Refuse(exchange, facts.id_, RefusalReason::kNoRoute, "no_route", {});
      return;
    }
    const auto& route = *active.route_;
    active.request_ = std::move(request);
    active.events_ = EventStream(facts.last_event_);
    auto& item = active.item_;
    item.id_ = ++last_id_;
    std::uniform_real_distribution<double> draw(0, 1);
    item.service_ = PickService(route, draw(random_));
    if (facts.generation_) {
      item.generation_ = *facts.generation_;
    }
    item.priority_ = route.priority_;
    item.arrived_ = arrived;
    item.objective_at_ = arrived + route.objective_;
    item.limit_at_ =
        arrived + std::min(facts.time_left_.value_or(route.time_limit_),
                           route.time_limit_);
    retries_.OnRequest(item.service_, now);
    metrics_.Add("gateway_requests_total", Label("route", route.name_));
    const auto id = item.id_;
    by_exchange_[exchange] = id;
    limits_.insert({item.limit_at_, id});
    const auto copy = item;
    active_.emplace(id, std::move(active));
    Enqueue(copy, now);
  }

  auto Enqueue(const WorkItem& item, TimePoint now) -> void {
    if (const auto rejection = dispatcher_.Submit(item, now)) {
      Reject(*rejection);
      return;
    }
    Pump();
    const auto found = active_.find(item.id_);
    if (found == active_.end() || found->second.attempt_) {
      return;
    }
    const auto wait = dispatcher_.PredictedWait(item, now);
    LogEvent(LogLevel::kInfo, "request_queued")
        .With("id", found->second.facts_.id_)
        .With("model", item.generation_.model_)
        .With("adapter", item.generation_.adapter_)
        .With("predicted_wait_ms", wait ? Milliseconds(*wait) : -1)
        .With("waiting", dispatcher_.waiting())
        .With("left_ms", Milliseconds(item.limit_at_ - now));
  }

  auto StartAttempt(const Assignment& assignment) -> void {
    const auto found = active_.find(assignment.id_);
    const auto* entry = registry_->Find(assignment.target_);
    if (found == active_.end() || entry == nullptr) {
      dispatcher_.Forget(assignment.id_);
      return;
    }
    auto& active = found->second;
    const auto now = Now();
    ForwardOptions options;
    options.target_id_ = assignment.target_;
    options.endpoint_ = entry->registration_.endpoint_;
    options.time_left_ = active.item_.limit_at_ - now;
    options.urgency_ = active.route_->priority_;
    if (active.begun_) {
      options.last_event_ = active.events_.last();
    }
    auto request = Codec::Forward(active.request_, options);
    request.timeouts_.connect_ = kConnectTimeout;
    request.timeouts_.send_ = options.time_left_;
    request.timeouts_.head_ = options.time_left_;
    request.timeouts_.body_ = options.time_left_;
    const auto id = assignment.id_;
    ExchangeEvents events;
    events.on_head_ = [this, id](const TargetResponseHead& head) {
      OnHead(id, head);
    };
    events.on_data_ = [this, id](std::string_view data) { OnData(id, data); };
    events.on_end_ = [this, id]() { OnEnd(id); };
    events.on_failure_ = [this, id](const AttemptFailure& failure) {
      OnFailure(id, failure);
    };
    active.target_ = assignment.target_;
    active.head_.reset();
    active.body_.clear();
    active.events_.Restart();
    active.sent_at_ = now;
    ++active.sends_;
    LogEvent(LogLevel::kInfo, "request_sent")
        .With("id", active.facts_.id_)
        .With("target", assignment.target_)
        .With("attempt", active.sends_)
        .With("waited_ms", Milliseconds(now - active.item_.arrived_))
        .With("score_ms", Milliseconds(assignment.predicted_))
        .With("first_token_ms", Milliseconds(assignment.first_token_))
        .With("step_us", assignment.step_.count())
        .With("busy_permille", assignment.busy_.busy_permille_)
        .With("running", assignment.busy_.running_)
        .With("left_ms", Milliseconds(options.time_left_));
    active.attempt_ =
        TargetExchange::Start(pool_, std::move(request), std::move(events));
  }

  auto OnHead(WorkId id, const TargetResponseHead& head) -> void {
    const auto found = active_.find(id);
    if (found != active_.end()) {
      found->second.head_ = head;
    }
  }

  auto OnData(WorkId id, std::string_view data) -> void {
    const auto found = active_.find(id);
    if (found == active_.end()) {
      return;
    }
    auto& active = found->second;
    if (!IsEventStream(active)) {
      active.body_ += data;
      return;
    }
    const auto events = active.events_.Take(data);
    if (events.empty()) {
      return;
    }
    const auto now = Now();
    dispatcher_.OnFirstToken(id, now);
    if (active.begun_) {
      active.longest_pause_ =
          std::max(active.longest_pause_, now - active.last_event_at_);
    }
    active.last_event_at_ = now;
    if (!active.begun_) {
      active.begun_ = true;
      active.first_event_ = now - active.item_.arrived_;
      metrics_.Record("gateway_first_event_seconds",
                      Label("route", active.route_->name_),
                      active.first_event_);
      server_.BeginStream(active.exchange_, Codec::CallerHead(*active.head_));
      server_.Write(active.exchange_, events);
      Pump();  // The target has read the prompt: it may have room for another.
      return;
    }
    server_.Write(active.exchange_, events);
  }

  auto OnEnd(WorkId id) -> void {
    const auto found = active_.find(id);
    if (found == active_.end()) {
      return;
    }
    auto& active = found->second;
    active.attempt_.reset();
    const auto facts = Codec::Facts(*active.head_);
    if (facts.not_run_) {
      OnTargetRefused(id, facts);
      return;
    }
    if (IsEventStream(active)) {
      if (active.events_.IsInsideEvent() || !active.begun_) {
        OnBrokenOff(id, "incomplete_stream");
        return;
      }
      server_.EndStream(active.exchange_);
      dispatcher_.OnServed(id);
      Finish(id, "served", active.head_->status_);
      return;
    }
    const auto status = active.head_->status_;
    const bool failed = status >= 500 || !facts.genuine_;
    if (failed) {
      dispatcher_.OnErrorResponse(id);
      ++active.attempts_;
      if (!active.begun_ && TryRepeat(active, "target_error")) {
        return;
      }
    } else {
      dispatcher_.OnServed(id);
    }
    if (active.begun_) {  // a resumed stream got something else
      server_.AbortStream(active.exchange_);
      Finish(id, "stream_broken_off", status);
      return;
    }
    if (!facts.genuine_) {
      // Without the target's proof the response is not passed on as one.
      Conclude(id, RefusalReason::kTargetFailed, "unproven_response");
      return;
    }
    auto response = Codec::CallerHead(*active.head_);
    response.body_ = std::move(active.body_);
    server_.Respond(active.exchange_, response);
    Finish(id, failed ? "target_error_passed_on" : "served", status);
  }

  auto OnTargetRefused(WorkId id, const ResponseFacts& facts) -> void {
    auto& active = active_.at(id);
    dispatcher_.OnTargetRefused(id, facts.lacks_model_, Now());
    LogEvent(LogLevel::kInfo, "target_refused")
        .With("id", active.facts_.id_)
        .With("target", active.target_)
        .With("status", active.head_->status_);
    active.refusals_ += facts.lacks_model_ ? 0 : 1;
    // A full target has room again soon; one without the model has not.
    if (active.refusals_ >= AttemptPolicy::kMostRefusals ||
        !TryAgain(active, "target_refused", /*counts=*/true,
                  /*exclude=*/facts.lacks_model_)) {
      Conclude(id,
               active.may_have_run_ ? RefusalReason::kTargetFailed
                                    : RefusalReason::kNotRun,
               "target_refused");
    }
  }

  auto OnFailure(WorkId id, const AttemptFailure& failure) -> void {
    const auto found = active_.find(id);
    if (found == active_.end()) {
      return;
    }
    auto& active = found->second;
    active.attempt_.reset();
    const auto now = Now();
    LogEvent(LogLevel::kWarning, "attempt_failed")
        .With("id", active.facts_.id_)
        .With("target", active.target_)
        .With("step", failure.step_)
        .With("reason", failure.reason_)
        .With("outcome", ToString(failure.outcome_))
        .With("after_ms", Milliseconds(now - active.sent_at_));
    if (failure.outcome_ == Outcome::kNotRun) {
      dispatcher_.OnTargetFailed(id, now);
      if (!TryAgain(active, "not_sent", /*counts=*/false)) {
        Conclude(id,
                 active.may_have_run_ ? RefusalReason::kTargetFailed
                                      : RefusalReason::kNotRun,
                 "target_unreachable");
      }
      return;
    }
    OnBrokenOff(id, "target_broke_off");
  }

  /// The request may have run and its response did not come whole.
  auto OnBrokenOff(WorkId id, const char* reason) -> void {
    auto& active = active_.at(id);
    active.may_have_run_ = true;
    ++active.attempts_;
    dispatcher_.OnTargetFailed(id, Now());
    if (TryRepeat(active, reason)) {
      return;
    }
    if (active.begun_) {
      server_.AbortStream(active.exchange_);
      Finish(id, "stream_broken_off", 0);
    } else {
      Conclude(id, RefusalReason::kTargetFailed, reason);
    }
  }

  /// Sends a request that may have run to another target, if that is allowed.
  auto TryRepeat(Active& active, const char* reason) -> bool {
    const auto& route = *active.route_;
    return route.repeatable() && active.attempts_ < route.max_attempts_ &&
           TryAgain(active, reason, /*counts=*/true);
  }

  /// Queues the request again. `counts`: the last send reached a target and
  /// draws on the shared bound. `exclude`: not for its last target.
  auto TryAgain(Active& active, const char* reason, bool counts,
                bool exclude = true) -> bool {
    const auto now = Now();
    if (!AttemptPolicy::MaySendAgain(active.sends_, active.item_.limit_at_,
                                     now) ||
        (counts && !retries_.TrySpend(active.item_.service_, now))) {
      return false;
    }
    LogEvent(LogLevel::kInfo, "request_repeated")
        .With("id", active.facts_.id_)
        .With("reason", reason)
        .With("after_event", active.events_.last())
        .With("sends", active.sends_);
    metrics_.Add("gateway_repeats_total", Label("reason", reason));
    if (exclude) {
      active.item_.excluded_.insert(active.target_);
    }
    active.item_.resumed_ = active.begun_;
    const auto copy = active.item_;
    Enqueue(copy, now);
    return true;
  }

  auto OnCallerGone(ExchangeId exchange) -> void {
    held_.erase(exchange);
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

  auto OnCallerBlocked(ExchangeId exchange, bool blocked) -> void {
    const auto found = by_exchange_.find(exchange);
    if (found != by_exchange_.end() && active_.at(found->second).attempt_) {
      active_.at(found->second).attempt_->Pause(blocked);
    }
  }

  auto OnTimeLimit(WorkId id) -> void {
    auto& active = active_.at(id);
    const bool sent = active.attempt_ != nullptr || active.may_have_run_;
    if (active.attempt_) {
      active.attempt_->Cancel();
      active.attempt_.reset();
    }
    if (active.begun_) {
      server_.AbortStream(active.exchange_);
      Finish(id, "time_limit_in_stream", 0);
    } else if (sent) {
      Conclude(id, RefusalReason::kTimedOut, "time_limit");
    } else {
      Conclude(id, RefusalReason::kNotRun, "time_limit_in_queue");
    }
  }

  auto Reject(const Rejection& rejection) -> void {
    const auto found = active_.find(rejection.id_);
    if (found == active_.end()) {
      return;
    }
    auto& active = found->second;
    if (active.begun_) {
      server_.AbortStream(active.exchange_);
      Finish(rejection.id_, "stream_broken_off", 0);
      return;
    }
    Conclude(rejection.id_,
             active.may_have_run_ ? RefusalReason::kTargetFailed
                                  : RefusalReason::kNotRun,
             rejection.reason_, rejection.retry_after_);
  }

  /// Answers a request by this system and ends it.
  auto Conclude(WorkId id, RefusalReason reason, const std::string& detail,
                Duration retry_after = kDefaultRetry) -> void {
    auto& active = active_.at(id);
    const auto response =
        Codec::Refusal(reason, active.facts_.id_, detail, retry_after);
    server_.Respond(active.exchange_, response);
    Finish(id, detail, response.status_);
  }

  auto Refuse(ExchangeId exchange, const std::string& id, RefusalReason reason,
              const std::string& detail, Duration retry_after) -> void {
    const auto response = Codec::Refusal(reason, id, detail, retry_after);
    LogEvent(LogLevel::kInfo, "request_refused")
        .With("id", id)
        .With("reason", detail)
        .With("status", response.status_)
        .With("manifest", manifest_ ? manifest_->version_ : 0);
    metrics_.Add("gateway_refusals_total", Label("reason", detail));
    server_.Respond(exchange, response);
  }

  auto Finish(WorkId id, const std::string& outcome, unsigned status) -> void {
    const auto found = active_.find(id);
    const auto& active = found->second;
    const auto now = Now();
    const auto total = now - active.item_.arrived_;
    LogEvent(LogLevel::kInfo, "request_finished")
        .With("id", active.facts_.id_)
        .With("route", active.route_->name_)
        .With("outcome", outcome)
        .With("status", status)
        .With("target", active.target_)
        .With("sends", active.sends_)
        .With("model", active.item_.generation_.model_)
        .With("first_event_ms", Milliseconds(active.first_event_))
        .With("events", active.events_.last() + 1)
        .With("longest_pause_ms", Milliseconds(active.longest_pause_))
        .With("total_ms", Milliseconds(total));
    metrics_.Add("gateway_outcomes_total", Label("outcome", outcome));
    metrics_.Record("gateway_request_seconds",
                    Label("route", active.route_->name_), total);
    dispatcher_.Forget(id);
    SendWorkUpdates();
    by_exchange_.erase(active.exchange_);
    limits_.erase({active.item_.limit_at_, id});
    active_.erase(found);
    if (dispatcher_.waiting() > 0 && !pump_soon_) {
      pump_soon_ = true;
      timer_.expires_after(Duration::zero());
      WaitTimer();
    }
  }

  auto SendWorkUpdates() -> void {
    const auto targets = dispatcher_.TakeChangedTargets();
    if (on_work_changed_ && !targets.empty()) {
      on_work_changed_(targets);
    }
  }

  auto ArmTimer() -> void {
    const auto now = Now();
    auto next = limits_.empty() ? TimePoint::max() : limits_.begin()->first;
    if (dispatcher_.waiting() > 0) {
      next = std::min(next, now + kDispatchInterval);
    }
    if (next == armed_ || (armed_ > now && armed_ <= next)) {
      return;
    }
    if (next == TimePoint::max()) {
      return;
    }
    armed_ = next;
    timer_.expires_at(next);
    WaitTimer();
  }

  auto WaitTimer() -> void {
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) {
        return;
      }
      armed_ = TimePoint::max();
      pump_soon_ = false;
      const auto now = Now();
      while (!limits_.empty() && limits_.begin()->first <= now) {
        OnTimeLimit(limits_.begin()->second);
      }
      Pump();
    });
  }

  [[nodiscard]] static auto IsEventStream(const Active& active) -> bool {
    return active.route_->kind_ == RequestKind::kStream && active.head_ &&
           active.head_->status_ == 200;
  }

  [[nodiscard]] static auto Milliseconds(Duration time) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  }

  static constexpr Duration kHoldCheck = std::chrono::milliseconds(50);
  /// A starting instance has its manifest after a few store calls.
  static constexpr Duration kNoManifestRetry = std::chrono::milliseconds(300);
  /// Without the store, nobody knows how long it takes. Callers come back once;
  /// outages of the store last several seconds.
  static constexpr Duration kNoStoreRetry = std::chrono::milliseconds(2000);
  /// Another instance serves the request at once.
  static constexpr Duration kStoppingRetry = std::chrono::milliseconds(20);
  /// About the time in which a target's place becomes free or another target
  /// takes over.
  static constexpr Duration kDefaultRetry = std::chrono::milliseconds(300);

  InstanceSettings settings_;
  MetricsRegistry& metrics_;
  std::shared_ptr<ConnectionPool> pool_;
  HttpServer server_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer hold_timer_;
  std::map<ExchangeId, Held> held_;
  TimePoint armed_ = TimePoint::max();
  bool pump_soon_ = false;
  bool refusing_ = false;
  bool store_connected_ = false;
  std::shared_ptr<const Manifest> manifest_;
  RouteTable routes_;
  const TargetRegistry* registry_ = nullptr;
  Dispatcher dispatcher_;
  RetryLedger retries_;
  Random random_;
  std::function<void()> on_needs_;
  std::function<void(const std::set<std::string>&)> on_work_changed_;
  WorkId last_id_ = 0;
  std::map<WorkId, Active> active_;
  std::unordered_map<ExchangeId, WorkId> by_exchange_;
  std::set<std::pair<TimePoint, WorkId>> limits_;
};

}  // namespace baobab::gateway
