#include "baobab_peers/peer_transport.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <cstring>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "baobab_base/step_error.h"

namespace baobab::peers {
namespace {

// Reconnect attempts back off between these bounds, in milliseconds.
constexpr nng_duration kReconnectFirstMs = 100;
constexpr nng_duration kReconnectLastMs = 2000;

auto Check(int result, const char* step, const std::string& peer) -> void {
  if (result != 0) {
    throw StepError(step, peer, nng_strerror(result));
  }
}

// A push socket to one peer with its queue. One message is in nng's hands at
// any time; the rest wait here, where the oldest can be dropped.
class PeerLink {
 public:
  PeerLink(const std::string& address, std::size_t queue_messages,
           std::atomic<std::uint64_t>* dropped,
           std::atomic<std::uint64_t>* sent_bytes)
      : queue_messages_(queue_messages),
        dropped_(dropped),
        sent_bytes_(sent_bytes) {
    Check(nng_push0_open(&socket_), "peer.open", address);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, kReconnectFirstMs);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, kReconnectLastMs);
    const auto allocated = nng_aio_alloc(&aio_, &PeerLink::OnSent, this);
    const auto url = "tcp://" + address;
    const auto dialed = allocated != 0 ? allocated
                                       : nng_dial(socket_, url.c_str(), nullptr,
                                                  NNG_FLAG_NONBLOCK);
    if (dialed != 0) {
      Close();
      throw StepError("peer.dial", address, nng_strerror(dialed));
    }
  }

  ~PeerLink() { Close(); }
  PeerLink(const PeerLink&) = delete;
  auto operator=(const PeerLink&) -> PeerLink& = delete;

  auto Send(std::string_view message) -> void {
    const std::scoped_lock lock(mutex_);
    if (waiting_.size() == queue_messages_) {
      waiting_.pop_front();
      ++*dropped_;
    }
    waiting_.emplace_back(message);
    SendNext();
  }

 private:
  static auto OnSent(void* argument) -> void {
    auto* link = static_cast<PeerLink*>(argument);
    const auto result = nng_aio_result(link->aio_);
    if (result != 0) {
      // nng leaves a message that was not sent to the caller.
      nng_msg_free(nng_aio_get_msg(link->aio_));
    }
    const std::scoped_lock lock(link->mutex_);
    link->sending_ = false;
    if (result != NNG_ECLOSED && result != NNG_ECANCELED) {
      link->SendNext();
    }
  }

  // Requires the lock.
  auto SendNext() -> void {
    if (sending_ || waiting_.empty() || closed_) {
      return;
    }
    nng_msg* message = nullptr;
    const auto text = std::move(waiting_.front());
    waiting_.pop_front();
    if (nng_msg_alloc(&message, text.size()) != 0) {
      ++*dropped_;
      return;
    }
    std::memcpy(nng_msg_body(message), text.data(), text.size());
    nng_aio_set_msg(aio_, message);
    sending_ = true;
    *sent_bytes_ += text.size();
    nng_send_aio(socket_, aio_);
  }

  auto Close() -> void {
    {
      const std::scoped_lock lock(mutex_);
      closed_ = true;
    }
    nng_close(socket_);
    if (aio_ != nullptr) {
      nng_aio_stop(aio_);
      nng_aio_free(aio_);
      aio_ = nullptr;
    }
  }

  std::size_t queue_messages_;
  std::atomic<std::uint64_t>* dropped_;
  std::atomic<std::uint64_t>* sent_bytes_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* aio_ = nullptr;
  std::mutex mutex_;
  std::deque<std::string> waiting_;
  bool sending_ = false;
  bool closed_ = false;
};

}  // namespace

class PeerTransport::Implementation {
 public:
  Implementation(const std::string& address, Receive receive,
                 PeerTransportSettings settings)
      : receive_(std::move(receive)), settings_(settings) {
    Check(nng_pull0_open(&socket_), "peer.open", address);
    try {
      Listen(address);
    } catch (...) {
      Close();
      throw;
    }
    nng_recv_aio(socket_, aio_);
  }

  ~Implementation() { Close(); }
  Implementation(const Implementation&) = delete;
  auto operator=(const Implementation&) -> Implementation& = delete;

  auto Send(const std::string& address, std::string_view message) -> bool {
    if (message.size() > settings_.max_message_bytes_) {
      return false;
    }
    const auto link = LinkTo(address);
    if (!link) {
      return false;
    }
    link->Send(message);
    return true;
  }

  auto Forget(const std::string& address) -> void {
    std::shared_ptr<PeerLink> link;
    const std::scoped_lock lock(mutex_);
    const auto found = links_.find(address);
    if (found != links_.end()) {
      link = std::move(found->second);
      links_.erase(found);
    }
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }
  [[nodiscard]] auto dropped() const -> std::uint64_t { return dropped_; }
  [[nodiscard]] auto sent_bytes() const -> std::uint64_t { return sent_bytes_; }

 private:
  auto Listen(const std::string& address) -> void {
    Check(nng_aio_alloc(&aio_, &Implementation::OnReceived, this), "peer.open",
          address);
    nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ,
                        settings_.max_message_bytes_);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    const auto url = "tcp://" + address;
    Check(nng_listen(socket_, url.c_str(), &listener, 0), "peer.listen",
          address);
    int port = 0;
    Check(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port),
          "peer.listen", address);
    port_ = static_cast<std::uint16_t>(port);
  }

  static auto OnReceived(void* argument) -> void {
    auto* self = static_cast<Implementation*>(argument);
    const auto result = nng_aio_result(self->aio_);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED) {
      return;
    }
    if (result == 0) {
      auto* message = nng_aio_get_msg(self->aio_);
      std::string text(static_cast<const char*>(nng_msg_body(message)),
                       nng_msg_len(message));
      nng_msg_free(message);
      self->receive_(std::move(text));
    }
    nng_recv_aio(self->socket_, self->aio_);
  }

  auto LinkTo(const std::string& address) -> std::shared_ptr<PeerLink> {
    const std::scoped_lock lock(mutex_);
    auto& link = links_[address];
    if (!link) {
      try {
        link = std::make_shared<PeerLink>(address, settings_.queue_messages_,
                                          &dropped_, &sent_bytes_);
      } catch (const StepError&) {
        links_.erase(address);
        return nullptr;
      }
    }
    return link;
  }

  auto Close() -> void {
    nng_close(socket_);
    if (aio_ != nullptr) {
      nng_aio_stop(aio_);
      nng_aio_free(aio_);
      aio_ = nullptr;
    }
  }

  Receive receive_;
  PeerTransportSettings settings_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* aio_ = nullptr;
  std::uint16_t port_ = 0;
  std::atomic<std::uint64_t> dropped_{0};
  std::atomic<std::uint64_t> sent_bytes_{0};
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<PeerLink>> links_;
};

PeerTransport::PeerTransport(const std::string& address, Receive receive,
                             PeerTransportSettings settings)
    : implementation_(std::make_unique<Implementation>(
          address, std::move(receive), settings)) {}

PeerTransport::~PeerTransport() = default;

auto PeerTransport::Send(const std::string& address, std::string_view message)
    -> bool {
  return implementation_->Send(address, message);
}

// The next Send makes a new connection; what waited for the old one is lost,
// as it may be at any time.
auto PeerTransport::Reconnect(const std::string& address) -> void {
  implementation_->Forget(address);
}

auto PeerTransport::Forget(const std::string& address) -> void {
  implementation_->Forget(address);
}

auto PeerTransport::port() const -> std::uint16_t {
  return implementation_->port();
}

auto PeerTransport::dropped() const -> std::uint64_t {
  return implementation_->dropped();
}

auto PeerTransport::sent_bytes() const -> std::uint64_t {
  return implementation_->sent_bytes();
}

}  // namespace baobab::peers
