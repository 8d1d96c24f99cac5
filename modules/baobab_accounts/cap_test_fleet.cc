#include "baobab_accounts/cap_test_fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace baobab::accounts {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kMaxWait = milliseconds(100);

}  // namespace

CapTestFleet::CapTestFleet(const Settings& settings)
    : settings_(settings),
      random_(settings.seed_),
      hosts_(settings.instances_) {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    auto& host = hosts_[i];
    host.clock_rate_ = 1 + settings.drift_ * (2 * Draw() - 1);
    host.clock_offset_ = milliseconds(static_cast<int>(1e5 * Draw()));
    host.limiter_ = MakeLimiter(host, i);
    names_.push_back(std::to_string(i));
  }
}

auto CapTestFleet::ClockOf(const Host& host) const -> TimePoint {
  return TimePoint{} + host.clock_offset_ +
         std::chrono::duration_cast<Duration>(now_.time_since_epoch() *
                                              host.clock_rate_);
}

auto CapTestFleet::MakeLimiter(const Host& host, std::size_t instance) const
    -> std::unique_ptr<AccountCapLimiter> {
  auto limiter = std::make_unique<AccountCapLimiter>(
      std::to_string(instance), host.incarnation_, settings_.bounds_);
  limiter->SetAccounts(host.accounts_, ClockOf(host));
  limiter->OnBroker(last_term_);
  return limiter;
}

auto CapTestFleet::SetCap(std::size_t instance, const AccountCap& cap) -> void {
  auto& host = hosts_[instance];
  ClientAccount account;
  account.name_ = "a";
  account.cap_ = cap;
  host.accounts_ = {std::make_shared<const ClientAccount>(account)};
  host.limiter_->SetAccounts(host.accounts_, ClockOf(host));
  if (host.role_) {
    host.role_->SetAccounts(host.accounts_, ClockOf(host));
  }
}

auto CapTestFleet::SetCapEverywhere(const AccountCap& cap) -> void {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    SetCap(i, cap);
  }
}

auto CapTestFleet::BeginTerm(std::size_t instance) -> void {
  auto& host = hosts_[instance];
  broker_ = instance;
  if (!host.role_) {
    host.role_ = std::make_unique<AccountCapBroker>(settings_.bounds_);
  }
  host.role_->SetAccounts(host.accounts_, ClockOf(host));
  host.role_->BeginTerm(++last_term_, ClockOf(host));
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    hosts_[i].limiter_->OnBroker(last_term_);
    stating_.insert(i);
  }
}

auto CapTestFleet::EndTerm() -> void {
  if (hosts_[broker_].role_) {
    hosts_[broker_].role_->EndTerm();
  }
}

auto CapTestFleet::Restart(std::size_t instance) -> void {
  auto& host = hosts_[instance];
  ++host.incarnation_;
  host.role_.reset();
  host.frozen_until_ = {};
  host.limiter_ = MakeLimiter(host, instance);
  stating_.insert(instance);
}

auto CapTestFleet::Request(std::size_t instance, double units, bool runs)
    -> void {
  const auto& host = hosts_[instance];
  if (host.frozen_until_ > now_) {
    return;
  }
  active_.insert(instance);
  const Waiting request{instance, units, runs, now_ + kMaxWait,
                        host.incarnation_};
  if (!Decide(request, CapAttempt::kFirst)) {
    waiting_.push_back(request);
  }
  if (hosts_[instance].limiter_->IsUrgent(ClockOf(host))) {
    SendDemand(instance);
  }
}

auto CapTestFleet::Decide(const Waiting& request, CapAttempt attempt) -> bool {
  auto& host = hosts_[request.instance_];
  const auto clock = ClockOf(host);
  const auto decision =
      host.limiter_->Take("a", request.units_, attempt, clock);
  if (decision.kind_ == CapDecision::Kind::kWait) {
    return false;
  }
  if (decision.kind_ == CapDecision::Kind::kOver) {
    ++counts_.refused_;
    counts_.refused_units_ += request.units_;
    return true;
  }
  ++counts_.admitted_;
  counts_.admitted_units_ += request.units_;
  if (request.runs_) {
    admissions_.push_back({now_, request.units_, request.instance_});
  } else {
    unran_.push_back({clock,
                      now_ + milliseconds(static_cast<int>(3000 * Draw())),
                      request.instance_, request.units_, host.incarnation_});
  }
  return true;
}

auto CapTestFleet::DecideWaiting(std::size_t instance) -> void {
  std::erase_if(waiting_, [this, instance](const auto& request) {
    return request.instance_ == instance &&
           (request.incarnation_ != hosts_[instance].incarnation_ ||
            Decide(request, CapAttempt::kAgain));
  });
}

auto CapTestFleet::SendDemand(std::size_t instance) -> void {
  auto& host = hosts_[instance];
  if (host.frozen_until_ <= now_) {
    if (const auto demand = host.limiter_->MakeDemand(ClockOf(host))) {
      Send(instance, host.broker_, *demand);
    }
  }
}

auto CapTestFleet::Send(std::size_t from, std::size_t to,
                        const Message& message) -> void {
  ++messages_;
  if (hosts_[from].cut_until_ > now_ || Draw() < settings_.loss_) {
    return;
  }
  do {
    const auto delay =
        from == to ? 0.0 : (Draw() < settings_.late_ ? 4e6 : 4e3) * Draw();
    deliveries_.push({now_ + Duration(static_cast<int>(delay)), ++order_, to,
                      from, message});
  } while (Draw() < settings_.repetition_);
}

auto CapTestFleet::Deliver(const Delivery& delivery) -> void {
  auto& host = hosts_[delivery.to_];
  if (host.cut_until_ > now_) {
    return;
  }
  if (host.frozen_until_ > now_) {
    auto later = delivery;
    later.at_ = host.frozen_until_;
    deliveries_.push(later);
    return;
  }
  if (const auto* demand = std::get_if<CapDemand>(&delivery.message_)) {
    if (host.role_) {
      const auto grants = host.role_->OnDemand(*demand, ClockOf(host));
      host.role_->SettleIfStated(names_, ClockOf(host));
      if (grants) {
        Send(delivery.to_, delivery.from_, *grants);
      }
    }
    return;
  }
  const auto& grants = std::get<CapGrants>(delivery.message_);
  if (host.limiter_->OnGrants(grants, ClockOf(host))) {
    DecideWaiting(delivery.to_);
  }
  if (host.limiter_->IsUrgent(ClockOf(host))) {
    SendDemand(delivery.to_);
  }
}

auto CapTestFleet::Advance(Duration time) -> void {
  const auto end = now_ + time;
  while (now_ < end) {
    const auto next = std::min(end, now_ + kStep);
    while (!deliveries_.empty() && deliveries_.top().at_ <= next) {
      const auto delivery = deliveries_.top();
      deliveries_.pop();
      now_ = std::max(now_, delivery.at_);
      Deliver(delivery);
    }
    now_ = next;
    std::erase_if(unran_, [this](const auto& item) {
      auto& host = hosts_[item.instance_];
      if (item.returned_at_ > now_ || host.frozen_until_ > now_) {
        return false;
      }
      if (host.incarnation_ == item.incarnation_) {
        host.limiter_->Return("a", item.units_, item.taken_at_, ClockOf(host));
      }
      return true;
    });
    std::erase_if(waiting_, [this](const auto& request) {
      const auto& host = hosts_[request.instance_];
      return request.until_ <= now_ && host.frozen_until_ <= now_ &&
             (host.incarnation_ != request.incarnation_ ||
              Decide(request, CapAttempt::kLast));
    });
    for (const auto instance : active_) {
      SendDemand(instance);
    }
    std::erase_if(stating_, [this](std::size_t instance) {
      SendDemand(instance);
      return !hosts_[instance].limiter_->MustState();
    });
    auto& broker = hosts_[broker_];
    if (broker.role_ && broker.role_->term() != 0 &&
        broker.frozen_until_ <= now_ &&
        now_ - refreshed_at_ >= milliseconds(500)) {
      refreshed_at_ = now_;
      broker.role_->RefreshReserves(ClockOf(broker));
    }
  }
}

auto CapTestFleet::HeldShares() const -> CapShare {
  CapShare sum;
  for (const auto instance : active_) {
    const auto& host = hosts_[instance];
    const auto share = host.limiter_->Share("a", ClockOf(host));
    sum.rate_ += share.rate_;
    sum.size_ += share.size_;
  }
  return sum;
}

auto HighestUse(const std::vector<CapTestFleet::Admission>& admissions,
                Duration window, TimePoint from) -> double {
  double sum = 0;
  double highest = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < admissions.size(); ++i) {
    const auto& last = admissions[i];
    sum += last.units_;
    while (first <= i && (admissions[first].at_ < from ||
                          last.at_ - admissions[first].at_ > window)) {
      sum -= admissions[first].units_;
      ++first;
    }
    highest = std::max(highest, sum);
  }
  return highest;
}

}  // namespace baobab::accounts
