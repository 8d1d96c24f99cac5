#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "baobab_base/strong_id.h"

namespace baobab {

/// One run of a daemon on an instance.
struct ProcessId {
  InstanceId instance_;
  Incarnation incarnation_ = 0;
  auto operator<=>(const ProcessId&) const = default;
};

/// A member of the roster.
struct RosterMember {
  ProcessId process_;
  std::uint64_t joined_epoch_ = 0;  ///< First epoch that lists it.
  auto operator==(const RosterMember&) const -> bool = default;
};

/// The processes that own base shares, as of one epoch. Epoch 0 is empty.
struct RosterEpoch {
  std::uint64_t epoch_ = 0;
  std::vector<RosterMember> members_;
  auto operator==(const RosterEpoch&) const -> bool = default;
};

}  // namespace baobab
