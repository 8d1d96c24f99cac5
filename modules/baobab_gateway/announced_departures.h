#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "baobab_base/time_types.h"
#include "baobab_gateway/target_registration.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab::gateway {

/// What a target stated in the head of a response: that it is leaving.
struct LeavingStatement {
  std::string target_;       ///< Target that responded.
  TargetEndpoint endpoint_;  ///< Address at which it responded.
  WallTime stated_at_{};     ///< When the response arrived.
};

/// The target processes that have announced, in a response or in their
/// registration, that they are leaving.
///
/// Such a process never becomes usable again, whatever the store or a peer says
/// later. Evidence of another process is a registration that states a start
/// after the statement. The start is on the wall clock of the target: if the
/// clock of the instance is ahead of it, a process that starts within the
/// difference counts as the former one.
class AnnouncedDepartures {
 public:
  /// Maximum number of targets; the one with the oldest statement is dropped
  /// first. Several times the targets of the largest planned deployment.
  static constexpr std::size_t kMaxTargets = 16'384;

  /// Records a statement of a process that is not known to be leaving.
  auto Record(const LeavingStatement& statement) -> void;

  /// Records that the process that wrote `registration` has registered as
  /// leaving. Has no effect if the registration does not state its start.
  auto RecordRegistration(const TargetRegistration& registration) -> void;

  /// Returns true if the process that wrote `registration` has announced that
  /// it is leaving.
  [[nodiscard]] auto IsLeaving(const TargetRegistration& registration) const
      -> bool;

  /// Returns true if the target of `statement` has made one at this address.
  [[nodiscard]] auto Contains(const LeavingStatement& statement) const -> bool {
    return by_target_.count(statement.target_) > 0 &&
           by_endpoint_.count(statement.endpoint_) > 0;
  }

  /// Returns the number of targets with a statement.
  [[nodiscard]] auto size() const -> std::size_t { return by_target_.size(); }

 private:
  /// A process of the target that started up to this time is leaving.
  std::map<std::string, WallTime> by_target_;
  /// By address, because a response may come from a process that is registered
  /// under another id than the request expected.
  std::map<TargetEndpoint, WallTime> by_endpoint_;
};

}  // namespace baobab::gateway
