#include "baobab_http/caller_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "baobab_http/problem.h"

namespace baobab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

auto Malformed(boost::system::error_code error, const HttpLimits& limits)
    -> Problem {
  Problem problem;
  problem.step_ = "http.read";
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    problem.status_ = 431;
    problem.detail_ = "the request header exceeds " +
                      std::to_string(limits.header_bytes_) + " bytes";
  } else if (error == http::error::body_limit) {
    problem.status_ = 413;
    problem.detail_ = "the request body exceeds " +
                      std::to_string(limits.body_bytes_) + " bytes";
  } else if (error == asio::error::timed_out) {
    problem.status_ = 408;
    problem.detail_ = "the request did not arrive in time";
  } else if (error == http::error::partial_message) {
    problem.status_ = 400;
    problem.detail_ = "the connection ended inside the request";
  } else {
    problem.status_ = 400;
    problem.detail_ = "the request is not valid HTTP: " + error.message();
  }
  return problem;
}

auto ToRequest(http::request<http::string_body> message, std::string address)
    -> HttpRequest {
  HttpRequest request;
  const auto method = message.method_string();
  request.method_ = std::string(method.data(), method.size());
  const std::string target(message.target().data(), message.target().size());
  const auto question = target.find('?');
  request.path_ = target.substr(0, question);
  request.target_ = target;
  if (question != std::string::npos) {
    request.query_ = target.substr(question + 1);
  }
  for (const auto& field : message) {
    request.headers_.push_back(
        {std::string(field.name_string().data(), field.name_string().size()),
         std::string(field.value().data(), field.value().size())});
  }
  request.body_ = std::move(message.body());
  request.caller_address_ = std::move(address);
  return request;
}

}  // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket, HttpLimits limits,
                             std::weak_ptr<SessionOwner> owner)
    : socket_(std::move(socket)),
      deadline_(socket_.get_executor()),
      limits_(limits),
      owner_(std::move(owner)),
      buffer_(limits.header_bytes_ + kReadBytes) {
  Error error;
  const auto remote = socket_.remote_endpoint(error);
  caller_address_ = error ? std::string() : remote.address().to_string();
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
}

auto CallerSession::Start() -> void { AwaitRequest(); }

auto CallerSession::Arm(Duration timeout) -> void {
  timed_out_ = false;
  deadline_.expires_after(timeout);
  deadline_.async_wait([self = shared_from_this()](Error error) {
    // A wait that was cancelled or re-armed too late to cancel is ignored.
    if (!error &&
        self->deadline_.expiry() <= asio::steady_timer::clock_type::now()) {
      self->timed_out_ = true;
      Error ignored;
      self->socket_.cancel(ignored);
    }
  });
}

auto CallerSession::AwaitRequest() -> void {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes_));
  parser_->body_limit(limits_.body_bytes_);
  if (buffer_.size() > 0) {  // a pipelined request
    ReadHeader();
    return;
  }
  Arm(limits_.idle_timeout_);
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](Error error, std::size_t bytes) {
        if (error) {
          self->Close();
          return;
        }
        self->buffer_.commit(bytes);
        self->ReadHeader();
      });
}

auto CallerSession::ReadHeader() -> void {
  Arm(limits_.header_timeout_);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](Error error, std::size_t) {
        self->OnHeader(error);
      });
}

auto CallerSession::OnHeader(Error error) -> void {
  if (error) {
    Reject(error);
    return;
  }
  keep_alive_ = parser_->keep_alive();
  const auto length = parser_->content_length();
  if (length && *length > limits_.body_bytes_) {
    Reject(http::error::body_limit);
    return;
  }
  const auto expect = parser_->get()[http::field::expect];
  if (boost::beast::iequals(expect, "100-continue")) {
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  ReadBody();
}

auto CallerSession::ReadBody() -> void {
  Arm(limits_.body_timeout_);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](Error error, std::size_t) {
                     if (error) {
                       self->Reject(error);
                     } else {
                       self->OnRequest();
                     }
                   });
}

auto CallerSession::OnRequest() -> void {
  deadline_.cancel();
  const auto owner = owner_.lock();
  if (!owner) {
    Close();
    return;
  }
  chunked_ = parser_->get().version() >= 11;
  complete_ = false;
  streaming_ = false;
  exchange_ = owner->Begin(shared_from_this());
  auto request = ToRequest(parser_->release(), caller_address_);
  WatchForClose();
  owner->Dispatch(*exchange_, std::move(request));
}

auto CallerSession::Reject(Error error) -> void {
  if (timed_out_) {
    error = asio::error::timed_out;
  }
  if (closed_ || error == http::error::end_of_stream ||
      error == asio::error::connection_reset ||
      error == asio::error::operation_aborted) {
    Close();
    return;
  }
  deadline_.cancel();
  keep_alive_ = false;
  linger_ = true;
  Respond(ProblemResponse(Malformed(error, limits_)));
}

auto CallerSession::WatchForClose() -> void {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), exchange = exchange_](Error error) {
        if (error || self->closed_ || self->exchange_ != exchange) {
          return;
        }
        self->socket_.non_blocking(true, error);
        char byte = 0;
        Error peeked;
        const auto size = self->socket_.receive(
            asio::buffer(&byte, 1), asio::socket_base::message_peek, peeked);
        if (peeked == asio::error::would_block) {
          self->WatchForClose();
        } else if (peeked || size == 0) {
          self->Close();
        }  // Otherwise a pipelined request waits in the socket.
      });
}

}  // namespace baobab
