#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "baobab_accounts/cap_bounds.h"
#include "baobab_accounts/cap_bucket.h"
#include "baobab_accounts/cap_messages.h"
#include "baobab_accounts/client_account.h"
#include "baobab_base/time_types.h"

namespace baobab::accounts {

/// Divides the caps of accounts among the instances that use them.
///
/// One instance at a time is the broker; its terms must not overlap (they
/// follow the order lease). A share counts as used until its holder has
/// confirmed a later answer or CapTerms::kCounted has passed, so the sum of the
/// shares in use never exceeds 1, whatever is lost, late or repeated. A new
/// broker knows no shares: until those of its predecessor have expired, or all
/// instances have stated theirs, it only redistributes what holders have.
///
/// What is not granted refills the broker's reserve, from which instances that
/// run short get units at once. All times are on a clock that counts
/// suspension.
class AccountCapBroker {
 public:
  using Accounts = std::vector<std::shared_ptr<const ClientAccount>>;

  /// Part of the rate and of the bucket units that is granted to holders in
  /// proportion to their use. The rest is for instances that traffic moves to.
  static constexpr double kGrantedRate = 0.85;
  static constexpr double kGrantedSize = 0.5;
  /// Part of its size to which a bucket is filled without being short.
  static constexpr double kFilledPart = 0.5;
  /// A holder gets no more than this many times the rate that it uses, so that
  /// the reserve of an account that is hardly used stays full.
  static constexpr double kRateHeadroom = 1.5;
  /// A bucket holds no more than what its instance uses in this time, so that
  /// the first instance with traffic does not get what the next ones need.
  static constexpr double kSizeSeconds = 6;
  /// Relative change of a share below which it stays as it is.
  static constexpr double kMinChange = 0.25;
  /// Time for which the use that a holder stated counts.
  static constexpr Duration kUseLifetime = std::chrono::milliseconds(1500);

  explicit AccountCapBroker(CapBounds bounds) : bounds_(bounds) {}

  /// Replaces the caps by those of `accounts`.
  auto SetAccounts(const Accounts& accounts, TimePoint now) -> void;

  /// Begins a term. `term` is larger than those of all brokers before.
  auto BeginTerm(std::int64_t term, TimePoint now) -> void;
  auto EndTerm() -> void { term_ = 0; }
  /// Returns the present term; 0 if this instance is not the broker.
  [[nodiscard]] auto term() const -> std::int64_t { return term_; }

  /// Returns true if shares of earlier terms may still be in use.
  [[nodiscard]] auto IsWaiting(TimePoint now) const -> bool {
    return term_ != 0 && !IsSettled(now);
  }
  /// Ends the wait for the shares of earlier terms if each instance of
  /// `registered` has stated in this term what it holds. They must be all that
  /// may hold such a share. Returns true if the wait ends.
  auto SettleIfStated(const std::vector<std::string>& registered, TimePoint now)
      -> bool;

  /// Refills the reserves by what is free now. Call at least every second.
  auto RefreshReserves(TimePoint now) -> void;

  /// Returns the answer to `demand`; nothing if this instance is not the broker
  /// or if a later demand of the same process has arrived.
  [[nodiscard]] auto OnDemand(const CapDemand& demand, TimePoint now)
      -> std::optional<CapGrants>;

 private:
  using ProcessKey = std::pair<std::string, std::int64_t>;
  using Shares = std::map<std::string, CapShare>;

  struct Pool {
    AccountCap cap_;
    CapBucket reserve_;
    CapShare adopted_;  // from the holders of earlier terms
  };
  // An answer that its receiver may still use.
  struct Outstanding {
    std::int64_t sequence_ = 0;
    TimePoint counted_until_{};
    Shares shares_;
  };
  struct Holder {
    std::int64_t last_demand_ = 0;
    TimePoint stated_at_{};
    std::map<std::string, double> asked_;    // units per second
    std::map<std::string, double> dropped_;  // see CapUse
    std::vector<Outstanding> outstanding_;
  };
  struct Totals {
    CapShare counted_;       // of all holders
    double asked_ = 0;       // of all holders, units per second
    CapShare counted_self_;  // of one holder
    CapShare last_self_;     // in its last answer
  };

  [[nodiscard]] auto IsSettled(TimePoint now) const -> bool {
    return now >= settled_at_;
  }
  auto DropExpired(TimePoint now) -> void;
  /// Drops the answers before the one that `demand` confirms, and takes back
  /// what the buckets of the holder lost to smaller shares.
  auto Confirm(Holder& holder, const CapDemand& demand, TimePoint now) -> void;
  auto Adopt(Holder& holder, const CapDemand& demand, TimePoint now) -> void;
  [[nodiscard]] static auto Counted(const std::vector<Outstanding>& outstanding,
                                    const std::string& name) -> CapShare;
  /// Returns the sums over all holders, and the parts of `self`, if any.
  [[nodiscard]] auto Sum(const std::string& name, const Holder* self,
                         TimePoint now) const -> Totals;
  /// Returns the part of the cap that this broker may divide.
  [[nodiscard]] auto Available(const Pool& pool, TimePoint now) const
      -> CapShare;
  [[nodiscard]] auto Decide(const Pool& pool, const CapUse& use,
                            const Totals& totals, TimePoint now) const
      -> CapShare;
  [[nodiscard]] auto TakeCredit(Pool& pool, const CapUse& use,
                                const CapShare& share, const Totals& totals,
                                TimePoint now) const -> double;
  /// Sets the shape of the reserve, given the sum of what holders may use.
  auto SetReserve(Pool& pool, const CapShare& counted, TimePoint now) const
      -> void;

  CapBounds bounds_;
  std::map<std::string, Pool> pools_;
  std::map<ProcessKey, Holder> holders_;
  std::int64_t term_ = 0;
  std::int64_t sequence_ = 0;
  TimePoint settled_at_{};
};

}  // namespace baobab::accounts
