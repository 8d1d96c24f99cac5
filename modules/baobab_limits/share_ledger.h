#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "baobab_base/roster_epoch.h"
#include "baobab_base/time_types.h"
#include "baobab_limits/base_share.h"

namespace baobab::limits {

/// A borrower's request for a loan, renewal or partial return.
struct LoanRequest {
  ShareKey key_;
  std::uint64_t sequence_ = 0;  ///< Grows with every request of the sender.
  Units held_ = 0;    ///< Most units of this lender in use since it was sent.
  Units wanted_ = 0;  ///< Units a broker asks a lender for.
  Units need_ = 0;    ///< Units that the sender could use.
  Units base_ = 0;    ///< Base share of the sender.
  bool from_broker_ = false;  ///< The sender collects units to re-lend.
};

/// A lender's answer to a LoanRequest.
struct LoanAnswer {
  ShareKey key_;
  std::uint64_t sequence_ = 0;  ///< That of the request.
  Units units_ = 0;             ///< In place of those granted before.
  Duration term_{};             ///< Counted from when the request was sent.
  Units limit_ = 0;             ///< The lender's active limit.
};

/// Base share, lent and borrowed units of one limit at one instance.
///
/// A lender counts units as lent until its own clock passes the term plus 10%
/// from its answer; a borrower uses them until the term has passed since its
/// request. The borrower stops first for any delay, loss, duplication or
/// pause, while their clocks' rates differ by less than 10%.
class ShareLedger {
 public:
  ShareLedger(ShareKey key, ProcessId self);

  /// Sets the active limit. Units borrowed under a higher limit become
  /// unusable, since the lender may no longer own them.
  auto SetLimit(Units limit) -> void;

  /// Sets the epochs whose smallest share counts (EpochTransition::epochs).
  auto SetEpochs(const std::vector<RosterEpoch>& epochs) -> void;

  /// Sets the units in use by requests in flight; 0 for rates.
  auto SetHeld(Units held) -> void { held_ = held; }

  /// Units owned without borrowing.
  [[nodiscard]] auto base() const -> Units { return base_; }

  /// The active limit.
  [[nodiscard]] auto limit() const -> Units { return limit_; }

  /// Units in use by requests in flight.
  [[nodiscard]] auto held() const -> Units { return held_; }

  /// The limit and customer that this ledger is for.
  [[nodiscard]] auto key() const -> const ShareKey& { return key_; }

  /// Units that this instance may use at `now`; never negative.
  [[nodiscard]] auto Usable(TimePoint now) const -> Units;

  /// Smallest number of units that are neither lent nor held at any time from
  /// `from` to `until`; negative if a smaller share does not cover them. Units
  /// lent to `except` are left out.
  [[nodiscard]] auto MinSurplus(TimePoint from, TimePoint until,
                                const ProcessId* except = nullptr) const
      -> Units;

  /// Returns true if the current share covers everything lent and held.
  [[nodiscard]] auto IsCovered(TimePoint now) const -> bool {
    return MinSurplus(now, now) >= 0;
  }

  /// Returns true if `request` is newer than every earlier one of `borrower`.
  [[nodiscard]] auto IsNewRequest(const ProcessId& borrower,
                                  const LoanRequest& request) const -> bool;

  /// Releases the units that `request` gives back, then lends `units`, which
  /// must be within MinSurplus over the counted term (CountedTerm). Requires
  /// IsNewRequest.
  auto Grant(const ProcessId& borrower, const LoanRequest& request, Units units,
             Duration term, TimePoint now) -> LoanAnswer;

  /// Gives back all units of `lender` beyond `keep` and returns a request with
  /// sequence and held units set. Answers to earlier requests are void.
  auto Request(const ProcessId& lender, Units keep, TimePoint now)
      -> LoanRequest;

  /// Takes the answer to the last request to `lender`; others are ignored.
  /// Returns whether it was taken.
  auto Accept(const ProcessId& lender, const LoanAnswer& answer) -> bool;

  /// Units borrowed from `lender` at `now`.
  [[nodiscard]] auto BorrowedFrom(const ProcessId& lender, TimePoint now) const
      -> Units;

  /// Units lent to all borrowers at `now`.
  [[nodiscard]] auto Lent(TimePoint now) const -> Units;

  /// Current lenders, for returning their units.
  [[nodiscard]] auto Lenders(TimePoint now) const -> std::vector<ProcessId>;

  /// Forgets expired loans.
  auto RemoveExpired(TimePoint now) -> void;

  /// Time that a lender counts a loan of `term` as lent: the term plus 10%.
  [[nodiscard]] static auto CountedTerm(Duration term) -> Duration {
    return term + term / 10;
  }

 private:
  struct Entry {
    Units units_ = 0;
    TimePoint until_;
    Units limit_ = 0;  ///< Lender's limit when granted; 0 on the lender side.
  };
  /// Loans with one peer. Entries are alternatives, not additive: the units in
  /// force are the most of any entry that has not expired.
  struct Account {
    std::vector<Entry> entries_;
    std::uint64_t sequence_ = 0;  ///< Last request sent or granted.
    TimePoint sent_;              ///< When it was sent; borrower side only.
  };
  using Accounts = std::map<ProcessId, Account>;

  [[nodiscard]] static auto UnitsAt(const Account& account, TimePoint when,
                                    Units limit) -> Units;
  static auto Cut(Account& account, Units units) -> void;
  [[nodiscard]] auto SurplusAt(TimePoint when, const ProcessId* except) const
      -> Units;
  auto UpdateBase() -> void;

  ShareKey key_;
  ProcessId self_;
  Units limit_ = 0;
  Units base_ = 0;
  Units held_ = 0;
  std::uint64_t next_sequence_ = 1;
  std::vector<RosterEpoch> epochs_;
  Accounts lent_;
  Accounts borrowed_;
};

}  // namespace baobab::limits
