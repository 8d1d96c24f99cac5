#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_base/time_types.h"

namespace baobab {

/// Delays and losses of messages between the nodes of a VirtualNetwork.
struct LinkFaults {
  Duration min_delay_ = std::chrono::microseconds(500);
  Duration max_delay_ = std::chrono::microseconds(1500);
  double loss_ = 0;       ///< Probability that a message is lost, 0 to 1.
  double duplicate_ = 0;  ///< Probability that a message arrives twice, 0 to 1.
};

/// A seeded event queue under virtual time, with messages between numbered
/// nodes that may be delayed, reordered, lost, duplicated or cut off, and
/// nodes that may pause. For tests and measurements of core classes.
class VirtualNetwork {
 public:
  using Event = std::function<void(TimePoint now)>;

  /// All randomness follows from `seed`.
  VirtualNetwork(std::uint64_t seed, LinkFaults faults);

  /// Runs `event` at `when`, or at once if `when` has passed.
  auto At(TimePoint when, Event event) -> void;

  /// Runs `event` after `delay`.
  auto After(Duration delay, Event event) -> void {
    At(now_ + delay, std::move(event));
  }

  /// Runs `event` on `node` after `delay`; if the node is paused at that time,
  /// when it resumes.
  auto OnNode(std::size_t node, Duration delay, Event event) -> void;

  /// Delivers a message from `from` to `to` by running `deliver`, subject to
  /// the link's faults. A cut link loses it; a paused receiver gets it late.
  auto Send(std::size_t from, std::size_t to, const Event& deliver) -> void;

  /// Cuts the link between `a` and `b` in both directions.
  auto Cut(std::size_t a, std::size_t b) -> void;

  /// Restores all cut links.
  auto HealAll() -> void { cut_.clear(); }

  /// Stops deliveries to and timers of `node` until `until`.
  auto Pause(std::size_t node, TimePoint until) -> void;

  /// Returns true if `node` is paused now.
  [[nodiscard]] auto IsPaused(std::size_t node) const -> bool;

  /// Sets the faults of messages sent from now on.
  auto SetFaults(LinkFaults faults) -> void { faults_ = faults; }

  /// Runs all events up to and including `until`, and sets the clock to it.
  auto RunUntil(TimePoint until) -> void;

  /// The current virtual time.
  [[nodiscard]] auto now() const -> TimePoint { return now_; }

  /// The generator that decides delays and losses.
  [[nodiscard]] auto random() -> Random& { return random_; }

 private:
  struct Entry {
    TimePoint when_;
    std::uint64_t sequence_;  ///< Keeps events of one time in order.
    Event event_;
    auto operator<(const Entry& other) const -> bool {
      return when_ != other.when_ ? when_ > other.when_
                                  : sequence_ > other.sequence_;
    }
  };

  [[nodiscard]] auto RandomDelay() -> Duration;
  [[nodiscard]] auto Chance(double probability) -> bool;

  Random random_;
  LinkFaults faults_;
  TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Entry> events_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  std::vector<TimePoint> paused_until_;
};

}  // namespace baobab
