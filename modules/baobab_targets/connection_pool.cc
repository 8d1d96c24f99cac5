#include "baobab_targets/connection_pool.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

namespace baobab {
namespace {

namespace asio = boost::asio;

/// Returns true if the target neither closed the connection nor sent bytes that
/// belong to no request.
auto IsUsable(asio::ip::tcp::socket& socket) -> bool {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error == asio::error::would_block;
}

}  // namespace

auto ConnectionPool::Take(const TargetEndpoint& endpoint)
    -> std::optional<asio::ip::tcp::socket> {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return std::nullopt;
  }
  auto& connections = found->second;
  std::optional<asio::ip::tcp::socket> taken;
  while (!connections.empty() && !taken) {
    // The newest connection is the least likely to be closed by the target.
    auto idle = std::move(connections.back());
    connections.pop_back();
    if (std::chrono::steady_clock::now() < idle.until_ &&
        IsUsable(idle.socket_)) {
      taken = std::move(idle.socket_);
    }
  }
  if (connections.empty()) {
    idle_.erase(found);
  }
  return taken;
}

auto ConnectionPool::Return(const TargetEndpoint& endpoint,
                            asio::ip::tcp::socket socket,
                            std::optional<Duration> target_idle_time) -> void {
  auto& connections = idle_[endpoint];
  // Half of the target's time leaves room for a request on its way while the
  // target closes.
  const auto idle_time = target_idle_time
                             ? std::min(idle_time_, *target_idle_time / 2)
                             : idle_time_;
  connections.push_back(
      {std::move(socket), std::chrono::steady_clock::now() + idle_time});
  if (connections.size() > idle_per_target_) {
    connections.pop_front();
  }
}

auto ConnectionPool::DropExpired() -> void {
  const auto now = std::chrono::steady_clock::now();
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    auto& connections = entry->second;
    std::erase_if(connections,
                  [now](const Idle& idle) { return idle.until_ <= now; });
    entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

auto ConnectionPool::size() const -> std::size_t {
  std::size_t total = 0;
  for (const auto& [endpoint, connections] : idle_) {
    total += connections.size();
  }
  return total;
}

}  // namespace baobab
