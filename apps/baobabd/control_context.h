#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>

#include "baobab_base/clock.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_base/random_source.h"
#include "baobab_contract/contract_register.h"
#include "baobab_http/problem.h"
#include "baobab_operations/operation_key.h"
#include "messages.h"
#include "platform_messages.h"
#include "settings.h"

namespace baobab {

/// What the controllers of the control thread share.
struct ControlContext {
  boost::asio::io_context& io_;
  Settings settings_;
  OperationOwner self_;  ///< This instance and its incarnation.
  MetricsRegistry& metrics_;
  CallerCommands& callers_;
  TargetCommands& targets_;
  PlatformCommands& platform_;
  Random random_;
  SystemClock clock_{};
  contract::ContractRegister contracts_{};
  std::string caller_address_{};  ///< As bound, for entry responses.
  bool draining_ = false;
  RouteAttemptId last_attempt_ = 0;

  [[nodiscard]] auto Now() const -> TimePoint { return clock_.Now(); }

  /// Returns a new number for an attempt at a target.
  auto NextAttempt() -> RouteAttemptId { return ++last_attempt_; }

  /// Sends a whole response.
  auto Reply(const CallerRef& caller, HttpResponse response) -> void {
    callers_.Send(SendResponse{caller, std::move(response)});
  }

  /// Sends a JSON body with status 200.
  auto ReplyJson(const CallerRef& caller, std::string body) -> void {
    HttpResponse response;
    response.body_ = std::move(body);
    Reply(caller, std::move(response));
  }

  /// Sends an error and counts it.
  auto Fail(const CallerRef& caller, const Problem& problem) -> void {
    metrics_.Add("baobab_problems_total",
                 "step=\"" + problem.step_ + "\",status=\"" +
                     std::to_string(problem.status_) + "\"");
    Reply(caller, ProblemResponse(problem));
  }
};

}  // namespace baobab
