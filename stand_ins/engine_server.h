#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "stand_ins/engine.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace baobab::stand_in {

/// Serves one Engine over HTTP: chat completions, `/admin/...` and
/// `POST /fault`. Beyond the faults of Engine it knows `silent_streams`
/// (number of following streams that go silent after their third token),
/// `dropped_streams` (the same, but the connection is closed),
/// `silent_connections` (all open connections go silent), `lost_order_answers`
/// (number of following orders that are accepted but not answered) and
/// `restart` (a new incarnation with empty memory).
class EngineServer {
 public:
  /// Listens on `address` and `port`; port 0 takes a free one. `weights` is
  /// shared with other engines and outlives the server. `preload` maps models
  /// to their memory in MB.
  EngineServer(boost::asio::io_context& context, const std::string& address,
               std::uint16_t port, EngineSettings settings,
               WeightStore& weights,
               const std::map<std::string, std::int64_t>& preload);
  ~EngineServer();
  EngineServer(const EngineServer&) = delete;
  auto operator=(const EngineServer&) -> EngineServer& = delete;

  /// The port that the server listens on.
  [[nodiscard]] auto port() const -> std::uint16_t;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace baobab::stand_in
