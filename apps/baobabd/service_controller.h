#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "admission_control.h"
#include "baobab_operations/operation_ledger.h"
#include "chat_controller.h"
#include "control_context.h"
#include "target_directory.h"

namespace baobab {

/// Serves calls to plain services, operation keys and outcomes.
class ServiceController {
 public:
  /// Finds the caller address of an owner that is alive, if it is known.
  using FindOwner =
      std::function<std::optional<TargetEndpoint>(const OperationOwner&)>;
  /// Makes the store call of a claim; its result goes to OnClaimAnswer.
  using CallStore = std::function<void(const LedgerStep&)>;
  /// Sends a completed outcome to two peers.
  using CopyOutcome = std::function<void(const LedgerStep&)>;

  ServiceController(ControlContext& context, TargetDirectory& targets,
                    AdmissionControl& admission, RequestEndHandler on_end);

  auto SetSeams(FindOwner find_owner, CallStore call_store,
                CopyOutcome copy_outcome) -> void;

  /// `<method> /v1/services/{service}/{path}`.
  auto Begin(const RequestArrived& arrived, const CustomerId& customer) -> void;

  /// `POST /v1/operation-keys`.
  auto IssueKey(const CallerRef& caller) -> void;

  /// `GET /v1/operations/{key}`.
  auto LookUp(const RequestArrived& arrived, const CustomerId& customer)
      -> void;

  auto OnCallerGone(const CallerRef& caller) -> void;
  auto OnAnswered(ServiceAnswered& answered) -> void;
  auto OnFailed(const ServiceFailed& failed) -> void;
  auto OnClaimAnswer(const OperationRef& ref, const ClaimAnswer& answer)
      -> void;

  /// Ends overdue attempts. Call every 50 ms.
  auto Tick() -> void;

  [[nodiscard]] auto ledger() -> OperationLedger& { return ledger_; }
  [[nodiscard]] auto size() const -> std::size_t { return works_.size(); }

 private:
  /// One call of a caller from admission to its end.
  struct Work {
    std::uint64_t id_ = 0;
    CallerRef caller_;
    CustomerId customer_;
    HttpRequest request_;
    std::string service_;
    std::string path_;                 ///< At the service, with the query.
    std::optional<OperationKey> key_;  ///< Set if the call must not repeat.
    WorkKind kind_ = WorkKind::kLookup;
    TimePoint arrived_;
    TimePoint deadline_;
    std::vector<TargetIndex> tried_;
  };
  /// One attempt at a service, or a forward to an owner.
  struct Attempt {
    std::uint64_t work_ = 0;  ///< Gone callers leave no work behind.
    std::optional<OperationRef> operation_;
    AttemptId ledger_attempt_ = 0;
    bool routed_ = false;  ///< False for a forward.
    TimePoint deadline_;
    std::optional<TimePoint> hedge_at_;  ///< First attempts only.
  };
  using WorkPointer = std::shared_ptr<Work>;

  auto Check(const RequestArrived& arrived, const contract::Contract& contract,
             Work& work) -> std::optional<Problem>;
  auto Start(std::uint64_t id) -> void;
  auto StartIdempotent(const WorkPointer& work) -> void;
  /// Copies of idempotent calls: probes of slow targets, hedges of late calls.
  auto StartCopy(const WorkPointer& work, TargetIndex target, AttemptRole role)
      -> void;
  auto HedgeLate(TimePoint now) -> void;
  auto HasCopy(std::uint64_t work) const -> bool;
  auto CancelCopies(std::uint64_t work) -> void;
  auto RouteOf(const Work& work) const -> RouteRequest;
  auto SendAttempt(const Work& work, TargetIndex target, AttemptRole role,
                   Attempt attempt) -> RouteAttemptId;
  auto Perform(const LedgerStep& step) -> void;
  auto PerformSend(const LedgerStep& step) -> void;
  auto PerformForward(const LedgerStep& step) -> void;
  auto PerformDone(const LedgerStep& step) -> void;
  auto Take(RouteAttemptId attempt) -> std::optional<Attempt>;
  auto Find(std::uint64_t id) -> WorkPointer;
  auto FailWork(const WorkPointer& work, const Problem& problem) -> void;
  auto Finish(const WorkPointer& work, bool succeeded) -> void;
  auto RelayAnswer(const WorkPointer& work, const TargetResponse& response)
      -> void;

  ControlContext& context_;
  TargetDirectory& targets_;
  AdmissionControl& admission_;
  RequestEndHandler on_end_;
  OperationLedger ledger_;
  FindOwner find_owner_;
  CallStore call_store_;
  CopyOutcome copy_outcome_;
  std::uint64_t last_id_ = std::uint64_t{1} << 62;  // apart from completions
  std::unordered_map<std::uint64_t, WorkPointer> works_;
  std::unordered_map<CallerRef, std::uint64_t, CallerRefHash> callers_;
  std::unordered_map<RouteAttemptId, Attempt> attempts_;
  /// Requests of operations in progress, kept when their callers leave.
  std::unordered_map<OperationRef, WorkPointer, OperationRefHash> operations_;
};

}  // namespace baobab
