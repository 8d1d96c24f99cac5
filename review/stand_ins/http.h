#pragma once

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
#include <cstdlib>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Blocking HTTP/1.1 over loopback for the stand-ins of the review cases. One
/// thread serves one connection.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
  std::string host_;
  std::uint16_t port_ = 0;

  [[nodiscard]] auto ToString() const -> std::string {
    return host_ + ":" + std::to_string(port_);
  }
};

inline auto ToSockaddr(const Address& address) -> sockaddr_in {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port_);
  inet_pton(AF_INET, address.host_.c_str(), &result.sin_addr);
  return result;
}

/// A request or a response: start line, headers and body.
struct Message {
  std::string start_line_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  /// The message ended as its framing says.
  bool complete_ = false;

  [[nodiscard]] auto Header(std::string_view name) const -> std::string {
    for (const auto& [key, value] : headers_) {
      if (key.size() == name.size() &&
          std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
            return std::tolower(static_cast<unsigned char>(a)) ==
                   std::tolower(static_cast<unsigned char>(b));
          })) {
        return value;
      }
    }
    return {};
  }
  [[nodiscard]] auto Word(int index) const -> std::string {
    std::size_t begin = 0;
    for (; index > 0; --index) {
      const auto space = start_line_.find(' ', begin);
      if (space == std::string::npos) {
        return {};
      }
      begin = space + 1;
    }
    return start_line_.substr(begin, start_line_.find(' ', begin) - begin);
  }
  [[nodiscard]] auto Method() const -> std::string { return Word(0); }
  [[nodiscard]] auto Target() const -> std::string { return Word(1); }
  [[nodiscard]] auto Status() const -> int {
    return std::atoi(Word(1).c_str());
  }
};

/// One TCP connection.
class Connection {
 public:
  explicit Connection(int fd = -1) : fd_(fd) {}
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;
  ~Connection() { Close(); }

  auto Open(const Address& to) -> bool {
    Close();
    buffer_.clear();
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = ToSockaddr(to);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      Close();
      return false;
    }
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
  }
  auto Close() -> void {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  /// Closes the connection with a reset.
  auto Reset() -> void {
    if (fd_ >= 0) {
      const linger now{1, 0};
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      Close();
    }
  }
  [[nodiscard]] auto is_open() const -> bool { return fd_ >= 0; }

  /// Returns true if the peer has closed or reset the connection.
  [[nodiscard]] auto IsClosedByPeer() const -> bool {
    char byte = 0;
    const auto size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  auto Write(std::string_view bytes) -> bool {
    while (!bytes.empty()) {
      const auto size = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }

  /// Reads a whole message. Returns nullopt if the connection ends, or `until`
  /// passes, before the head is complete. Calls `on_piece` for each piece of
  /// the body.
  auto Read(Clock::time_point until,
            const std::function<void(std::string_view)>& on_piece = nullptr)
      -> std::optional<Message> {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    Message message;
    ParseHead(buffer_.substr(0, end), message);
    buffer_.erase(0, end + 4);
    const auto take = [&](std::size_t size) {
      message.body_.append(buffer_, 0, size);
      if (on_piece) {
        on_piece(std::string_view(buffer_).substr(0, size));
      }
      buffer_.erase(0, size);
    };
    if (message.Header("Transfer-Encoding") == "chunked") {
      for (;;) {
        std::size_t line = std::string::npos;
        while ((line = buffer_.find("\r\n")) == std::string::npos) {
          if (!Fill(until)) {
            return message;
          }
        }
        const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < line + 2 + size + 2) {
          if (!Fill(until)) {
            return message;
          }
        }
        buffer_.erase(0, line + 2);
        take(size);
        buffer_.erase(0, 2);
        if (size == 0) {
          message.complete_ = true;
          return message;
        }
      }
    }
    const auto length = message.Header("Content-Length");
    if (!length.empty()) {
      auto rest = std::strtoul(length.c_str(), nullptr, 10);
      while (rest > 0) {
        if (buffer_.empty() && !Fill(until)) {
          return message;
        }
        const auto size = std::min<std::size_t>(rest, buffer_.size());
        take(size);
        rest -= size;
      }
      message.complete_ = true;
      return message;
    }
    message.complete_ = true;
    return message;
  }

 private:
  auto Fill(Clock::time_point until) -> bool {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    if (left.count() <= 0) {
      return false;
    }
    pollfd entry{fd_, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char bytes[65536];
    const auto size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  static auto ParseHead(const std::string& head, Message& message) -> void {
    std::size_t begin = head.find("\r\n");
    message.start_line_ = head.substr(0, begin);
    while (begin != std::string::npos) {
      begin += 2;
      const auto end = head.find("\r\n", begin);
      const auto line = head.substr(begin, end - begin);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers_.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
      }
      begin = end;
    }
  }

  int fd_;
  std::string buffer_;
};

/// Accepts connections at an address and runs `serve` for each in its own
/// thread. The threads run until the process ends.
class Listener {
 public:
  Listener(const Address& at, std::function<void(Connection&)> serve)
      : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = ToSockaddr(at);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(fd_, 1024) != 0) {
      std::perror(at.ToString().c_str());
      std::exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }

 private:
  auto Accept() -> void {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        std::this_thread::sleep_for(Milliseconds(10));
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        Connection connection(fd);
        serve_(connection);
      }).detach();
    }
  }

  int fd_ = -1;
  std::function<void(Connection&)> serve_;
};

inline auto Response(int status, const std::string& body,
                     const std::string& headers = "") -> std::string {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the value of `name` in the query of `target`, with %XX decoded.
inline auto QueryValue(const std::string& target, const std::string& name)
    -> std::string {
  auto begin = target.find('?');
  while (begin != std::string::npos) {
    ++begin;
    const auto end = target.find('&', begin);
    const auto field = target.substr(begin, end - begin);
    if (field.rfind(name + "=", 0) == 0) {
      std::string value;
      for (auto i = name.size() + 1; i < field.size(); ++i) {
        if (field[i] == '%' && i + 2 < field.size()) {
          value += static_cast<char>(
              std::strtoul(field.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += field[i];
        }
      }
      return value;
    }
    begin = end;
  }
  return {};
}

}  // namespace review
