#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Decides what a process does on its way to a planned stop.
///
/// For some time it serves callers that still know its address, then it accepts
/// no more requests. Requests that are in progress near the end get an answer
/// from the process itself, so that none ends without one. It exits at the
/// earliest one check after it stopped accepting: requests that had arrived by
/// then are read and answered first.
class StopSequence {
 public:
  enum class Action : std::uint8_t {
    kWait,
    kStopAccepting,  ///< Refuse new requests and those not sent to a target.
    kAnswerRest,     ///< Answer the requests that are in progress.
    kExit
  };

  /// Times after the request to stop.
  struct Schedule {
    Duration stop_accepting_at_{};
    Duration answer_rest_at_{};
    Duration exit_at_{};  ///< Even if requests are in progress.

    auto operator==(const Schedule&) const -> bool = default;
  };

  /// Time for which callers with a cached directory response still connect.
  static constexpr Duration kAcceptTime = std::chrono::milliseconds(2500);
  /// Minimum part of the time until the exit, in tenths, that is left for the
  /// requests accepted last. It matters if the grace period is short.
  static constexpr int kMinServingTenths = 6;
  /// Time in which the answers of kAnswerRest reach the callers.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(300);
  /// The process ends this long, and at most a quarter of the grace period,
  /// before the end of the grace period, when it would be killed.
  static constexpr Duration kReserve = std::chrono::milliseconds(700);

  /// Returns the schedule for a process that is killed `grace_period` after the
  /// request to stop.
  [[nodiscard]] static auto ForGracePeriod(Duration grace_period) -> Schedule {
    const auto exit_at = grace_period - std::min(kReserve, grace_period / 4);
    const auto answer_at = exit_at - std::min(kAnswerTime, exit_at / 4);
    return {std::min(kAcceptTime, exit_at * (10 - kMinServingTenths) / 10),
            answer_at, exit_at};
  }

  explicit StopSequence(Schedule schedule) : schedule_(schedule) {}

  /// Returns the action at a check, `elapsed` after the request to stop, with
  /// `active` requests in progress.
  [[nodiscard]] auto Next(Duration elapsed, std::size_t active) -> Action {
    if (elapsed >= schedule_.exit_at_) {
      return Action::kExit;
    }
    if (elapsed < schedule_.stop_accepting_at_) {
      return Action::kWait;
    }
    if (!std::exchange(stopped_accepting_, true)) {
      return Action::kStopAccepting;
    }
    if (active == 0) {
      return Action::kExit;
    }
    if (elapsed >= schedule_.answer_rest_at_ &&
        !std::exchange(answered_rest_, true)) {
      return Action::kAnswerRest;
    }
    return Action::kWait;
  }

 private:
  Schedule schedule_;
  bool stopped_accepting_ = false;
  bool answered_rest_ = false;
};

}  // namespace baobab::gateway
