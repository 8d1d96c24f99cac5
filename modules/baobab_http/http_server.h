#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "baobab_base/time_types.h"
#include "baobab_http/http_message.h"

namespace baobab {

/// Bounds that keep the memory and time of each connection finite.
struct HttpLimits {
  std::size_t header_bytes_ = 16'384;
  std::size_t body_bytes_ = 4'194'304;
  /// When it is reached, a connection without a request in progress is closed
  /// for the next one.
  std::size_t max_connections_ = 4096;
  /// Memory that all connections may hold. Fixed when the server is built.
  std::size_t held_bytes_ = std::size_t{64} << 20U;
  /// Unsent response bytes above which a session reports itself blocked.
  std::size_t blocked_bytes_ = 262'144;
  Duration header_timeout_ = std::chrono::seconds(10);
  Duration body_timeout_ = std::chrono::seconds(30);
  Duration idle_timeout_ = std::chrono::seconds(60);
  /// Longest time without progress while a response is being sent.
  Duration write_timeout_ = std::chrono::seconds(30);
};

/// What the connections of a server hold, and how often their bounds were met.
struct ConnectionCounts {
  std::size_t held_bytes_ = 0;
  std::size_t max_held_bytes_ = 0;  ///< HttpLimits::held_bytes_.
  /// Connections that are not read until memory is free.
  std::size_t paused_ = 0;
  /// Requests that were not passed on and ended to free memory.
  std::uint64_t ended_requests_ = 0;
  /// Responses that were cut because their callers did not read them.
  std::uint64_t cut_responses_ = 0;
  /// Connections that were closed for new ones.
  std::uint64_t replaced_ = 0;
  /// Connections that were refused because all others had requests.
  std::uint64_t refused_ = 0;
};

/// What an HttpServer tells its user, on the thread of its io_context.
struct HttpHandlers {
  /// A whole request arrived.
  std::function<void(ExchangeId, HttpRequest)> on_request_;
  /// The caller's connection ended before the response did.
  std::function<void(ExchangeId)> on_gone_;
  /// More (true) or few (false) response bytes wait for the caller to read.
  std::function<void(ExchangeId, bool)> on_blocked_;
};

/// Accepts connections and runs one CallerSession for each. All methods except
/// the constructor must be called on the thread of the io_context.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, HttpLimits limits,
             HttpHandlers handlers);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  /// Binds `host`:`port` (port 0 picks a free one) and starts to accept.
  /// Returns the bound port. Throws StepError if the address cannot be bound.
  auto Listen(const std::string& host, std::uint16_t port) -> std::uint16_t;

  /// Sends a whole response. Does nothing if the caller is gone.
  auto Respond(ExchangeId exchange, const HttpResponse& response) -> void;

  /// Sends the head of a streamed response; its body is ignored.
  auto BeginStream(ExchangeId exchange, const HttpResponse& head) -> void;

  /// Sends a piece of a streamed response.
  auto Write(ExchangeId exchange, std::string_view piece) -> void;

  /// Ends a streamed response.
  auto EndStream(ExchangeId exchange) -> void;

  /// Closes the connection of a streamed response that cannot be finished
  /// after what was written, without the last chunk, so that the caller does
  /// not take it for a whole one.
  auto AbortStream(ExchangeId exchange) -> void;

  /// Keeps accepting, but announces the end of each connection in its next
  /// response. Connections without a request stay open, so that a request that
  /// is already on its way still gets its answer.
  auto CloseAfterResponses() -> void;

  /// Refuses new connections and closes each session after its response.
  auto StopAccepting() -> void;

  /// Closes every connection at once.
  auto CloseAll() -> void;

  /// Applies `limits` to connections accepted from now on.
  auto SetLimits(HttpLimits limits) -> void;

  /// Returns what the connections hold, and the counts since the start.
  [[nodiscard]] auto counts() const -> ConnectionCounts;

  /// Number of open connections.
  [[nodiscard]] auto connections() const -> std::size_t;

  /// Number of requests whose response has not been handed over to the system.
  [[nodiscard]] auto exchanges() const -> std::size_t;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace baobab
