#pragma once

// Member functions of RequestGateway that let a resumed stream go on only at
// the software version that began it.

#include <cmath>

#include "baobab_gateway/request_gateway.h"

namespace baobab::gateway {

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ResolveOrigin(ActiveRequest& active,
                                          HttpRequest& request,
                                          TimePoint arrived) -> bool {
  using Verdict = StreamOriginResolver::Verdict;
  auto& ingress = active.ingress_;
  const auto& route = *active.route_;
  if (route.kind_ != RequestKind::kStream || ingress.last_event_id_ < 0) {
    return true;
  }
  const auto now = Now();
  if (ingress.origin_asked_at_ == TimePoint{}) {
    ingress.origin_asked_at_ = now;
  }
  const auto decision = DecideOrigin(route, ingress, now);
  if (decision.verdict_ == Verdict::kUndecided &&
      AwaitOrigin(active, request, arrived)) {
    return false;
  }
  auto& item = active.item_;
  item.resumed_by_caller_ = true;
  const char* obstacle = "stream_origin_unknown";
  if (decision.verdict_ == Verdict::kRecorded ||
      decision.verdict_ == Verdict::kOnlyVersion) {
    item.service_ = decision.origin_.service_;
    item.version_ = decision.origin_.version_;
    const bool is_allowed =
        std::any_of(route.services_.begin(), route.services_.end(),
                    [&item](const auto& part) {
                      return part.weight_ > 0 && part.service_ == item.service_;
                    });
    obstacle = is_allowed ? nullptr : "stream_service_gone";
  }
  const auto* source = obstacle != nullptr ? obstacle
                       : decision.verdict_ == Verdict::kRecorded
                           ? "record"
                           : "only_version";
  LogEvent(LogLevel::kInfo, "stream_resumed")
      .With("id", ingress.id_)
      .With("stream", ingress.resumed_stream_)
      .With("after_event", ingress.last_event_id_)
      .With("service", item.service_)
      .With("version", item.version_.value_or(""))
      .With("source", source)
      .With("waited_ms", Milliseconds(now - ingress.origin_asked_at_))
      .With("left_ms",
            ingress.time_left_ ? Milliseconds(*ingress.time_left_) : -1);
  metrics_.Add("gateway_resumed_streams_total", Label("source", source));
  if (obstacle != nullptr) {
    Refuse(active.exchange_, ingress.id_, RefusalReason::kNotRun, obstacle,
           kDefaultRetryAfter);
  }
  return obstacle == nullptr;
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::DecideOrigin(const Route& route,
                                         const IngressRequest& ingress,
                                         TimePoint now) const
    -> StreamOriginResolver::Decision {
  // The same service at each decision on this request: otherwise a service with
  // several versions would be avoided by the repetitions.
  constexpr unsigned kDrawBits = 53;  // all of them exact in a double
  const auto draw =
      std::ldexp(static_cast<double>(HashKey(ingress.id_) >> (64U - kDrawBits)),
                 -static_cast<int>(kDrawBits));
  const auto time_left = std::min(
      ingress.time_left_.value_or(route.time_limit_), route.time_limit_);
  return origin_resolver_.Decide(
      {ingress.resumed_stream_, PickService(route, draw), ingress.received_at_,
       now - ingress.origin_asked_at_, StreamOriginResolver::MaxWait(time_left),
       store_connected_},
      now);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::AwaitOrigin(ActiveRequest& active,
                                        HttpRequest& request, TimePoint arrived)
    -> bool {
  if (refusing_requests_ || origin_waits_.size() >= kMaxOriginWaits ||
      origin_wait_bytes_ + request.body_.size() >
          settings_.memory_bytes_ / kOriginWaitMemoryPart) {
    return false;
  }
  metrics_.Add("gateway_origin_waits_total", "");
  origin_wait_bytes_ += request.body_.size();
  origin_waits_.emplace(
      active.exchange_,
      DeferredRequest{std::move(request), std::move(active.ingress_), arrived,
                      TimePoint::max()});
  AskForOrigins(Now());
  if (origin_waits_.size() == 1) {
    StartOriginTimer();
  }
  return true;
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::AskForOrigins(TimePoint now) -> void {
  if (on_origin_query_ && now >= next_origin_query_at_) {
    std::vector<std::uint64_t> ids;
    for (const auto& [exchange, waiting] : origin_waits_) {
      const auto& stream = waiting.ingress_.resumed_stream_;
      if (!stream.empty() && now - waiting.ingress_.origin_asked_at_ <
                                 StreamOriginResolver::kPeerWait) {
        ids.push_back(StreamOrigins::IdOf(stream));
      }
    }
    if (!ids.empty()) {
      metrics_.Add("gateway_origin_queries_total", "");
      next_origin_query_at_ = now + on_origin_query_(std::move(ids));
    }
  }
  const auto needs_read = [this, now](const auto& item) {
    const auto& ingress = item.second.ingress_;
    return !origin_resolver_.IsConfirmed(ingress.received_at_) &&
           (ingress.resumed_stream_.empty() ||
            now - ingress.origin_asked_at_ >= StreamOriginResolver::kReadDelay);
  };
  if (on_registration_read_ && store_connected_ &&
      std::any_of(origin_waits_.begin(), origin_waits_.end(), needs_read)) {
    on_registration_read_();
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::StartOriginTimer() -> void {
  origin_timer_.expires_after(StreamOriginResolver::kReadDelay);
  origin_timer_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    ReleaseOriginWaits(Now());
    if (!origin_waits_.empty()) {
      AskForOrigins(Now());
      StartOriginTimer();
    }
  });
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::ReleaseOriginWaits(TimePoint now) -> void {
  std::vector<ExchangeId> due;
  for (const auto& [exchange, waiting] : origin_waits_) {
    const auto route =
        routes_.Find(waiting.ingress_.host_, waiting.request_.path_);
    if (refusing_requests_ || !route ||
        DecideOrigin(*route, waiting.ingress_, now).verdict_ !=
            StreamOriginResolver::Verdict::kUndecided) {
      due.push_back(exchange);
    }
  }
  for (const auto exchange : due) {
    if (auto waiting = TakeOriginWait(exchange)) {
      TryAdmit(exchange, std::move(waiting->request_),
               std::move(waiting->ingress_), waiting->arrived_);
    }
  }
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::TakeOriginWait(ExchangeId exchange)
    -> std::optional<DeferredRequest> {
  auto node = origin_waits_.extract(exchange);
  if (node.empty()) {
    return std::nullopt;
  }
  origin_wait_bytes_ -= node.mapped().request_.body_.size();
  return std::move(node.mapped());
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnStreamOrigins(const StreamOriginUpdate& update)
    -> void {
  const auto now = Now();
  origins().Learn(update, now);
  ReleaseOriginWaits(now);
}

template <RequestTranslator Codec>
auto RequestGateway<Codec>::OnRegistrationsConfirmed(Duration moment) -> void {
  origin_resolver_.OnRegistrationsConfirmed(moment);
  ReleaseOriginWaits(Now());
}

}  // namespace baobab::gateway
