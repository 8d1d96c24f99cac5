#include "baobab_http/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobab_base/log.h"
#include "baobab_base/step_error.h"
#include "baobab_http/caller_session.h"
#include "baobab_http/connection_budget.h"
#include "baobab_http/problem.h"

namespace baobab {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

// Pause after a failed accept, for example when no descriptor is left.
constexpr auto kAcceptRetry = std::chrono::milliseconds(50);
/// Interval at which connections that wait for memory are looked at.
constexpr auto kReliefInterval = std::chrono::milliseconds(250);
/// Shortest time between two log lines on bounds that were met.
constexpr auto kLogInterval = std::chrono::seconds(1);

auto Now() -> TimePoint {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

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
        relief_timer_(io),
        limits_(limits),
        handlers_(std::move(handlers)),
        budget_(limits.held_bytes_) {}

  auto Listen(const std::string& host, std::uint16_t port) -> std::uint16_t;
  auto Accept() -> void;
  auto OnAccept(Error error, Tcp::socket socket) -> void;
  auto StopAccepting() -> void;
  /// Accepts the connections that the system has already established: closing
  /// the listener would reset them, with the requests that they carry.
  auto AcceptPending() -> void;
  auto StartSession(Tcp::socket socket) -> void;
  /// Closes a connection without a request in progress. Returns false if there
  /// is none.
  auto MakeRoom() -> bool;
  auto CloseAll() -> void;
  /// Ends the request, not passed on, or cuts the unread response of `key`.
  auto EndSession(ConnectionBudget::Key key) -> void;
  /// Lets connections read on for which there is memory again.
  auto ResumePaused() -> void;
  /// Ends connections that have waited for too long, and unread responses while
  /// more than the budget is held.
  auto Relieve() -> void;
  /// Calls Relieve() from the event loop, so that no session ends within a call
  /// of the gateway.
  auto ScheduleRelief(Duration delay) -> void;
  /// Logs the counts, at most once in kLogInterval.
  auto LogCounts() -> void;
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
    budget_.Close(session);
    ReliefIfNeeded();
  }
  auto MayRead(CallerSession* session, std::size_t growth) -> bool override;
  auto OnHeld(const CallerSession* session, std::size_t bytes)
      -> void override {
    budget_.Hold(session, bytes);
    ReliefIfNeeded();
  }
  auto OnPhase(const CallerSession* session, ConnectionBudget::Phase phase)
      -> void override {
    budget_.SetPhase(session, phase, Now());
  }
  auto OnProgress(const CallerSession* session) -> void override {
    budget_.OnProgress(session, Now());
  }
  [[nodiscard]] auto IsTight() const -> bool override {
    return budget_.IsTight();
  }
  auto ReliefIfNeeded() -> void {
    if (budget_.IsOverdrawn() || budget_.paused() > 0) {
      ScheduleRelief(kReliefInterval);
    }
  }
  [[nodiscard]] auto closing() const -> bool override { return closing_; }

  Tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  asio::steady_timer relief_timer_;
  HttpLimits limits_;
  HttpHandlers handlers_;
  std::unordered_map<const CallerSession*, std::weak_ptr<CallerSession>>
      sessions_;
  std::unordered_map<ExchangeId, std::weak_ptr<CallerSession>> exchanges_;
  ExchangeId last_exchange_ = 0;
  ConnectionBudget budget_;
  ConnectionCounts counts_;
  TimePoint logged_at_ = TimePoint::min();
  bool relief_scheduled_ = false;
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
  // Accepted sockets inherit the buffer. It must be set before listen.
  acceptor_.set_option(
      asio::socket_base::receive_buffer_size(ConnectionBudget::kReceiveWindow),
      error);
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
    if (error == asio::error::no_descriptors) {
      MakeRoom();
    }
    retry_.expires_after(kAcceptRetry);
    retry_.async_wait([self = shared_from_this()](Error failed) {
      if (!failed && self->acceptor_.is_open()) {
        self->Accept();
      }
    });
    return;
  }
  if (sessions_.size() >= limits_.max_connections_ && !MakeRoom()) {
    ++counts_.refused_;
    LogCounts();
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
  budget_.Open(session.get(), Now());
  session->Start();
}

auto HttpServer::Implementation::MakeRoom() -> bool {
  const auto key = budget_.FindToReplace();
  const auto found =
      key ? sessions_.find(static_cast<const CallerSession*>(*key))
          : sessions_.end();
  if (found == sessions_.end()) {
    return false;
  }
  ++counts_.replaced_;
  LogCounts();
  if (const auto session = found->second.lock()) {
    session->Close();
  }
  return true;
}

auto HttpServer::Implementation::MayRead(CallerSession* session,
                                         std::size_t growth) -> bool {
  const auto now = Now();
  if (!budget_.IsLong(session, growth)) {
    while (!budget_.MayGrow(session, growth)) {
      const auto victim = budget_.FindReading(session);
      if (!victim) {
        break;
      }
      EndSession(*victim);
    }
  }
  if (budget_.MayGrow(session, growth)) {
    budget_.SetPaused(session, false, now);
    return true;
  }
  budget_.SetPaused(session, true, now);
  if (budget_.MustEndPaused()) {
    EndSession(*budget_.FindPaused(/*any=*/true, now));
  }
  ScheduleRelief(kReliefInterval);
  return false;
}

auto HttpServer::Implementation::EndSession(ConnectionBudget::Key key) -> void {
  const auto found = sessions_.find(static_cast<const CallerSession*>(key));
  const auto session =
      found == sessions_.end() ? nullptr : found->second.lock();
  if (!session) {
    budget_.Close(key);
    return;
  }
  ++counts_.ended_requests_;
  LogCounts();
  budget_.SetPaused(key, false, Now());
  session->End();
}

auto HttpServer::Implementation::ResumePaused() -> void {
  for (const auto* key : budget_.Paused()) {
    const auto found = sessions_.find(static_cast<const CallerSession*>(key));
    if (found != sessions_.end()) {
      if (const auto session = found->second.lock()) {
        session->Resume();
      }
    }
  }
}

auto HttpServer::Implementation::Relieve() -> void {
  ResumePaused();
  const auto now = Now();
  while (const auto waiting = budget_.FindPaused(/*any=*/false, now)) {
    EndSession(budget_.FindReading(nullptr).value_or(*waiting));
    ResumePaused();
  }
  while (budget_.IsOverdrawn()) {
    if (const auto reading = budget_.FindReading(nullptr)) {
      EndSession(*reading);
    } else if (const auto unread = budget_.FindUnreadResponse(now)) {
      ++counts_.cut_responses_;
      --counts_.ended_requests_;
      EndSession(*unread);
    } else {
      break;
    }
  }
  ReliefIfNeeded();
}

auto HttpServer::Implementation::ScheduleRelief(Duration delay) -> void {
  if (std::exchange(relief_scheduled_, true)) {
    return;
  }
  relief_timer_.expires_after(delay);
  relief_timer_.async_wait([self = shared_from_this()](Error error) {
    self->relief_scheduled_ = false;
    if (!error) {
      self->Relieve();
    }
  });
}

auto HttpServer::Implementation::LogCounts() -> void {
  const auto now = Now();
  if (logged_at_ != TimePoint::min() && now - logged_at_ < kLogInterval) {
    return;
  }
  logged_at_ = now;
  LogEvent(LogLevel::kWarning, "connection_bound_met")
      .With("connections", sessions_.size())
      .With("held_kb", budget_.used() / 1024)
      .With("max_held_kb", budget_.total() / 1024)
      .With("paused", budget_.paused())
      .With("ended_requests", counts_.ended_requests_)
      .With("cut_responses", counts_.cut_responses_)
      .With("replaced", counts_.replaced_)
      .With("refused", counts_.refused_);
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
  implementation_->relief_timer_.cancel();
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

auto HttpServer::counts() const -> ConnectionCounts {
  auto counts = implementation_->counts_;
  counts.held_bytes_ = implementation_->budget_.used();
  counts.max_held_bytes_ = implementation_->budget_.total();
  counts.paused_ = implementation_->budget_.paused();
  return counts;
}

auto HttpServer::connections() const -> std::size_t {
  return implementation_->sessions_.size();
}

auto HttpServer::exchanges() const -> std::size_t {
  return implementation_->exchanges_.size();
}

}  // namespace baobab
