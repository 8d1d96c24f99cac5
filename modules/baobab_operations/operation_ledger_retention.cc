// Retention of OperationLedger: deadlines, expiry, capacity and copies.
#include <algorithm>
#include <utility>

#include "baobab_operations/operation_ledger.h"

namespace baobab {

auto OperationLedger::IsExpired(const Entry& entry, TimePoint now) const
    -> bool {
  return now - entry.created_ >= settings_.retention_;
}

auto OperationLedger::Sweep(TimePoint now) -> std::vector<LedgerStep> {
  std::vector<OperationRef> late;
  for (const auto& ref : in_progress_) {
    if (entries_.at(ref).deadline_ < now) {
      late.push_back(ref);
    }
  }
  std::vector<LedgerStep> steps;
  steps.reserve(late.size());
  for (const auto& ref : late) {
    steps.push_back(ExpireAttempt(ref, entries_.at(ref)));
  }
  AdvanceLowWaterMark(now);
  DropOld(now);
  return steps;
}

auto OperationLedger::ExpireAttempt(const OperationRef& ref, Entry& entry)
    -> LedgerStep {
  if (entry.attempt_ == 0) {
    entry.claim_->Abandon();
  } else if (entry.life_cycle_.state() == OperationState::kSending) {
    entry.life_cycle_.process_event(operation_event::Lost{});
  } else {
    entry.life_cycle_.process_event(operation_event::NotExecuted{});
  }
  return Finish(ref, entry, LedgerReason::kTimedOut);
}

auto OperationLedger::AdvanceLowWaterMark(TimePoint now) -> void {
  while (issue_marks_.size() > 1 &&
         now - issue_marks_[1].second >= settings_.retention_) {
    low_water_mark_ = std::max(low_water_mark_, issue_marks_[1].first);
    issue_marks_.pop_front();
  }
}

auto OperationLedger::DropOld(TimePoint now) -> void {
  while (!by_age_.empty() &&
         now - by_age_.front().first >= settings_.retention_) {
    const auto found = entries_.find(by_age_.front().second);
    if (found != entries_.end() &&
        found->second.created_ == by_age_.front().first) {
      if (in_progress_.contains(found->first)) {
        break;
      }
      Erase(found);
    }
    by_age_.pop_front();
  }
  while (!copies_by_age_.empty() &&
         now - copies_by_age_.front().first >= settings_.retention_) {
    copies_.erase(copies_by_age_.front().second);
    copies_by_age_.pop_front();
  }
}

auto OperationLedger::MakeRoom() -> bool {
  // Entries in progress go to the back; looking at a few keeps this bounded.
  constexpr std::size_t kTries = 64;
  for (std::size_t i = 0; i < kTries && !by_age_.empty(); ++i) {
    auto oldest = std::move(by_age_.front());
    by_age_.pop_front();
    const auto found = entries_.find(oldest.second);
    if (found == entries_.end() || found->second.created_ != oldest.first) {
      continue;
    }
    if (!in_progress_.contains(found->first)) {
      Erase(found);
      return true;
    }
    by_age_.push_back(std::move(oldest));
  }
  return entries_.size() < settings_.max_entries_;
}

auto OperationLedger::Erase(Entries::iterator found) -> void {
  // A key without an entry must not look new: an issued one falls below the
  // low-water mark, a chosen one is recognised by the number of its claim.
  if (!found->second.claim_) {
    low_water_mark_ = std::max(low_water_mark_, found->second.sequence_ + 1);
  }
  entries_.erase(found);
}

auto OperationLedger::OnOutcomeCopy(
    const OperationRef& ref, std::shared_ptr<const OperationAnswer> answer,
    TimePoint now) -> void {
  if (!copies_.try_emplace(ref, Copy{std::move(answer), now}).second) {
    return;
  }
  copies_by_age_.emplace_back(now, ref);
  if (copies_.size() > settings_.max_copies_) {
    copies_.erase(copies_by_age_.front().second);
    copies_by_age_.pop_front();
  }
}

}  // namespace baobab
