#include "baobab_accounts/account_cap_broker.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace baobab::accounts {

auto AccountCapBroker::SetAccounts(const Accounts& accounts, TimePoint now)
    -> void {
  std::map<std::string, Pool> pools;
  for (const auto& account : accounts) {
    if (account->cap_.IsUnlimited()) {
      continue;
    }
    Pool pool;
    const auto found = pools_.find(account->name_);
    if (found != pools_.end() &&
        found->second.cap_.unit_ == account->cap_.unit_) {
      pool = std::move(found->second);
    }
    // The next answer sets the shape by the new cap; a smaller one applies now.
    pool.cap_ = account->cap_;
    pool.reserve_.SetShape(
        std::min(pool.reserve_.rate(), pool.cap_.units_per_second_),
        std::min(pool.reserve_.size(), bounds_.BucketUnits(pool.cap_)), now);
    pools[account->name_] = std::move(pool);
  }
  pools_ = std::move(pools);
}

auto AccountCapBroker::BeginTerm(std::int64_t term, TimePoint now) -> void {
  term_ = term;
  sequence_ = 0;
  settled_at_ = now + CapTerms::kCounted;
  holders_.clear();
  for (auto& [name, pool] : pools_) {
    pool.adopted_ = {};
    pool.reserve_.SetShape(0, 0, now);
  }
}

auto AccountCapBroker::OnDemand(const CapDemand& demand, TimePoint now)
    -> std::optional<CapGrants> {
  if (term_ == 0 || demand.broker_term_ > term_) {
    return std::nullopt;
  }
  if (demand.broker_term_ < term_) {
    return CapGrants{
        demand.instance_, demand.incarnation_, term_, 0, demand.sequence_, {}};
  }
  DropExpired(now);
  const auto [found, is_new] =
      holders_.try_emplace({demand.instance_, demand.incarnation_});
  auto& holder = found->second;
  if (demand.sequence_ <= holder.last_demand_) {
    return std::nullopt;
  }
  holder.last_demand_ = demand.sequence_;
  holder.stated_at_ = now;
  holder.asked_.clear();
  if (demand.term_ == term_) {
    Confirm(holder, demand, now);
  } else if (is_new && demand.term_ != 0 && !IsSettled(now)) {
    Adopt(holder, demand, now);
  }
  for (const auto& [name, use] : demand.uses_) {
    holder.asked_[name] = use.asked_per_second_;
    holder.dropped_[name] = use.dropped_;
  }
  CapGrants grants{demand.instance_, demand.incarnation_, term_,
                   ++sequence_,      demand.sequence_,    {}};
  Shares shares;
  for (const auto& [name, use] : demand.uses_) {
    const auto pool = pools_.find(name);
    if (pool == pools_.end()) {
      continue;
    }
    const auto totals = Sum(name, &holder, now);
    const auto share = Decide(pool->second, use, totals, now);
    const auto credit = TakeCredit(pool->second, use, share, totals, now);
    if (share != CapShare{}) {
      shares[name] = share;
      grants.grants_[name] = {share, credit};
    }
  }
  holder.outstanding_.push_back(
      {sequence_, now + CapTerms::kCounted, std::move(shares)});
  return grants;
}

auto AccountCapBroker::SettleIfStated(
    const std::vector<std::string>& registered, TimePoint now) -> bool {
  if (!IsWaiting(now)) {
    return false;
  }
  // A process that replaced another one of the same instance holds nothing of
  // earlier terms, and the other one is gone.
  const bool all_stated = std::all_of(
      registered.begin(), registered.end(), [this](const std::string& name) {
        const auto found = holders_.lower_bound(
            {name, std::numeric_limits<std::int64_t>::min()});
        return found != holders_.end() && found->first.first == name;
      });
  if (all_stated) {
    settled_at_ = now;
  }
  return all_stated;
}

auto AccountCapBroker::RefreshReserves(TimePoint now) -> void {
  DropExpired(now);
  for (auto& [name, pool] : pools_) {
    SetReserve(pool, Sum(name, nullptr, now).counted_, now);
  }
}

auto AccountCapBroker::DropExpired(TimePoint now) -> void {
  for (auto& [key, holder] : holders_) {
    std::erase_if(holder.outstanding_, [now](const auto& outstanding) {
      return now >= outstanding.counted_until_;
    });
  }
  std::erase_if(holders_, [now](const auto& item) {
    return item.second.outstanding_.empty() &&
           now - item.second.stated_at_ > CapTerms::kCounted;
  });
}

auto AccountCapBroker::Confirm(Holder& holder, const CapDemand& demand,
                               TimePoint now) -> void {
  const auto before = holder.outstanding_;
  std::erase_if(holder.outstanding_, [&demand](const auto& outstanding) {
    return outstanding.sequence_ < demand.applied_;
  });
  for (const auto& [name, use] : demand.uses_) {
    const auto pool = pools_.find(name);
    const auto known = holder.dropped_.find(name);
    if (pool == pools_.end() || known == holder.dropped_.end()) {
      continue;
    }
    // No more than the holder had in the share that it gave up.
    const auto freed = (Counted(before, name).size_ -
                        Counted(holder.outstanding_, name).size_) *
                       bounds_.BucketUnits(pool->second.cap_);
    const auto dropped = use.dropped_ - known->second;
    if (freed > 0 && dropped > 0) {
      SetReserve(pool->second, Sum(name, nullptr, now).counted_, now);
      pool->second.reserve_.Add(std::min(freed, dropped), now);
    }
  }
}

auto AccountCapBroker::Adopt(Holder& holder, const CapDemand& demand,
                             TimePoint now) -> void {
  Outstanding adopted{0, now + CapTerms::kCounted, {}};
  for (const auto& [name, use] : demand.uses_) {
    const auto pool = pools_.find(name);
    if (pool != pools_.end()) {
      adopted.shares_[name] = use.held_;
      pool->second.adopted_.rate_ += use.held_.rate_;
      pool->second.adopted_.size_ += use.held_.size_;
    }
  }
  holder.outstanding_.push_back(std::move(adopted));
}

auto AccountCapBroker::Counted(const std::vector<Outstanding>& outstanding,
                               const std::string& name) -> CapShare {
  CapShare counted;
  for (const auto& answer : outstanding) {
    const auto share = answer.shares_.find(name);
    if (share != answer.shares_.end()) {
      counted.rate_ = std::max(counted.rate_, share->second.rate_);
      counted.size_ = std::max(counted.size_, share->second.size_);
    }
  }
  return counted;
}

auto AccountCapBroker::Sum(const std::string& name, const Holder* self,
                           TimePoint now) const -> Totals {
  Totals totals;
  for (const auto& [key, holder] : holders_) {
    const auto counted = Counted(holder.outstanding_, name);
    totals.counted_.rate_ += counted.rate_;
    totals.counted_.size_ += counted.size_;
    const auto asked = holder.asked_.find(name);
    if (asked != holder.asked_.end() &&
        now - holder.stated_at_ <= kUseLifetime) {
      totals.asked_ += asked->second;
    }
    if (&holder == self) {
      totals.counted_self_ = counted;
      if (!holder.outstanding_.empty()) {
        const auto& last = holder.outstanding_.back().shares_;
        const auto share = last.find(name);
        totals.last_self_ = share == last.end() ? CapShare{} : share->second;
      }
    }
  }
  return totals;
}

auto AccountCapBroker::Available(const Pool& pool, TimePoint now) const
    -> CapShare {
  return IsSettled(now) ? CapShare{1, 1} : pool.adopted_;
}

auto AccountCapBroker::Decide(const Pool& pool, const CapUse& use,
                              const Totals& totals, TimePoint now) const
    -> CapShare {
  const auto available = Available(pool, now);
  const auto units = bounds_.BucketUnits(pool.cap_);
  const auto part =
      totals.asked_ > 0 ? use.asked_per_second_ / totals.asked_ : 0.0;
  CapShare target{std::min(kGrantedRate * available.rate_ * part,
                           kRateHeadroom * use.asked_per_second_ /
                               pool.cap_.units_per_second_),
                  std::min(kGrantedSize * available.size_ * part,
                           kSizeSeconds * use.asked_per_second_ / units)};
  const auto keep = [](double wanted, double held) {
    return std::abs(wanted - held) <= kMinChange * held ? held : wanted;
  };
  target.rate_ = keep(target.rate_, totals.last_self_.rate_);
  target.size_ = keep(target.size_, totals.last_self_.size_);
  if (use.missing_ > 0) {
    target.size_ =
        std::max(target.size_, (use.level_ + use.missing_) * 1.01 / units);
  }
  // Rounding must not let the sum exceed what is available.
  constexpr double kRounding = 1e-9;
  const auto limit = [](double wanted, double counted, double free) {
    return std::min(wanted, counted + std::max(0.0, free - kRounding));
  };
  return {limit(target.rate_, totals.counted_self_.rate_,
                available.rate_ - totals.counted_.rate_),
          limit(target.size_, totals.counted_self_.size_,
                available.size_ - totals.counted_.size_)};
}

auto AccountCapBroker::TakeCredit(Pool& pool, const CapUse& use,
                                  const CapShare& share, const Totals& totals,
                                  TimePoint now) const -> double {
  const auto units = bounds_.BucketUnits(pool.cap_);
  const auto added = [](double granted, double counted) {
    return std::max(0.0, granted - counted);
  };
  const CapShare counted{
      totals.counted_.rate_ + added(share.rate_, totals.counted_self_.rate_),
      totals.counted_.size_ + added(share.size_, totals.counted_self_.size_)};
  const auto room = std::max(0.0, share.size_ * units - use.level_);
  const auto part =
      totals.asked_ > 0 ? use.asked_per_second_ / totals.asked_ : 0.0;
  pool.reserve_.Refill(now);
  const auto level = pool.reserve_.level();
  // Instances that are short get what they need; the others their part. What
  // the smaller reserve cannot hold goes to the instance as well.
  const auto refill =
      std::min(kFilledPart * share.size_ * units - use.level_, part * level);
  const auto overflow =
      level - (Available(pool, now).size_ - counted.size_) * units;
  const auto credit = pool.reserve_.TakeUpTo(
      std::min(room, std::max({use.missing_, refill, overflow})), now);
  SetReserve(pool, counted, now);
  return credit;
}

auto AccountCapBroker::SetReserve(Pool& pool, const CapShare& counted,
                                  TimePoint now) const -> void {
  const auto available = Available(pool, now);
  pool.reserve_.SetShape(
      (available.rate_ - counted.rate_) * pool.cap_.units_per_second_,
      (available.size_ - counted.size_) * bounds_.BucketUnits(pool.cap_), now);
}

}  // namespace baobab::accounts
