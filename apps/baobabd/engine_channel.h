#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "baobab_base/strong_id.h"
#include "baobab_placement/placement_actions.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/target_endpoint.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab {

/// Reads the report of an engine. Returns nothing if it is malformed.
[[nodiscard]] auto ParseServerReport(const TargetId& target,
                                     const std::string& body)
    -> std::optional<placement::ServerReport>;

/// One connection to one engine process for its reports and orders. An order
/// leaves only on a connection on which the process has identified itself by a
/// report, and the connection is never opened again for an order, so that an
/// order cannot reach a later process, whose record would not count it.
class EngineChannel : public std::enable_shared_from_this<EngineChannel> {
 public:
  using OnReport = std::function<void(std::optional<placement::ServerReport>)>;
  using OnAnswer = std::function<void(placement::OrderAnswer)>;

  EngineChannel(boost::asio::io_context& io, TargetId target,
                TargetEndpoint endpoint);

  /// Asks for the report; opens the connection if there is none.
  auto Poll(OnReport on_report) -> void;

  /// Sends an order, or answers kLost at once if the connection is not one to
  /// the process that the order names.
  auto Send(const placement::SendOrder& order, OnAnswer on_answer) -> void;

 private:
  struct Call {
    TargetRequest request_;
    /// Called with nothing if there is no answer.
    std::function<void(const TargetResponse*)> on_answer_;
    Incarnation engine_ = 0;  ///< 0: any process.
  };

  auto Add(Call call) -> void;
  auto StartNext() -> void;
  auto Finish(const TargetResponse* response) -> void;

  boost::asio::io_context& io_;
  TargetId target_;
  TargetEndpoint endpoint_;
  /// Holds the connection between two calls. Calls follow one another, so that
  /// it is the one of the last call.
  std::shared_ptr<ConnectionPool> pool_;
  Incarnation identified_ = 0;  ///< Process at the other end; 0 if unknown.
  std::deque<Call> calls_;      ///< The first is in progress.
};

}  // namespace baobab
