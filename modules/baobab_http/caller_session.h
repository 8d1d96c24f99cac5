#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "baobab_http/http_message.h"
#include "baobab_http/http_server.h"

namespace baobab {

/// What a CallerSession needs from its server.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;

  /// Registers a request and returns its number.
  virtual auto Begin(const std::shared_ptr<class CallerSession>& session)
      -> ExchangeId = 0;
  /// Passes a whole request on.
  virtual auto Dispatch(ExchangeId exchange, HttpRequest request) -> void = 0;
  /// The response was sent, or the caller is gone (`gone`).
  virtual auto Finish(ExchangeId exchange, bool gone) -> void = 0;
  /// The number of unsent bytes crossed a bound.
  virtual auto Blocked(ExchangeId exchange, bool blocked) -> void = 0;
  /// The session has closed its connection.
  virtual auto Closed(const class CallerSession* session) -> void = 0;
  /// Returns true if sessions must close after their response.
  [[nodiscard]] virtual auto closing() const -> bool = 0;
};

/// One connection of a caller. Keeps itself alive while an operation is
/// pending; requests on it are served one after the other.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(boost::asio::ip::tcp::socket socket, HttpLimits limits,
                std::weak_ptr<SessionOwner> owner);

  /// Waits for the first request.
  auto Start() -> void;
  auto Respond(const HttpResponse& response) -> void;
  auto BeginStream(const HttpResponse& head) -> void;
  auto Write(std::string_view piece) -> void;
  auto EndStream() -> void;
  /// Sends what is queued, then closes without the end of the stream.
  auto Abort() -> void;
  /// Closes the connection at once.
  auto Close() -> void;
  /// Closes the connection if no request is in progress or has arrived.
  auto CloseIfIdle() -> void;

 private:
  static constexpr std::size_t kReadBytes = 4096;
  using Error = boost::system::error_code;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  auto AwaitRequest() -> void;
  auto ReadHeader() -> void;
  auto OnHeader(Error error) -> void;
  auto ReadBody() -> void;
  auto OnRequest() -> void;
  auto Reject(Error error) -> void;
  auto WatchForClose() -> void;
  auto SendHead(const HttpResponse& head, std::optional<std::size_t> length)
      -> void;
  auto Queue(std::string_view bytes) -> void;
  auto Flush() -> void;
  auto OnWritten(Error error, std::size_t bytes) -> void;
  auto FinishExchange() -> void;
  auto Linger() -> void;
  /// Returns true if bytes of a request have arrived that were not parsed yet.
  [[nodiscard]] auto HasUnreadBytes() -> bool;
  auto ReportBlocked() -> void;
  auto Arm(Duration timeout) -> void;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer deadline_;
  HttpLimits limits_;
  std::weak_ptr<SessionOwner> owner_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<ExchangeId> exchange_;
  std::string caller_address_;
  std::string unsent_;   // queued while a write is pending
  std::string sending_;  // being written
  std::size_t sent_ = 0;
  std::size_t lingered_ = 0;
  std::array<char, kReadBytes> scratch_{};
  bool writing_ = false;
  bool chunked_ = false;
  bool streaming_ = false;
  bool complete_ = false;  // the response is queued to its end
  bool keep_alive_ = false;
  bool linger_ = false;
  bool blocked_ = false;
  bool timed_out_ = false;
  bool closed_ = false;
};

}  // namespace baobab
