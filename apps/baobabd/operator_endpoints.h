#pragma once

#include <functional>
#include <string>

#include "baobab_burn/burn_tracker.h"
#include "chat_controller.h"
#include "control_context.h"
#include "membership_controller.h"
#include "service_controller.h"
#include "target_directory.h"

namespace baobab {

/// Answers health checks, metrics and the operators' `/admin` endpoints.
class OperatorEndpoints {
 public:
  OperatorEndpoints(ControlContext& context, TargetDirectory& targets,
                    AdmissionControl& admission, MembershipController& members,
                    LimitController& limits, std::function<void()> begin_drain);

  /// Answers `arrived` if its path is one of these; returns false otherwise.
  auto Handle(const RequestArrived& arrived) -> bool;

  /// Counts for /admin/burn.
  [[nodiscard]] auto burn() -> burn::BurnTracker& { return burn_; }

  /// Returns the contracts as JSON: revision, author, time and note of each.
  [[nodiscard]] auto DescribeContracts() const -> std::string;

 private:
  auto HandleHealth(const RequestArrived& arrived) -> bool;
  auto HandleAdmin(const RequestArrived& arrived) -> bool;
  auto ReplyReady(const CallerRef& caller) -> void;
  auto ReplyStatus(const CallerRef& caller) -> void;
  auto ReplyBurn(const CallerRef& caller) -> void;

  ControlContext& context_;
  TargetDirectory& targets_;
  AdmissionControl& admission_;
  MembershipController& members_;
  LimitController& limits_;
  std::function<void()> begin_drain_;
  burn::BurnTracker burn_;
  TimePoint started_;
};

}  // namespace baobab
