#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "baobab_base/strong_id.h"
#include "baobab_http/http_server.h"
#include "baobab_routing/target_selector.h"
#include "baobab_targets/engine_client.h"
#include "baobab_targets/service_client.h"
#include "channel.h"

namespace baobab {

/// A request of a caller or, if `admin_`, of an operator.
struct CallerRef {
  ExchangeId exchange_ = 0;
  bool admin_ = false;
  auto operator==(const CallerRef&) const -> bool = default;
};

/// Hashes a CallerRef.
struct CallerRefHash {
  auto operator()(const CallerRef& ref) const noexcept -> std::size_t {
    return std::hash<std::uint64_t>{}(ref.exchange_ * 2 + (ref.admin_ ? 1 : 0));
  }
};

// Caller I/O to control.
struct RequestArrived {
  CallerRef caller_;
  HttpRequest request_;
  TimePoint arrived_;
};
struct CallerGone {
  CallerRef caller_;
};
struct CallerBlocked {
  CallerRef caller_;
  bool blocked_ = false;
};
/// After StopAccepting: all connections of callers have ended.
struct CallersEnded {};
using CallerEvent = std::variant<std::monostate, RequestArrived, CallerGone,
                                 CallerBlocked, CallersEnded>;

// Control to caller I/O.
struct SendResponse {
  CallerRef caller_;
  HttpResponse response_;
};
struct BeginStream {
  CallerRef caller_;
  HttpResponse head_;
};
struct SendPiece {
  CallerRef caller_;
  std::string piece_;
};
struct EndStream {
  CallerRef caller_;
};
struct AbortStream {
  CallerRef caller_;
};
struct StopAccepting {};
struct SetCallerLimits {
  HttpLimits limits_;
};
using CallerCommand =
    std::variant<std::monostate, SendResponse, BeginStream, SendPiece,
                 EndStream, AbortStream, StopAccepting, SetCallerLimits>;

// Control to target I/O.
struct StartChat {
  RouteAttemptId attempt_ = 0;
  TargetEndpoint endpoint_;
  std::string body_;
  bool new_connection_ = false;
};
struct StartService {
  RouteAttemptId attempt_ = 0;
  ServiceCall call_;
};
struct CancelAttempt {
  RouteAttemptId attempt_ = 0;
};
struct PauseAttempt {
  RouteAttemptId attempt_ = 0;
  bool paused_ = false;
};
struct FetchReport {
  TargetId target_;
  TargetEndpoint endpoint_;
  /// Nonzero for a probe on a new connection; returned with the result.
  std::uint64_t probe_ = 0;
};
struct FetchCacheEvents {
  TargetId target_;
  TargetEndpoint endpoint_;
  std::uint64_t after_ = 0;
};
struct SendOrder {
  TargetId target_;
  TargetEndpoint endpoint_;
  EngineOrder order_;
};
using TargetCommand =
    std::variant<std::monostate, StartChat, StartService, CancelAttempt,
                 PauseAttempt, FetchReport, FetchCacheEvents, SendOrder>;

// Target I/O to control.
struct ChunkArrived {
  RouteAttemptId attempt_ = 0;
  ChatChunk chunk_;
};
struct LoadArrived {
  RouteAttemptId attempt_ = 0;
  EngineLoad load_;
};
struct ChatEnded {
  RouteAttemptId attempt_ = 0;
};
struct ChatFailed {
  RouteAttemptId attempt_ = 0;
  ChatFailure failure_;
};
struct ServiceAnswered {
  RouteAttemptId attempt_ = 0;
  TargetResponse response_;
};
struct ServiceFailed {
  RouteAttemptId attempt_ = 0;
  AttemptFailure failure_;
};
struct ReportArrived {
  TargetId target_;
  EngineReport report_;
  std::uint64_t probe_ = 0;
};
struct ReportFailed {
  TargetId target_;
  AttemptFailure failure_;
  std::uint64_t probe_ = 0;
};
struct CacheEventsArrived {
  TargetId target_;
  std::string body_;
};
struct OrderEnded {
  TargetId target_;
  std::string order_id_;
  unsigned status_ = 0;  ///< 0 if the call failed.
  std::string body_;
  AttemptFailure failure_;
};
using TargetEvent =
    std::variant<std::monostate, LoadArrived, ChunkArrived, ChatEnded,
                 ChatFailed, ServiceAnswered, ServiceFailed, ReportArrived,
                 ReportFailed, CacheEventsArrived, OrderEnded>;

using CallerEvents = Channel<CallerEvent>;
using CallerCommands = Channel<CallerCommand>;
using TargetCommands = Channel<TargetCommand>;
using TargetEvents = Channel<TargetEvent>;

/// Calls the matching one of several functions for a variant.
template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace baobab
