#include "peer_io.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "baobab_base/log.h"
#include "baobab_peers/peer_codec.h"

namespace baobab {

PeerIo::PeerIo(boost::asio::io_context& io, const Settings& settings,
               PeerEvents& events)
    : events_(events) {
  transport_ = std::make_unique<peers::PeerTransport>(
      settings.peer_address_.ToString(), [this, &io](std::string text) {
        boost::asio::post(io,
                          [this, text = std::move(text)] { Receive(text); });
      });
}

auto PeerIo::Receive(const std::string& text) -> void {
  auto message = peers::DecodePeerMessage(text);
  if (!message) {
    LogEvent(LogLevel::kWarning, "peer_message_malformed")
        .With("bytes", text.size());
    return;
  }
  // Every message may be lost, so a full ring drops it.
  if (!events_.TrySend(std::move(*message))) {
    LogEvent(LogLevel::kWarning, "peer_message_dropped");
  }
}

auto PeerIo::Handle(const PeerCommand& command) -> void {
  const auto& outgoing = command.outgoing_;
  if (command.reconnect_) {
    LogEvent(LogLevel::kInfo, "peer_reconnect").With("peer", outgoing.address_);
    transport_->Reconnect(outgoing.address_);
  } else if (!transport_->Send(outgoing.address_,
                               peers::EncodePeerMessage(outgoing.message_))) {
    LogEvent(LogLevel::kWarning, "peer_send_failed")
        .With("peer", outgoing.address_);
  }
}

}  // namespace baobab
