#include "baobab_accounts/account_cap_limiter.h"

#include <algorithm>
#include <utility>

namespace baobab::accounts {
namespace {

/// Demands whose answers are still accepted.
constexpr std::size_t kMaxOpenDemands = 16;
/// Units per second, relative to the cap, below which an account counts as
/// unused.
constexpr double kUnusedPart = 1e-4;
/// A share that shrinks by more than this is confirmed soon.
constexpr double kConfirmedDifference = 0.02;

}  // namespace

auto AccountCapLimiter::SetAccounts(const Accounts& accounts, TimePoint now)
    -> void {
  Expire(now);
  std::map<std::string, State> states;
  for (const auto& account : accounts) {
    if (account->cap_.IsUnlimited()) {
      continue;
    }
    State state;
    const auto found = states_.find(account->name_);
    if (found != states_.end() &&
        found->second.cap_.unit_ == account->cap_.unit_) {
      state = std::move(found->second);
    }
    state.cap_ = account->cap_;
    Apply(state, state.share_, now);
    states[account->name_] = std::move(state);
  }
  states_ = std::move(states);
}

auto AccountCapLimiter::Take(const std::string& name, double units,
                             CapAttempt attempt, TimePoint now) -> CapDecision {
  const auto found = states_.find(name);
  if (found == states_.end()) {
    return {};
  }
  Expire(now);
  auto& state = found->second;
  if (attempt == CapAttempt::kFirst) {
    state.asked_.Add(units, now);
  }
  const bool denied = now < state.denied_until_;
  if (state.bucket_.Take(units, now)) {
    // The next request of this size would have to wait.
    urgent_ = urgent_ || (state.bucket_.level() < units && !denied);
    return {};
  }
  if (denied || attempt == CapAttempt::kLast) {
    return {CapDecision::Kind::kOver, RetryAfter(state, units)};
  }
  if (attempt == CapAttempt::kFirst) {
    state.missing_ += units;
    urgent_ = true;
  }
  return {CapDecision::Kind::kWait, {}};
}

auto AccountCapLimiter::Return(const std::string& name, double units,
                               TimePoint taken_at, TimePoint now) -> void {
  Expire(now);
  const auto found = states_.find(name);
  if (found != states_.end()) {
    found->second.bucket_.GiveBack(units, taken_at, now);
  }
}

auto AccountCapLimiter::UnitsOf(const std::string& name,
                                std::optional<double> tokens) const
    -> std::optional<double> {
  const auto found = states_.find(name);
  if (found == states_.end()) {
    return std::nullopt;
  }
  const auto& cap = found->second.cap_;
  return cap.unit_ == CapUnit::kRequests ? 1
                                         : tokens.value_or(cap.default_tokens_);
}

auto AccountCapLimiter::MakeDemand(TimePoint now) -> std::optional<CapDemand> {
  Expire(now);
  const auto last_sent = sent_.empty() ? TimePoint{} : sent_.back().second;
  const bool due = sent_.empty() || now - last_sent >= kDemandInterval ||
                   (confirm_at_ && now >= *confirm_at_);
  if (IsAwaitingAnswer(now) || !(due || urgent_)) {
    return std::nullopt;
  }
  CapDemand demand;
  for (auto& [name, state] : states_) {
    state.bucket_.BeginStep(now);
    const auto asked = state.asked_.PerSecond(now);
    if (asked < kUnusedPart * state.cap_.units_per_second_ &&
        state.share_ == CapShare{}) {
      continue;
    }
    const auto level = state.bucket_.level();
    state.missing_sent_ = state.missing_;
    state.missing_ = 0;
    demand.uses_[name] = {asked, level,
                          std::max(0.0, state.missing_sent_ - level),
                          state.dropped_, state.share_};
  }
  if (demand.uses_.empty() && !MustState()) {
    return std::nullopt;
  }
  demand.instance_ = instance_;
  demand.incarnation_ = incarnation_;
  demand.sequence_ = ++sequence_;
  demand.broker_term_ = broker_term_;
  if (HasValidGrants(now)) {
    demand.term_ = term_;
    demand.applied_ = applied_;
  }
  sent_.emplace_back(sequence_, now);
  if (sent_.size() > kMaxOpenDemands) {
    sent_.pop_front();
  }
  urgent_ = false;
  confirm_at_.reset();
  return demand;
}

auto AccountCapLimiter::OnGrants(const CapGrants& grants, TimePoint now)
    -> bool {
  Expire(now);
  const auto sent = std::find_if(
      sent_.begin(), sent_.end(),
      [&grants](const auto& item) { return item.first == grants.demand_; });
  if (grants.instance_ != instance_ || grants.incarnation_ != incarnation_ ||
      grants.term_ < broker_term_) {
    return false;
  }
  if (grants.sequence_ == 0) {
    answered_ = std::max(answered_, grants.demand_);
    urgent_ = urgent_ || grants.term_ > broker_term_;
    broker_term_ = grants.term_;
    for (auto& [name, state] : states_) {
      state.missing_ += std::exchange(state.missing_sent_, 0);
    }
    return false;
  }
  if ((grants.term_ == term_ && grants.sequence_ <= applied_) ||
      sent == sent_.end() || now - sent->second >= CapTerms::kValidity) {
    return false;
  }
  broker_term_ = grants.term_;
  term_ = grants.term_;
  applied_ = grants.sequence_;
  answered_ = std::max(answered_, grants.demand_);
  valid_until_ = sent->second + CapTerms::kValidity;
  for (auto& [name, state] : states_) {
    const auto found = grants.grants_.find(name);
    const auto grant =
        found == grants.grants_.end() ? CapGrant{} : found->second;
    if (grant.share_.rate_ < state.share_.rate_ - kConfirmedDifference ||
        grant.share_.size_ < state.share_.size_ - kConfirmedDifference) {
      confirm_at_ = now + kConfirmDelay;
    }
    Apply(state, grant.share_, now);
    state.bucket_.AddCredit(grant.credit_, sent->second, now);
    if (state.missing_sent_ > state.bucket_.level()) {
      state.denied_until_ = now + kDenialTime;
    }
    state.missing_sent_ = 0;
  }
  return true;
}

auto AccountCapLimiter::Share(const std::string& name, TimePoint now) const
    -> CapShare {
  const auto found = states_.find(name);
  return found == states_.end() || !HasValidGrants(now) ? CapShare{}
                                                        : found->second.share_;
}

auto AccountCapLimiter::CappedAccounts() const -> std::vector<std::string> {
  std::vector<std::string> names;
  names.reserve(states_.size());
  for (const auto& [name, state] : states_) {
    names.push_back(name);
  }
  return names;
}

auto AccountCapLimiter::Expire(TimePoint now) -> void {
  if (HasValidGrants(now)) {
    return;
  }
  for (auto& [name, state] : states_) {
    Apply(state, {}, now);
  }
}

auto AccountCapLimiter::Apply(State& state, const CapShare& share,
                              TimePoint now) -> void {
  state.share_ = share;
  state.dropped_ += state.bucket_.SetShape(
      share.rate_ * state.cap_.units_per_second_,
      share.size_ * bounds_.BucketUnits(state.cap_), now);
}

auto AccountCapLimiter::RetryAfter(const State& state, double units)
    -> Duration {
  const auto missing = units - state.bucket_.level();
  const auto rate = state.bucket_.rate();
  if (rate <= 0) {
    return kNoShareRetryAfter;
  }
  const auto longest = std::chrono::duration<double>(kMaxRetryAfter).count();
  const auto seconds = rate * longest > missing ? missing / rate : longest;
  return std::max(kMinRetryAfter, std::chrono::duration_cast<Duration>(
                                      std::chrono::duration<double>(seconds)));
}

}  // namespace baobab::accounts
