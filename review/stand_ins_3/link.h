#pragma once

// The link between one machine and a server, as a TCP relay that can be cut.

#include "net.h"

namespace review {

/// Forwards connections to a server. While the link of one machine is cut, what
/// was sent on its open connections is held up, and its new connections stay
/// silent. As with TCP, what was held up goes on with the next retransmission
/// after the link has healed; it is lost if its sender has reset the
/// connection.
class Link {
 public:
  Link(Record& record, const Address& address, const Address& server)
      : record_(record), server_(server) {
    listener_ =
        std::make_unique<Listener>(address, [this](int fd) { Serve(fd); });
  }
  ~Link() {
    stopped_ = true;
    listener_->Stop();
    Sleep(300);
  }
  Link(const Link&) = delete;
  auto operator=(const Link&) -> Link& = delete;

  /// Cuts the link for the connections that are open.
  auto Cut() -> void {
    ++cuts_;
    is_cut_ = true;
  }
  /// Connections from now on come from machines whose links are whole.
  auto EndOfMachine() -> void { machine_gone_ = true; }
  auto Heal() -> void { is_cut_ = false; }

 private:
  /// First time-out of a retransmission; it doubles each time.
  static constexpr int kFirstTimeoutMs = 200;

  auto Serve(int fd) -> void {
    const int born_in = cuts_;
    if (is_cut_ && !machine_gone_) {
      // Such a connection is not established in a cut: nothing gets through.
      while (!stopped_ && !HasEnded(fd)) {
        Sleep(20);
      }
      return;
    }
    const int server = Connect(server_, 1000);
    if (server < 0) {
      return;
    }
    std::string held;
    Clock::time_point sent_at;
    char bytes[16384];
    bool open = true;
    while (open && !stopped_) {
      const bool harmed = is_cut_ && cuts_ != born_in;
      pollfd wait[2] = {{fd, POLLIN, 0}, {server, POLLIN, 0}};
      poll(wait, 2, 10);
      if ((wait[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        const auto size = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (size > 0 && !harmed) {
          open = SendAll(server, {bytes, static_cast<std::size_t>(size)});
        } else if (size > 0) {
          if (held.empty()) {
            sent_at = Clock::now();
          }
          held.append(bytes, static_cast<std::size_t>(size));
          record_.Line("link: " + std::to_string(size) + " bytes held up");
        } else if (size == 0) {
          open = false;  // closed in order: what is held up is still sent
        } else if (errno != EAGAIN) {
          if (!held.empty()) {
            record_.Line("link: reset by the sender, what was held up is lost");
          }
          held.clear();
          open = false;
        }
      }
      if (!harmed && (wait[1].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        const auto size = recv(server, bytes, sizeof bytes, MSG_DONTWAIT);
        open = open && size > 0 &&
               SendAll(fd, {bytes, static_cast<std::size_t>(size)});
      }
    }
    if (!held.empty()) {
      int timeout = kFirstTimeoutMs;
      auto next = sent_at + Ms(timeout);
      while (!stopped_ && (is_cut_ || Clock::now() < next)) {
        Sleep(5);
        if (Clock::now() >= next && is_cut_) {
          timeout *= 2;
          next += Ms(timeout);
        }
      }
      record_.Line("link: what was held up arrives");
      SendAll(server, held);
      Sleep(200);
    }
    close(server);
  }

  Record& record_;
  Address server_;
  std::unique_ptr<Listener> listener_;
  std::atomic<int> cuts_ = 0;
  std::atomic<bool> is_cut_ = false;
  std::atomic<bool> machine_gone_ = false;
  std::atomic<bool> stopped_ = false;
};

}  // namespace review
