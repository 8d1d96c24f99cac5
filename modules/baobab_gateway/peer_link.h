#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "baobab_gateway/peer_report.h"

namespace baobab::gateway {

/// Exchanges reports with the other instances as single datagrams. A datagram
/// needs no connection that could go silent, and a lost report is replaced by
/// the next one.
class PeerLink {
 public:
  /// What is called for each datagram that was received.
  struct Handlers {
    std::function<void(const PeerReport&)> on_report_;
    std::function<void(const WorkUpdate&)> on_load_update_;
  };

  /// Binds `address`:`port`. Throws StepError if that is not possible.
  PeerLink(boost::asio::io_context& io, const std::string& address,
           std::uint16_t port, Handlers handlers);

  /// Sends an encoded report or update to the instance at `address`, if the
  /// socket has room; otherwise it is lost.
  auto Send(const std::string& address, const std::string& datagram) -> void;

  /// Number of datagrams that could not be read.
  [[nodiscard]] auto unreadable_datagrams() const -> std::uint64_t {
    return unreadable_datagrams_;
  }

 private:
  /// Largest datagram: the payload limit of UDP over IPv4.
  static constexpr std::size_t kMaxDatagramBytes = 65'507;
  using Udp = boost::asio::ip::udp;

  auto Receive() -> void;

  Udp::socket socket_;
  std::uint16_t port_;
  Handlers handlers_;
  std::string buffer_;
  std::uint64_t unreadable_datagrams_ = 0;
};

}  // namespace baobab::gateway
