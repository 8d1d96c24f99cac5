#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
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
#include "baobab_accounts/use_meter.h"
#include "baobab_base/time_types.h"

namespace baobab::accounts {

/// Result of AccountCapLimiter::Take.
struct CapDecision {
  enum class Kind : std::uint8_t {
    kTaken,  ///< The request is within the cap.
    kWait,   ///< The broker is asked for more; decide again when it answers.
    kOver,   ///< The request is over the cap.
  };
  Kind kind_ = Kind::kTaken;
  /// Of kOver: time until the bucket is expected to have room.
  Duration retry_after_{};
};

/// How often a request was decided on.
enum class CapAttempt : std::uint8_t {
  kFirst,
  kAgain,  ///< It was kept waiting, and the broker has answered.
  kLast,   ///< It was kept waiting and cannot wait any longer.
};

/// Decides whether a request of an account is within the account's cap, which
/// holds over all instances together.
///
/// Each instance has a bucket per account: its share of the cap, granted by the
/// broker (AccountCapBroker) for CapTerms::kValidity. Without a valid grant
/// nothing is admitted, so that the sum stays within the bound whatever happens
/// to this instance, the broker or the messages between them.
///
/// All times are on a clock that counts suspension: a grant must not outlive a
/// suspension of the process.
class AccountCapLimiter {
 public:
  using Accounts = std::vector<std::shared_ptr<const ClientAccount>>;

  /// Interval of demands while this instance uses a cap.
  static constexpr Duration kDemandInterval = std::chrono::milliseconds(500);
  /// Time after which an unanswered demand counts as lost.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
  /// Delay of the demand that confirms a smaller share, so that others get it.
  static constexpr Duration kConfirmDelay = std::chrono::milliseconds(100);
  /// Time for which requests are not kept waiting for the broker after it had
  /// no units left.
  static constexpr Duration kDenialTime = std::chrono::milliseconds(80);
  /// Delay stated to callers while this instance has no share of the cap: the
  /// time in which, after the loss of all processes, a new broker has begun its
  /// term and divided the cap. Callers that return sooner are refused again.
  static constexpr Duration kNoShareRetryAfter =
      std::chrono::milliseconds(1500);
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

  AccountCapLimiter(std::string instance, std::int64_t incarnation,
                    CapBounds bounds)
      : instance_(std::move(instance)),
        incarnation_(incarnation),
        bounds_(bounds) {}

  /// Replaces the caps by those of `accounts`.
  auto SetAccounts(const Accounts& accounts, TimePoint now) -> void;

  /// Takes `units` from the cap of the account `name`.
  [[nodiscard]] auto Take(const std::string& name, double units,
                          CapAttempt attempt, TimePoint now) -> CapDecision;

  /// Gives back the units that a request took at `taken_at`, because no target
  /// ran it.
  auto Return(const std::string& name, double units, TimePoint taken_at,
              TimePoint now) -> void;

  /// Returns the units that a request with `tokens` counts against the cap of
  /// `name`; nothing if the account has no cap.
  [[nodiscard]] auto UnitsOf(const std::string& name,
                             std::optional<double> tokens) const
      -> std::optional<double>;

  /// Records that there is a broker with the term `term`. This instance states
  /// to each new broker what it holds, also if it uses no cap, so that the
  /// broker need not wait until earlier shares have expired.
  auto OnBroker(std::int64_t term) -> void {
    known_term_ = std::max(known_term_, term);
  }
  /// Returns true if the present broker has not answered this instance yet.
  [[nodiscard]] auto MustState() const -> bool {
    return !states_.empty() && known_term_ > term_;
  }

  /// Returns the demand that must be sent to the broker now, if any.
  [[nodiscard]] auto MakeDemand(TimePoint now) -> std::optional<CapDemand>;

  /// Returns true if MakeDemand() should be called without waiting for the next
  /// interval.
  [[nodiscard]] auto IsUrgent(TimePoint now) const -> bool {
    return urgent_ && !IsAwaitingAnswer(now);
  }

  /// Applies an answer of the broker. Returns false, without an effect, if it
  /// is late, repeated, overtaken by a later one or for another process.
  auto OnGrants(const CapGrants& grants, TimePoint now) -> bool;

  /// Returns the share of the cap of `name` that this instance holds.
  [[nodiscard]] auto Share(const std::string& name, TimePoint now) const
      -> CapShare;

  /// Returns the names of the accounts that have a cap.
  [[nodiscard]] auto CappedAccounts() const -> std::vector<std::string>;

 private:
  struct State {
    AccountCap cap_;
    CapShare share_;
    CapBucket bucket_;
    UseMeter asked_;
    double missing_ = 0;       // of requests since the last demand
    double missing_sent_ = 0;  // in the last demand
    double dropped_ = 0;       // see CapUse
    TimePoint denied_until_{};
  };

  [[nodiscard]] auto IsAwaitingAnswer(TimePoint now) const -> bool {
    return !sent_.empty() && sent_.back().first > answered_ &&
           now - sent_.back().second < kAnswerTimeout;
  }
  [[nodiscard]] auto HasValidGrants(TimePoint now) const -> bool {
    return now < valid_until_;
  }
  /// Drops all shares if their time has passed.
  auto Expire(TimePoint now) -> void;
  auto Apply(State& state, const CapShare& share, TimePoint now) -> void;
  [[nodiscard]] static auto RetryAfter(const State& state, double units)
      -> Duration;

  std::string instance_;
  std::int64_t incarnation_;
  CapBounds bounds_;
  std::map<std::string, State> states_;  // of accounts with a cap
  std::int64_t sequence_ = 0;
  // Recent demands: sequence number and time.
  std::deque<std::pair<std::int64_t, TimePoint>> sent_;
  std::int64_t answered_ = 0;  // highest demand with an answer
  std::int64_t broker_term_ = 0;
  std::int64_t known_term_ = 0;  // see OnBroker
  std::int64_t term_ = 0;        // of the last applied grants
  std::int64_t applied_ = 0;
  TimePoint valid_until_{};
  bool urgent_ = false;
  std::optional<TimePoint> confirm_at_;
};

}  // namespace baobab::accounts
