#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "stand_ins/store_api.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace baobab::stand_in {

/// Serves a StoreApi over HTTP: `/v3/...`, `POST /fault` and `GET /calls`.
class StoreServer {
 public:
  /// Listens on `address` and `port`; port 0 takes a free one.
  StoreServer(boost::asio::io_context& context, const std::string& address,
              std::uint16_t port, StoreLimits limits);
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  auto operator=(const StoreServer&) -> StoreServer& = delete;

  /// Sets faults, as `POST /fault` does.
  auto SetFault(const std::string& body) -> void;

  /// Closes the connections of all watches.
  auto DropWatches() -> void;

  /// The port that the server listens on.
  [[nodiscard]] auto port() const -> std::uint16_t;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace baobab::stand_in
