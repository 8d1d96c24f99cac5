#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Beast and Asio stay out of this header; the shell hides them.
namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace baobab::stand_in {

/// One HTTP request as the fakes see it.
struct HttpRequest {
  std::string method_;
  std::string path_;                            ///< Without the query.
  std::map<std::string, std::string> query_;    ///< Parameters, undecoded.
  std::map<std::string, std::string> headers_;  ///< Names in lower case.
  std::string body_;

  /// Returns the header called `name` (lower case), or an empty string.
  [[nodiscard]] auto Header(const std::string& name) const -> std::string {
    const auto found = headers_.find(name);
    return found == headers_.end() ? std::string() : found->second;
  }
};

/// Additional response headers.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

class HttpSession;

/// The answer to one request: sent whole, streamed, or withheld. Calls after
/// the answer ended or the connection closed have no effect.
class HttpReply {
 public:
  /// Made by the session for its request number `number`.
  HttpReply(std::shared_ptr<HttpSession> session, std::uint64_t number)
      : session_(std::move(session)), number_(number) {}

  /// Sends the whole answer, a JSON document.
  auto Send(unsigned status, const std::string& body,
            const HttpHeaders& headers = {}) -> void;

  /// Begins a chunked answer with status 200.
  auto BeginStream(const std::string& content_type,
                   const HttpHeaders& headers = {}) -> void;

  /// Sends `text` as one chunk.
  auto Write(const std::string& text) -> void;

  /// Ends a chunked answer.
  auto EndStream() -> void;

  /// Closes the connection without sending more.
  auto Drop() -> void;

  /// Discards all further output but keeps the connection open, as a
  /// half-open connection does.
  auto Silence() -> void;

  /// Calls `closed` when the caller closes the connection before the end of
  /// the answer.
  auto OnClosed(std::function<void()> closed) -> void;

 private:
  std::shared_ptr<HttpSession> session_;
  std::uint64_t number_;
};

/// Called for each request; the answer may be given later.
using HttpHandler =
    std::function<void(const HttpRequest&, std::shared_ptr<HttpReply>)>;

/// An HTTP/1.1 server on loopback for the fakes. Runs on the thread of the
/// io_context; connections persist.
class HttpShell {
 public:
  /// Listens on `port` of `address`; port 0 takes a free one. Throws
  /// boost::system::system_error if the address is taken.
  HttpShell(boost::asio::io_context& context, const std::string& address,
            std::uint16_t port, HttpHandler handler);
  ~HttpShell();
  HttpShell(const HttpShell&) = delete;
  auto operator=(const HttpShell&) -> HttpShell& = delete;

  /// The port that the server listens on.
  [[nodiscard]] auto port() const -> std::uint16_t;

  /// Closes all open connections, as the end of a process does.
  auto DropConnections() -> void;

  /// Makes all open connections go silent: they stay open, but nothing is read
  /// or sent on them any more. New connections work.
  auto SilenceConnections() -> void;

  /// Stops listening. Open connections continue.
  auto Close() -> void;

 private:
  class Listener;
  std::shared_ptr<Listener> listener_;
};

}  // namespace baobab::stand_in
