#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "baobab_base/outcome.h"
#include "baobab_base/strong_id.h"

namespace baobab::history {

/// An operation on the contract of one customer.
struct ContractOperation {
  enum class Kind : std::uint8_t {
    kAccepted,     ///< A write that was accepted with `revision_`.
    kUnknown,      ///< A write whose result is unknown.
    kNotAccepted,  ///< A write that was refused or lost a race.
    kRead,         ///< A read that saw `revision_` and `change_id_`.
  };
  Kind kind_ = Kind::kRead;
  Revision expected_revision_ = 0;  ///< Revision that a write was based on.
  Revision revision_ = 0;
  std::string change_id_;
};

/// A register that is written by compare-and-swap and whose revisions rise.
class ContractModel {
 public:
  struct State {
    Revision revision_ = 0;  ///< A lower bound (exclusive) unless `exact_`.
    std::string change_id_;
    /// False after a write with an unknown result, until a later operation
    /// shows which revision it got.
    bool exact_ = true;
  };
  using Operation = ContractOperation;

  [[nodiscard]] auto Initial() const -> State { return {}; }
  [[nodiscard]] auto Step(const State& state, const Operation& operation) const
      -> std::optional<State>;
  [[nodiscard]] auto Digest(const State& state) const -> std::string;
};

/// A submission of one non-idempotent operation, or a run at its target.
struct SubmitOperation {
  enum class Kind : std::uint8_t {
    kRun,     ///< The target ran it and produced `result_`.
    kAnswer,  ///< A caller was told `outcome_`, with `result_` if completed.
  };
  Kind kind_ = Kind::kAnswer;
  Outcome outcome_ = Outcome::kUnknown;
  std::string result_;
};

/// An operation that runs at most once. A caller told `completed` gets the
/// result of that run; one told `not_run` is told so before any run.
class AtMostOnceModel {
 public:
  struct State {
    bool ran_ = false;
    std::string result_;
  };
  using Operation = SubmitOperation;

  [[nodiscard]] auto Initial() const -> State { return {}; }
  [[nodiscard]] auto Step(const State& state, const Operation& operation) const
      -> std::optional<State>;
  [[nodiscard]] auto Digest(const State& state) const -> std::string;
};

/// Takes or returns units of a bounded account, for example concurrent
/// requests of a customer or bytes of accelerator memory.
struct AccountOperation {
  std::int64_t units_ = 0;  ///< Positive to take, negative to return.
};

/// An account that never holds less than zero or more than its capacity.
class BoundedAccountModel {
 public:
  struct State {
    std::int64_t used_ = 0;
  };
  using Operation = AccountOperation;

  /// `capacity` is in the units of the operations.
  explicit BoundedAccountModel(std::int64_t capacity = 0)
      : capacity_(capacity) {}

  [[nodiscard]] auto Initial() const -> State { return {}; }
  [[nodiscard]] auto Step(const State& state, const Operation& operation) const
      -> std::optional<State>;
  [[nodiscard]] auto Digest(const State& state) const -> std::string;

 private:
  std::int64_t capacity_;
};

}  // namespace baobab::history
