#include "baobab_contract/contract_change.h"

#include <utility>

namespace baobab::contract {

auto ToString(ChangeVerdict verdict) -> std::string_view {
  switch (verdict) {
    case ChangeVerdict::kAccepted:
      return "accepted";
    case ChangeVerdict::kNotAccepted:
      return "not_accepted";
    case ChangeVerdict::kConflict:
      return "conflict";
    case ChangeVerdict::kUnknown:
      break;
  }
  return "unknown";
}

// A query asks about a write of an earlier process, which may still arrive.
ContractChange::ContractChange(ContractChangeRequest request)
    : request_(std::move(request)), may_be_written_(request_.query_only_) {}

auto ContractChange::Start() const -> ChangeAction {
  return ChangeAction::kRead;
}

auto ContractChange::OnRead(const std::optional<ContractRecord>& current)
    -> ChangeAction {
  if (finished_) {
    return ChangeAction::kFinished;
  }
  result_.current_ = current;
  if (current) {
    if (const auto revision = AcceptedRevision(*current)) {
      return Finish(ChangeVerdict::kAccepted, *revision, "");
    }
  }
  const auto revision = current ? current->revision_ : 0;
  if (revision == request_.base_revision_) {
    return PrepareSwap(current);
  }
  if (!current || revision < request_.base_revision_) {
    // The key was removed or restored outside this program, which took the
    // list of earlier changes with it.
    return Finish(ChangeVerdict::kUnknown, 0,
                  "the key is older than the base revision");
  }
  return FinishSuperseded(*current);
}

auto ContractChange::OnReadLost() -> ChangeAction {
  return finished_ ? ChangeAction::kFinished : ChangeAction::kRead;
}

auto ContractChange::OnSwapAccepted(Revision revision) -> ChangeAction {
  return finished_ ? ChangeAction::kFinished
                   : Finish(ChangeVerdict::kAccepted, revision, "");
}

// An earlier lost write of this change may be what moved the revision, so the
// current value is judged as if it had been read.
auto ContractChange::OnSwapRefused(const std::optional<ContractRecord>& current)
    -> ChangeAction {
  return OnRead(current);
}

auto ContractChange::OnSwapLost() -> ChangeAction {
  may_be_written_ = true;
  return OnReadLost();
}

auto ContractChange::OnSwapNotSent() -> ChangeAction { return OnReadLost(); }

auto ContractChange::OnTimeLimit() -> ChangeAction {
  if (finished_) {
    return ChangeAction::kFinished;
  }
  if (may_be_written_) {
    return Finish(ChangeVerdict::kUnknown, 0,
                  "the configuration service did not answer in time");
  }
  return Finish(ChangeVerdict::kNotAccepted, 0,
                "the configuration service could not be reached in time; "
                "nothing was sent");
}

auto ContractChange::Finish(ChangeVerdict verdict, Revision revision,
                            std::string reason) -> ChangeAction {
  finished_ = true;
  result_.verdict_ = verdict;
  result_.revision_ = revision;
  result_.reason_ = std::move(reason);
  return ChangeAction::kFinished;
}

auto ContractChange::AcceptedRevision(const ContractRecord& current) const
    -> std::optional<Revision> {
  if (current.value_.change_id_ == request_.change_id_) {
    return current.revision_;
  }
  for (const auto& change : current.value_.recent_changes_) {
    if (change.change_id_ == request_.change_id_) {
      return change.revision_;
    }
  }
  return std::nullopt;
}

// Returns true if the list reaches back to the base revision, so that a change
// made on top of it would be listed.
auto ContractChange::CoversBase(const ContractRecord& current) const -> bool {
  const auto& changes = current.value_.recent_changes_;
  return changes.size() < kRecentChanges ||
         changes.back().revision_ <= request_.base_revision_;
}

auto ContractChange::FinishSuperseded(const ContractRecord& current)
    -> ChangeAction {
  if (!CoversBase(current)) {
    return Finish(ChangeVerdict::kUnknown, 0,
                  "more changes were made since than the value lists");
  }
  return Finish(ChangeVerdict::kConflict, 0,
                "changed by " + current.value_.author_ + " at revision " +
                    std::to_string(current.revision_));
}

auto ContractChange::PrepareSwap(const std::optional<ContractRecord>& current)
    -> ChangeAction {
  if (request_.query_only_) {
    return Finish(ChangeVerdict::kUnknown, 0,
                  "not written so far; an earlier write may still arrive");
  }
  value_.text_ = request_.text_;
  value_.deleted_ = request_.deleted_;
  value_.change_id_ = request_.change_id_;
  value_.author_ = request_.author_;
  value_.written_at_ = request_.written_at_;
  value_.note_ = request_.note_;
  value_.recent_changes_ =
      current ? SuccessorChanges(*current) : std::vector<RecentChange>{};
  return ChangeAction::kCompareAndSwap;
}

}  // namespace baobab::contract
