#include "baobab_limits/share_ledger.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace baobab::limits {
namespace {

// Longer than any useful answer takes; a later one is ignored.
constexpr Duration kAnswerPatience = std::chrono::seconds(10);

}  // namespace

ShareLedger::ShareLedger(ShareKey key, ProcessId self)
    : key_(std::move(key)), self_(std::move(self)) {}

auto ShareLedger::SetLimit(Units limit) -> void {
  limit_ = limit;
  UpdateBase();
}

auto ShareLedger::SetEpochs(const std::vector<RosterEpoch>& epochs) -> void {
  epochs_ = epochs;
  UpdateBase();
}

auto ShareLedger::UpdateBase() -> void {
  base_ = epochs_.empty() ? 0 : limit_;
  for (const auto& epoch : epochs_) {
    base_ = std::min(base_, BaseShare(key_, limit_, epoch, self_));
  }
}

auto ShareLedger::Usable(TimePoint now) const -> Units {
  return std::max<Units>(0, SurplusAt(now, nullptr) + held_);
}

auto ShareLedger::MinSurplus(TimePoint from, TimePoint until,
                             const ProcessId* except) const -> Units {
  auto least = SurplusAt(from, except);
  // The surplus falls only where a borrowed entry expires.
  for (const auto& [lender, account] : borrowed_) {
    for (const auto& entry : account.entries_) {
      if (entry.until_ > from && entry.until_ <= until) {
        least = std::min(least, SurplusAt(entry.until_, except));
      }
    }
  }
  return least;
}

auto ShareLedger::SurplusAt(TimePoint when, const ProcessId* except) const
    -> Units {
  auto surplus = base_ - held_;
  for (const auto& [lender, account] : borrowed_) {
    surplus += UnitsAt(account, when, limit_);
  }
  for (const auto& [borrower, account] : lent_) {
    if (except == nullptr || borrower != *except) {
      surplus -= UnitsAt(account, when, limit_);
    }
  }
  return surplus;
}

auto ShareLedger::UnitsAt(const Account& account, TimePoint when, Units limit)
    -> Units {
  Units units = 0;
  for (const auto& entry : account.entries_) {
    if (entry.until_ > when && entry.limit_ <= limit) {
      units = std::max(units, entry.units_);
    }
  }
  return units;
}

auto ShareLedger::Cut(Account& account, Units units) -> void {
  for (auto& entry : account.entries_) {
    entry.units_ = std::min(entry.units_, units);
  }
}

auto ShareLedger::IsNewRequest(const ProcessId& borrower,
                               const LoanRequest& request) const -> bool {
  const auto found = lent_.find(borrower);
  return found == lent_.end() || request.sequence_ > found->second.sequence_;
}

auto ShareLedger::Grant(const ProcessId& borrower, const LoanRequest& request,
                        Units units, Duration term, TimePoint now)
    -> LoanAnswer {
  auto& account = lent_[borrower];
  account.sequence_ = request.sequence_;
  Cut(account, request.held_);
  if (units > 0) {
    account.entries_.push_back({units, now + CountedTerm(term), 0});
  }
  return {key_, request.sequence_, units, term, limit_};
}

auto ShareLedger::Request(const ProcessId& lender, Units keep, TimePoint now)
    -> LoanRequest {
  auto& account = borrowed_[lender];
  Cut(account, keep);
  account.sequence_ = next_sequence_++;
  account.sent_ = now;
  LoanRequest request;
  request.key_ = key_;
  request.sequence_ = account.sequence_;
  // Entries above the active limit count too: they may become usable again.
  for (const auto& entry : account.entries_) {
    if (entry.until_ > now) {
      request.held_ = std::max(request.held_, entry.units_);
    }
  }
  request.base_ = base_;
  return request;
}

auto ShareLedger::Accept(const ProcessId& lender, const LoanAnswer& answer)
    -> bool {
  const auto found = borrowed_.find(lender);
  if (found == borrowed_.end() || found->second.sequence_ != answer.sequence_) {
    return false;
  }
  auto& account = found->second;
  if (answer.units_ > 0) {
    account.entries_.push_back(
        {answer.units_, account.sent_ + answer.term_, answer.limit_});
  }
  return true;
}

auto ShareLedger::BorrowedFrom(const ProcessId& lender, TimePoint now) const
    -> Units {
  const auto found = borrowed_.find(lender);
  return found == borrowed_.end() ? 0 : UnitsAt(found->second, now, limit_);
}

auto ShareLedger::Lent(TimePoint now) const -> Units {
  Units units = 0;
  for (const auto& [borrower, account] : lent_) {
    units += UnitsAt(account, now, limit_);
  }
  return units;
}

auto ShareLedger::Lenders(TimePoint now) const -> std::vector<ProcessId> {
  std::vector<ProcessId> lenders;
  for (const auto& [lender, account] : borrowed_) {
    if (UnitsAt(account, now, limit_) > 0) {
      lenders.push_back(lender);
    }
  }
  return lenders;
}

// An account without entries may be forgotten: a delayed request could be
// granted again, but its answer is void or expired at the borrower. A borrower
// keeps the account while an answer may still come.
auto ShareLedger::RemoveExpired(TimePoint now) -> void {
  for (auto* accounts : {&lent_, &borrowed_}) {
    for (auto& [peer, account] : *accounts) {
      std::erase_if(account.entries_, [now](const Entry& entry) {
        return entry.until_ <= now || entry.units_ == 0;
      });
    }
  }
  std::erase_if(lent_,
                [](const auto& item) { return item.second.entries_.empty(); });
  std::erase_if(borrowed_, [now](const auto& item) {
    return item.second.entries_.empty() &&
           now - item.second.sent_ > kAnswerPatience;
  });
}

}  // namespace baobab::limits
