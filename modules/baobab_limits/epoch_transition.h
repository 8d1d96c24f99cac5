#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "baobab_base/roster_epoch.h"

namespace baobab::limits {

/// Carries one instance from one roster epoch to the next without the shares
/// of all members ever adding up to more than the limit.
///
/// Until an epoch is complete, the instance uses the smallest of its shares
/// under the last complete epoch and all epochs learned since. An epoch is
/// complete when the instance and every member that joined before it have
/// applied exactly that epoch. A report of a later epoch does not count: a
/// process that skipped the epoch never limited itself to its share under it.
class EpochTransition {
 public:
  explicit EpochTransition(ProcessId self);

  /// Takes `roster` if its epoch is higher than the newest known. Returns
  /// whether it was taken.
  auto Learn(const RosterEpoch& roster) -> bool;

  /// Records that every ledger covers its commitments with its share under the
  /// newest epoch (ShareLedger::IsCovered). Call before reporting.
  auto MarkApplied() -> void;

  /// Takes the applied epoch reported by a peer's heartbeat.
  auto OnReport(const ProcessId& peer, std::uint64_t epoch) -> void;

  /// The epoch to report in heartbeats; 0 before the first.
  [[nodiscard]] auto applied_epoch() const -> std::uint64_t {
    return applied_epoch_;
  }

  /// The last complete epoch and all newer ones, oldest first; never empty.
  [[nodiscard]] auto epochs() const -> const std::vector<RosterEpoch>& {
    return epochs_;
  }

  /// The newest known roster.
  [[nodiscard]] auto newest() const -> const RosterEpoch& {
    return epochs_.back();
  }

  /// Returns true if the newest epoch is complete.
  [[nodiscard]] auto complete() const -> bool { return epochs_.size() == 1; }

 private:
  auto CompleteIfReported() -> void;

  ProcessId self_;
  std::vector<RosterEpoch> epochs_{RosterEpoch{}};
  std::uint64_t applied_epoch_ = 0;
  std::map<ProcessId, std::uint64_t> reported_;
};

}  // namespace baobab::limits
