#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "baobab_targets/connection_pool.h"
#include "baobab_targets/scripted_peer.h"
#include "baobab_targets/target_exchange.h"

namespace baobab {

/// One test server, and exchanges with it.
struct ExchangeFixture {
  explicit ExchangeFixture(ScriptedPeer::Script script)
      : peer_(io_, std::move(script)),
        pool_(std::make_shared<ConnectionPool>(io_, 4,
                                               std::chrono::seconds(60))) {}

  auto Request() -> TargetRequest {
    TargetRequest request;
    request.endpoint_ = peer_.endpoint();
    request.path_ = "/x";
    return request;
  }

  /// Runs one exchange to its end or failure.
  auto Run(TargetRequest request) -> void {
    body_.clear();
    failure_.reset();
    ended_ = false;
    ExchangeEvents events;
    events.on_data_ = [this](std::string_view piece) { body_ += piece; };
    events.on_end_ = [this] { ended_ = true; };
    events.on_failure_ = [this](const AttemptFailure& f) { failure_ = f; };
    TargetExchange::Start(pool_, std::move(request), std::move(events));
    while (!ended_ && !failure_) {
      io_.run_one();
    }
  }

  boost::asio::io_context io_;
  ScriptedPeer peer_;
  std::shared_ptr<ConnectionPool> pool_;
  std::string body_;
  std::optional<AttemptFailure> failure_;
  bool ended_ = false;
};

/// Sends `text` on a connection of a test server.
inline auto Reply(ScriptedPeer::Connection& connection, const std::string& text)
    -> void {
  boost::asio::write(connection.socket_, boost::asio::buffer(text));
}

}  // namespace baobab
