#pragma once

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides whether a request is worth another send.
class AttemptPolicy {
 public:
  /// Sends of one request, including those that did not reach a target. Bounds
  /// the work that one request causes when many targets fail at once.
  static constexpr int kMaxSends = 5;
  /// Refusals of full targets after which a request is refused: the services
  /// without models have three targets. Each refusal draws on the shared bound
  /// of repeats and holds up the caller, who may come back elsewhere.
  static constexpr int kMostRefusals = 3;
  /// Less time than this does not suffice for a connection and a first token.
  static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(50);

  /// Returns true if a request that was sent `sends` times and must be
  /// answered by `limit` may be sent again at `now`.
  [[nodiscard]] static auto MaySendAgain(int sends, TimePoint limit,
                                         TimePoint now) -> bool {
    return sends < kMaxSends && limit - now >= kMinTimeLeft;
  }
};

}  // namespace baobab::gateway
