#include "caller_io.h"

#include <utility>

#include "baobab_base/clock.h"
#include "baobab_base/log.h"
#include "baobab_http/problem.h"

namespace baobab {
namespace {

constexpr std::size_t kMaxRequestId = 128;
// How often a draining server looks whether its last connection has ended.
constexpr auto kDrainPoll = std::chrono::milliseconds(10);

}  // namespace

CallerIo::CallerIo(boost::asio::io_context& io, const Settings& settings,
                   CallerEvents& to_control, MetricsRegistry& metrics)
    : to_control_(to_control),
      metrics_(metrics),
      callers_(io, settings.caller_limits_, HandlersFor(false)),
      admin_(io, settings.caller_limits_, HandlersFor(true)),
      timer_(io) {}

auto CallerIo::HandlersFor(bool admin) -> HttpHandlers {
  HttpHandlers handlers;
  handlers.on_request_ = [this, admin](ExchangeId exchange,
                                       HttpRequest request) {
    OnRequest({exchange, admin}, std::move(request));
  };
  handlers.on_gone_ = [this, admin](ExchangeId exchange) {
    request_ids_.erase({exchange, admin});
    to_control_.Send(CallerGone{{exchange, admin}});
  };
  handlers.on_blocked_ = [this, admin](ExchangeId exchange, bool blocked) {
    to_control_.Send(CallerBlocked{{exchange, admin}, blocked});
  };
  return handlers;
}

auto CallerIo::Listen(const Settings& settings) -> void {
  caller_port_ = callers_.Listen(settings.caller_address_.host_,
                                 settings.caller_address_.port_);
  admin_port_ = admin_.Listen(settings.admin_address_.host_,
                              settings.admin_address_.port_);
}

auto CallerIo::OnRequest(CallerRef caller, HttpRequest request) -> void {
  const auto id = request.Header("X-Request-Id");
  if (!id.empty() && id.size() <= kMaxRequestId) {
    request_ids_[caller] = id;
  }
  RequestArrived arrived{caller, std::move(request), SystemClock().Now()};
  if (!to_control_.TrySend(std::move(arrived))) {
    RefuseFull(caller);
  }
}

auto CallerIo::RefuseFull(const CallerRef& caller) -> void {
  metrics_.Add("baobab_ring_full_total", "ring=\"caller_to_control\"");
  Problem problem;
  problem.status_ = 503;
  problem.step_ = "admission";
  problem.detail_ = "the instance has more requests than it can take in";
  problem.retry_after_ = std::chrono::seconds(1);
  Send({caller, ProblemResponse(problem)});
}

auto CallerIo::EchoRequestId(const CallerRef& caller, HttpResponse& response)
    -> void {
  const auto found = request_ids_.find(caller);
  if (found != request_ids_.end()) {
    response.headers_.push_back({"X-Request-Id", found->second});
    request_ids_.erase(found);
  }
}

auto CallerIo::Send(SendResponse command) -> void {
  EchoRequestId(command.caller_, command.response_);
  ServerOf(command.caller_)
      .Respond(command.caller_.exchange_, command.response_);
}

auto CallerIo::Handle(CallerCommand&& command) -> void {
  std::visit(
      Overloaded{
          [](std::monostate) {},
          [this](SendResponse& send) { Send(std::move(send)); },
          [this](BeginStream& begin) {
            EchoRequestId(begin.caller_, begin.head_);
            ServerOf(begin.caller_)
                .BeginStream(begin.caller_.exchange_, begin.head_);
          },
          [this](SendPiece& send) {
            ServerOf(send.caller_).Write(send.caller_.exchange_, send.piece_);
          },
          [this](EndStream& end) {
            ServerOf(end.caller_).EndStream(end.caller_.exchange_);
          },
          [this](AbortStream& abort) {
            ServerOf(abort.caller_).AbortStream(abort.caller_.exchange_);
          },
          [this](StopAccepting&) {
            callers_.StopAccepting();
            WaitForCallers();
          },
          [this](SetCallerLimits& set) {
            callers_.SetLimits(set.limits_);
            admin_.SetLimits(set.limits_);
          }},
      command);
}

auto CallerIo::WaitForCallers() -> void {
  if (callers_.connections() == 0) {
    to_control_.Send(CallersEnded{});
    return;
  }
  timer_.expires_after(kDrainPoll);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      WaitForCallers();
    }
  });
}

}  // namespace baobab
