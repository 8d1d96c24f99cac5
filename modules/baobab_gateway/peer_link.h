#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "baobab_accounts/cap_messages.h"
#include "baobab_gateway/crash_evidence.h"
#include "baobab_gateway/fleet_digest.h"
#include "baobab_gateway/peer_report.h"
#include "baobab_gateway/stream_origins.h"

namespace baobab::gateway {

/// Exchanges reports with the other instances as UDP datagrams.
///
/// Datagrams need no connection, which could stall undetected, and a lost
/// report is replaced by the next one. Receives datagrams from construction on.
class PeerLink {
 public:
  /// Callbacks for received datagrams, one per kind.
  struct Handlers {
    std::function<void(const PeerReport&)> on_report_;
    std::function<void(const LoadUpdate&)> on_load_update_;
    std::function<void(const FleetDigest&)> on_digest_;
    std::function<void(const CrashEvidence&)> on_crash_evidence_;
    std::function<void(const accounts::CapDemand&)> on_cap_demand_;
    std::function<void(const accounts::CapGrants&)> on_cap_grants_;
    std::function<void(const StreamOriginUpdate&)> on_stream_origins_;
    std::function<void(const StreamOriginQuery&)> on_stream_origin_query_;
  };

  /// Binds a UDP socket to `address`:`port` and starts to receive. `port` is
  /// also the port to which datagrams for other instances are sent. Throws
  /// StepError if the socket cannot be bound.
  PeerLink(boost::asio::io_context& io, const std::string& address,
           std::uint16_t port, Handlers handlers);

  /// Sends an encoded report or load update to the instance at the IP address
  /// `address`. Drops it if the address is invalid or the socket cannot send it
  /// at once, for example because its send buffer is full.
  auto Send(const std::string& address, const std::string& datagram) -> void;

  /// Returns the number of received datagrams that could not be decoded.
  [[nodiscard]] auto unreadable_datagrams() const -> std::uint64_t {
    return unreadable_datagrams_;
  }

 private:
  /// Largest payload of a UDP datagram over IPv4.
  static constexpr std::size_t kMaxDatagramBytes = 65'507;
  using Udp = boost::asio::ip::udp;

  auto Receive() -> void;
  /// Decodes a datagram and passes it to its handler. An exception of a handler
  /// is logged: it must not end the reception.
  auto Dispatch(std::string_view bytes, const Udp::endpoint& sender) -> void;

  Udp::socket socket_;
  std::uint16_t port_;
  Handlers handlers_;
  std::string buffer_;
  std::uint64_t unreadable_datagrams_ = 0;
};

}  // namespace baobab::gateway
