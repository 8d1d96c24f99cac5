#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "baobab_targets/target_exchange.h"

namespace baobab {

/// A whole response of a target.
struct TargetResponse {
  TargetResponseHead head_;
  std::string body_;
};

/// Receives a response or a failure, never both.
struct WholeEvents {
  std::function<void(TargetResponse)> on_response_;
  std::function<void(const AttemptFailure&)> on_failure_;
};

/// Starts an exchange whose response is collected, up to `max_bytes` of body;
/// a longer one is a failure with outcome kUnknown.
auto StartWholeExchange(const std::shared_ptr<ConnectionPool>& pool,
                        TargetRequest request, std::size_t max_bytes,
                        WholeEvents events) -> std::shared_ptr<TargetExchange>;

}  // namespace baobab
