#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_burn/burn_tracker.h"

namespace baobab::burn {

/// Severity of an alert.
enum class AlertLevel : std::uint8_t { kNone, kTicket, kPage };

/// Windows over which burn rates are given.
inline constexpr std::array<std::chrono::minutes, 5> kBurnWindows = {
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1),
    std::chrono::hours(6), std::chrono::days(3)};

/// Burn rate of one window. At rate 1 the error budget lasts exactly as long
/// as the objective allows.
struct WindowBurn {
  std::chrono::minutes window_{};
  std::uint64_t good_ = 0;
  std::uint64_t bad_ = 0;
  double rate_ = 0;
};

/// Burn of one objective.
struct ObjectiveBurn {
  ObjectiveKey key_;
  Objective objective_;
  std::array<WindowBurn, kBurnWindows.size()> windows_{};
  AlertLevel alert_ = AlertLevel::kNone;
  std::vector<MinuteCount> minutes_;  ///< The last hour, for the plot.
};

/// Multi-window, multi-burn-rate report over the counts of a BurnTracker.
///
/// An alert pages when the burn rates of 1 h and 5 min both exceed 14.4 (2% of
/// a 30-day budget in an hour), and asks for a ticket when those of 6 h and
/// 30 min both exceed 6 (5% in six hours). The short window clears the alert
/// soon after the cause has gone. Source: the multi-window method of the
/// Google SRE Workbook, chapter 5.
class BurnReport {
 public:
  /// Computes the report from `tracker` as of `now`.
  BurnReport(const BurnTracker& tracker, WallTime now);

  /// One entry per objective, ordered by customer and work kind.
  [[nodiscard]] auto objectives() const -> const std::vector<ObjectiveBurn>& {
    return objectives_;
  }

  /// Renders a table for people.
  [[nodiscard]] auto ToText() const -> std::string;

  /// Renders one JSON document.
  [[nodiscard]] auto ToJson() const -> std::string;

  /// Renders an SVG plot: the share of bad requests per minute over the last
  /// hour, one panel per objective.
  [[nodiscard]] auto ToSvg() const -> std::string;

 private:
  WallTime now_;
  std::vector<ObjectiveBurn> objectives_;
};

/// Returns "none", "ticket" or "page".
[[nodiscard]] auto ToString(AlertLevel level) -> std::string_view;

}  // namespace baobab::burn
