#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "baobab_targets/connection_pool.h"
#include "messages.h"
#include "settings.h"

namespace baobab {

/// Duty of the target I/O thread: attempts at engines and plain services,
/// reports, probes and orders.
class TargetIo {
 public:
  TargetIo(boost::asio::io_context& io, const Settings& settings,
           TargetEvents& to_control);

  /// Carries out a command of control.
  auto Handle(TargetCommand&& command) -> void;

 private:
  /// One attempt in progress. `paused_` is control's wish; a congested ring
  /// pauses all attempts besides.
  struct Attempt {
    std::shared_ptr<TargetExchange> exchange_;
    bool paused_ = false;
  };

  auto Start(StartChat&& start) -> void;
  auto Start(StartService&& start) -> void;
  auto Keep(RouteAttemptId attempt, std::shared_ptr<TargetExchange> exchange)
      -> void;
  auto Cancel(RouteAttemptId attempt) -> void;
  auto Pause(RouteAttemptId attempt, bool paused) -> void;
  auto OnCongestion(bool congested) -> void;
  auto Fetch(const FetchReport& fetch) -> void;
  auto Fetch(const FetchCacheEvents& fetch) -> void;
  auto Send(const SendOrder& send) -> void;
  auto DropExpiredLater() -> void;

  TargetEvents& to_control_;
  std::shared_ptr<ConnectionPool> pool_;
  EngineClient engines_;
  ServiceClient services_;
  boost::asio::steady_timer timer_;
  std::unordered_map<RouteAttemptId, Attempt> attempts_;
};

}  // namespace baobab
