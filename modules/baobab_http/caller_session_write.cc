// The part of CallerSession that sends responses and ends connections.

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

#include "baobab_http/caller_session.h"

namespace baobab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// A rejected caller may still be sending; reading on for a while lets it see
// the error before the connection is reset.
constexpr auto kLingerTimeout = std::chrono::seconds(2);

}  // namespace

auto CallerSession::SendHead(const HttpResponse& head,
                             std::optional<std::size_t> length) -> void {
  const auto owner = owner_.lock();
  if (!owner || owner->closing() || (!length && !chunked_)) {
    keep_alive_ = false;
  }
  http::response<http::empty_body> message;
  message.result(head.status_);
  message.version(11);
  if (!head.content_type_.empty()) {
    message.set(http::field::content_type, head.content_type_);
  }
  for (const auto& header : head.headers_) {
    message.insert(header.name_, header.value_);
  }
  if (length) {
    message.content_length(*length);
  } else if (chunked_) {
    message.chunked(true);
  }
  if (!keep_alive_) {
    message.set(http::field::connection, "close");
  }
  std::ostringstream out;
  out << message.base();
  Queue(out.str());
}

auto CallerSession::Respond(const HttpResponse& response) -> void {
  if (closed_ || streaming_ || complete_) {
    return;
  }
  complete_ = true;
  if (exchange_) {
    SetPhase(Phase::kSending);
  }
  unsent_.reserve(response.body_.size() + 512);
  SendHead(response, response.body_.size());
  Queue(response.body_);
}

auto CallerSession::BeginStream(const HttpResponse& head) -> void {
  if (closed_ || streaming_ || complete_) {
    return;
  }
  streaming_ = true;
  SendHead(head, std::nullopt);
}

auto CallerSession::Write(std::string_view piece) -> void {
  if (closed_ || !streaming_ || complete_ || piece.empty()) {
    return;
  }
  if (!chunked_) {
    Queue(piece);
    return;
  }
  std::ostringstream size;
  size << std::hex << piece.size() << "\r\n";
  Queue(size.str() + std::string(piece) + "\r\n");
}

auto CallerSession::EndStream() -> void {
  if (closed_ || !streaming_ || complete_) {
    return;
  }
  complete_ = true;
  SetPhase(Phase::kSending);
  Queue(chunked_ ? "0\r\n\r\n" : "");
}

auto CallerSession::Abort() -> void {
  if (closed_ || !streaming_ || complete_) {
    return;
  }
  complete_ = true;
  keep_alive_ = false;
  SetPhase(Phase::kSending);
  Queue("");
}

auto CallerSession::Queue(std::string_view bytes) -> void {
  unsent_ += bytes;
  Flush();
  ReportBlocked();
  ReportHeld();
}

auto CallerSession::Flush() -> void {
  if (writing_ || closed_) {
    return;
  }
  if (sent_ == sending_.size()) {
    sending_.clear();
    if (sending_.capacity() > kKeptBufferBytes) {
      sending_ = std::string();
    }
    std::swap(sending_, unsent_);
    sent_ = 0;
  }
  if (sending_.empty()) {
    if (complete_) {
      FinishExchange();
    }
    return;
  }
  writing_ = true;
  if (exchange_ || complete_) {  // not while a body is being read
    Arm(limits_.write_timeout_);
  }
  socket_.async_write_some(
      asio::buffer(sending_.data() + sent_, sending_.size() - sent_),
      [self = shared_from_this()](Error error, std::size_t bytes) {
        self->OnWritten(error, bytes);
      });
}

auto CallerSession::OnWritten(Error error, std::size_t bytes) -> void {
  writing_ = false;
  if (error) {
    Close();
    return;
  }
  sent_ += bytes;
  if (exchange_) {
    deadline_.cancel();
  }
  if (const auto owner = owner_.lock()) {
    owner->OnProgress(this);
  }
  Flush();
  ReportBlocked();
  ReportHeld();
}

auto CallerSession::ReportBlocked() -> void {
  const auto owner = owner_.lock();
  if (!owner || !exchange_) {
    return;
  }
  const auto pending = unsent_.size() + sending_.size() - sent_;
  const auto most = owner->IsTight()
                        ? std::min(kTightBlockedBytes, limits_.blocked_bytes_)
                        : limits_.blocked_bytes_;
  const bool blocked = pending > (blocked_ ? most / 4 : most);
  if (blocked != blocked_) {
    blocked_ = blocked;
    owner->Blocked(*exchange_, blocked);
  }
}

auto CallerSession::FinishExchange() -> void {
  deadline_.cancel();
  complete_ = false;
  streaming_ = false;
  blocked_ = false;
  sending_ = std::string();  // an idle connection keeps no response buffer
  sent_ = 0;
  request_bytes_ = 0;
  served_ = served_ || exchange_.has_value();
  ++read_number_;
  const auto owner = owner_.lock();
  if (exchange_) {
    const auto exchange = *std::exchange(exchange_, std::nullopt);
    if (owner) {
      owner->Finish(exchange, false);
    }
  }
  if (linger_) {
    Linger();
  } else if (!keep_alive_ || !owner || owner->closing()) {
    Error ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    Close();
  } else {
    Error ignored;
    socket_.cancel(ignored);  // ends the wait of WatchForClose
    AwaitRequest();
  }
}

auto CallerSession::Linger() -> void {
  Error ignored;
  if (lingered_ == 0) {
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    Arm(kLingerTimeout);
  }
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](Error error) { self->OnLingering(error); });
}

auto CallerSession::OnLingering(Error error) -> void {
  static thread_local std::array<char, kReadBytes> discarded;
  const auto size =
      error ? 0 : socket_.read_some(asio::buffer(discarded), error);
  lingered_ += std::max<std::size_t>(size, 1);
  if ((error && error != asio::error::would_block) ||
      lingered_ > limits_.body_bytes_) {
    Close();
  } else {
    Linger();
  }
}

auto CallerSession::HasUnreadBytes() -> bool {
  Error error;
  return !head_.empty() || (socket_.available(error) > 0 && !error);
}

auto CallerSession::CloseIfIdle() -> void {
  if ((phase_ == Phase::kFresh || phase_ == Phase::kIdle) && !writing_ &&
      !HasUnreadBytes()) {
    Close();
  }
}

auto CallerSession::Close() -> void {
  if (std::exchange(closed_, true)) {
    return;
  }
  deadline_.cancel();
  Error ignored;
  socket_.close(ignored);
  const auto owner = owner_.lock();
  if (!owner) {
    return;
  }
  if (exchange_) {
    owner->Finish(*std::exchange(exchange_, std::nullopt), true);
  }
  owner->Closed(this);
}

}  // namespace baobab
