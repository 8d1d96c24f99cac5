#include "baobab_limits/share_broker.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>

namespace baobab::limits {
namespace {

// Past the end of any loan, but far from overflow.
constexpr Duration kAllTime = std::chrono::hours(1000);

// amount * part / whole without overflow; the result may round down by one.
auto Portion(Units amount, Units part, Units whole) -> Units {
  const auto share = static_cast<long double>(amount) *
                     static_cast<long double>(part) /
                     static_cast<long double>(whole);
  return std::min(amount, static_cast<Units>(share));
}

}  // namespace

auto ShareBrokerSettings::ForConcurrency(Duration max_duration)
    -> ShareBrokerSettings {
  ShareBrokerSettings settings;
  settings.lend_term_ = max_duration + std::chrono::seconds(1);
  settings.pull_term_ = ShareLedger::CountedTerm(settings.lend_term_) +
                        settings.renew_interval_ +
                        std::chrono::milliseconds(300);
  return settings;
}

ShareBroker::ShareBroker(ShareLedger* ledger, ProcessId self,
                         ShareBrokerSettings settings)
    : ledger_(ledger), self_(std::move(self)), settings_(settings) {}

auto ShareBroker::Tick(const ProcessId& broker, TimePoint now) -> LoanMessages {
  ledger_->RemoveExpired(now);
  auto messages = broker == self_ ? Collect(now) : ReportToBroker(broker, now);
  auto returns = ReturnIdle(broker, now);
  std::ranges::move(returns, std::back_inserter(messages));
  return messages;
}

auto ShareBroker::ReportInterval(const ProcessId& broker, TimePoint now) const
    -> Duration {
  if (need_ > ledger_->Usable(now)) {
    return settings_.urgent_interval_;
  }
  if (ledger_->BorrowedFrom(broker, now) > 0 || need_ > 0) {
    return settings_.renew_interval_;
  }
  return settings_.idle_interval_;
}

auto ShareBroker::ReportToBroker(const ProcessId& broker, TimePoint now)
    -> LoanMessages {
  if (reported_ && now - *reported_ < ReportInterval(broker, now)) {
    return {};
  }
  reported_ = now;
  auto request =
      ledger_->Request(broker, ledger_->BorrowedFrom(broker, now), now);
  request.need_ = need_;
  return {{broker, request}};
}

// A process that is no longer the broker gives back what it need not use.
auto ShareBroker::ReturnIdle(const ProcessId& broker, TimePoint now)
    -> LoanMessages {
  LoanMessages messages;
  for (const auto& lender : ledger_->Lenders(now)) {
    const auto releasable = Releasable(need_, now);
    if (lender == broker || broker == self_ || releasable == 0) {
      continue;
    }
    const auto borrowed = ledger_->BorrowedFrom(lender, now);
    auto request = ledger_->Request(
        lender, std::max<Units>(0, borrowed - releasable), now);
    request.from_broker_ = true;
    messages.push_back({lender, request});
  }
  return messages;
}

auto ShareBroker::OnRequest(const ProcessId& from, const LoanRequest& request,
                            TimePoint now) -> LoanMessages {
  if (!ledger_->IsNewRequest(from, request)) {
    return {};
  }
  return request.from_broker_ ? LendToBroker(from, request, now)
                              : LendToInstance(from, request, now);
}

// Units beyond `reserved` that stay free for `horizon`.
auto ShareBroker::Spare(Units reserved, Duration horizon, TimePoint now,
                        const ProcessId* except) const -> Units {
  const auto held = ledger_->held();
  const auto surplus = ledger_->MinSurplus(now, now + horizon, except);
  return std::max<Units>(0, surplus + held - std::max(reserved, held));
}

// Borrowed units that can be given back: nothing lent depends on them at any
// later time, and `reserved` stays usable until the next renewal.
auto ShareBroker::Releasable(Units reserved, TimePoint now) const -> Units {
  return std::min(Spare(reserved, settings_.renew_interval_, now),
                  std::max<Units>(0, ledger_->MinSurplus(now, now + kAllTime)));
}

auto ShareBroker::LendToBroker(const ProcessId& from,
                               const LoanRequest& request, TimePoint now)
    -> LoanMessages {
  const auto counted = ShareLedger::CountedTerm(settings_.pull_term_);
  const auto units =
      std::min(request.wanted_, Spare(need_, counted, now, &from));
  const auto answer =
      ledger_->Grant(from, request, units, settings_.pull_term_, now);
  if (request.wanted_ == 0) {
    return {};
  }
  return {{from, answer}};
}

auto ShareBroker::LendToInstance(const ProcessId& from,
                                 const LoanRequest& request, TimePoint now)
    -> LoanMessages {
  auto& report = reports_[from];
  report.need_ = request.need_;
  report.base_ = request.base_;
  report.received_ = now;
  const auto targets = ComputeTargets(now);
  const auto missing = std::max<Units>(0, targets.at(from) - request.base_);
  const auto counted = ShareLedger::CountedTerm(settings_.lend_term_);
  const auto units =
      std::min(missing, Spare(targets.at(self_), counted, now, &from));
  LoanMessages messages = {
      {from, ledger_->Grant(from, request, units, settings_.lend_term_, now)}};
  if (units < missing) {
    auto collect = Collect(now);
    std::ranges::move(collect, std::back_inserter(messages));
  }
  return messages;
}

auto ShareBroker::Collect(TimePoint now) -> LoanMessages {
  LoanMessages messages;
  const auto targets = ComputeTargets(now);
  for (auto& [lender, report] : reports_) {
    const auto desired = std::max<Units>(0, report.base_ - targets.at(lender));
    auto message = CollectFrom(lender, report, desired, targets.at(self_), now);
    if (message) {
      messages.push_back(std::move(*message));
    }
  }
  return messages;
}

auto ShareBroker::CollectFrom(const ProcessId& lender, Report& report,
                              Units desired, Units own_target, TimePoint now)
    -> std::optional<LoanMessage> {
  const auto current = ledger_->BorrowedFrom(lender, now);
  if (desired == 0 && current == 0) {
    return std::nullopt;
  }
  const auto interval = desired == current ? settings_.renew_interval_
                                           : settings_.urgent_interval_;
  if (report.collected_ && now - *report.collected_ < interval) {
    return std::nullopt;
  }
  report.collected_ = now;
  const auto keep = std::max(desired, current - Releasable(own_target, now));
  auto request = ledger_->Request(lender, keep, now);
  request.wanted_ = desired;
  request.from_broker_ = true;
  return LoanMessage{lender, request};
}

auto ShareBroker::OnAnswer(const ProcessId& from, const LoanAnswer& answer,
                           TimePoint now) -> LoanMessages {
  const auto before = ledger_->BorrowedFrom(from, now);
  const auto collected = reports_.contains(from);
  if (!ledger_->Accept(from, answer) || collected || answer.units_ >= before) {
    return {};
  }
  // The broker wants units back: give up what is not in use at once instead of
  // letting the loan run out.
  const auto keep = std::max(
      answer.units_,
      before - std::max<Units>(0, ledger_->MinSurplus(now, now + kAllTime)));
  if (keep >= before) {
    return {};
  }
  reported_ = now;
  auto request = ledger_->Request(from, keep, now);
  request.need_ = need_;
  return {{from, request}};
}

auto ShareBroker::ComputeTargets(TimePoint now) -> Targets {
  std::erase_if(reports_, [&](const auto& entry) {
    return now - entry.second.received_ >
           kIdleLifetimes * settings_.idle_interval_;
  });
  std::vector<Units> bases = {ledger_->base()};
  std::vector<Units> needs = {need_};
  for (const auto& [process, report] : reports_) {
    const auto fresh = now - report.received_ <= settings_.need_lifetime_;
    bases.push_back(report.base_);
    needs.push_back(fresh ? report.need_ : 0);
  }
  const auto divided = DivideByNeed(bases, needs);
  Targets targets = {{self_, divided.front()}};
  std::size_t next = 1;
  for (const auto& [process, report] : reports_) {
    targets[process] = divided[next++];
  }
  return targets;
}

auto DivideByNeed(const std::vector<Units>& bases,
                  const std::vector<Units>& needs) -> std::vector<Units> {
  std::vector<Units> targets;
  std::vector<Units> excess;
  for (std::size_t i = 0; i < bases.size(); ++i) {
    targets.push_back(std::min(bases[i], needs[i]));
    excess.push_back(needs[i] - targets.back());
  }
  const auto sum = [](const std::vector<Units>& units) {
    return std::accumulate(units.begin(), units.end(), Units{0});
  };
  const auto total = sum(bases);
  const auto total_excess = sum(excess);
  if (total_excess == 0) {
    return bases;
  }
  const auto free = total - sum(targets);
  const auto used = std::min(free, total_excess);
  for (std::size_t i = 0; i < bases.size(); ++i) {
    targets[i] += Portion(used, excess[i], total_excess);
    if (free > used) {
      targets[i] += Portion(free - used, bases[i], total);
    }
  }
  // Rounding leaves fewer units than participants; those short get them.
  auto left = total - sum(targets);
  for (std::size_t i = 0; left > 0; i = (i + 1) % bases.size()) {
    if (excess[i] > 0) {
      ++targets[i];
      --left;
    }
  }
  return targets;
}

}  // namespace baobab::limits
