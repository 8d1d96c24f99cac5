#include "stand_ins/store_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <utility>

#include "baobab_base/clock.h"
#include "stand_ins/http_shell.h"
#include "stand_ins/json_fields.h"

namespace baobab::stand_in {

namespace asio = boost::asio;

/// Connects the logic to HTTP and to timers for delays and lease expiry.
class StoreServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, StoreLimits limits)
      : context_(context), api_(limits), expiry_(context) {}

  auto Listen(const std::string& address, std::uint16_t port) -> void {
    shell_ = std::make_unique<HttpShell>(
        context_, address, port,
        [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
          Handle(request, std::move(reply));
        });
    ExpireLater();
  }

  auto Stop() -> void {
    shell_->Close();
    stopped_ = true;
    expiry_.cancel();
  }

  auto SetFault(const std::string& body) -> void {
    const auto now = clock_.Now();
    api_.SetFault(body, now);
    if (FlagField(ParseObject(body), "silent_connections")) {
      shell_->SilenceConnections();
    }
    if (api_.IsOut(now)) {
      EndWatches();
    }
  }

  auto EndWatches() -> void {
    for (auto& watch : std::exchange(watches_, {})) {
      watch.reply_->OnClosed(nullptr);
      watch.reply_->Drop();
    }
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return shell_->port(); }

 private:
  struct OpenWatch {
    StoreApi::Watch watch_;
    std::shared_ptr<HttpReply> reply_;
  };

  auto Handle(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
      -> void {
    const auto now = clock_.Now();
    if (request.path_ == "/fault") {
      SetFault(request.body_);
      reply->Send(200, "{}");
    } else if (request.path_ == "/calls") {
      reply->Send(200, api_.Calls());
    } else if (request.path_ == "/v3/watch") {
      BeginWatch(request, reply);
    } else {
      Answer(api_.Handle(request.path_, request.body_, now), std::move(reply));
      NotifyWatches();
    }
  }

  auto Answer(const ApiAnswer& answer, std::shared_ptr<HttpReply> reply)
      -> void {
    if (answer.delay_ == Duration::zero()) {
      Finish(answer, *reply);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(answer.delay_);
    timer->async_wait([timer, answer, reply = std::move(reply)](
                          const boost::system::error_code& /*error*/) {
      Finish(answer, *reply);
    });
  }

  static auto Finish(const ApiAnswer& answer, HttpReply& reply) -> void {
    if (answer.lost_) {
      reply.Drop();
    } else {
      reply.Send(answer.status_, answer.body_);
    }
  }

  auto BeginWatch(const HttpRequest& request,
                  const std::shared_ptr<HttpReply>& reply) -> void {
    const auto watch = api_.BeginWatch(request.body_, clock_.Now());
    if (!watch) {
      reply->Send(503, R"({"error":"unavailable","code":14})");
      return;
    }
    reply->BeginStream("application/json");
    reply->Write(api_.WatchCreated());
    const auto entry = watches_.insert(watches_.end(), {*watch, reply});
    reply->OnClosed([self = weak_from_this(), entry] {
      if (const auto impl = self.lock()) {
        impl->watches_.erase(entry);
      }
    });
    NotifyWatches();
  }

  auto NotifyWatches() -> void {
    for (auto it = watches_.begin(); it != watches_.end();) {
      const auto message = api_.NextWatchMessage(it->watch_);
      if (!message.empty()) {
        it->reply_->Write(message);
      }
      if (it->watch_.compacted_) {
        it->reply_->EndStream();
        it = watches_.erase(it);
      } else {
        ++it;
      }
    }
  }

  // Leases are checked every 100 ms: their times are whole seconds.
  auto ExpireLater() -> void {
    expiry_.expires_after(std::chrono::milliseconds(100));
    expiry_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || self->stopped_) {
            return;
          }
          self->api_.store().ExpireLeases(self->clock_.Now());
          self->NotifyWatches();
          self->ExpireLater();
        });
  }

  asio::io_context& context_;
  SystemClock clock_;
  StoreApi api_;
  std::list<OpenWatch> watches_;
  asio::steady_timer expiry_;
  std::unique_ptr<HttpShell> shell_;
  bool stopped_ = false;
};

StoreServer::StoreServer(asio::io_context& context, const std::string& address,
                         std::uint16_t port, StoreLimits limits)
    : impl_(std::make_shared<Impl>(context, limits)) {
  impl_->Listen(address, port);
}

StoreServer::~StoreServer() { impl_->Stop(); }

auto StoreServer::SetFault(const std::string& body) -> void {
  impl_->SetFault(body);
}

auto StoreServer::DropWatches() -> void { impl_->EndWatches(); }

auto StoreServer::port() const -> std::uint16_t { return impl_->port(); }

}  // namespace baobab::stand_in
