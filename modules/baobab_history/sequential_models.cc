#include "baobab_history/sequential_models.h"

namespace baobab::history {

namespace {

// Tells whether `revision` can be the one that `state` holds.
auto Matches(const ContractModel::State& state, Revision revision) -> bool {
  return state.exact_ ? state.revision_ == revision
                      : state.revision_ < revision;
}

}  // namespace

auto ContractModel::Step(const State& state, const Operation& operation) const
    -> std::optional<State> {
  switch (operation.kind_) {
    case ContractOperation::Kind::kAccepted:
      if (!Matches(state, operation.expected_revision_) ||
          operation.revision_ <= operation.expected_revision_) {
        return std::nullopt;
      }
      return State{operation.revision_, operation.change_id_};
    case ContractOperation::Kind::kUnknown:
      if (!Matches(state, operation.expected_revision_)) {
        return std::nullopt;
      }
      return State{operation.expected_revision_, operation.change_id_, false};
    case ContractOperation::Kind::kNotAccepted:
      return state;
    case ContractOperation::Kind::kRead:
      break;
  }
  if (!Matches(state, operation.revision_) ||
      state.change_id_ != operation.change_id_) {
    return std::nullopt;
  }
  return State{operation.revision_, operation.change_id_};
}

auto ContractModel::Digest(const State& state) const -> std::string {
  return std::to_string(state.revision_) + (state.exact_ ? "/" : "+/") +
         state.change_id_;
}

auto AtMostOnceModel::Step(const State& state, const Operation& operation) const
    -> std::optional<State> {
  if (operation.kind_ == SubmitOperation::Kind::kRun) {
    if (state.ran_) {
      return std::nullopt;
    }
    return State{true, operation.result_};
  }
  switch (operation.outcome_) {
    case Outcome::kCompleted:
      if (!state.ran_ || state.result_ != operation.result_) {
        return std::nullopt;
      }
      return state;
    case Outcome::kNotRun:
      return state.ran_ ? std::nullopt : std::optional(state);
    case Outcome::kUnknown:
      break;
  }
  return state;
}

auto AtMostOnceModel::Digest(const State& state) const -> std::string {
  return (state.ran_ ? "r" : "n") + state.result_;
}

auto BoundedAccountModel::Step(const State& state,
                               const Operation& operation) const
    -> std::optional<State> {
  const auto used = state.used_ + operation.units_;
  if (used < 0 || used > capacity_) {
    return std::nullopt;
  }
  return State{used};
}

auto BoundedAccountModel::Digest(const State& state) const -> std::string {
  return std::to_string(state.used_);
}

}  // namespace baobab::history
