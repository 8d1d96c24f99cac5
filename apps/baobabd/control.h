#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "admission_control.h"
#include "authenticator.h"
#include "baobab_membership/drain_sequence.h"
#include "chat_controller.h"
#include "contract_controller.h"
#include "control_context.h"
#include "membership_controller.h"
#include "operator_endpoints.h"
#include "peer_controller.h"
#include "placement_duty.h"
#include "platform_messages.h"
#include "service_controller.h"
#include "target_directory.h"

namespace baobab {

/// Duty of the control thread: owns all core state, answers requests through
/// its controllers and drives them by events and a 50 ms tick.
class Control {
 public:
  /// `on_drained` is called on the control thread when the process may end.
  Control(ControlContext& context, std::function<void()> on_drained);

  /// Starts the tick. Call on the control thread.
  auto Start() -> void;

  auto Handle(CallerEvent&& event) -> void;
  auto Handle(TargetEvent&& event) -> void;
  auto Handle(PlatformEvent&& event) -> void;
  auto Handle(peers::PeerMessage&& message) -> void;

  /// Sets where messages for other daemons go, before Start.
  auto SetPeerCommands(PeerCommands* commands) -> void {
    peers_.SetCommands(commands);
  }

  /// Starts a graceful stop; repeated calls change nothing.
  auto BeginDrain() -> void;

  /// Takes reloaded settings; keys that need a restart are left as they were.
  auto ApplySettings(const Settings& settings) -> void;

 private:
  auto Dispatch(const RequestArrived& arrived) -> void;
  auto DispatchCustomer(const RequestArrived& arrived,
                        const CustomerId& customer) -> void;
  auto OnContractsChanged() -> void;
  auto OnInstances(const InstancesListed& listed) -> void;
  auto CallStore(const LedgerStep& step) -> void;
  auto ReplyModels(const RequestArrived& arrived, const CustomerId& customer)
      -> void;
  auto Tick() -> void;
  auto TickDrain() -> void;
  auto EnterDrainStep(membership::DrainStep step) -> void;
  [[nodiscard]] auto InFlight() const -> std::size_t;
  auto OnRequestEnd(const CustomerId& customer, WorkKind kind, bool succeeded,
                    Duration latency) -> void;

  ControlContext& context_;
  std::function<void()> on_drained_;
  boost::asio::steady_timer timer_;
  Authenticator authenticator_;
  TargetDirectory targets_;
  LimitController limits_;
  MembershipController members_;
  ContractController contracts_;
  PeerController peers_;
  AdmissionControl admission_;
  ChatController chats_;
  ServiceController services_;
  OperatorEndpoints operators_;
  std::unique_ptr<PlacementDuty> placement_;  ///< Null without a store.
  membership::DrainSequence drain_;
  membership::DrainStep drain_step_ = membership::DrainStep::kServing;
  TimePoint drain_step_since_;
  bool callers_ended_ = false;
  bool ended_ = false;
};

}  // namespace baobab
