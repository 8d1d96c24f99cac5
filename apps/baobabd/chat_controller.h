#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "admission_control.h"
#include "baobab_operations/silence_detector.h"
#include "chat_request.h"
#include "control_context.h"
#include "target_directory.h"

namespace baobab {

/// Told about the end of each request, for service-level objectives.
using RequestEndHandler = std::function<void(const CustomerId&, WorkKind,
                                             bool succeeded, Duration latency)>;

/// Serves `POST /v1/chat/completions`: admission, attempts with retries,
/// hedges and resumption, and the response to the caller.
class ChatController {
 public:
  ChatController(ControlContext& context, TargetDirectory& targets,
                 AdmissionControl& admission, RequestEndHandler on_end);

  /// Takes a request of an authenticated customer.
  auto Begin(const RequestArrived& arrived, const CustomerId& customer) -> void;

  /// The caller's connection ended.
  auto OnCallerGone(const CallerRef& caller) -> void;
  auto OnCallerBlocked(const CallerBlocked& blocked) -> void;

  auto OnLoad(const LoadArrived& arrived) -> void;
  auto OnChunk(ChunkArrived& arrived) -> void;
  auto OnEnded(RouteAttemptId attempt) -> void;
  auto OnFailed(const ChatFailed& failed) -> void;

  /// Hedges, ends overdue requests. Call every 50 ms.
  auto Tick() -> void;

  [[nodiscard]] auto size() const -> std::size_t { return works_.size(); }

 private:
  using WorkPointer = std::shared_ptr<ChatWork>;

  auto Check(const RequestArrived& arrived, const contract::Contract& contract,
             ChatWork& work) -> std::optional<Problem>;
  auto ReadResumption(const HttpRequest& request, ChatWork& work) -> void;
  auto Predict(ChatWork& work) -> void;

  auto StartFirst(std::uint64_t id) -> void;
  auto StartAttempt(const WorkPointer& work, const RouteDecision& decision,
                    AttemptRole role, bool new_connection) -> void;
  auto StartCopy(const WorkPointer& work, TargetIndex target, AttemptRole role,
                 bool new_connection) -> ChatAttempt&;
  auto StartHedge(const WorkPointer& work, ChatAttempt& attempt) -> void;
  auto Resume(const WorkPointer& work, const Problem& problem) -> void;
  auto RetryOrFail(const WorkPointer& work, const ChatFailed& failed) -> void;

  /// Resumes streams of silent connections whose target answers a probe, and
  /// all streams of a target that does not.
  auto WatchSilence() -> void;
  auto OnSilence(const std::vector<SilenceAction>& actions) -> void;
  auto ProbeSilent(const TargetId& target) -> void;
  auto ResumeSilent(RouteAttemptId attempt) -> void;
  auto OnData(const ChatWork& work, ChatAttempt& attempt) -> void;

  auto KeepOnly(const WorkPointer& work, RouteAttemptId attempt) -> void;
  auto CancelAttempts(const WorkPointer& work) -> void;
  auto DropAttempt(const WorkPointer& work, RouteAttemptId attempt,
                   AttemptEnd end) -> void;
  auto Forward(const WorkPointer& work, ChatChunk& chunk) -> void;
  auto BeginStreaming(const WorkPointer& work) -> void;
  auto Complete(const WorkPointer& work) -> void;
  auto FailWork(const WorkPointer& work, const Problem& problem) -> void;
  auto Remove(const WorkPointer& work, bool succeeded) -> void;
  auto Find(RouteAttemptId attempt) -> WorkPointer;

  ControlContext& context_;
  TargetDirectory& targets_;
  AdmissionControl& admission_;
  RequestEndHandler on_end_;
  SilenceDetector silence_{SilenceSettings{}};
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, WorkPointer> works_;
  std::unordered_map<RouteAttemptId, WorkPointer> attempts_;
  std::unordered_map<CallerRef, WorkPointer, CallerRefHash> callers_;
};

}  // namespace baobab
