#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "baobab_operations/operation_key.h"

namespace baobab {

/// Call to the configuration service that a claim asks for.
enum class ClaimAction : std::uint8_t {
  kNone,
  kCreate,  ///< Create `/baobab/operations/<customer>/<key>` if absent.
  kRead,    ///< Read that key with a linearizable read.
};

/// Result of a claim.
enum class ClaimState : std::uint8_t {
  kPending,
  kOwned,       ///< The store holds this claim.
  kExpired,     ///< The store holds an earlier claim of this process, whose
                ///< outcome is no longer in memory.
  kForeign,     ///< The store names another owner, see OperationClaim::owner.
  kUnresolved,  ///< The store gave no answer; nothing may be sent.
};

/// Value stored under `/baobab/operations/<customer>/<key>`. The claim number
/// tells a claim whose answer was lost from an earlier, forgotten claim of the
/// same process. Stored as the text of OperationKey::Issued(owner_, number_).
struct ClaimRecord {
  OperationOwner owner_;
  std::uint64_t number_ = 0;
  auto operator==(const ClaimRecord&) const -> bool = default;

  /// Returns the stored text.
  [[nodiscard]] auto Encode() const -> std::string;

  /// Reads the stored text; nothing if it is malformed.
  [[nodiscard]] static auto Decode(std::string_view text)
      -> std::optional<ClaimRecord>;
};

/// How a call to the configuration service ended.
struct ClaimAnswer {
  enum class Kind : std::uint8_t {
    kCreated,  ///< The create took effect now.
    kExists,   ///< Create or read found the claim in `record_`.
    kAbsent,   ///< Read found no key.
    kNotSent,  ///< The call cannot have reached the store.
    kLost,     ///< No answer; the call may have taken effect.
  };
  Kind kind_ = Kind::kLost;
  ClaimRecord record_;      ///< For kExists.
  std::uint64_t call_ = 0;  ///< Number of the call, from OperationClaim::call.
};

/// Binds a caller-chosen key to one owner by creating a key in the
/// configuration service. Does no I/O: `action` names the next call, and
/// OnAnswer takes its result. Answers of superseded calls are ignored, so they
/// may arrive late or twice.
class OperationClaim {
 public:
  /// A claim that stores `record`.
  explicit OperationClaim(ClaimRecord record);

  /// Starts, or starts again after kUnresolved. A repeated start reads first,
  /// because the earlier create may have taken effect.
  auto Start() -> ClaimAction;

  /// Takes the result of a call and returns the next call.
  auto OnAnswer(const ClaimAnswer& answer) -> ClaimAction;

  /// Gives up waiting for the current call.
  auto Abandon() -> void;

  /// The value to store.
  [[nodiscard]] auto record() const -> const ClaimRecord& { return record_; }

  /// The result so far.
  [[nodiscard]] auto state() const -> ClaimState { return state_; }

  /// Number of the current call; answers must carry it.
  [[nodiscard]] auto call() const -> std::uint64_t { return call_; }

  /// Owner named in the store, once known.
  [[nodiscard]] auto owner() const -> const OperationOwner& { return owner_; }

 private:
  auto Next(ClaimAction action) -> ClaimAction;
  auto Resolve(ClaimState state) -> ClaimAction;
  auto OnRecordSeen(const ClaimRecord& seen) -> ClaimAction;

  ClaimRecord record_;
  OperationOwner owner_;
  ClaimState state_ = ClaimState::kPending;
  std::uint64_t call_ = 0;
  int calls_left_ = 0;
  bool create_sent_ = false;
};

}  // namespace baobab
