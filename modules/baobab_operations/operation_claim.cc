#include "baobab_operations/operation_claim.h"

#include <utility>

namespace baobab {
namespace {

// Create, read-back, and one more round. A caller waits meanwhile, and a store
// that lost four calls in a row is in an outage.
constexpr int kCallsPerStart = 4;

}  // namespace

auto ClaimRecord::Encode() const -> std::string {
  return OperationKey::Issued(owner_, number_).text();
}

auto ClaimRecord::Decode(std::string_view text) -> std::optional<ClaimRecord> {
  const auto key = OperationKey::Parse(text);
  if (!key || !key->issued()) {
    return std::nullopt;
  }
  return ClaimRecord{*key->owner(), key->sequence()};
}

OperationClaim::OperationClaim(ClaimRecord record)
    : record_(std::move(record)) {}

auto OperationClaim::Start() -> ClaimAction {
  state_ = ClaimState::kPending;
  calls_left_ = kCallsPerStart;
  return Next(create_sent_ ? ClaimAction::kRead : ClaimAction::kCreate);
}

auto OperationClaim::Next(ClaimAction action) -> ClaimAction {
  if (calls_left_ == 0) {
    return Resolve(ClaimState::kUnresolved);
  }
  --calls_left_;
  ++call_;
  create_sent_ = create_sent_ || action == ClaimAction::kCreate;
  return action;
}

auto OperationClaim::Resolve(ClaimState state) -> ClaimAction {
  state_ = state;
  return ClaimAction::kNone;
}

auto OperationClaim::OnRecordSeen(const ClaimRecord& seen) -> ClaimAction {
  owner_ = seen.owner_;
  if (seen == record_) {
    return Resolve(ClaimState::kOwned);
  }
  return Resolve(seen.owner_ == record_.owner_ ? ClaimState::kExpired
                                               : ClaimState::kForeign);
}

auto OperationClaim::Abandon() -> void {
  if (state_ == ClaimState::kPending) {
    Resolve(ClaimState::kUnresolved);
  }
}

auto OperationClaim::OnAnswer(const ClaimAnswer& answer) -> ClaimAction {
  if (state_ != ClaimState::kPending || answer.call_ != call_) {
    return ClaimAction::kNone;
  }
  switch (answer.kind_) {
    case ClaimAnswer::Kind::kCreated:
      return OnRecordSeen(record_);
    case ClaimAnswer::Kind::kExists:
      return OnRecordSeen(answer.record_);
    case ClaimAnswer::Kind::kAbsent:
      return Next(ClaimAction::kCreate);
    case ClaimAnswer::Kind::kNotSent:
      return Resolve(ClaimState::kUnresolved);
    case ClaimAnswer::Kind::kLost:
      break;
  }
  return Next(ClaimAction::kRead);
}

}  // namespace baobab
