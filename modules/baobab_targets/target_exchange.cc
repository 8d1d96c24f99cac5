#include "baobab_targets/target_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <sstream>

#include "baobab_targets/connection_pool.h"
#include "baobab_targets/response_head_rules.h"

namespace baobab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kReadBytes = std::size_t{4} * 1024;
constexpr std::uint32_t kHeaderBytes = 16 * 1024;
/// Upper bound on the bytes of responses to earlier requests that are skipped
/// in one exchange. A target sends one such response, not an endless series.
constexpr std::size_t kMaxSkippedBytes = std::size_t{1} << 20;

/// Interim responses that are skipped in one exchange.
constexpr int kMaxInterimResponses = 8;
/// Receive buffer of a connection. The platform counts what a target has sent
/// and a paused exchange has not read as memory of the process.
constexpr int kReceiveBufferBytes = 64 * 1024;

auto SerializeHead(const TargetRequest& request, std::size_t body_bytes)
    -> std::string {
  http::request<http::empty_body> message;
  message.method_string(request.method_);
  message.target(request.path_);
  message.version(11);
  message.set(http::field::host, request.endpoint_.ToString());
  for (const auto& [name, value] : request.headers_) {
    if (boost::beast::iequals(name, "Host")) {
      message.set(http::field::host, value);
    } else {
      message.insert(name, value);
    }
  }
  if (body_bytes > 0 || request.method_ != "GET") {
    message.content_length(body_bytes);
  }
  std::ostringstream out;
  out << message.base();
  return out.str();
}

/// Returns true if a response with `status` rejects its request. A faulty
/// target may send such a response once more on the same connection. The copy
/// would be taken for the response to the next request, if it states no id or
/// the next request is the same one, sent again.
auto IsRejection(unsigned status) -> bool {
  return (status >= 400 && status < 500) || status == 503;
}

/// Returns the time after which the target closes an idle connection, if its
/// response says so (`Keep-Alive: timeout=<seconds>`).
auto KeepAliveTime(const TargetResponseHead& head) -> std::optional<Duration> {
  const auto value = head.Header("Keep-Alive");
  constexpr std::string_view kTimeout = "timeout=";
  const auto found = value.find(kTimeout);
  if (found == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const auto* begin = value.data() + found + kTimeout.size();
  std::from_chars(begin, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds);
}

class Exchange : public TargetExchange,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<ConnectionPool> pool, TargetRequest request,
           ExchangeEvents events)
      : pool_(std::move(pool)),
        request_(std::move(request)),
        events_(std::move(events)),
        socket_(pool_->io()),
        deadline_(pool_->io()),
        buffer_(kHeaderBytes + kReadBytes) {
    ResetParser();
  }

  auto Begin() -> void;
  auto Cancel() -> bool override;
  auto Pause(bool paused) -> void override;

 private:
  auto ResetParser() -> void;
  [[nodiscard]] auto body() const -> const std::string& {
    return request_.shared_body_ ? *request_.shared_body_ : request_.body_;
  }
  [[nodiscard]] auto outgoing_bytes() const -> std::size_t {
    return head_.size() + body().size();
  }
  auto Connect() -> void;
  auto Send() -> void;
  auto OnSent(Error error, std::size_t bytes) -> void;
  auto ReadHead() -> void;
  auto ReadMoreOfHead() -> void;
  auto OnHeadBytes(std::string_view head) -> void;
  auto OnHead() -> void;
  auto ReadBody() -> void;
  auto OnBody(Error error) -> void;
  auto End() -> void;
  auto Fail(std::string_view step, Error error) -> void;
  auto Fail(std::string_view step, std::string reason, bool closed = false)
      -> void;
  auto Arm(Duration timeout) -> void;
  [[nodiscard]] auto ended() const -> bool { return ended_; }

  std::shared_ptr<ConnectionPool> pool_;
  TargetRequest request_;
  ExchangeEvents events_;
  Tcp::socket socket_;
  asio::steady_timer deadline_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::array<char, kReadBytes> piece_{};
  std::string head_;  // of the request
  std::size_t sent_ = 0;
  // True once a write that may have passed bytes to the system was started on
  // a connected socket and has not been seen to fail with none written.
  bool bytes_left_ = false;
  bool write_pending_ = false;
  Error send_error_;  // set if the request was not sent whole
  std::optional<Duration> keep_alive_time_;
  bool paused_ = false;
  bool reading_ = false;
  bool timed_out_ = false;
  bool skipping_ = false;  // the response being read answers another request
  std::size_t skipped_bytes_ = 0;
  int interim_responses_ = 0;
  asio::steady_timer::time_point end_at_ =
      asio::steady_timer::time_point::max();
  bool ended_ = false;
};

auto Exchange::ResetParser() -> void {
  parser_.emplace();
  parser_->header_limit(kHeaderBytes);
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->skip(request_.method_ == "HEAD");
}

auto Exchange::Begin() -> void {
  head_ = SerializeHead(request_, body().size());
  if (request_.timeouts_.total_ != Duration::max()) {
    end_at_ = std::chrono::steady_clock::now() + request_.timeouts_.total_;
  }
  if (!request_.new_connection_) {
    if (auto idle = pool_->Take(request_.endpoint_)) {
      socket_ = std::move(*idle);
      asio::post(pool_->io(), [self = shared_from_this()] {
        if (!self->ended_) {
          self->Send();
        }
      });
      return;
    }
  }
  asio::post(pool_->io(), [self = shared_from_this()] {
    if (self->ended_) {
      return;
    }
    if (self->request_.open_connection_only_) {
      self->Fail("connect", "no connection is open");
    } else {
      self->Connect();
    }
  });
}

auto Exchange::Arm(Duration timeout) -> void {
  deadline_.expires_at(
      std::min(end_at_, std::chrono::steady_clock::now() + timeout));
  deadline_.async_wait([self = shared_from_this()](Error error) {
    if (!error && !self->ended_ &&
        self->deadline_.expiry() <= std::chrono::steady_clock::now()) {
      self->timed_out_ = true;
      Error ignored;
      self->socket_.cancel(ignored);
    }
  });
}

auto Exchange::Connect() -> void {
  Error error;
  const auto address = asio::ip::make_address(request_.endpoint_.host_, error);
  if (error) {
    Fail("connect", error);
    return;
  }
  Arm(request_.timeouts_.connect_);
  const Tcp::endpoint endpoint(address, request_.endpoint_.port_);
  // The buffer must be set before the connection is established.
  socket_.open(endpoint.protocol(), error);
  if (error) {
    Fail("connect", error);
    return;
  }
  socket_.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
  socket_.async_connect(endpoint, [self = shared_from_this()](Error failed) {
    if (self->ended_) {
      return;
    }
    if (failed) {
      self->Fail("connect", failed);
      return;
    }
    Error ignored;
    self->socket_.set_option(Tcp::no_delay(true), ignored);
    self->Send();
  });
}

auto Exchange::Send() -> void {
  if (sent_ == 0) {
    Arm(request_.timeouts_.send_);
  }
  write_pending_ = true;
  const auto head_sent = std::min(sent_, head_.size());
  const std::array<asio::const_buffer, 2> rest = {
      asio::buffer(head_) + head_sent,
      asio::buffer(body()) + (sent_ - head_sent)};
  socket_.async_write_some(
      rest, [self = shared_from_this()](Error error, std::size_t bytes) {
        self->OnSent(error, bytes);
      });
}

auto Exchange::OnSent(Error error, std::size_t bytes) -> void {
  write_pending_ = false;
  sent_ += bytes;
  bytes_left_ = sent_ > 0;
  if (ended_) {
    return;
  }
  if (error && bytes_left_) {
    // The target may have answered before it read the whole request.
    send_error_ = error;
    ReadHead();
  } else if (error) {
    Fail("send", error);
  } else if (sent_ < outgoing_bytes()) {
    Send();
  } else {
    head_ = std::string();
    request_.body_ = std::string();
    request_.shared_body_.reset();
    ReadHead();
  }
}

auto Exchange::ReadHead() -> void {
  Arm(request_.timeouts_.head_);
  if (buffer_.size() == 0) {
    ReadMoreOfHead();
    return;
  }
  // Posted, as many skipped responses may follow each other in the buffer.
  asio::post(pool_->io(), [self = shared_from_this()] {
    if (!self->ended_) {
      self->ReadMoreOfHead();
    }
  });
}

auto Exchange::ReadMoreOfHead() -> void {
  const std::string_view received(
      static_cast<const char*>(buffer_.data().data()), buffer_.size());
  if (const auto size = FindHeadEnd(received)) {
    OnHeadBytes(received.substr(0, *size));
    return;
  }
  if (received.size() >= kHeaderBytes) {
    Fail("receive", http::error::header_limit);
    return;
  }
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](Error error, std::size_t bytes) {
        if (self->ended_) {
          return;
        }
        if (error) {
          self->Fail("receive", error);
          return;
        }
        self->buffer_.commit(bytes);
        self->ReadMoreOfHead();
      });
}

auto Exchange::OnHeadBytes(std::string_view head) -> void {
  if (const auto* rule = FindBrokenRule(head)) {
    Fail("receive",
         std::string(rule->fault_) + " (" + std::string(rule->source_) + ")");
    return;
  }
  Error error;
  const auto used = parser_->put(asio::buffer(head.data(), head.size()), error);
  if (error || !parser_->is_header_done()) {
    Fail("receive", error ? error : http::error::bad_field);
    return;
  }
  buffer_.consume(used);
  OnHead();
}

auto Exchange::OnHead() -> void {
  TargetResponseHead head;
  head.status_ = parser_->get().result_int();
  for (const auto& field : parser_->get()) {
    head.headers_.emplace_back(
        std::string(field.name_string().data(), field.name_string().size()),
        std::string(field.value().data(), field.value().size()));
  }
  if (head.status_ < 200) {  // an interim response
    if (++interim_responses_ > kMaxInterimResponses) {
      Fail("receive", "too many interim responses");
      return;
    }
    ResetParser();
    ReadHead();
    return;
  }
  skipping_ = false;
  if (!request_.echo_header_.empty()) {
    const auto echoed = head.Header(request_.echo_header_);
    skipping_ = !echoed.empty() && echoed != request_.echo_value_;
    skipped_bytes_ += skipping_ ? kReadBytes : 0;
  }
  if (!skipping_ && events_.on_head_) {
    events_.on_head_(head);
  }
  keep_alive_time_ = KeepAliveTime(head);
  if (!ended_) {
    ReadBody();
  }
}

auto Exchange::ReadBody() -> void {
  if (parser_->is_done()) {
    End();
    return;
  }
  if (reading_) {
    return;
  }
  if (paused_) {
    deadline_.cancel();
    return;
  }
  reading_ = true;
  parser_->get().body().data = piece_.data();
  parser_->get().body().size = piece_.size();
  Arm(request_.timeouts_.body_);
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this()](Error error, std::size_t) {
                          self->reading_ = false;
                          if (!self->ended_) {
                            self->OnBody(error);
                          }
                        });
}

auto Exchange::OnBody(Error error) -> void {
  if (error && error != http::error::need_buffer) {
    Fail("receive", error);
    return;
  }
  const auto size = piece_.size() - parser_->get().body().size;
  skipped_bytes_ += skipping_ ? size : 0;
  if (skipped_bytes_ > kMaxSkippedBytes) {
    Fail("receive", http::error::body_limit);
    return;
  }
  if (size > 0 && !skipping_ && events_.on_data_) {
    events_.on_data_(std::string_view(piece_.data(), size));
  }
  if (!ended_) {
    ReadBody();
  }
}

auto Exchange::End() -> void {
  if (skipping_ && parser_->keep_alive()) {
    ResetParser();
    ReadHead();
    return;
  }
  if (skipping_) {
    Fail("receive", http::error::end_of_stream);
    return;
  }
  if (send_error_ && parser_->need_eof()) {
    // The system states the error of a connection once, here to the write, and
    // then shows a reset as an end in order. A response without a length is
    // whole only without an error (RFC 9112, section 8).
    Fail("receive", send_error_);
    return;
  }
  ended_ = true;
  deadline_.cancel();
  // Bytes after the response belong to no request, and a target that waits for
  // the rest of a request would take the next one for it: such connections are
  // not used again.
  if (parser_->keep_alive() && buffer_.size() == 0 && !send_error_ &&
      !IsRejection(parser_->get().result_int())) {
    pool_->Return(request_.endpoint_, std::move(socket_), keep_alive_time_);
  }
  if (events_.on_end_) {
    events_.on_end_();
  }
}

auto Exchange::Fail(std::string_view step, Error error) -> void {
  Fail(step, timed_out_ ? "timed out" : error.message(),
       error == http::error::end_of_stream ||
           error == http::error::partial_message || error == asio::error::eof);
}

auto Exchange::Fail(std::string_view step, std::string reason, bool closed)
    -> void {
  ended_ = true;
  deadline_.cancel();
  AttemptFailure failure;
  failure.outcome_ = bytes_left_ ? Outcome::kUnknown : Outcome::kNotRun;
  failure.step_ = step;
  failure.peer_ = request_.endpoint_.ToString();
  failure.timed_out_ = timed_out_;
  failure.closed_ = closed;
  failure.reason_ = std::move(reason);
  Error ignored;
  socket_.close(ignored);
  if (events_.on_failure_) {
    events_.on_failure_(failure);
  }
}

auto Exchange::Cancel() -> bool {
  if (!ended_) {
    ended_ = true;
    deadline_.cancel();
    Error ignored;
    socket_.close(ignored);
  }
  // A pending write may have passed bytes on although its result is not known.
  return bytes_left_ || write_pending_;
}

auto Exchange::Pause(bool paused) -> void {
  if (std::exchange(paused_, paused) == paused || ended_ || paused ||
      !parser_->is_header_done()) {
    return;
  }
  // Posted, so that no event arrives from within this call.
  asio::post(pool_->io(), [self = shared_from_this()] {
    if (!self->ended_) {
      self->ReadBody();
    }
  });
}

}  // namespace

auto TargetResponseHead::Header(std::string_view name) const
    -> std::string_view {
  for (const auto& [key, value] : headers_) {
    if (boost::beast::iequals(key, {name.data(), name.size()})) {
      return value;
    }
  }
  return {};
}

auto TargetExchange::Start(const std::shared_ptr<ConnectionPool>& pool,
                           TargetRequest request, ExchangeEvents events)
    -> std::shared_ptr<TargetExchange> {
  auto exchange =
      std::make_shared<Exchange>(pool, std::move(request), std::move(events));
  exchange->Begin();
  return exchange;
}

}  // namespace baobab
