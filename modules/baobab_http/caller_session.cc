#include "baobab_http/caller_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <utility>

#include "baobab_http/problem.h"
#include "baobab_http/request_framing.h"

namespace baobab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using HeadParser = http::request_parser<http::empty_body>;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// Copies of a head that its request holds until its end: the fields, what was
/// decoded from them, and the allocator's overhead of many short strings.
constexpr std::size_t kHeadCopies = 3;
/// Reads of one wake-up, so that a fast sender does not keep others waiting.
constexpr int kReadsPerWakeup = 4;

/// Bytes on their way from a socket to the session that keeps them.
auto Scratch() -> std::array<char, std::size_t{16} * 1024>& {
  static thread_local std::array<char, std::size_t{16} * 1024> bytes;
  return bytes;
}

auto FillHead(const HeadParser::value_type& message, std::string address,
              HttpRequest& request) -> void {
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
  request.caller_address_ = std::move(address);
}

}  // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket, HttpLimits limits,
                             std::weak_ptr<SessionOwner> owner)
    : socket_(std::move(socket)),
      deadline_(socket_.get_executor()),
      limits_(limits),
      owner_(std::move(owner)) {
  Error error;
  const auto remote = socket_.remote_endpoint(error);
  caller_address_ = error ? std::string() : remote.address().to_string();
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
}

auto CallerSession::Start() -> void { AwaitRequest(); }

auto CallerSession::Arm(Duration timeout) -> void {
  timed_out_ = false;
  deadline_.expires_after(timeout);
  deadline_.async_wait([self = shared_from_this()](Error error) {
    // A wait that was cancelled or re-armed too late to cancel is ignored.
    if (!error && !self->closed_ &&
        self->deadline_.expiry() <= asio::steady_timer::clock_type::now()) {
      self->timed_out_ = true;
      if (std::exchange(self->paused_, false)) {
        self->OnReadError(asio::error::timed_out);
        return;
      }
      Error ignored;
      self->socket_.cancel(ignored);
    }
  });
}

auto CallerSession::AwaitRequest() -> void {
  DropRequest();
  SetPhase(served_ ? Phase::kIdle : Phase::kFresh);
  if (!head_.empty()) {  // a pipelined request
    SetPhase(Phase::kReading);
    Arm(limits_.header_timeout_);
    const auto number = read_number_;
    ReadHead();
    if (!closed_ && phase_ == Phase::kReading && number == read_number_) {
      WaitReadable();
    }
    return;
  }
  head_ = std::string();
  ReportHeld();
  Arm(limits_.idle_timeout_);
  WaitReadable();
}

auto CallerSession::WaitReadable() -> void {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), number = ++read_number_](Error error) {
        if (number == self->read_number_ && !self->closed_) {
          self->OnReadable(error);
        }
      });
}

auto CallerSession::OnReadable(Error error) -> void {
  if (error || timed_out_) {
    OnReadError(error);
    return;
  }
  const auto owner = owner_.lock();
  if (!owner) {
    Close();
    return;
  }
  for (int i = 0; i < kReadsPerWakeup; ++i) {
    const auto growth = decoder_
                            ? decoder_->GrowthFor(kReadBytes)
                            : std::min(kReadBytes, limits_.header_bytes_ + 1);
    paused_ = true;
    if (!owner->MayRead(this, growth)) {
      return;
    }
    paused_ = false;
    auto& scratch = Scratch();
    const auto size = socket_.read_some(asio::buffer(scratch), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      OnReadError(error);
      return;
    }
    owner->OnProgress(this);
    const std::string_view bytes(scratch.data(), size);
    const auto number = read_number_;
    if (decoder_) {
      ReadBody(bytes);
    } else {
      if (phase_ != Phase::kReading) {
        SetPhase(Phase::kReading);
        Arm(limits_.header_timeout_);
      }
      head_ += bytes;
      ReadHead();
    }
    if (closed_ || phase_ != Phase::kReading || number != read_number_) {
      return;
    }
    if (size < scratch.size()) {
      break;  // nothing is left: another read would only find that out
    }
  }
  WaitReadable();
}

auto CallerSession::Resume() -> void {
  if (!closed_ && std::exchange(paused_, false)) {
    OnReadable(Error());
  }
}

auto CallerSession::OnReadError(Error error) -> void {
  const bool in_request = phase_ == Phase::kReading;
  if (in_request && timed_out_) {
    Reject(408, "the request did not arrive in time");
  } else if (in_request && error == asio::error::eof) {
    Reject(400, "the connection ended inside the request");
  } else {
    Close();
  }
}

auto CallerSession::ReadHead() -> void {
  const auto end = head_.find(kHeadEnd);
  const auto size = end + kHeadEnd.size();
  if ((end == std::string::npos ? head_.size() : size) >
      limits_.header_bytes_) {
    Reject(431, "the request header exceeds " +
                    std::to_string(limits_.header_bytes_) + " bytes");
    return;
  }
  if (end == std::string::npos) {
    ReportHeld();
    return;
  }
  HeadParser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.header_bytes_));
  parser.body_limit(boost::none);
  parser.skip(true);
  Error error;
  const std::string_view head(head_.data(), size);
  const auto decision = DecideFraming(head);
  if (!decision.fault_.empty()) {
    Reject(400,
           "the request is not valid HTTP: " + std::string(decision.fault_));
    return;
  }
  parser.put(asio::buffer(head_.data(), size), error);
  if (error || !parser.is_header_done()) {
    Reject(400, "the request is not valid HTTP: " + error.message());
    return;
  }
  keep_alive_ = parser.keep_alive();
  chunked_ = parser.get().version() >= 11;
  FillHead(parser.get(), caller_address_, request_);
  decoder_.emplace(decision.framing_, limits_.body_bytes_,
                   limits_.header_bytes_);
  request_bytes_ = kHeadCopies * size;
  if (decoder_->state() == BodyDecoder::State::kMore &&
      boost::beast::iequals(parser.get()[http::field::expect],
                            "100-continue")) {
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  Arm(limits_.body_timeout_);
  const auto rest = head_.substr(size);
  head_ = std::string();
  ReadBody(rest);
}

auto CallerSession::ReadBody(std::string_view bytes) -> void {
  const auto used = decoder_->Feed(bytes);
  switch (decoder_->state()) {
    case BodyDecoder::State::kMore:
      ReportHeld();
      return;
    case BodyDecoder::State::kDone:
      head_ = std::string(bytes.substr(used));
      OnRequest();
      return;
    case BodyDecoder::State::kMalformed:
      Reject(400, "the request is not valid HTTP: bad chunk");
      return;
    case BodyDecoder::State::kTooLarge:
      Reject(413, "the request body exceeds " +
                      std::to_string(limits_.body_bytes_) + " bytes");
      return;
    case BodyDecoder::State::kOverheadTooLarge:
      Reject(431, "chunk extensions and trailers exceed " +
                      std::to_string(limits_.header_bytes_) + " bytes");
      return;
  }
}

auto CallerSession::HasLeft() -> bool {
  char byte = 0;
  Error error;
  const auto size = socket_.receive(asio::buffer(&byte, 1),
                                    asio::socket_base::message_peek, error);
  return error ? error != asio::error::would_block : size == 0;
}

auto CallerSession::OnRequest() -> void {
  deadline_.cancel();
  // A busy process may read a request only after its caller has left. Watching
  // the connection would notice it when the request is already on its way.
  if (HasLeft()) {
    Close();
    return;
  }
  const auto owner = owner_.lock();
  if (!owner) {
    Close();
    return;
  }
  complete_ = false;
  streaming_ = false;
  discarded_ = 0;
  request_bytes_ += decoder_->held_bytes();
  request_.body_ = decoder_->TakeBody();
  decoder_.reset();
  exchange_ = owner->Begin(shared_from_this());
  SetPhase(Phase::kRunning);
  ReportHeld();
  WatchForClose();
  owner->Dispatch(*exchange_, std::exchange(request_, HttpRequest()));
}

auto CallerSession::DropRequest() -> void {
  decoder_.reset();
  request_ = HttpRequest();
  request_bytes_ = 0;
}

auto CallerSession::Reject(unsigned status, std::string detail) -> void {
  if (closed_) {
    return;
  }
  deadline_.cancel();
  ++read_number_;
  paused_ = false;
  keep_alive_ = false;
  linger_ = true;
  DropRequest();
  head_ = std::string();
  SetPhase(Phase::kEnding);
  Problem problem;
  problem.step_ = "http.read";
  problem.status_ = status;
  problem.detail_ = std::move(detail);
  if (status == 503) {
    problem.retry_after_ = std::chrono::seconds(1);
  }
  Respond(ProblemResponse(problem));
}

auto CallerSession::End() -> void {
  if (phase_ == Phase::kReading && !complete_) {
    Reject(503, "the instance has no memory for this request now");
  } else {
    Close();
  }
}

auto CallerSession::WatchForClose() -> void {
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), number = ++read_number_](Error error) {
        if (!error && !self->closed_ && number == self->read_number_) {
          self->OnWatched();
        }
      });
}

auto CallerSession::OnWatched() -> void {
  auto& scratch = Scratch();
  Error error;
  const auto size = socket_.read_some(asio::buffer(scratch), error);
  if (error == asio::error::would_block) {
    WatchForClose();
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (discarded_ == 0 && head_.size() + size <= limits_.header_bytes_) {
    head_.append(scratch.data(), size);
  } else {
    head_ = std::string();
    discarded_ += size;
    keep_alive_ = false;
  }
  ReportHeld();
  // Of a caller that sends without end, the rest stays with the system.
  if (discarded_ <= limits_.body_bytes_) {
    WatchForClose();
  }
}

auto CallerSession::SetPhase(Phase phase) -> void {
  phase_ = phase;
  if (const auto owner = owner_.lock()) {
    owner->OnPhase(this, phase);
  }
}

auto CallerSession::ReportHeld() -> void {
  if (const auto owner = owner_.lock()) {
    owner->OnHeld(this, head_.capacity() + request_bytes_ +
                            (decoder_ ? decoder_->held_bytes() : 0) +
                            unsent_.capacity() + sending_.capacity());
  }
}

}  // namespace baobab
