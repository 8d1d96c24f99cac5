#pragma once

// Member functions of RequestGateway that hold requests until it is known
// whether their keys are valid.

#include "baobab_gateway/request_gateway.h"

namespace baobab::gateway {

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnKeyEvidence(std::int64_t version, Duration moment)
    -> void {
  key_gate_.evidence().Confirm(version, moment);
  ReleaseKeyWaits(Now());
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnKeyReadEnded(bool succeeded) -> void {
  key_gate_.pacer().OnEnd(succeeded);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::RequestKeyRead() -> void {
  if (on_key_read_ && key_gate_.pacer().TryBegin(BootTime())) {
    metrics_.Add("gateway_key_reads_total", "");
    const auto confirmed_at = key_gate_.evidence().confirmed_at();
    LogEvent(LogLevel::kInfo, "key_read")
        .With("waiting", key_waits_.size())
        .With("evidence_ms",
              confirmed_at ? Milliseconds(BootTime() - *confirmed_at) : -1);
    on_key_read_();
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::AwaitEvidence(ExchangeId exchange,
                                          HttpRequest&& request,
                                          IngressRequest&& ingress,
                                          TimePoint arrived, const Route& route)
    -> void {
  const auto now = Now();
  const auto time_left = std::min(
      ingress.time_left_.value_or(route.time_limit_), route.time_limit_);
  const auto expires_at = arrived + KeyGate::MaxWait(time_left);
  const auto bytes = request.body_.size();
  if (expires_at <= now ||
      key_wait_bytes_ + bytes > settings_.memory_bytes_ / kKeyWaitMemoryPart ||
      key_waits_.size() >= kMaxKeyWaits) {
    RefuseWithoutEvidence(exchange, ingress);
    return;
  }
  metrics_.Add("gateway_key_waits_total", "");
  key_wait_bytes_ += bytes;
  key_waits_.emplace(
      exchange, DeferredRequest{std::move(request), std::move(ingress), arrived,
                                expires_at});
  RequestKeyRead();
  if (key_waits_.size() == 1) {
    StartKeyTimer();
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::StartKeyTimer() -> void {
  key_timer_.expires_after(kKeyCheckInterval);
  key_timer_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    ReleaseKeyWaits(Now());
    if (!key_waits_.empty()) {
      RequestKeyRead();
      StartKeyTimer();
    }
  });
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ReleaseKeyWaits(TimePoint now) -> void {
  std::vector<ExchangeId> due;
  for (const auto& [exchange, waiting] : key_waits_) {
    const auto route =
        routes_.Find(waiting.ingress_.host_, waiting.request_.path_);
    if (refusing_requests_ || waiting.expires_at_ <= now || !route ||
        key_gate_.Decide(*route, waiting.ingress_).verdict_ !=
            KeyGate::Verdict::kNeedsEvidence) {
      due.push_back(exchange);
    }
  }
  for (const auto exchange : due) {
    auto node = key_waits_.extract(exchange);
    auto& waiting = node.mapped();
    key_wait_bytes_ -= waiting.request_.body_.size();
    metrics_.Record("gateway_key_wait_seconds", "", now - waiting.arrived_);
    // Decides again; without evidence the time to wait has passed.
    TryAdmit(exchange, std::move(waiting.request_), std::move(waiting.ingress_),
             waiting.arrived_);
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ForgetKeyWait(ExchangeId exchange) -> void {
  const auto node = key_waits_.extract(exchange);
  if (!node.empty()) {
    key_wait_bytes_ -= node.mapped().request_.body_.size();
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::RefuseWithoutEvidence(ExchangeId exchange,
                                                  const IngressRequest& ingress)
    -> void {
  if (const auto account = key_gate_.FindAccount(ingress)) {
    metrics_.Add("gateway_account_outcomes_total",
                 Label("account", account->name_) + "," +
                     Label("outcome", "no_key_evidence"));
  }
  Refuse(exchange, ingress.id_, RefusalReason::kNotRun, "no_key_evidence",
         store_connected_ ? kNoEvidenceRetryAfter : kNoStoreRetryAfter);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::RefuseRevoked(WorkId id) -> void {
  FinishWithRefusal(id,
                    active_.at(id).may_have_run_ ? RefusalReason::kTargetFailed
                                                 : RefusalReason::kUnknownKey,
                    "key_revoked", {});
}

}  // namespace baobab::gateway
