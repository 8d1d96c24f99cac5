#pragma once

// Blocking sockets and the part of HTTP/1.1 that the stand-ins need.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline auto Sleep(int ms) -> void { std::this_thread::sleep_for(Ms(ms)); }

struct Address {
  std::string ip_;
  int port_ = 0;
  [[nodiscard]] auto Text() const -> std::string {
    return ip_ + ":" + std::to_string(port_);
  }
};

inline auto SocketAddress(const Address& address) -> sockaddr_in {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port_));
  inet_pton(AF_INET, address.ip_.c_str(), &result.sin_addr);
  return result;
}

/// Binds a socket of `type`. Returns -1 if the address is in use.
inline auto Bind(const Address& address, int type) -> int {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  }
  const auto where = SocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 ||
      (type == SOCK_STREAM && listen(fd, 256) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Returns a connected socket, or -1.
inline auto Connect(const Address& address, int timeout_ms) -> int {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto where = SocketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) !=
      0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&wait, 1, timeout_ms) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline auto SendAll(int fd, std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    const auto sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
      pollfd wait{fd, POLLOUT, 0};
      if (poll(&wait, 1, 2000) <= 0) {
        return false;
      }
      continue;
    }
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// Closes a connection with a reset.
inline auto Reset(int fd) -> void {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(fd);
}

/// True if the other end has closed or reset the connection.
inline auto HasEnded(int fd) -> bool {
  char byte = 0;
  const auto size = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

struct Headers : std::vector<std::pair<std::string, std::string>> {
  [[nodiscard]] auto Get(std::string_view name) const -> std::string {
    for (const auto& [key, value] : *this) {
      if (key.size() == name.size() &&
          strncasecmp(key.data(), name.data(), name.size()) == 0) {
        return value;
      }
    }
    return "";
  }
};

/// The head and the body of a request or response.
struct Message {
  std::string first_;  // first line
  Headers headers_;
  std::string body_;
  [[nodiscard]] auto Status() const -> int {
    return first_.size() > 12 ? std::atoi(first_.c_str() + 9) : 0;
  }
  [[nodiscard]] auto Method() const -> std::string {
    return first_.substr(0, first_.find(' '));
  }
  [[nodiscard]] auto Target() const -> std::string {
    const auto from = first_.find(' ') + 1;
    return first_.substr(from, first_.find(' ', from) - from);
  }
};

/// Reads from one connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// Receives more bytes. False at the end, an error or the deadline.
  auto More(Clock::time_point until) -> bool {
    const auto left =
        std::chrono::duration_cast<Ms>(until - Clock::now()).count();
    pollfd wait{fd_, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const auto size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      ended_ = true;
      return false;
    }
    held_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  /// Returns true once the connection has ended.
  [[nodiscard]] auto ended() const -> bool { return ended_; }

  /// Takes a line, or a number of bytes, that was received whole.
  auto LineNow() -> std::optional<std::string> {
    const auto end = held_.find("\r\n");
    if (end == std::string::npos) {
      return std::nullopt;
    }
    auto line = held_.substr(0, end);
    held_.erase(0, end + 2);
    return line;
  }
  auto BytesNow(std::size_t count) -> std::optional<std::string> {
    if (held_.size() < count) {
      return std::nullopt;
    }
    auto bytes = held_.substr(0, count);
    held_.erase(0, count);
    return bytes;
  }

  auto Line(Clock::time_point until) -> std::optional<std::string> {
    for (;;) {
      if (auto line = LineNow()) {
        return line;
      }
      if (!More(until)) {
        return std::nullopt;
      }
    }
  }

  auto Bytes(std::size_t count, Clock::time_point until)
      -> std::optional<std::string> {
    while (held_.size() < count) {
      if (!More(until)) {
        return std::nullopt;
      }
    }
    return BytesNow(count);
  }

  /// Reads a head, and its body if it states a length.
  auto Head(Clock::time_point until) -> std::optional<Message> {
    Message message;
    const auto first = Line(until);
    if (!first) {
      return std::nullopt;
    }
    message.first_ = *first;
    for (;;) {
      const auto line = Line(until);
      if (!line) {
        return std::nullopt;
      }
      if (line->empty()) {
        break;
      }
      const auto colon = line->find(':');
      auto value = line->substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.headers_.emplace_back(line->substr(0, colon), value);
    }
    const auto length = message.headers_.Get("Content-Length");
    if (!length.empty()) {
      const auto body =
          Bytes(static_cast<std::size_t>(std::atol(length.c_str())), until);
      if (!body) {
        return std::nullopt;
      }
      message.body_ = *body;
    }
    return message;
  }

 private:
  int fd_;
  std::string held_;
  bool ended_ = false;
};

inline auto Answer(int status, const std::string& body,
                   const std::string& headers = "") -> std::string {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and runs `serve` for each in a thread of its own.
class Listener {
 public:
  Listener(const Address& address, std::function<void(int)> serve)
      : serve_(std::move(serve)) {
    fd_ = Bind(address, SOCK_STREAM);
    if (fd_ < 0) {
      std::perror(address.Text().c_str());
      std::exit(2);
    }
    thread_ = std::thread([this] { Run(); });
  }
  ~Listener() { Stop(); }
  Listener(const Listener&) = delete;
  auto operator=(const Listener&) -> Listener& = delete;

  auto Stop() -> void {
    if (!stopped_.exchange(true)) {
      thread_.join();
      close(fd_);
    }
  }

 private:
  auto Run() -> void {
    while (!stopped_) {
      pollfd wait{fd_, POLLIN, 0};
      if (poll(&wait, 1, 50) <= 0) {
        continue;
      }
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([serve = serve_, fd] {
        serve(fd);
        close(fd);
      }).detach();
    }
  }

  std::function<void(int)> serve_;
  int fd_ = -1;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

/// Writes lines with the time since the start to the record and to the
/// terminal.
class Record {
 public:
  explicit Record(const std::string& file)
      : file_(std::fopen(file.c_str(), "w")) {
    if (file_ == nullptr) {
      std::perror(file.c_str());
      std::exit(2);
    }
  }
  auto Line(const std::string& text) -> void {
    const std::lock_guard lock(mutex_);
    const auto ms = std::chrono::duration_cast<Ms>(Clock::now() - start_);
    std::fprintf(file_, "%8.3f s  %s\n", static_cast<double>(ms.count()) / 1000,
                 text.c_str());
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
};

}  // namespace review
