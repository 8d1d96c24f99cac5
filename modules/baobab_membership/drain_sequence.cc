#include "baobab_membership/drain_sequence.h"

namespace baobab::membership {

DrainSequence::DrainSequence(Duration entry_max_age)
    : entry_max_age_(entry_max_age) {}

auto DrainSequence::Begin(TimePoint now) -> void {
  if (!began_) {
    began_ = now;
  }
}

auto DrainSequence::Step(TimePoint now, std::size_t in_flight,
                         bool has_loans) const -> DrainStep {
  if (!began_) {
    return DrainStep::kServing;
  }
  if (Accepts(now)) {
    return DrainStep::kLeavingEntries;
  }
  if (in_flight > 0) {
    return DrainStep::kFinishing;
  }
  return has_loans ? DrainStep::kReturningLoans : DrainStep::kStopped;
}

auto DrainSequence::Accepts(TimePoint now) const -> bool {
  return !began_ || now < *began_ + entry_max_age_ + kHeartbeatAllowance;
}

}  // namespace baobab::membership
