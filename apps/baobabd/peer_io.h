#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "baobab_peers/peer_node.h"
#include "baobab_peers/peer_transport.h"
#include "channel.h"
#include "settings.h"

namespace baobab {

/// Control to the peers thread: a message, or an address to reconnect if
/// reconnect_ is set.
struct PeerCommand {
  peers::PeerOutgoing outgoing_;
  bool reconnect_ = false;
};

using PeerCommands = Channel<PeerCommand>;
using PeerEvents = Channel<peers::PeerMessage>;

/// Duty of the peers thread: encodes, sends, receives and decodes messages
/// between daemons.
class PeerIo {
 public:
  /// Listens on the peer address of `settings`. Throws StepError.
  PeerIo(boost::asio::io_context& io, const Settings& settings,
         PeerEvents& events);

  auto Handle(const PeerCommand& command) -> void;

  /// The port listened on.
  [[nodiscard]] auto port() const -> std::uint16_t {
    return transport_->port();
  }

 private:
  auto Receive(const std::string& text) -> void;

  PeerEvents& events_;
  std::unique_ptr<peers::PeerTransport> transport_;
};

}  // namespace baobab
