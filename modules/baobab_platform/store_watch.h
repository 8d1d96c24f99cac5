#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_platform/jittered_backoff.h"
#include "baobab_platform/store_client.h"
#include "baobab_platform/store_endpoint.h"
#include "baobab_platform/store_messages.h"

namespace baobab::platform {

/// One watch: a streaming POST that is opened again, from the first revision
/// not yet delivered, after every loss. Keeps itself alive until stopped.
class StoreWatch : public std::enable_shared_from_this<StoreWatch> {
 public:
  /// `opened` is called each time a connection is tried.
  StoreWatch(std::shared_ptr<StoreEndpoint> endpoint, std::string prefix,
             Revision from, WatchEvents events, std::function<void()> opened,
             std::uint64_t seed);

  /// Opens the watch.
  auto Start() -> void;

  /// Ends the watch; no event follows.
  auto Stop() -> void;

 private:
  auto OnHead(unsigned status) -> void;
  auto OnData(std::string_view bytes) -> void;
  /// Returns false if the connection must not be used any further.
  auto OnLine(std::string_view line) -> bool;
  auto Deliver(const std::vector<WatchEvent>& events) -> void;
  auto Abandon() -> void;
  auto OnLost() -> void;
  auto SetConnected(bool connected) -> void;

  std::shared_ptr<StoreEndpoint> endpoint_;
  std::string prefix_;
  Revision next_;
  WatchEvents events_;
  std::function<void()> opened_;
  Random random_;
  JitteredBackoff backoff_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<TargetExchange> exchange_;
  std::string address_;
  std::string partial_line_;
  bool connected_ = false;
  bool stopped_ = false;
};

}  // namespace baobab::platform
