#include "limit_controller.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <utility>

namespace baobab {
namespace {

using limits::LimitKind;

auto IsRate(LimitKind kind) -> bool {
  return kind == LimitKind::kRequestRate || kind == LimitKind::kTokenRate;
}

auto Index(LimitKind kind) -> std::size_t {
  return static_cast<std::size_t>(kind);
}

auto BrokerSettings(LimitKind kind, const contract::ContractLimits& limits)
    -> limits::ShareBrokerSettings {
  return IsRate(kind) ? limits::ShareBrokerSettings::ForRate()
                      : limits::ShareBrokerSettings::ForConcurrency(
                            limits.max_duration_);
}

// A refused concurrent request may succeed as soon as another one ends.
constexpr auto kConcurrencyRetry = std::chrono::seconds(1);

}  // namespace

LimitController::LimitController(ControlContext& context)
    : context_(context),
      self_{context.self_.instance_, context.self_.incarnation_},
      epochs_(self_) {}

auto LimitController::MakeShares(const contract::Contract& contract) -> Shares {
  Shares shares;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const auto kind = static_cast<LimitKind>(i);
    shares[i] =
        std::make_unique<Share>(limits::ShareKey{contract.customer_, kind},
                                self_, BrokerSettings(kind, contract.limits_));
  }
  return shares;
}

auto LimitController::ApplyLimits(const contract::Contract& contract,
                                  Shares& shares) -> void {
  const auto now = context_.Now();
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const auto kind = static_cast<LimitKind>(i);
    shares[i]->broker_.SetSettings(BrokerSettings(kind, contract.limits_));
    shares[i]->ledger_.SetLimit(limits::LimitOf(contract.limits_, kind));
    shares[i]->ledger_.SetEpochs(epochs_.epochs());
    UpdateRates(*shares[i], now);
  }
}

auto LimitController::ApplyContracts() -> void {
  for (const auto* contract : context_.contracts_.ActiveContracts()) {
    auto found = customers_.find(contract->customer_);
    if (found == customers_.end()) {
      found =
          customers_.emplace(contract->customer_, MakeShares(*contract)).first;
    }
    ApplyLimits(*contract, found->second);
  }
  // A deleted contract keeps its ledgers with a limit of zero, since requests
  // and loans under it may still run.
  for (auto& [customer, shares] : customers_) {
    if (context_.contracts_.Find(customer) == nullptr) {
      for (auto& share : shares) {
        share->ledger_.SetLimit(0);
      }
    }
  }
  MarkAppliedIfCovered();
}

auto LimitController::UpdateRates(Share& share, TimePoint now) -> void {
  if (IsRate(share.ledger_.key().kind_)) {
    share.rate_.SetRate(share.ledger_.Usable(now), now);
  }
}

auto LimitController::ApplyEpochs() -> void {
  const auto now = context_.Now();
  ForEachShare([&](Share& share) {
    share.ledger_.SetEpochs(epochs_.epochs());
    UpdateRates(share, now);
  });
}

auto LimitController::Learn(const RosterEpoch& roster) -> void {
  if (epochs_.Learn(roster)) {
    ApplyEpochs();
    MarkAppliedIfCovered();
  }
}

auto LimitController::OnReport(const ProcessId& peer, std::uint64_t epoch)
    -> void {
  const bool complete = epochs_.complete();
  epochs_.OnReport(peer, epoch);
  if (epochs_.complete() != complete) {
    ApplyEpochs();
  }
}

auto LimitController::MarkAppliedIfCovered() -> void {
  if (epochs_.applied_epoch() == epochs_.newest().epoch_) {
    return;
  }
  const auto now = context_.Now();
  bool covered = true;
  ForEachShare(
      [&](Share& share) { covered = covered && share.ledger_.IsCovered(now); });
  if (covered) {
    epochs_.MarkApplied();
    ApplyEpochs();
  }
}

auto LimitController::Find(const limits::ShareKey& key) -> Share* {
  const auto found = customers_.find(key.customer_);
  return found == customers_.end() ? nullptr
                                   : found->second[Index(key.kind_)].get();
}

auto LimitController::Admit(const CustomerId& customer, WorkKind kind,
                            std::uint64_t tokens, TimePoint deadline)
    -> std::optional<LimitRefusal> {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) {
    return LimitRefusal{};
  }
  auto& shares = found->second;
  const auto now = context_.Now();
  auto& requests = *shares[Index(LimitKind::kConcurrentRequests)];
  auto& bookings = *shares[Index(LimitKind::kConcurrentBookings)];
  if (!requests.concurrency_.TryAcquire(deadline, now)) {
    return LimitRefusal{LimitKind::kConcurrentRequests, kConcurrencyRetry};
  }
  if (kind == WorkKind::kBooking &&
      !bookings.concurrency_.TryAcquire(deadline, now)) {
    requests.concurrency_.Release();
    return LimitRefusal{LimitKind::kConcurrentBookings, kConcurrencyRetry};
  }
  for (const auto rate : {LimitKind::kRequestRate, LimitKind::kTokenRate}) {
    auto& share = *shares[Index(rate)];
    const auto units = rate == LimitKind::kRequestRate
                           ? limits::Units{1}
                           : static_cast<limits::Units>(tokens);
    const auto retry =
        units == 0 ? std::nullopt
                   : share.rate_.Admit(units, share.ledger_.Usable(now), now);
    if (retry) {
      Release(customer, kind);
      return LimitRefusal{rate, *retry};
    }
  }
  return std::nullopt;
}

auto LimitController::Release(const CustomerId& customer, WorkKind kind)
    -> void {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) {
    return;
  }
  auto& shares = found->second;
  shares[Index(LimitKind::kConcurrentRequests)]->concurrency_.Release();
  if (kind == WorkKind::kBooking) {
    shares[Index(LimitKind::kConcurrentBookings)]->concurrency_.Release();
  }
}

auto LimitController::Tick(const membership::MembershipTable& members)
    -> limits::LoanMessages {
  const auto now = context_.Now();
  limits::LoanMessages messages;
  for (auto& [customer, shares] : customers_) {
    const auto broker =
        membership::PeerTopology::Choose(members, customer.value());
    for (auto& share : shares) {
      share->ledger_.RemoveExpired(now);
      const bool rate = IsRate(share->ledger_.key().kind_);
      share->broker_.SetNeed(context_.draining_ ? 0
                             : rate             ? share->rate_.Need(now)
                                    : share->concurrency_.Need(now));
      auto more = share->broker_.Tick(broker, now);
      std::move(more.begin(), more.end(), std::back_inserter(messages));
      UpdateRates(*share, now);
    }
  }
  MarkAppliedIfCovered();
  return messages;
}

auto LimitController::OnRequest(const ProcessId& from,
                                const limits::LoanRequest& request)
    -> limits::LoanMessages {
  auto* share = Find(request.key_);
  if (share == nullptr) {
    return {};
  }
  const auto now = context_.Now();
  auto messages = share->broker_.OnRequest(from, request, now);
  UpdateRates(*share, now);
  return messages;
}

auto LimitController::OnAnswer(const ProcessId& from,
                               const limits::LoanAnswer& answer)
    -> limits::LoanMessages {
  auto* share = Find(answer.key_);
  if (share == nullptr) {
    return {};
  }
  const auto now = context_.Now();
  auto messages = share->broker_.OnAnswer(from, answer, now);
  UpdateRates(*share, now);
  return messages;
}

auto LimitController::HasLoans() const -> bool {
  const auto now = context_.Now();
  return std::any_of(
      customers_.begin(), customers_.end(), [now](const auto& entry) {
        return std::any_of(entry.second.begin(), entry.second.end(),
                           [now](const std::unique_ptr<Share>& share) {
                             return share->ledger_.Lent(now) > 0 ||
                                    !share->ledger_.Lenders(now).empty();
                           });
      });
}

auto LimitController::LoanHorizon() const -> Duration {
  Duration longest = limits::ShareBrokerSettings::ForRate().pull_term_;
  for (const auto* contract : context_.contracts_.ActiveContracts()) {
    const auto settings = limits::ShareBrokerSettings::ForConcurrency(
        contract->limits_.max_duration_);
    longest = std::max({longest, settings.pull_term_, settings.lend_term_});
  }
  return limits::ShareLedger::CountedTerm(longest);
}

auto LimitController::Describe() const -> std::string {
  namespace json = boost::json;
  const auto now = context_.Now();
  json::array list;
  for (const auto& [customer, shares] : customers_) {
    for (const auto& share : shares) {
      const auto& ledger = share->ledger_;
      list.push_back(
          json::object{{"customer", customer.value()},
                       {"limit", std::string(ToString(ledger.key().kind_))},
                       {"value", ledger.limit()},
                       {"base", ledger.base()},
                       {"usable", ledger.Usable(now)},
                       {"lent", ledger.Lent(now)},
                       {"held", ledger.held()}});
    }
  }
  return json::serialize(list);
}

}  // namespace baobab
