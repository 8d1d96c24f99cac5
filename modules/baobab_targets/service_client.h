#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "baobab_targets/whole_exchange.h"

namespace baobab {

/// One call to a plain service.
struct ServiceCall {
  TargetEndpoint endpoint_;
  std::string method_ = "POST";
  std::string path_;  ///< With the query.
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  /// False for a call that must not be repeated: it gets a connection of its
  /// own, so that a closed pooled connection cannot make its outcome unknown.
  bool idempotent_ = false;
};

/// Returns what a response with `status` says about the execution of a call:
/// kNotRun for 429 (too many requests) and 421 (misdirected), which are sent
/// instead of execution; kUnknown for 502, 503 and 504, which a service may
/// send after it began; kCompleted for all others, errors included.
[[nodiscard]] auto OutcomeOfStatus(unsigned status) -> Outcome;

/// Calls to plain services. Used on the thread of the pool only.
class ServiceClient {
 public:
  ServiceClient(std::shared_ptr<ConnectionPool> pool, ExchangeTimeouts timeouts,
                std::size_t max_body_bytes)
      : pool_(std::move(pool)),
        timeouts_(timeouts),
        max_body_bytes_(max_body_bytes) {}

  /// Starts a call. A response of any status is a result.
  auto Start(ServiceCall call, WholeEvents events)
      -> std::shared_ptr<TargetExchange>;

 private:
  std::shared_ptr<ConnectionPool> pool_;
  ExchangeTimeouts timeouts_;
  std::size_t max_body_bytes_;
};

}  // namespace baobab
