#include "stand_ins/simple_servers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "baobab_base/clock.h"
#include "stand_ins/instance_register.h"
#include "stand_ins/service_ledger.h"

namespace baobab::stand_in {

namespace asio = boost::asio;

namespace {

auto AnswerLater(asio::io_context& context, const ServiceAnswer& answer,
                 std::shared_ptr<HttpReply> reply) -> void {
  auto timer = std::make_shared<asio::steady_timer>(context);
  timer->expires_after(answer.delay_);
  timer->async_wait([timer, answer, reply = std::move(reply)](
                        const boost::system::error_code& /*error*/) {
    if (answer.lost_) {
      reply->Drop();
    } else {
      reply->Send(answer.status_, answer.body_);
    }
  });
}

}  // namespace

auto MakeServiceServer(asio::io_context& context, const std::string& address,
                       std::uint16_t port, Duration delay)
    -> std::unique_ptr<HttpShell> {
  auto ledger = std::make_shared<ServiceLedger>(delay);
  return std::make_unique<HttpShell>(
      context, address, port,
      [&context, ledger](const HttpRequest& request,
                         std::shared_ptr<HttpReply> reply) {
        const auto now = SystemClock().Now();
        if (request.path_ == "/runs") {
          reply->Send(200, ledger->Runs());
        } else if (request.path_ == "/fault") {
          ledger->SetFault(request.body_, now);
          reply->Send(200, "{}");
        } else {
          AnswerLater(context,
                      ledger->Run(request.Header("idempotency-key"),
                                  request.path_, request.body_, now),
                      std::move(reply));
        }
      });
}

auto MakeInstanceServer(asio::io_context& context, const std::string& address,
                        std::uint16_t port, Duration lag,
                        const std::string& initial)
    -> std::unique_ptr<HttpShell> {
  auto instances = std::make_shared<InstanceRegister>(lag, initial);
  return std::make_unique<HttpShell>(
      context, address, port,
      [instances](const HttpRequest& request,
                  const std::shared_ptr<HttpReply>& reply) {
        const auto now = SystemClock().Now();
        if (request.path_ != "/v1/instances") {
          reply->Send(404, R"({"error":"unknown path"})");
        } else if (request.method_ == "POST") {
          const bool known = instances->Change(request.body_, now);
          reply->Send(known ? 200 : 400, known ? "{}" : R"({"error":"no id"})");
        } else {
          reply->Send(200, instances->List(now));
        }
      });
}

}  // namespace baobab::stand_in
