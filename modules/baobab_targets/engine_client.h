#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "baobab_targets/engine_messages.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab {

/// Why a completion attempt failed; `status_` is 0 unless the engine answered.
struct ChatFailure {
  AttemptFailure failure_;
  unsigned status_ = 0;
  std::string body_;  ///< Body of an error response, at most 64 KiB.
};

/// Receives a completion stream: chunks, then an end or a failure.
struct ChatEvents {
  /// The engine's load, if the head of its response states it.
  std::function<void(EngineLoad)> on_load_;
  std::function<void(ChatChunk)> on_chunk_;
  /// The engine's end-of-stream marker arrived and the body ended.
  std::function<void()> on_end_;
  std::function<void(ChatFailure)> on_failure_;
};

/// Receives the result of a report, an order or another short call.
template <class Result>
struct CallEvents {
  std::function<void(Result)> on_result_;
  std::function<void(const AttemptFailure&)> on_failure_;
};

/// Calls to model engines. Used on the thread of the pool only.
class EngineClient {
 public:
  EngineClient(std::shared_ptr<ConnectionPool> pool, ExchangeTimeouts timeouts)
      : pool_(std::move(pool)), timeouts_(timeouts) {}

  /// Starts a completion. `body` comes from BuildChatBody. With
  /// `new_connection` no pooled connection is used, as when a silent stream is
  /// resumed. A response with an error status is a failure: kNotRun for 4xx
  /// and 503, with which engines reject before execution, kUnknown otherwise.
  auto StartChat(const TargetEndpoint& endpoint, std::string body,
                 bool new_connection, ChatEvents events)
      -> std::shared_ptr<TargetExchange>;

  /// Reads the engine's report; `new_connection` makes it a probe.
  auto FetchReport(const TargetEndpoint& endpoint, bool new_connection,
                   const CallEvents<EngineReport>& events) -> void;

  /// Sends an order. The result is the whole response, whose status tells
  /// whether the engine accepted it.
  auto SendOrder(const TargetEndpoint& endpoint, const EngineOrder& order,
                 WholeEvents events) -> void;

  /// Reads cache events after number `after`, as JSON text.
  auto FetchCacheEvents(const TargetEndpoint& endpoint, std::uint64_t after,
                        WholeEvents events) -> void;

  /// Exports (`import` false) or imports the KV cache named in `body`.
  auto MoveCache(const TargetEndpoint& endpoint, bool import, std::string body,
                 WholeEvents events) -> void;

 private:
  auto Post(const TargetEndpoint& endpoint, std::string path, std::string body)
      -> TargetRequest;

  std::shared_ptr<ConnectionPool> pool_;
  ExchangeTimeouts timeouts_;
};

}  // namespace baobab
