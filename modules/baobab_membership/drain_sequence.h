#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "baobab_base/time_types.h"

namespace baobab::membership {

/// Step of a graceful stop.
enum class DrainStep : std::uint8_t {
  kServing,         ///< Not draining.
  kLeavingEntries,  ///< Still accepts: callers may hold answers that name it.
  kFinishing,       ///< Refuses new connections, finishes what runs.
  kReturningLoans,  ///< Waits until its units are no longer lent.
  kStopped,         ///< May leave the roster and exit.
};

/// Steps of a graceful stop, in which no request is interrupted (G7).
class DrainSequence {
 public:
  /// `entry_max_age` is the maximum age of answers of `GET /v1/entry`.
  explicit DrainSequence(Duration entry_max_age);

  /// Starts to drain at `now`; later calls change nothing.
  auto Begin(TimePoint now) -> void;

  /// Returns the step at `now` with the given requests in flight and whether
  /// any unit is lent or borrowed.
  [[nodiscard]] auto Step(TimePoint now, std::size_t in_flight,
                          bool has_loans) const -> DrainStep;

  /// Returns true if new connections are accepted.
  [[nodiscard]] auto Accepts(TimePoint now) const -> bool;

 private:
  /// Time until every peer has heard that this instance drains: two
  /// heartbeats.
  static constexpr Duration kHeartbeatAllowance = std::chrono::seconds(2);

  Duration entry_max_age_;
  std::optional<TimePoint> began_;
};

}  // namespace baobab::membership
