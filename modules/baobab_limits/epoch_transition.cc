#include "baobab_limits/epoch_transition.h"

#include <algorithm>
#include <utility>

namespace baobab::limits {

EpochTransition::EpochTransition(ProcessId self) : self_(std::move(self)) {}

auto EpochTransition::Learn(const RosterEpoch& roster) -> bool {
  if (roster.epoch_ <= newest().epoch_) {
    return false;
  }
  epochs_.push_back(roster);
  std::erase_if(reported_, [&](const auto& entry) {
    return std::ranges::none_of(roster.members_, [&](const auto& member) {
      return member.process_ == entry.first;
    });
  });
  return true;
}

auto EpochTransition::MarkApplied() -> void {
  applied_epoch_ = newest().epoch_;
  CompleteIfReported();
}

auto EpochTransition::OnReport(const ProcessId& peer, std::uint64_t epoch)
    -> void {
  auto& reported = reported_[peer];
  reported = std::max(reported, epoch);
  CompleteIfReported();
}

auto EpochTransition::CompleteIfReported() -> void {
  if (complete() || applied_epoch_ != newest().epoch_) {
    return;
  }
  const auto epoch = newest().epoch_;
  const auto done =
      std::ranges::all_of(newest().members_, [&](const RosterMember& member) {
        if (member.joined_epoch_ >= epoch || member.process_ == self_) {
          return true;
        }
        const auto found = reported_.find(member.process_);
        return found != reported_.end() && found->second == epoch;
      });
  if (done) {
    epochs_.erase(epochs_.begin(), epochs_.end() - 1);
  }
}

}  // namespace baobab::limits
