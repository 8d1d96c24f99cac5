#include "baobab_http/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobab_base/step_error.h"
#include "baobab_http/caller_session.h"
#include "baobab_http/problem.h"

namespace baobab {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// Pause after a failed accept, for example when no descriptor is left.
constexpr auto kAcceptRetry = std::chrono::milliseconds(50);

/// Answers a connection above the limit without a session.
auto RefuseConnection(Tcp::socket socket) -> void {
  Problem problem;
  problem.status_ = 503;
  problem.step_ = "http.accept";
  problem.detail_ = "the instance has its maximum number of connections";
  problem.retry_after_ = std::chrono::seconds(1);
  const auto body = ProblemBody(problem);
  const std::string answer =
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
      "Content-Type: application/problem+json\r\nRetry-After: 1\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  Error ignored;
  socket.non_blocking(true, ignored);
  socket.write_some(asio::buffer(answer), ignored);
  socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

}  // namespace

class HttpServer::Implementation
    : public SessionOwner,
      public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& io, HttpLimits limits, HttpHandlers handlers)
      : acceptor_(io),
        retry_(io),
        limits_(limits),
        handlers_(std::move(handlers)) {}

  auto Listen(const std::string& host, std::uint16_t port) -> std::uint16_t;
  auto Accept() -> void;
  auto OnAccept(Error error, Tcp::socket socket) -> void;
  auto StopAccepting() -> void;
  /// Accepts the connections that the system has already established: closing
  /// the listener would reset them, with the requests that they carry.
  auto AcceptPending() -> void;
  auto StartSession(Tcp::socket socket) -> void;
  auto CloseAll() -> void;
  auto Find(ExchangeId exchange) -> std::shared_ptr<CallerSession>;

  auto Begin(const std::shared_ptr<CallerSession>& session)
      -> ExchangeId override {
    exchanges_[++last_exchange_] = session;
    return last_exchange_;
  }
  auto Dispatch(ExchangeId exchange, HttpRequest request) -> void override {
    handlers_.on_request_(exchange, std::move(request));
  }
  auto Finish(ExchangeId exchange, bool gone) -> void override {
    exchanges_.erase(exchange);
    if (gone && handlers_.on_gone_) {
      handlers_.on_gone_(exchange);
    }
  }
  auto Blocked(ExchangeId exchange, bool blocked) -> void override {
    if (handlers_.on_blocked_) {
      handlers_.on_blocked_(exchange, blocked);
    }
  }
  auto Closed(const CallerSession* session) -> void override {
    sessions_.erase(session);
  }
  [[nodiscard]] auto closing() const -> bool override { return closing_; }

  Tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  HttpLimits limits_;
  HttpHandlers handlers_;
  std::unordered_map<const CallerSession*, std::weak_ptr<CallerSession>>
      sessions_;
  std::unordered_map<ExchangeId, std::weak_ptr<CallerSession>> exchanges_;
  ExchangeId last_exchange_ = 0;
  bool closing_ = false;
};

auto HttpServer::Implementation::Listen(const std::string& host,
                                        std::uint16_t port) -> std::uint16_t {
  const auto peer = host + ":" + std::to_string(port);
  Error error;
  const auto address = asio::ip::make_address(host, error);
  if (error) {
    throw StepError("http.listen", peer, "not an IP address");
  }
  const Tcp::endpoint endpoint(address, port);
  acceptor_.open(endpoint.protocol(), error);
  acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(endpoint, error);
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    throw StepError("http.listen", peer, error.message());
  }
  Accept();
  return acceptor_.local_endpoint().port();
}

auto HttpServer::Implementation::Accept() -> void {
  acceptor_.async_accept(
      [self = shared_from_this()](Error error, Tcp::socket socket) {
        self->OnAccept(error, std::move(socket));
      });
}

auto HttpServer::Implementation::OnAccept(Error error, Tcp::socket socket)
    -> void {
  if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
    return;
  }
  if (error) {
    retry_.expires_after(kAcceptRetry);
    retry_.async_wait([self = shared_from_this()](Error failed) {
      if (!failed && self->acceptor_.is_open()) {
        self->Accept();
      }
    });
    return;
  }
  if (sessions_.size() >= limits_.max_connections_) {
    RefuseConnection(std::move(socket));
  } else {
    StartSession(std::move(socket));
  }
  Accept();
}

auto HttpServer::Implementation::Find(ExchangeId exchange)
    -> std::shared_ptr<CallerSession> {
  const auto found = exchanges_.find(exchange);
  return found == exchanges_.end() ? nullptr : found->second.lock();
}

auto HttpServer::Implementation::StopAccepting() -> void {
  closing_ = true;
  const auto sessions = sessions_;
  for (const auto& [key, weak] : sessions) {
    if (const auto session = weak.lock()) {
      session->CloseIfIdle();
    }
  }
  AcceptPending();
  Error ignored;
  acceptor_.close(ignored);
  retry_.cancel();
}

auto HttpServer::Implementation::AcceptPending() -> void {
  if (!acceptor_.is_open()) {
    return;
  }
  Error error;
  acceptor_.cancel(error);
  acceptor_.non_blocking(true, error);
  while (!error && sessions_.size() < limits_.max_connections_) {
    Tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) {
      StartSession(std::move(socket));
    }
  }
}

auto HttpServer::Implementation::StartSession(Tcp::socket socket) -> void {
  const auto session = std::make_shared<CallerSession>(
      std::move(socket), limits_, weak_from_this());
  sessions_[session.get()] = session;
  session->Start();
}

auto HttpServer::Implementation::CloseAll() -> void {
  const auto sessions = sessions_;
  for (const auto& [key, weak] : sessions) {
    if (const auto session = weak.lock()) {
      session->Close();
    }
  }
}

HttpServer::HttpServer(asio::io_context& io, HttpLimits limits,
                       HttpHandlers handlers)
    : implementation_(
          std::make_shared<Implementation>(io, limits, std::move(handlers))) {}

HttpServer::~HttpServer() {
  implementation_->handlers_.on_gone_ = nullptr;
  implementation_->handlers_.on_blocked_ = nullptr;
  implementation_->StopAccepting();
  implementation_->CloseAll();
}

auto HttpServer::Listen(const std::string& host, std::uint16_t port)
    -> std::uint16_t {
  return implementation_->Listen(host, port);
}

auto HttpServer::Respond(ExchangeId exchange, const HttpResponse& response)
    -> void {
  if (const auto session = implementation_->Find(exchange)) {
    session->Respond(response);
  }
}

auto HttpServer::BeginStream(ExchangeId exchange, const HttpResponse& head)
    -> void {
  if (const auto session = implementation_->Find(exchange)) {
    session->BeginStream(head);
  }
}

auto HttpServer::Write(ExchangeId exchange, std::string_view piece) -> void {
  if (const auto session = implementation_->Find(exchange)) {
    session->Write(piece);
  }
}

auto HttpServer::EndStream(ExchangeId exchange) -> void {
  if (const auto session = implementation_->Find(exchange)) {
    session->EndStream();
  }
}

auto HttpServer::AbortStream(ExchangeId exchange) -> void {
  if (const auto session = implementation_->Find(exchange)) {
    session->Abort();
  }
}

auto HttpServer::CloseAfterResponses() -> void {
  implementation_->closing_ = true;
}

auto HttpServer::StopAccepting() -> void { implementation_->StopAccepting(); }

auto HttpServer::CloseAll() -> void { implementation_->CloseAll(); }

auto HttpServer::SetLimits(HttpLimits limits) -> void {
  implementation_->limits_ = limits;
}

auto HttpServer::connections() const -> std::size_t {
  return implementation_->sessions_.size();
}

auto HttpServer::exchanges() const -> std::size_t {
  return implementation_->exchanges_.size();
}

}  // namespace baobab
