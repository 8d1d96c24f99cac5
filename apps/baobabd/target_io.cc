#include "target_io.h"

#include <utility>

namespace baobab {
namespace {

// Engines and services usually close idle connections after a minute or more.
constexpr auto kIdleTime = std::chrono::seconds(30);

auto TimeoutsOf(const Settings& settings) -> ExchangeTimeouts {
  return {settings.connect_timeout_, settings.send_timeout_,
          settings.head_timeout_, settings.body_timeout_};
}

}  // namespace

TargetIo::TargetIo(boost::asio::io_context& io, const Settings& settings,
                   TargetEvents& to_control)
    : to_control_(to_control),
      pool_(std::make_shared<ConnectionPool>(io, settings.idle_connections_,
                                             kIdleTime)),
      engines_(pool_, TimeoutsOf(settings)),
      services_(pool_, TimeoutsOf(settings),
                settings.caller_limits_.body_bytes_),
      timer_(io) {
  to_control_.OnCongestion([this](bool congested) { OnCongestion(congested); });
  DropExpiredLater();
}

auto TargetIo::DropExpiredLater() -> void {
  timer_.expires_after(kIdleTime);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      pool_->DropExpired();
      DropExpiredLater();
    }
  });
}

auto TargetIo::Handle(TargetCommand&& command) -> void {
  std::visit(
      Overloaded{
          [](std::monostate) {},
          [this](StartChat& start) { Start(std::move(start)); },
          [this](StartService& start) { Start(std::move(start)); },
          [this](CancelAttempt& cancel) { Cancel(cancel.attempt_); },
          [this](PauseAttempt& pause) { Pause(pause.attempt_, pause.paused_); },
          [this](FetchReport& fetch) { Fetch(fetch); },
          [this](FetchCacheEvents& fetch) { Fetch(fetch); },
          [this](SendOrder& send) { Send(send); }},
      command);
}

auto TargetIo::Keep(RouteAttemptId attempt,
                    std::shared_ptr<TargetExchange> exchange) -> void {
  if (to_control_.congested()) {
    exchange->Pause(true);
  }
  attempts_[attempt].exchange_ = std::move(exchange);
}

auto TargetIo::Start(StartChat&& start) -> void {
  const auto attempt = start.attempt_;
  ChatEvents events;
  events.on_load_ = [this, attempt](EngineLoad load) {
    to_control_.Send(LoadArrived{attempt, load});
  };
  events.on_chunk_ = [this, attempt](ChatChunk chunk) {
    to_control_.Send(ChunkArrived{attempt, std::move(chunk)});
  };
  events.on_end_ = [this, attempt] {
    attempts_.erase(attempt);
    to_control_.Send(ChatEnded{attempt});
  };
  events.on_failure_ = [this, attempt](ChatFailure failure) {
    attempts_.erase(attempt);
    to_control_.Send(ChatFailed{attempt, std::move(failure)});
  };
  Keep(attempt, engines_.StartChat(start.endpoint_, std::move(start.body_),
                                   start.new_connection_, std::move(events)));
}

auto TargetIo::Start(StartService&& start) -> void {
  const auto attempt = start.attempt_;
  WholeEvents events;
  events.on_response_ = [this, attempt](TargetResponse response) {
    attempts_.erase(attempt);
    to_control_.Send(ServiceAnswered{attempt, std::move(response)});
  };
  events.on_failure_ = [this, attempt](const AttemptFailure& failure) {
    attempts_.erase(attempt);
    to_control_.Send(ServiceFailed{attempt, failure});
  };
  Keep(attempt, services_.Start(std::move(start.call_), std::move(events)));
}

auto TargetIo::Cancel(RouteAttemptId attempt) -> void {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    found->second.exchange_->Cancel();
    attempts_.erase(found);
  }
}

auto TargetIo::Pause(RouteAttemptId attempt, bool paused) -> void {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) {
    found->second.paused_ = paused;
    found->second.exchange_->Pause(paused || to_control_.congested());
  }
}

auto TargetIo::OnCongestion(bool congested) -> void {
  for (auto& [id, attempt] : attempts_) {
    attempt.exchange_->Pause(congested || attempt.paused_);
  }
}

auto TargetIo::Fetch(const FetchReport& fetch) -> void {
  CallEvents<EngineReport> events;
  events.on_result_ = [this, fetch](EngineReport report) {
    to_control_.Send(
        ReportArrived{fetch.target_, std::move(report), fetch.probe_});
  };
  events.on_failure_ = [this, fetch](const AttemptFailure& failure) {
    to_control_.Send(ReportFailed{fetch.target_, failure, fetch.probe_});
  };
  engines_.FetchReport(fetch.endpoint_, fetch.probe_ != 0, events);
}

auto TargetIo::Fetch(const FetchCacheEvents& fetch) -> void {
  WholeEvents events;
  events.on_response_ = [this, fetch](TargetResponse response) {
    if (response.head_.status_ == 200) {
      to_control_.Send(
          CacheEventsArrived{fetch.target_, std::move(response.body_)});
    }
  };
  events.on_failure_ = [](const AttemptFailure&) {};  // fetched again later
  engines_.FetchCacheEvents(fetch.endpoint_, fetch.after_, std::move(events));
}

auto TargetIo::Send(const SendOrder& send) -> void {
  WholeEvents events;
  events.on_response_ = [this, target = send.target_,
                         order =
                             send.order_.order_id_](TargetResponse response) {
    to_control_.Send(OrderEnded{
        target, order, response.head_.status_, std::move(response.body_), {}});
  };
  events.on_failure_ =
      [this, target = send.target_,
       order = send.order_.order_id_](const AttemptFailure& failure) {
        to_control_.Send(OrderEnded{target, order, 0, "", failure});
      };
  engines_.SendOrder(send.endpoint_, send.order_, std::move(events));
}

}  // namespace baobab
