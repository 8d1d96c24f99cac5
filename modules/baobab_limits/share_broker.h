#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "baobab_base/roster_epoch.h"
#include "baobab_base/time_types.h"
#include "baobab_limits/share_ledger.h"

namespace baobab::limits {

/// A loan message to send to another process.
struct LoanMessage {
  ProcessId to_;
  std::variant<LoanRequest, LoanAnswer> body_;
};

using LoanMessages = std::vector<LoanMessage>;

/// Terms and intervals of loans.
struct ShareBrokerSettings {
  /// Term of loans by the broker to instances that are short of units.
  Duration lend_term_ = std::chrono::milliseconds(1100);
  /// Term of loans to the broker. It must exceed lend_term_ by the lender's
  /// 10% and one renewal interval, or the broker has nothing to re-lend just
  /// before it renews.
  Duration pull_term_ = std::chrono::milliseconds(2000);
  Duration renew_interval_ = std::chrono::milliseconds(500);
  /// Interval of messages while units are short.
  Duration urgent_interval_ = std::chrono::milliseconds(100);
  /// Interval of reports from instances that need no loan.
  Duration idle_interval_ = std::chrono::milliseconds(2000);
  /// A report's need counts this long, its base share kIdleLifetimes idle
  /// intervals.
  Duration need_lifetime_ = std::chrono::milliseconds(1500);

  /// Settings for rates: loans to the broker for 2 s, renewed every 0.5 s.
  [[nodiscard]] static auto ForRate() -> ShareBrokerSettings { return {}; }

  /// Settings for concurrency: a loan covers the longest request plus 1 s.
  [[nodiscard]] static auto ForConcurrency(Duration max_duration)
      -> ShareBrokerSettings;
};

/// Moves units of one limit between instances: reports the own need to the
/// broker and borrows from it, lends spare units to it, and, while it is asked
/// as the broker, collects spare units and re-lends them.
///
/// Only where units go depends on this class; that they are never used twice
/// is the ledger's part, so any number of brokers may act at once.
class ShareBroker {
 public:
  /// `ledger` must outlive this object.
  ShareBroker(ShareLedger* ledger, ProcessId self,
              ShareBrokerSettings settings);

  /// Sets the units that this instance could use now.
  auto SetNeed(Units need) -> void { need_ = need; }

  /// Sets terms and intervals, for example after a contract change.
  auto SetSettings(const ShareBrokerSettings& settings) -> void {
    settings_ = settings;
  }

  /// Reports, renews and collects as due. `broker` is the process that this
  /// instance takes for the broker, which may be itself. Call at least every
  /// urgent_interval_.
  [[nodiscard]] auto Tick(const ProcessId& broker, TimePoint now)
      -> LoanMessages;

  /// Handles a request from `from`.
  [[nodiscard]] auto OnRequest(const ProcessId& from,
                               const LoanRequest& request, TimePoint now)
      -> LoanMessages;

  /// Handles an answer from `from`.
  [[nodiscard]] auto OnAnswer(const ProcessId& from, const LoanAnswer& answer,
                              TimePoint now) -> LoanMessages;

 private:
  static constexpr int kIdleLifetimes = 3;

  struct Report {
    Units need_ = 0;
    Units base_ = 0;
    TimePoint received_;
    std::optional<TimePoint> collected_;  ///< Last request for its units.
  };
  using Targets = std::map<ProcessId, Units>;

  [[nodiscard]] auto ReportToBroker(const ProcessId& broker, TimePoint now)
      -> LoanMessages;
  [[nodiscard]] auto ReportInterval(const ProcessId& broker,
                                    TimePoint now) const -> Duration;
  [[nodiscard]] auto ReturnIdle(const ProcessId& broker, TimePoint now)
      -> LoanMessages;
  [[nodiscard]] auto Collect(TimePoint now) -> LoanMessages;
  [[nodiscard]] auto CollectFrom(const ProcessId& lender, Report& report,
                                 Units desired, Units own_target, TimePoint now)
      -> std::optional<LoanMessage>;
  [[nodiscard]] auto LendToBroker(const ProcessId& from,
                                  const LoanRequest& request, TimePoint now)
      -> LoanMessages;
  [[nodiscard]] auto LendToInstance(const ProcessId& from,
                                    const LoanRequest& request, TimePoint now)
      -> LoanMessages;
  [[nodiscard]] auto ComputeTargets(TimePoint now) -> Targets;
  [[nodiscard]] auto Spare(Units reserved, Duration horizon, TimePoint now,
                           const ProcessId* except = nullptr) const -> Units;
  [[nodiscard]] auto Releasable(Units reserved, TimePoint now) const -> Units;

  ShareLedger* ledger_;
  ProcessId self_;
  ShareBrokerSettings settings_;
  Units need_ = 0;
  std::optional<TimePoint> reported_;
  std::map<ProcessId, Report> reports_;
};

/// Divides the sum of `bases` by need: each participant keeps what it needs up
/// to its base share; what others leave goes to those that need more, in
/// proportion to how much more, and the rest stays in proportion to the base
/// shares. If nobody needs more than its base, targets are the base shares.
[[nodiscard]] auto DivideByNeed(const std::vector<Units>& bases,
                                const std::vector<Units>& needs)
    -> std::vector<Units>;

}  // namespace baobab::limits
