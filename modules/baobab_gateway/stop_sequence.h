#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides what a process does on its way to a planned stop.
///
/// For some time it serves callers that still know its address, then it accepts
/// no more connections. It exits at the earliest one check after that: requests
/// that had arrived by then are read and answered first.
class StopSequence {
 public:
  enum class Action : std::uint8_t { kWait, kStopAccepting, kExit };

  /// Accepts connections for `accept_time` after the request to stop and exits
  /// after `max_time` even if requests are in progress.
  StopSequence(Duration accept_time, Duration max_time)
      : accept_time_(accept_time), max_time_(max_time) {}

  /// Returns the action at a check, `elapsed` after the request to stop, with
  /// `active` requests in progress.
  [[nodiscard]] auto Next(Duration elapsed, std::size_t active) -> Action {
    if (elapsed >= max_time_) {
      return Action::kExit;
    }
    if (elapsed < accept_time_) {
      return Action::kWait;
    }
    if (!std::exchange(stopped_accepting_, true)) {
      return Action::kStopAccepting;
    }
    return active == 0 ? Action::kExit : Action::kWait;
  }

 private:
  Duration accept_time_;
  Duration max_time_;
  bool stopped_accepting_ = false;
};

}  // namespace baobab::gateway
