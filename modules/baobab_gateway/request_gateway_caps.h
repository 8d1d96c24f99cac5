#pragma once

// Member functions of RequestGateway that keep requests within the caps of
// their accounts.

#include "baobab_gateway/request_gateway.h"

namespace baobab::gateway {

template <RequestTranslator Codec>
auto RequestGateway<Codec>::AdmitWithinCap(HttpRequest& request,
                                           ActiveRequest& active,
                                           const std::string& account,
                                           TimePoint arrived) -> bool {
  auto& ingress = active.ingress_;
  const auto units = caps_.UnitsOf(account, ingress.token_count_);
  if (!units) {
    return true;
  }
  const auto now = Now();
  const auto boot_now = BootNow();
  const bool may_wait = cap_waits_.size() < kMaxCapWaits;
  if (ingress.cap_attempt_ == accounts::CapAttempt::kFirst) {
    ingress.cap_wait_until_ = now + kMaxCapWait;
  }
  auto decision = caps_.Take(account, *units, ingress.cap_attempt_, boot_now);
  using Kind = accounts::CapDecision::Kind;
  if (decision.kind_ == Kind::kWait && !may_wait) {
    decision =
        caps_.Take(account, *units, accounts::CapAttempt::kLast, boot_now);
  }
  if (caps_.IsUrgent(boot_now) && on_cap_demand_) {
    on_cap_demand_();
  }
  const auto count = static_cast<std::uint64_t>(*units);
  const auto label = Label("account", account) + ",";
  if (decision.kind_ == Kind::kTaken) {
    active.cap_units_ = *units;
    active.cap_taken_at_ = boot_now;
    metrics_.Add("gateway_account_units_total",
                 label + Label("outcome", "used"), count);
    return true;
  }
  if (decision.kind_ == Kind::kWait) {
    metrics_.Add("gateway_account_waits_total", Label("account", account));
    const auto exchange = active.exchange_;
    const auto until = ingress.cap_wait_until_;
    cap_waits_.emplace(exchange,
                       DeferredRequest{std::move(request), std::move(ingress),
                                       arrived, until});
    if (cap_waits_.size() == 1) {
      StartCapTimer();
    }
    return false;
  }
  metrics_.Add("gateway_account_units_total",
               label + Label("outcome", "over_cap"), count);
  LogEvent(LogLevel::kInfo, "account_over_cap")
      .With("id", ingress.id_)
      .With("account", account)
      .With("units", count)
      .With("share", caps_.Share(account, boot_now).rate_)
      .With("retry_ms", Milliseconds(decision.retry_after_));
  Refuse(active.exchange_, ingress.id_, RefusalReason::kOverCap, "over_cap",
         decision.retry_after_);
  return false;
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnCapGrants(const accounts::CapGrants& grants)
    -> void {
  if (caps_.OnGrants(grants, BootNow())) {
    ReleaseCapWaits(/*answered=*/true);
  }
  if (caps_.IsUrgent(BootNow()) && on_cap_demand_) {
    on_cap_demand_();
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ReleaseCapWaits(bool answered) -> void {
  const auto now = Now();
  std::vector<ExchangeId> due;
  for (const auto& [exchange, waiting] : cap_waits_) {
    if (answered || waiting.expires_at_ <= now) {
      due.push_back(exchange);
    }
  }
  for (const auto exchange : due) {
    auto node = cap_waits_.extract(exchange);
    if (node.empty()) {
      continue;
    }
    auto& waiting = node.mapped();
    waiting.ingress_.cap_attempt_ = waiting.expires_at_ <= now
                                        ? accounts::CapAttempt::kLast
                                        : accounts::CapAttempt::kAgain;
    TryAdmit(exchange, std::move(waiting.request_), std::move(waiting.ingress_),
             waiting.arrived_);
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::StartCapTimer() -> void {
  cap_timer_.expires_after(kCapCheckInterval);
  cap_timer_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    ReleaseCapWaits(/*answered=*/false);
    if (caps_.IsUrgent(BootNow()) && on_cap_demand_) {
      on_cap_demand_();
    }
    if (!cap_waits_.empty()) {
      StartCapTimer();
    }
  });
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::TakeUnitsForRetry(ActiveRequest& active) -> bool {
  if (active.cap_units_ <= 0) {
    return true;
  }
  const auto now = BootNow();
  const auto& account = active.item_.account_;
  if (caps_.Take(account, active.cap_units_, accounts::CapAttempt::kLast, now)
          .kind_ != accounts::CapDecision::Kind::kTaken) {
    LogEvent(LogLevel::kInfo, "repeat_refused")
        .With("id", active.ingress_.id_)
        .With("reason", "over_cap")
        .With("account", account);
    return false;
  }
  active.cap_taken_at_ = now;
  active.cap_spent_ = false;
  metrics_.Add("gateway_account_units_total",
               Label("account", account) + "," + Label("outcome", "used"),
               static_cast<std::uint64_t>(active.cap_units_));
  return true;
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ReturnUnits(const ActiveRequest& active) -> void {
  if (active.cap_units_ <= 0 || active.cap_spent_) {
    return;
  }
  const auto& account = active.item_.account_;
  caps_.Return(account, active.cap_units_, active.cap_taken_at_, BootNow());
  metrics_.Add("gateway_account_units_total",
               Label("account", account) + "," + Label("outcome", "returned"),
               static_cast<std::uint64_t>(active.cap_units_));
}

}  // namespace baobab::gateway
