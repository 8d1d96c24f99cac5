#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "baobab_base/outcome.h"
#include "baobab_base/roster_epoch.h"
#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_contract/contract_gossip.h"
#include "baobab_limits/share_ledger.h"
#include "baobab_membership/membership_table.h"

namespace baobab::peers {

/// A heartbeat. What rarely changes is left out of most of them.
struct HeartbeatMessage {
  std::uint64_t sequence_ = 0;
  std::optional<membership::MemberInfo> info_;  ///< Set if full.
  Revision contract_highest_ = 0;
  std::uint64_t contract_hash_ = 0;
  std::optional<Duration> contract_age_;  ///< Unset before they are complete.
  std::uint64_t roster_epoch_ = 0;        ///< Newest known, applied or not.
  double load_ = 0;
  /// Hash of all members outside the domain; set by relays.
  std::optional<std::uint64_t> remote_hash_;
  /// The sender does not hear or does not know the receiver, which is to send
  /// a full heartbeat and its members.
  bool wants_info_ = false;
  bool wants_remote_ = false;  ///< A relay is to send full domain summaries.
  bool wants_roster_ = false;  ///< The receiver is to send its roster.
};

/// The sender stops; it has no loans outstanding if loans_settled_.
struct Leave {
  bool loans_settled_ = false;
};

/// Roster as the sender knows it, sent to a peer with an older epoch.
struct RosterRelay {
  RosterEpoch roster_;
};

/// State of one failure domain, from one of its relays.
struct DomainSummaryMessage {
  membership::DomainSummary summary_;
  /// Hash that the sender has for the receiver's domain; if it is not the
  /// receiver's own, the sender lacks something. Unset in answers.
  std::optional<std::uint64_t> receiver_hash_;
  Revision contract_highest_ = 0;
  std::uint64_t contract_hash_ = 0;
  std::optional<Duration> contract_age_;
};

/// Requests for loans, of any number of limits.
struct LoanRequests {
  std::vector<limits::LoanRequest> requests_;
};

/// Answers to requests for loans.
struct LoanAnswers {
  std::vector<limits::LoanAnswer> answers_;
};

/// Units given back before their term ends; needs no answer.
struct LoanReturns {
  std::vector<limits::LoanRequest> requests_;
};

/// The recorded outcome of an operation, kept by two peers of its owner.
struct OperationOutcomeMessage {
  CustomerId customer_;
  std::string key_;
  int status_ = 0;  ///< HTTP status of the recorded answer.
  std::string content_type_;
  std::string body_;
};

/// A target that was seen to leave.
struct TargetLeaving {
  TargetId target_;
  Duration age_{};  ///< Time since it was seen.
};

/// Weight of one target for one model, as a straggler detector sees it.
struct StragglerWeight {
  TargetId target_;
  ModelId model_;
  double weight_ = 1;  ///< 0 to 1.
};

/// Straggler weights below 1.
struct StragglerWeights {
  std::vector<StragglerWeight> weights_;
};

/// Demand for one model at the sender.
struct ModelDemand {
  ModelId model_;
  double requests_per_second_ = 0;
  double tokens_per_second_ = 0;
};

/// Demand at the sender.
struct DemandSummary {
  std::vector<ModelDemand> models_;
};

/// Content of a message; the type name follows from the alternative.
using PeerBody =
    std::variant<HeartbeatMessage, Leave, DomainSummaryMessage,
                 contract::ContractPull, contract::ContractPush, LoanRequests,
                 LoanAnswers, LoanReturns, OperationOutcomeMessage,
                 TargetLeaving, StragglerWeights, DemandSummary, RosterRelay>;

/// Names of the alternatives of PeerBody, in its order.
[[nodiscard]] auto PeerTypeName(const PeerBody& body) -> std::string_view;

/// A message with its envelope.
struct PeerMessage {
  ProcessId from_;
  std::uint64_t sequence_ = 0;  ///< Grows with each message of the sender.
  PeerBody body_;
};

}  // namespace baobab::peers
