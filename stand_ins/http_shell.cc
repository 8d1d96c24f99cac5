#include "stand_ins/http_shell.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <deque>
#include <optional>
#include <sstream>

namespace baobab::stand_in {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Largest request body: an etcd value of 1 MB in base64, with room.
constexpr std::uint64_t kBodyLimit = std::uint64_t{4} << 20;

auto ParseQuery(const std::string& query)
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> parameters;
  std::istringstream parts(query);
  for (std::string part; std::getline(parts, part, '&');) {
    const auto equals = part.find('=');
    parameters[part.substr(0, equals)] =
        equals == std::string::npos ? "" : part.substr(equals + 1);
  }
  return parameters;
}

auto Lower(std::string_view text) -> std::string {
  std::string lower(text);
  for (char& c : lower) {
    c = static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
  }
  return lower;
}

auto Translate(const http::request<http::string_body>& message) -> HttpRequest {
  HttpRequest request;
  request.method_ = std::string(message.method_string());
  const std::string target(message.target());
  const auto mark = target.find('?');
  request.path_ = target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query_ = ParseQuery(target.substr(mark + 1));
  }
  for (const auto& field : message) {
    request.headers_[Lower(field.name_string())] = std::string(field.value());
  }
  request.body_ = message.body();
  return request;
}

auto Head(unsigned status, const std::string& content_type,
          const HttpHeaders& headers) -> std::string {
  std::ostringstream head;
  head << "HTTP/1.1 " << status << ' '
       << http::obsolete_reason(static_cast<http::status>(status))
       << "\r\nContent-Type: " << content_type << "\r\n";
  for (const auto& [name, value] : headers) {
    head << name << ": " << value << "\r\n";
  }
  return head.str();
}

}  // namespace

/// One connection. Reads the next request while an answer is under way, so
/// that a caller that goes away is noticed.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(tcp::socket socket, std::shared_ptr<HttpHandler> handler)
      : socket_(std::move(socket)), handler_(std::move(handler)) {
    beast::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  auto Read() -> void {
    parser_.emplace();
    parser_->body_limit(kBodyLimit);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](beast::error_code error,
                                                 std::size_t /*bytes*/) {
                       self->OnRead(error);
                     });
  }

  auto Enqueue(std::uint64_t number, std::string bytes, bool last) -> void {
    if (closed_ || silent_ || number != number_ || !answering_) {
      return;
    }
    outgoing_.push_back(std::move(bytes));
    if (outgoing_.size() == 1) {
      WriteNext();
    }
    if (last) {
      FinishAnswer();
    }
  }

  auto Close() -> void {
    closed_ = true;
    beast::error_code ignored;
    socket_.close(ignored);
  }

  auto Silence(std::uint64_t number) -> void {
    silent_ = silent_ || number == number_;
  }

  auto SilenceAll() -> void { silent_ = true; }

  auto SetClosed(std::uint64_t number, std::function<void()> closed) -> void {
    if (number == number_ && answering_) {
      on_closed_ = std::move(closed);
    }
  }

 private:
  auto OnRead(beast::error_code error) -> void {
    if (error) {
      Close();
      if (auto closed = std::exchange(on_closed_, nullptr)) {
        closed();
      }
      return;
    }
    close_after_ = close_after_ || !parser_->get().keep_alive();
    waiting_ = Translate(parser_->release());
    if (!answering_ && !silent_) {
      Dispatch();
    }
  }

  auto Dispatch() -> void {
    answering_ = true;
    ++number_;
    const auto request = *std::exchange(waiting_, std::nullopt);
    auto self = shared_from_this();
    Read();
    (*handler_)(request, std::make_shared<HttpReply>(self, number_));
  }

  auto FinishAnswer() -> void {
    answering_ = false;
    on_closed_ = nullptr;
    if (waiting_) {
      Dispatch();
    }
  }

  auto WriteNext() -> void {
    asio::async_write(socket_, asio::buffer(outgoing_.front()),
                      [self = shared_from_this()](beast::error_code error,
                                                  std::size_t /*bytes*/) {
                        if (error) {
                          self->outgoing_.clear();
                          self->closed_ = true;
                          return;
                        }
                        self->outgoing_.pop_front();
                        if (!self->outgoing_.empty()) {
                          self->WriteNext();
                        } else if (self->close_after_ && !self->answering_) {
                          self->Close();
                        }
                      });
  }

  tcp::socket socket_;
  std::shared_ptr<HttpHandler> handler_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<HttpRequest> waiting_;
  std::deque<std::string> outgoing_;
  std::function<void()> on_closed_;
  std::uint64_t number_ = 0;
  bool answering_ = false;
  bool silent_ = false;
  bool close_after_ = false;  ///< The caller asked to close after its answer.
  bool closed_ = false;
};

auto HttpReply::Send(unsigned status, const std::string& body,
                     const HttpHeaders& headers) -> void {
  session_->Enqueue(number_,
                    Head(status, "application/json", headers) +
                        "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body,
                    /*last=*/true);
}

auto HttpReply::BeginStream(const std::string& content_type,
                            const HttpHeaders& headers) -> void {
  session_->Enqueue(
      number_,
      Head(200, content_type, headers) + "Transfer-Encoding: chunked\r\n\r\n",
      /*last=*/false);
}

auto HttpReply::Write(const std::string& text) -> void {
  std::ostringstream chunk;
  chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
  session_->Enqueue(number_, chunk.str(), /*last=*/false);
}

auto HttpReply::EndStream() -> void {
  session_->Enqueue(number_, "0\r\n\r\n", /*last=*/true);
}

auto HttpReply::Drop() -> void { session_->Close(); }

auto HttpReply::Silence() -> void { session_->Silence(number_); }

auto HttpReply::OnClosed(std::function<void()> closed) -> void {
  session_->SetClosed(number_, std::move(closed));
}

/// Accepts connections until closed.
class HttpShell::Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(asio::io_context& context, const tcp::endpoint& endpoint,
           HttpHandler handler)
      : acceptor_(context, endpoint),
        handler_(std::make_shared<HttpHandler>(std::move(handler))) {}

  auto Accept() -> void {
    acceptor_.async_accept([self = shared_from_this()](beast::error_code error,
                                                       tcp::socket socket) {
      if (!self->acceptor_.is_open()) {
        return;
      }
      if (!error) {
        std::make_shared<HttpSession>(std::move(socket), self->handler_)
            ->Read();
      }
      self->Accept();
    });
  }

  auto Close() -> void {
    beast::error_code ignored;
    acceptor_.close(ignored);
  }

  auto SilenceConnections() -> void {
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock()) {
        session->SilenceAll();
      }
    }
  }

  auto DropConnections() -> void {
    for (const auto& weak : std::exchange(sessions_, {})) {
      if (const auto session = weak.lock()) {
        session->Close();
      }
    }
  }

  [[nodiscard]] auto port() const -> std::uint16_t {
    return acceptor_.local_endpoint().port();
  }

 private:
  auto Add(tcp::socket socket) -> void {
    auto session = std::make_shared<HttpSession>(std::move(socket), handler_);
    std::erase_if(sessions_, [](const auto& weak) { return weak.expired(); });
    sessions_.push_back(session);
    session->Read();
  }

  tcp::acceptor acceptor_;
  std::shared_ptr<HttpHandler> handler_;
  std::vector<std::weak_ptr<HttpSession>> sessions_;
};

HttpShell::HttpShell(asio::io_context& context, const std::string& address,
                     std::uint16_t port, HttpHandler handler)
    : listener_(std::make_shared<Listener>(
          context, tcp::endpoint(asio::ip::make_address(address), port),
          std::move(handler))) {
  listener_->Accept();
}

HttpShell::~HttpShell() { Close(); }

auto HttpShell::port() const -> std::uint16_t { return listener_->port(); }

auto HttpShell::DropConnections() -> void { listener_->DropConnections(); }

auto HttpShell::SilenceConnections() -> void {
  listener_->SilenceConnections();
}

auto HttpShell::Close() -> void { listener_->Close(); }

}  // namespace baobab::stand_in
