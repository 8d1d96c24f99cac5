#pragma once

#include <optional>
#include <tuple>

#include "baobab_base/time_types.h"
#include "baobab_gateway/work_item.h"

namespace baobab::gateway {

/// Engine time that a request needs at least.
struct RequiredTime {
  Duration first_token_{};  ///< Until the first token, without any wait.
  Duration total_{};        ///< Until the end of the response.
};

/// Decides which requests are served, which wait and which are turned away when
/// targets have too little room for all. Holds no state and does no I/O.
///
/// A request is useful to its caller until three times: the latency objective,
/// after which the response is worth a fraction; the end of the caller's
/// patience, after which nobody receives it; and the deadline.
class OverloadPolicy {
 public:
  struct Settings {
    /// Time added to the latency objective per priority level when waiting
    /// requests are ordered.
    Duration priority_step_ = std::chrono::milliseconds(300);
    /// Part of the latency objective, and upper bound, of the time to the first
    /// token that does not depend on the request's own prompt. A request with
    /// less time left counts as late. With a fixed time of 200 ms, a request
    /// with an objective of 400 ms counted as late after a wait of 190 ms.
    double first_token_share_ = 0.25;
    Duration max_first_token_overhead_ = std::chrono::milliseconds(200);
    /// Longest own prefill of a short prompt. One more short prompt delays the
    /// responses that a target generates by less than this.
    Duration short_prefill_ = std::chrono::milliseconds(30);
    /// Upper bound on the pending prefill at a target with a further short
    /// prompt: the backlog before a long prompt plus that prompt, so the gaps
    /// between events become no longer than one more long prompt makes them.
    /// With the bound of long prompts, four of five waits of short ones were
    /// for the prefill of a long one, longer than their whole objective.
    Duration max_backlog_of_short_ = std::chrono::milliseconds(180);
    /// Bounds of the delay that a refused caller is told to wait.
    Duration min_retry_after_ = std::chrono::milliseconds(100);
    Duration max_retry_after_ = std::chrono::seconds(3);
  };

  /// Position of a waiting request; smaller ones are sent first.
  struct Rank {
    bool late_ = false;
    TimePoint due_{};
    WorkId id_ = 0;
    auto operator<=>(const Rank&) const = default;
  };

  OverloadPolicy() = default;
  explicit OverloadPolicy(Settings settings) : settings_(settings) {}

  /// Returns whether the first token can no longer come within the objective if
  /// the request is sent at `now`.
  [[nodiscard]] auto IsLate(const WorkItem& item, Duration prefill,
                            TimePoint now) const -> bool;

  [[nodiscard]] auto RankOf(const WorkItem& item, Duration prefill,
                            TimePoint now) const -> Rank;

  /// Returns whether a request that is sent after `wait` still reaches its
  /// caller: its first event within the caller's patience and its end before
  /// the deadline.
  [[nodiscard]] static auto IsUseful(const WorkItem& item,
                                     const RequiredTime& required,
                                     TimePoint sent_at) -> bool;

  /// Returns whether a short prompt, of which `prefill` is not cached, may be
  /// sent to a target with this much pending prefill.
  [[nodiscard]] auto FitsAsShortPrompt(Duration pending, Duration prefill) const
      -> bool {
    return prefill <= settings_.short_prefill_ &&
           pending + prefill <= settings_.max_backlog_of_short_;
  }

  /// Returns the delay after which a refused caller should return, given the
  /// expected wait of its request.
  [[nodiscard]] auto RetryAfter(const WorkItem& item, Duration wait,
                                TimePoint now) const -> Duration;

 private:
  Settings settings_;
};

}  // namespace baobab::gateway
