#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "baobab_base/outcome.h"
#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_operations/operation_claim.h"
#include "baobab_operations/operation_key.h"
#include "baobab_operations/operation_life_cycle.h"

namespace baobab {

/// A caller's request that waits for an outcome; chosen by the daemon.
using WaiterId = std::uint64_t;
/// One try at sending an operation to a target; unique within a process.
using AttemptId = std::uint64_t;

/// An operation: keys of different customers are independent.
struct OperationRef {
  CustomerId customer_;
  std::string key_;  ///< OperationKey::text
  auto operator==(const OperationRef&) const -> bool = default;
};

/// Hashes an OperationRef.
struct OperationRefHash {
  auto operator()(const OperationRef& ref) const noexcept -> std::size_t;
};

/// A target's answer to an operation.
struct OperationAnswer {
  int status_ = 0;  ///< HTTP status
  std::string content_type_;
  std::string body_;
};

/// Why the ledger did not send or could not tell more.
enum class LedgerReason : std::uint8_t {
  kNone,
  kKeyMismatch,       ///< The key was used before with another request.
  kExpired,           ///< The key is older than the retention.
  kNeverIssued,       ///< The sequence number was not issued.
  kOwnerGone,         ///< The owner was an earlier run of this instance.
  kForwardedTwice,    ///< A forwarded request reached a process that is not
                      ///< the owner.
  kStoreUnavailable,  ///< The claim could not be resolved; use an issued key.
  kFull,              ///< Too many operations are in progress.
  kTimedOut,          ///< The attempt passed its deadline.
};

/// Returns the reason as snake_case text for errors and logs.
[[nodiscard]] auto ToString(LedgerReason reason) -> std::string_view;

/// What the daemon does next for an operation.
struct LedgerStep {
  enum class Kind : std::uint8_t {
    kNone,     ///< Nothing: the event was late or a duplicate.
    kSend,     ///< Send attempt `attempt_`; call OnSent before the first byte.
    kJoined,   ///< The waiter gets the outcome of the attempt in progress.
    kDone,     ///< Tell `waiters_` the outcome.
    kForward,  ///< Forward the requests of `waiters_` to `owner_`.
    kCallStore,  ///< Make the store call `claim_action_` with `claim_`.
  };
  Kind kind_ = Kind::kNone;
  OperationRef ref_;
  AttemptId attempt_ = 0;  ///< For kSend, and for kDone if an attempt ended.
  Outcome outcome_ = Outcome::kNotRun;
  LedgerReason reason_ = LedgerReason::kNone;
  std::shared_ptr<const OperationAnswer> answer_;  ///< Set if completed.
  std::vector<WaiterId> waiters_;
  OperationOwner owner_;
  ClaimAction claim_action_ = ClaimAction::kNone;
  ClaimRecord claim_;             ///< Value to store for kCreate.
  std::uint64_t claim_call_ = 0;  ///< Goes back in ClaimAnswer::call_.
};

/// One submission of an operation by a caller or a forwarding instance.
struct OperationRequest {
  CustomerId customer_;
  OperationKey key_;
  std::uint64_t digest_ = 0;  ///< Hash of method, path and body.
  WaiterId waiter_ = 0;
  bool forwarded_ = false;  ///< The request carried the hop header.
  TimePoint deadline_;      ///< The attempt ends by then.
};

/// Sizes and times of an OperationLedger.
struct OperationLedgerSettings {
  /// How long outcomes are kept. The lease of a claim in the store must last
  /// longer than this from the moment of its create.
  Duration retention_ = std::chrono::hours(24);
  std::size_t max_entries_ = 100'000;
  std::size_t max_copies_ = 100'000;
};

/// The operations of which this process is the owner, and copies of outcomes
/// of others. Only a kSend step permits sending an operation to a target; the
/// ledger gives at most one per attempt and none after completed or unknown.
class OperationLedger {
 public:
  OperationLedger(OperationOwner self, OperationLedgerSettings settings);

  /// Issues a key that this process owns. Makes no store call.
  [[nodiscard]] auto Issue(TimePoint now) -> OperationKey;

  /// Takes a submission.
  auto Begin(const OperationRequest& request, TimePoint now) -> LedgerStep;

  /// Takes the result of a store call of a caller-chosen key.
  auto OnClaimAnswer(const OperationRef& ref, const ClaimAnswer& answer,
                     TimePoint now) -> LedgerStep;

  /// Records that bytes of `attempt` are about to leave. Returns false if the
  /// attempt is over; then nothing may be sent.
  [[nodiscard]] auto OnSent(const OperationRef& ref, AttemptId attempt,
                            TimePoint now) -> bool;

  /// Records the target's answer to `attempt`.
  auto OnAnswer(const OperationRef& ref, AttemptId attempt,
                OperationAnswer answer) -> LedgerStep;

  /// Records that `attempt` failed. `bytes_may_have_left` is false only if no
  /// byte can have reached the target or the target rejected the request
  /// without executing it.
  auto OnFailed(const OperationRef& ref, AttemptId attempt,
                bool bytes_may_have_left) -> LedgerStep;

  /// Drops a waiter whose caller has gone; the operation goes on.
  auto ForgetWaiter(const OperationRef& ref, WaiterId waiter) -> void;

  /// Ends attempts past their deadline and drops entries past the retention.
  auto Sweep(TimePoint now) -> std::vector<LedgerStep>;

  /// Stores the completed outcome of another owner's operation.
  auto OnOutcomeCopy(const OperationRef& ref,
                     std::shared_ptr<const OperationAnswer> answer,
                     TimePoint now) -> void;

  /// Looks up an outcome for `GET /v1/operations/{key}`. kDone with a copy or
  /// the recorded outcome, kJoined while in progress (no waiter is added),
  /// kForward if the owner must be asked, kNone if nothing is known.
  [[nodiscard]] auto Lookup(const CustomerId& customer, const OperationKey& key,
                            TimePoint now) const -> LedgerStep;

  /// State of an operation owned here, if it has an entry.
  [[nodiscard]] auto StateOf(const OperationRef& ref) const
      -> std::optional<OperationState>;

  /// Issued sequence numbers below this one are expired.
  [[nodiscard]] auto low_water_mark() const -> std::uint64_t {
    return low_water_mark_;
  }

  /// Number of entries, finished ones included.
  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

  /// Number of attempts and claims in progress.
  [[nodiscard]] auto in_progress() const -> std::size_t {
    return in_progress_.size();
  }

  /// This process.
  [[nodiscard]] auto self() const -> const OperationOwner& { return self_; }

 private:
  struct Entry {
    OperationLifeCycle life_cycle_;
    std::optional<OperationClaim> claim_;  ///< Caller-chosen keys only.
    std::uint64_t sequence_ = 0;           ///< Issued keys only.
    std::uint64_t digest_ = 0;
    AttemptId attempt_ = 0;  ///< Zero if none is in progress.
    TimePoint created_;
    TimePoint deadline_;
    std::shared_ptr<const OperationAnswer> answer_;
    std::vector<WaiterId> waiters_;
  };
  struct Copy {
    std::shared_ptr<const OperationAnswer> answer_;
    TimePoint received_;
  };
  using Entries = std::unordered_map<OperationRef, Entry, OperationRefHash>;

  auto CheckIssued(const OperationRequest& request, TimePoint now) const
      -> LedgerStep;
  auto BeginNew(const OperationRequest& request, const OperationRef& ref,
                TimePoint now) -> LedgerStep;
  auto BeginAgain(const OperationRequest& request, const OperationRef& ref,
                  Entry& entry, TimePoint now) -> LedgerStep;
  auto StartAttempt(const OperationRef& ref, Entry& entry) -> LedgerStep;
  auto StartClaim(const OperationRef& ref, Entry& entry) -> LedgerStep;
  auto StepOfClaim(const OperationRef& ref, Entry& entry, ClaimAction action)
      -> LedgerStep;
  auto Finish(const OperationRef& ref, Entry& entry, LedgerReason reason)
      -> LedgerStep;
  auto EndWithoutEntry(Entries::iterator found, LedgerStep step) -> LedgerStep;
  auto ExpireAttempt(const OperationRef& ref, Entry& entry) -> LedgerStep;
  auto FindAttempt(const OperationRef& ref, AttemptId attempt) -> Entry*;
  auto IsExpired(const Entry& entry, TimePoint now) const -> bool;
  auto AdvanceLowWaterMark(TimePoint now) -> void;
  auto DropOld(TimePoint now) -> void;
  auto MakeRoom() -> bool;
  auto Erase(Entries::iterator found) -> void;

  OperationOwner self_;
  OperationLedgerSettings settings_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t low_water_mark_ = 1;
  std::uint64_t next_claim_ = 1;
  AttemptId next_attempt_ = 1;
  Entries entries_;
  std::deque<std::pair<TimePoint, OperationRef>> by_age_;
  std::unordered_set<OperationRef, OperationRefHash> in_progress_;
  /// First sequence number issued in a period and the time of its issue.
  std::deque<std::pair<std::uint64_t, TimePoint>> issue_marks_;
  std::unordered_map<OperationRef, Copy, OperationRefHash> copies_;
  std::deque<std::pair<TimePoint, OperationRef>> copies_by_age_;
};

}  // namespace baobab
