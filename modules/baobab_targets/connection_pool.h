#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "baobab_base/time_types.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab {

/// Idle keep-alive connections per target. Used on one thread only.
class ConnectionPool {
 public:
  /// Keeps at most `idle_per_target` connections per target, each for at most
  /// `idle_time`.
  ConnectionPool(boost::asio::io_context& io, std::size_t idle_per_target,
                 Duration idle_time)
      : io_(io), idle_per_target_(idle_per_target), idle_time_(idle_time) {}

  /// Changes how many connections are kept per target from now on.
  auto set_idle_per_target(std::size_t count) -> void {
    idle_per_target_ = count;
  }

  /// Takes an idle connection to `endpoint` that the target has not closed, if
  /// there is one.
  [[nodiscard]] auto Take(const TargetEndpoint& endpoint)
      -> std::optional<boost::asio::ip::tcp::socket>;

  /// Keeps `socket` for a later request, for less than `target_idle_time` if
  /// the target said when it closes idle connections.
  auto Return(const TargetEndpoint& endpoint,
              boost::asio::ip::tcp::socket socket,
              std::optional<Duration> target_idle_time = std::nullopt) -> void;

  /// Closes the idle connections to `endpoint`, for example after one of them
  /// went silent.
  auto Drop(const TargetEndpoint& endpoint) -> void { idle_.erase(endpoint); }

  /// Closes connections that have been idle for too long.
  auto DropExpired() -> void;

  /// Number of idle connections.
  [[nodiscard]] auto size() const -> std::size_t;

  [[nodiscard]] auto io() -> boost::asio::io_context& { return io_; }

 private:
  struct Idle {
    boost::asio::ip::tcp::socket socket_;
    std::chrono::steady_clock::time_point until_;
  };
  boost::asio::io_context& io_;
  std::size_t idle_per_target_;
  Duration idle_time_;
  std::map<TargetEndpoint, std::deque<Idle>> idle_;
};

}  // namespace baobab
