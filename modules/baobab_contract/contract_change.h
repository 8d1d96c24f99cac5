#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_contract/contract_record.h"

namespace baobab::contract {

/// One change of one contract, as an operator asked for it.
struct ContractChangeRequest {
  CustomerId customer_;
  std::string change_id_;  ///< 128 random bits, hex; the same in every retry.
  /// Revision that the operator's edit started from; 0 if there was none. A
  /// retry states the same revision, which keeps it from applying twice.
  Revision base_revision_ = 0;
  std::string text_;      ///< New TOML document; empty for a deletion.
  bool deleted_ = false;  ///< Delete the contract.
  std::string author_;
  std::string note_;
  WallTime written_at_{};
  bool query_only_ = false;  ///< Find out the outcome, never write.
};

/// Verdict on a change.
enum class ChangeVerdict : std::uint8_t {
  kAccepted,     ///< Written; revision_ says where.
  kNotAccepted,  ///< Not written and never will be.
  kConflict,     ///< Not written: another change came first, see current_.
  kUnknown,      ///< The configuration service could not tell in time.
};

/// Returns "accepted", "not_accepted", "conflict" or "unknown".
[[nodiscard]] auto ToString(ChangeVerdict verdict) -> std::string_view;

/// Outcome of a change.
struct ChangeResult {
  ChangeVerdict verdict_ = ChangeVerdict::kUnknown;
  Revision revision_ = 0;  ///< Revision of the accepted change.
  std::string reason_;
  /// The stored record that stands instead or after it, if it was read: its
  /// author, time and text tell who changed what.
  std::optional<ContractRecord> current_;
};

/// What to do next for a change.
enum class ChangeAction : std::uint8_t {
  kRead,            ///< Read the key, then call OnRead or OnReadLost.
  kCompareAndSwap,  ///< Write swap_value() if the key's revision is
                    ///< swap_revision(), then call one of OnSwap....
  kFinished,        ///< result() is final.
};

/// Carries one change to a verdict. Deterministic: events are the answers of
/// the configuration service, and each returns the next action.
///
/// A change is written only by compare-and-swap at its base revision, which at
/// most one write can pass; every stored value keeps the ids of earlier
/// changes, so a lost answer is resolved by reading.
class ContractChange {
 public:
  explicit ContractChange(ContractChangeRequest request);

  /// Returns the first action: always a read, since the change may be a retry.
  [[nodiscard]] auto Start() const -> ChangeAction;

  /// The key was read; nothing if it does not exist.
  auto OnRead(const std::optional<ContractRecord>& current) -> ChangeAction;

  /// The read failed or its answer was lost.
  auto OnReadLost() -> ChangeAction;

  /// The write took effect at `revision`.
  auto OnSwapAccepted(Revision revision) -> ChangeAction;

  /// The comparison failed; `current` is what the key holds.
  auto OnSwapRefused(const std::optional<ContractRecord>& current)
      -> ChangeAction;

  /// The answer to the write was lost: it may have taken effect, or still may.
  auto OnSwapLost() -> ChangeAction;

  /// The write cannot have left this process, for example no connection.
  auto OnSwapNotSent() -> ChangeAction;

  /// The caller's time is up.
  auto OnTimeLimit() -> ChangeAction;

  /// Value to write for kCompareAndSwap.
  [[nodiscard]] auto swap_value() const -> const ContractValue& {
    return value_;
  }

  /// Revision to compare with for kCompareAndSwap; 0 means absent.
  [[nodiscard]] auto swap_revision() const -> Revision {
    return request_.base_revision_;
  }

  /// Outcome after kFinished.
  [[nodiscard]] auto result() const -> const ChangeResult& { return result_; }

 private:
  auto Finish(ChangeVerdict verdict, Revision revision, std::string reason)
      -> ChangeAction;
  auto AcceptedRevision(const ContractRecord& current) const
      -> std::optional<Revision>;
  auto CoversBase(const ContractRecord& current) const -> bool;
  auto FinishSuperseded(const ContractRecord& current) -> ChangeAction;
  auto PrepareSwap(const std::optional<ContractRecord>& current)
      -> ChangeAction;

  ContractChangeRequest request_;
  ContractValue value_;
  ChangeResult result_;
  bool finished_ = false;
  bool may_be_written_;  ///< A write of this change may still take effect.
};

}  // namespace baobab::contract
