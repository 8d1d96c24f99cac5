#include "baobab_gateway/peer_link.h"

#include <boost/asio/buffer.hpp>
#include <exception>
#include <string_view>
#include <utility>

#include "baobab_base/log.h"
#include "baobab_base/step_error.h"
#include "baobab_gateway/cap_datagrams.h"

namespace baobab::gateway {

PeerLink::PeerLink(boost::asio::io_context& io, const std::string& address,
                   std::uint16_t port, Handlers handlers)
    : socket_(io), port_(port), handlers_(std::move(handlers)) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address, error);
  if (!error) {
    const Udp::endpoint endpoint(ip, port);
    socket_.open(endpoint.protocol(), error);
    if (!error) {
      socket_.bind(endpoint, error);
    }
  }
  if (error) {
    throw StepError("peers.bind", address + ":" + std::to_string(port),
                    error.message());
  }
  socket_.non_blocking(true);
  Receive();
}

auto PeerLink::Send(const std::string& address, const std::string& datagram)
    -> void {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address, error);
  if (!error) {
    // Errors are ignored: the peer handles a datagram that was not sent like
    // one that was lost in the network.
    socket_.send_to(boost::asio::buffer(datagram), Udp::endpoint(ip, port_), 0,
                    error);
  }
}

auto PeerLink::Receive() -> void {
  socket_.async_wait(
      Udp::socket::wait_read, [this](boost::system::error_code error) {
        if (error) {
          return;
        }
        buffer_.resize(kMaxDatagramBytes);
        boost::system::error_code receive_error;
        Udp::endpoint sender;
        for (;;) {
          const auto size = socket_.receive_from(boost::asio::buffer(buffer_),
                                                 sender, 0, receive_error);
          if (receive_error) {
            break;
          }
          Dispatch({buffer_.data(), size}, sender);
        }
        Receive();
      });
}

auto PeerLink::Dispatch(std::string_view bytes, const Udp::endpoint& sender)
    -> void {
  try {
    if (const auto update = DecodeLoadUpdate(bytes)) {
      handlers_.on_load_update_(*update);
    } else if (const auto report = DecodePeerReport(bytes)) {
      handlers_.on_report_(*report);
    } else if (const auto digest = DecodeFleetDigest(bytes)) {
      handlers_.on_digest_(*digest);
    } else if (const auto evidence = DecodeCrashEvidence(bytes)) {
      handlers_.on_crash_evidence_(*evidence);
    } else if (const auto demand = DecodeCapDemand(bytes);
               demand && handlers_.on_cap_demand_) {
      handlers_.on_cap_demand_(*demand);
    } else if (const auto grants = DecodeCapGrants(bytes);
               grants && handlers_.on_cap_grants_) {
      handlers_.on_cap_grants_(*grants);
    } else if (const auto origins = DecodeStreamOrigins(bytes);
               origins && handlers_.on_stream_origins_) {
      handlers_.on_stream_origins_(*origins);
    } else if (const auto query = DecodeStreamOriginQuery(bytes);
               query && handlers_.on_stream_origin_query_) {
      handlers_.on_stream_origin_query_(*query);
    } else {
      ++unreadable_datagrams_;
      LogEvent(LogLevel::kWarning, "peer_report_unreadable")
          .With("sender", sender.address().to_string())
          .With("bytes", bytes.size());
    }
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "peer_report_failed")
        .With("sender", sender.address().to_string())
        .With("reason", error.what());
  }
}

}  // namespace baobab::gateway
