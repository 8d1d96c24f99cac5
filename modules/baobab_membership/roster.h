#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "baobab_base/roster_epoch.h"
#include "baobab_base/time_types.h"

namespace baobab::membership {

/// Key of the roster in the configuration service.
inline constexpr std::string_view kRosterKey = "/baobab/roster";

/// Returns `roster` as the JSON value stored under kRosterKey.
[[nodiscard]] auto EncodeRoster(const RosterEpoch& roster) -> std::string;

/// Parses a stored value; returns nothing if it is malformed.
[[nodiscard]] auto DecodeRoster(std::string_view json)
    -> std::optional<RosterEpoch>;

/// The roster as this instance knows it, and the changes that it should write.
///
/// A member is removed when it has left, when the instance list says that its
/// instance has ended, or when a new process answers at its address; silence
/// alone never removes it. A removal waits until no loan of the member can
/// still be in use, unless the member itself said it has none.
class Roster {
 public:
  /// `loan_horizon` is the longest time that a loan may be counted.
  explicit Roster(Duration loan_horizon) : loan_horizon_(loan_horizon) {}

  /// Sets the longest time that a loan may be counted.
  auto SetLoanHorizon(Duration horizon) -> void { loan_horizon_ = horizon; }

  /// Takes a roster read from the configuration service or relayed by a peer,
  /// if its epoch is higher. Returns whether it was taken.
  auto Learn(const RosterEpoch& roster) -> bool;

  /// Records that `process` is ready and wants to own base shares.
  auto RequestJoin(const ProcessId& process) -> void;

  /// Records that `process` left and has no loans outstanding.
  auto OnLeft(const ProcessId& process) -> void;

  /// Records that `process` has ended, by the instance list or because a new
  /// process answers at its address.
  auto OnEnded(const ProcessId& process, TimePoint now) -> void;

  /// Returns the epoch to write over the current one by compare-and-swap, or
  /// nothing if it is right as it is.
  [[nodiscard]] auto Propose(TimePoint now) const -> std::optional<RosterEpoch>;

  /// The newest known roster; epoch 0 if none.
  [[nodiscard]] auto current() const -> const RosterEpoch& { return current_; }

  /// Returns true if `process` is a member.
  [[nodiscard]] auto Contains(const ProcessId& process) const -> bool;

 private:
  [[nodiscard]] auto IsRemovable(const ProcessId& process, TimePoint now) const
      -> bool;

  Duration loan_horizon_;
  RosterEpoch current_;
  std::set<ProcessId> joining_;
  std::set<ProcessId> left_;
  std::map<ProcessId, TimePoint> ended_;
};

}  // namespace baobab::membership
