#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "baobab_http/body_decoder.h"
#include "baobab_http/connection_budget.h"
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
  /// Returns true if the session may hold `growth` bytes more. Otherwise the
  /// session stops reading until Resume() or End() is called.
  virtual auto MayRead(class CallerSession* session, std::size_t growth)
      -> bool = 0;
  /// The session holds `bytes` besides its own objects.
  virtual auto OnHeld(const class CallerSession* session, std::size_t bytes)
      -> void = 0;
  virtual auto OnPhase(const class CallerSession* session,
                       ConnectionBudget::Phase phase) -> void = 0;
  /// Bytes of a request or a response have passed.
  virtual auto OnProgress(const class CallerSession* session) -> void = 0;
  /// Returns true if responses must leave little unsent.
  [[nodiscard]] virtual auto IsTight() const -> bool = 0;
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

  /// Reads on after MayRead() returned false.
  auto Resume() -> void;
  /// Ends a request that was not passed on with 503, to free its memory; closes
  /// the connection if there is none.
  auto End() -> void;

 private:
  static constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
  /// Bound on unsent bytes while memory is tight.
  static constexpr std::size_t kTightBlockedBytes = 4096;
  /// Buffers above this size are released once they are empty.
  static constexpr std::size_t kKeptBufferBytes = std::size_t{16} * 1024;
  using Error = boost::system::error_code;
  using Phase = ConnectionBudget::Phase;

  auto AwaitRequest() -> void;
  auto WaitReadable() -> void;
  auto OnReadable(Error error) -> void;
  auto OnReadError(Error error) -> void;
  /// Reads the head from `head_`, once it is complete.
  auto ReadHead() -> void;
  auto ReadBody(std::string_view bytes) -> void;
  auto OnRequest() -> void;
  auto Reject(unsigned status, std::string detail) -> void;
  /// Forgets the parts of a request that was not passed on.
  auto DropRequest() -> void;
  /// Detects that the caller closes while its request is in progress. Takes a
  /// few bytes of pipelined requests; of more it takes none and closes after
  /// the response, so that they fill no memory.
  auto WatchForClose() -> void;
  /// Returns whether the caller has closed the connection and left no bytes.
  [[nodiscard]] auto HasLeft() -> bool;
  auto OnWatched() -> void;
  auto SendHead(const HttpResponse& head, std::optional<std::size_t> length)
      -> void;
  auto Queue(std::string_view bytes) -> void;
  auto Flush() -> void;
  auto OnWritten(Error error, std::size_t bytes) -> void;
  auto FinishExchange() -> void;
  auto Linger() -> void;
  auto OnLingering(Error error) -> void;
  /// Returns true if bytes of a request have arrived that were not parsed yet.
  [[nodiscard]] auto HasUnreadBytes() -> bool;
  auto ReportBlocked() -> void;
  auto ReportHeld() -> void;
  auto SetPhase(Phase phase) -> void;
  auto Arm(Duration timeout) -> void;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer deadline_;
  HttpLimits limits_;
  std::weak_ptr<SessionOwner> owner_;
  std::string head_;  // bytes that were received and not parsed
  std::optional<BodyDecoder> decoder_;
  HttpRequest request_;            // without its body
  std::size_t request_bytes_ = 0;  // of the request that is being served
  std::optional<ExchangeId> exchange_;
  std::string caller_address_;
  std::string unsent_;   // queued while a write is pending
  std::string sending_;  // being written
  std::size_t sent_ = 0;
  std::size_t lingered_ = 0;
  std::size_t discarded_ = 0;      // pipelined bytes that were not kept
  std::uint64_t read_number_ = 0;  // of the wait for bytes in force
  Phase phase_ = Phase::kFresh;
  bool served_ = false;  // a request was served on this connection
  bool paused_ = false;  // reading waits for memory
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
