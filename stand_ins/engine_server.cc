#include "stand_ins/engine_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <utility>

#include "baobab_base/clock.h"
#include "stand_ins/engine_json.h"
#include "stand_ins/http_shell.h"
#include "stand_ins/json_fields.h"

namespace baobab::stand_in {

namespace asio = boost::asio;

namespace {

/// A faulty stream ends after this many tokens.
constexpr std::size_t kFaultyStreamTokens = 3;

}  // namespace

/// Connects the logic to HTTP and to one timer.
class EngineServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, EngineSettings settings, WeightStore& weights,
       std::map<std::string, std::int64_t> preload)
      : context_(context),
        settings_(std::move(settings)),
        weights_(weights),
        preload_(std::move(preload)),
        timer_(context) {
    Restart();
  }

  auto Listen(const std::string& address, std::uint16_t port) -> void {
    shell_ = std::make_unique<HttpShell>(
        context_, address, port,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpReply>& reply) {
          Handle(request, reply);
        });
    Arm();
  }

  auto Stop() -> void {
    shell_->Close();
    stopped_ = true;
    timer_.cancel();
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return shell_->port(); }

 private:
  enum class Fate : std::uint8_t { kNormal, kSilent, kDropped };

  struct OpenRequest {
    ChatRequest request_;
    std::shared_ptr<HttpReply> reply_;
    bool stream_ = false;
    std::string text_;
    std::size_t sent_ = 0;
    Fate fate_ = Fate::kNormal;
  };

  auto Restart() -> void {
    open_.clear();
    if (shell_) {
      shell_->DropConnections();
    }
    ++settings_.seed_;
    engine_ = std::make_unique<Engine>(settings_, weights_, clock_.Now());
    for (const auto& [model, memory_mb] : std::exchange(preload_, {})) {
      engine_->Preload(model, memory_mb, clock_.Now());
    }
  }

  auto Handle(const HttpRequest& request,
              const std::shared_ptr<HttpReply>& reply) -> void {
    const auto now = clock_.Now();
    Deliver(now);
    const auto& path = request.path_;
    if (path == "/v1/chat/completions") {
      Chat(request, reply, now);
    } else if (path == "/admin/orders") {
      TakeOrder(request, *reply, now);
    } else if (path == "/admin/report") {
      reply->Send(200, engine_->Report(now));
    } else if (path == "/admin/cache_events") {
      const auto after = request.query_.find("after");
      const auto number =
          after == request.query_.end()
              ? 0
              : std::strtoull(after->second.c_str(), nullptr, 10);
      reply->Send(200, engine_->CacheEvents(number, now));
    } else if (path == "/admin/kv/export") {
      reply->Send(200, ExportAnswer(request.body_));
    } else if (path == "/admin/kv/import") {
      const auto blocks = ReadKvBlocks(request.body_);
      engine_->ImportBlocks(blocks.model_, blocks.blocks_, now);
      reply->Send(200, "{}");
    } else if (path == "/fault") {
      reply->Send(200, "{}");
      SetFault(request.body_, now);
    } else {
      reply->Send(404, R"({"error":{"code":"unknown_path"}})");
    }
    Arm();
  }

  auto Chat(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply,
            TimePoint now) -> void {
    auto call = ReadChatCall(request.body_);
    const auto submission = engine_->Submit(call.request_, now);
    const auto headers = LoadHeaders(now);
    if (submission.refusal_ != Refusal::kNone) {
      reply->Send(RefusalStatus(submission.refusal_),
                  RefusalBody(submission.refusal_), headers);
      return;
    }
    const auto ticket = submission.ticket_;
    OpenRequest open{call.request_, reply, call.stream_, "", 0, NextFate()};
    if (call.stream_) {
      reply->BeginStream("text/event-stream", headers);
    }
    reply->OnClosed([self = weak_from_this(), ticket] {
      if (const auto impl = self.lock()) {
        impl->open_.erase(ticket);
        impl->engine_->Cancel(ticket, impl->clock_.Now());
      }
    });
    open_.emplace(ticket, std::move(open));
  }

  auto LoadHeaders(TimePoint now) const -> HttpHeaders {
    const auto load = engine_->LoadReport(now);
    return {{"X-Engine-Running", std::to_string(load.running_)},
            {"X-Engine-Waiting", std::to_string(load.waiting_)}};
  }

  auto NextFate() -> Fate {
    if (silent_streams_ > 0) {
      --silent_streams_;
      return Fate::kSilent;
    }
    if (dropped_streams_ > 0) {
      --dropped_streams_;
      return Fate::kDropped;
    }
    return Fate::kNormal;
  }

  auto TakeOrder(const HttpRequest& request, HttpReply& reply, TimePoint now)
      -> void {
    const auto order = ReadOrder(request.body_);
    const auto answer = engine_->AcceptOrder(order, now);
    const bool lost = lost_order_answers_ > 0;
    lost_order_answers_ -= lost ? 1 : 0;
    if (!answer || lost) {
      reply.Drop();
    }
    if (!answer) {
      return;
    }
    for (const auto ticket : engine_->TakeCancelled()) {
      if (auto node = open_.extract(ticket)) {
        node.mapped().reply_->OnClosed(nullptr);
        node.mapped().reply_->Drop();
      }
    }
    const std::string id = R"({"order_id":")" + order.order_id_ + R"(",)";
    switch (*answer) {
      case OrderAnswer::kAccepted:
        reply.Send(202, id + R"("accepted":true})");
        break;
      case OrderAnswer::kDuplicate:
        reply.Send(200, id + R"("accepted":true,"duplicate":true})");
        break;
      case OrderAnswer::kStaleFence:
        reply.Send(409, id + R"("accepted":false,"reason":"stale_fence"})");
        break;
    }
  }

  auto SetFault(const std::string& body, TimePoint now) -> void {
    const auto fault = ParseObject(body);
    silent_streams_ = NumberField(fault, "silent_streams", silent_streams_);
    dropped_streams_ = NumberField(fault, "dropped_streams", dropped_streams_);
    lost_order_answers_ =
        NumberField(fault, "lost_order_answers", lost_order_answers_);
    if (FlagField(fault, "silent_connections")) {
      shell_->SilenceConnections();
    }
    if (FlagField(fault, "restart")) {
      Restart();
    }
    engine_->SetFault(body, now);
  }

  auto Deliver(TimePoint now) -> void {
    for (const auto& token : engine_->Advance(now)) {
      const auto found = open_.find(token.ticket_);
      if (found != open_.end()) {
        Send(found->second, token);
        if (token.last_) {
          open_.erase(found);
        }
      }
    }
  }

  static auto Send(OpenRequest& open, const ChatToken& token) -> void {
    if (open.fate_ != Fate::kNormal && open.sent_ == kFaultyStreamTokens) {
      open.fate_ == Fate::kSilent ? open.reply_->Silence()
                                  : open.reply_->Drop();
    }
    ++open.sent_;
    if (open.stream_) {
      open.reply_->Write(StreamEvent(open.request_, token));
      if (token.last_) {
        open.reply_->Write(StreamEnd(open.request_, token.offset_ + 1));
        open.reply_->EndStream();
      }
      return;
    }
    open.text_ += token.text_;
    if (token.last_) {
      open.reply_->Send(
          200, WholeAnswer(open.request_, open.text_, token.offset_ + 1));
    }
  }

  auto Arm() -> void {
    timer_.expires_at(engine_->NextDue());
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped_) {
            self->Deliver(self->clock_.Now());
            self->Arm();
          }
        });
  }

  asio::io_context& context_;
  SystemClock clock_;
  EngineSettings settings_;
  WeightStore& weights_;
  std::map<std::string, std::int64_t> preload_;
  std::unique_ptr<Engine> engine_;
  std::map<std::uint64_t, OpenRequest> open_;
  std::int64_t silent_streams_ = 0;
  std::int64_t dropped_streams_ = 0;
  std::int64_t lost_order_answers_ = 0;
  asio::steady_timer timer_;
  std::unique_ptr<HttpShell> shell_;
  bool stopped_ = false;
};

EngineServer::EngineServer(asio::io_context& context,
                           const std::string& address, std::uint16_t port,
                           EngineSettings settings, WeightStore& weights,
                           const std::map<std::string, std::int64_t>& preload)
    : impl_(std::make_shared<Impl>(context, std::move(settings), weights,
                                   preload)) {
  impl_->Listen(address, port);
}

EngineServer::~EngineServer() { impl_->Stop(); }

auto EngineServer::port() const -> std::uint16_t { return impl_->port(); }

}  // namespace baobab::stand_in
