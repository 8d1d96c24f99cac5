#pragma once

// A small blocking HTTP/1.1 server and client on loopback addresses, for the
// stand-ins of the second review. One thread per connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review2 {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Address and port of a listener on this machine.
struct Address {
  std::string host_;
  std::uint16_t port_ = 0;

  [[nodiscard]] auto ToString() const -> std::string {
    return host_ + ":" + std::to_string(port_);
  }
  [[nodiscard]] static auto Parse(const std::string& text) -> Address {
    const auto colon = text.rfind(':');
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
  }
};

inline auto ToSockaddr(const Address& address) -> sockaddr_in {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port_);
  inet_pton(AF_INET, address.host_.c_str(), &native.sin_addr);
  return native;
}

/// Start line, header fields and body of a request or response.
struct Message {
  std::string start_;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;

  [[nodiscard]] auto Header(std::string_view name) const -> std::string {
    for (const auto& [key, value] : fields_) {
      if (key.size() == name.size() &&
          strncasecmp(key.data(), name.data(), name.size()) == 0) {
        return value;
      }
    }
    return {};
  }
  [[nodiscard]] auto Method() const -> std::string {
    return start_.substr(0, start_.find(' '));
  }
  /// Path and query of a request.
  [[nodiscard]] auto Target() const -> std::string {
    const auto begin = start_.find(' ') + 1;
    return start_.substr(begin, start_.find(' ', begin) - begin);
  }
  /// Status of a response; 0 if its start line has none.
  [[nodiscard]] auto Status() const -> int {
    const auto space = start_.find(' ');
    return space == std::string::npos ? 0
                                      : std::atoi(start_.c_str() + space + 1);
  }
};

/// One TCP connection.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int socket) : socket_(socket) {}
  Connection(Connection&& other) noexcept
      : socket_(std::exchange(other.socket_, -1)),
        buffer_(std::move(other.buffer_)) {}
  auto operator=(Connection&& other) noexcept -> Connection& {
    Close();
    socket_ = std::exchange(other.socket_, -1);
    buffer_ = std::move(other.buffer_);
    return *this;
  }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;
  ~Connection() { Close(); }

  auto Open(const Address& address, Milliseconds timeout = Milliseconds(1000))
      -> bool {
    Close();
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto native = ToSockaddr(address);
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&native),
                sizeof(native)) != 0 &&
        errno != EINPROGRESS) {
      Close();
      return false;
    }
    pollfd wait{socket_, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&wait, 1, static_cast<int>(timeout.count())) != 1 ||
        getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      Close();
      return false;
    }
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
  }

  auto Write(std::string_view bytes) -> bool {
    while (!bytes.empty()) {
      const auto size = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size > 0) {
        bytes.remove_prefix(static_cast<std::size_t>(size));
        continue;
      }
      if (errno != EAGAIN) {
        return false;
      }
      pollfd wait{socket_, POLLOUT, 0};
      if (poll(&wait, 1, 10000) != 1) {
        return false;
      }
    }
    return true;
  }

  /// Appends bytes that arrive before `until` to the buffer. Returns false at
  /// the end of the connection or of the time.
  auto Fill(TimePoint until) -> bool {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    pollfd wait{socket_, POLLIN, 0};
    if (socket_ < 0 ||
        poll(&wait, 1, std::max(0, static_cast<int>(left.count()))) != 1) {
      timed_out_ = socket_ >= 0;
      return false;
    }
    char bytes[16384];
    const auto size = recv(socket_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  /// Reads a message: by length, in chunks, or (`until_end`) up to the end of
  /// the connection. `complete_` tells whether it was whole.
  auto Read(TimePoint until, bool until_end = false) -> std::optional<Message> {
    timed_out_ = false;
    complete_ = false;
    auto end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    auto message = ParseHead(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      complete_ = ReadChunks(message.body_, until);
    } else if (const auto length = message.Header("Content-Length");
               !length.empty()) {
      const auto size = static_cast<std::size_t>(std::stoul(length));
      while (buffer_.size() < size && Fill(until)) {
      }
      message.body_ = buffer_.substr(0, size);
      buffer_.erase(0, size);
      complete_ = message.body_.size() == size;
    } else if (until_end) {
      while (Fill(until)) {
      }
      message.body_ = std::exchange(buffer_, {});
      complete_ = !timed_out_;
    } else {
      complete_ = true;
    }
    return message;
  }

  /// Ends the connection with a reset instead of a regular close.
  auto Reset() -> void {
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  auto Close() -> void {
    if (socket_ >= 0) {
      close(socket_);
    }
    socket_ = -1;
    buffer_.clear();
  }
  /// Lets the thread of this connection end it with a reset.
  auto ResetSoon() -> void {
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shutdown(socket_, SHUT_RD);
  }
  /// Wakes a thread that waits for this connection.
  auto Shutdown() -> void { shutdown(socket_, SHUT_RDWR); }

  [[nodiscard]] auto is_open() const -> bool { return socket_ >= 0; }
  [[nodiscard]] auto complete() const -> bool { return complete_; }
  [[nodiscard]] auto timed_out() const -> bool { return timed_out_; }
  [[nodiscard]] auto socket_number() const -> int { return socket_; }
  /// True if the peer closed the connection or sent bytes.
  [[nodiscard]] auto HasInput() const -> bool {
    pollfd wait{socket_, POLLIN, 0};
    return poll(&wait, 1, 0) == 1;
  }

 private:
  static auto ParseHead(const std::string& head) -> Message {
    Message message;
    auto end = head.find("\r\n");
    message.start_ = head.substr(0, end);
    while (end != std::string::npos) {
      const auto begin = end + 2;
      end = head.find("\r\n", begin);
      const auto line = head.substr(begin, end - begin);
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields_.emplace_back(line.substr(0, colon), value);
    }
    return message;
  }

  auto ReadChunks(std::string& body, TimePoint until) -> bool {
    for (;;) {
      auto end = std::string::npos;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const auto size =
          static_cast<std::size_t>(std::strtoul(buffer_.c_str(), nullptr, 16));
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill(until)) {
          body += buffer_.substr(std::min(buffer_.size(), end + 2));
          return false;
        }
      }
      body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  int socket_ = -1;
  std::string buffer_;
  bool complete_ = false;
  bool timed_out_ = false;
};

/// Returns a response with a JSON body or another one.
inline auto Response(int status, const std::string& body,
                     const std::string& fields = {}) -> std::string {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nContent-Type: application/json\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and runs a handler for each request. The handler returns
/// false to end the connection.
class Server {
 public:
  using Handler = std::function<bool(Connection&, const Message&)>;

  Server() = default;
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;
  ~Server() { Stop(); }

  /// Listens at `host`, on a free port if `port` is 0.
  auto Start(const std::string& host, Handler handler, std::uint16_t port = 0)
      -> bool {
    handler_ = std::move(handler);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto native = ToSockaddr({host, port});
    socklen_t size = sizeof(native);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&native), size) != 0 ||
        listen(listener_, 512) != 0) {
      return false;
    }
    getsockname(listener_, reinterpret_cast<sockaddr*>(&native), &size);
    address_ = {host, ntohs(native.sin_port)};
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }

  /// Ends the listener and all connections, as the end of a process does.
  auto Stop() -> void {
    if (stopping_.exchange(true) || listener_ < 0) {
      return;
    }
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (auto* connection : open_) {
        connection->Shutdown();
      }
    }
    for (;;) {
      {
        const std::lock_guard lock(mutex_);
        if (open_.empty()) {
          return;
        }
      }
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }

  /// Resets the open connections; new ones are accepted.
  auto ResetConnections() -> void {
    const std::lock_guard lock(mutex_);
    for (auto* connection : open_) {
      connection->ResetSoon();
    }
  }

  [[nodiscard]] auto address() const -> const Address& { return address_; }
  [[nodiscard]] auto stopping() const -> bool { return stopping_; }

 private:
  auto Accept() -> void {
    for (;;) {
      const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (stopping_) {
        if (socket >= 0) {
          close(socket);
        }
        return;
      }
      if (socket < 0) {
        std::this_thread::sleep_for(Milliseconds(5));
        continue;
      }
      const int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, socket] { Serve(socket); }).detach();
    }
  }

  auto Serve(int socket) -> void {
    Connection connection(socket);
    {
      const std::lock_guard lock(mutex_);
      open_.insert(&connection);
    }
    while (!stopping_) {
      const auto request =
          connection.Read(Clock::now() + std::chrono::seconds(20));
      if (!request || !connection.complete() ||
          !handler_(connection, *request)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    open_.erase(&connection);
  }

  Handler handler_;
  Address address_;
  int listener_ = -1;
  std::thread acceptor_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::set<Connection*> open_;
};

}  // namespace review2
