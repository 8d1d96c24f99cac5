#pragma once

// Member functions of RequestGateway that dispatch requests and run its timer.

#include "baobab_gateway/request_gateway.h"

namespace baobab::gateway {

template <RequestTranslator Codec>
auto RequestGateway<Codec>::Dispatch() -> void {
  const auto now = Now();
  for (const auto& rejection : dispatcher_.RejectInfeasible(now)) {
    Reject(rejection);
  }
  ApplyVerdicts(now);
  if (!may_dispatch_ || may_dispatch_()) {
    for (const auto& assignment : dispatcher_.Assign(now)) {
      StartAttempt(assignment);
    }
  }
  NotifyLoadChanged();
  NotifyEvidence();
  if (on_missing_adapters_ && dispatcher_.waiting() > 0) {
    on_missing_adapters_();
  }
  ArmTimer();
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ArmTimer() -> void {
  const auto now = Now();
  auto next =
      time_limits_.empty() ? TimePoint::max() : time_limits_.begin()->first;
  if (dispatcher_.waiting() > 0) {
    next = std::min(next, now + kDispatchInterval);
  }
  if (next == timer_expiry_ || (timer_expiry_ > now && timer_expiry_ <= next)) {
    return;
  }
  if (next == TimePoint::max()) {
    return;
  }
  timer_expiry_ = next;
  timer_.expires_at(next);
  StartTimerWait();
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::StartTimerWait() -> void {
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    timer_expiry_ = TimePoint::max();
    dispatch_pending_ = false;
    const auto now = Now();
    while (!time_limits_.empty() && time_limits_.begin()->first <= now) {
      OnTimeLimit(time_limits_.begin()->second);
    }
    Dispatch();
  });
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnTimeLimit(WorkId id) -> void {
  auto& active = active_.at(id);
  const bool sent = active.attempt_ != nullptr || active.may_have_run_;
  if (active.attempt_) {
    active.attempt_->Cancel();
    active.attempt_.reset();
  }
  if (active.response_started_) {
    server_.AbortStream(active.exchange_);
    Finish(id, "time_limit_in_stream", 0);
  } else if (sent) {
    FinishWithRefusal(id, RefusalReason::kTimedOut, "time_limit");
  } else {
    FinishWithRefusal(id, RefusalReason::kNotRun, "time_limit_in_queue");
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnSuspended(Duration time) -> void {
  dispatcher_.OnSuspended(time);
  time_limits_.clear();
  for (auto& [id, active] : active_) {
    active.item_.objective_at_ -= time;
    active.item_.deadline_ -= time;
    time_limits_.insert({active.item_.deadline_, id});
  }
}

}  // namespace baobab::gateway
