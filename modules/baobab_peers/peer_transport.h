#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace baobab::peers {

/// Bounds of a PeerTransport.
struct PeerTransportSettings {
  /// Messages waiting for one peer; when full, the oldest is dropped, since
  /// newer state replaces older.
  std::size_t queue_messages_ = 64;
  /// Largest message sent or received, in bytes.
  std::size_t max_message_bytes_ = std::size_t{4} << 20U;
};

/// Sends and receives messages between daemons: one nng pull socket per daemon
/// and one push socket per peer. Messages may be lost, for example while a
/// connection is being made.
///
/// Methods may be called from any thread. Received messages are handed over on
/// a thread of nng.
class PeerTransport {
 public:
  /// Called with each received message; must not block.
  using Receive = std::function<void(std::string message)>;

  /// Listens on `address` (host:port; port 0 takes a free one). Throws
  /// StepError if that fails.
  PeerTransport(const std::string& address, Receive receive,
                PeerTransportSettings settings = {});

  /// Closes all connections; no callback runs afterwards.
  ~PeerTransport();

  PeerTransport(const PeerTransport&) = delete;
  auto operator=(const PeerTransport&) -> PeerTransport& = delete;

  /// Queues `message` for the daemon at `address` and connects if needed.
  /// Returns false if the message is too large or the address unusable.
  auto Send(const std::string& address, std::string_view message) -> bool;

  /// Drops the connection to `address` and makes a new one for the next
  /// message. Call when a peer that is known to be alive stays silent: the
  /// connection may be half-open.
  auto Reconnect(const std::string& address) -> void;

  /// Drops the connection to `address`, for example when the member is gone.
  auto Forget(const std::string& address) -> void;

  /// The port listened on.
  [[nodiscard]] auto port() const -> std::uint16_t;

  /// Messages dropped because a queue was full.
  [[nodiscard]] auto dropped() const -> std::uint64_t;

  /// Bytes of messages handed to nng so far.
  [[nodiscard]] auto sent_bytes() const -> std::uint64_t;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace baobab::peers
