#pragma once

#include <functional>
#include <vector>

#include "baobab_contract/contract_gossip.h"
#include "control_context.h"
#include "platform_messages.h"

namespace baobab {

/// Keeps the active contracts current from the configuration service and from
/// peers. Owned by the control thread.
class ContractController {
 public:
  using SendMessages = std::function<void(contract::ContractMessages)>;

  /// `on_change` is called after contracts have changed; `send` sends to
  /// peers.
  ContractController(ControlContext& context, PlatformCommands& commands,
                     std::function<void()> on_change, SendMessages send);

  /// Reads the store when that is due. `reader` tells whether this instance
  /// is one of those that watch it.
  auto Tick(bool reader) -> void;

  auto OnRead(const ContractsRead& read) -> void;
  auto OnChanged(const ContractsChanged& changed) -> void;
  auto OnHistoryLost() -> void;

  /// Messages of peers go to the gossip; call Changed after those that may
  /// carry contracts.
  [[nodiscard]] auto gossip() -> contract::ContractGossip& { return gossip_; }
  auto Changed() -> void;

  /// Sends what the gossip asks for.
  auto Send(contract::ContractMessages messages) -> void {
    if (!messages.empty()) {
      send_(std::move(messages));
    }
  }

 private:
  auto ReadLater(Duration interval) -> void;

  ControlContext& context_;
  PlatformCommands& commands_;
  std::function<void()> on_change_;
  SendMessages send_;
  contract::ContractGossip gossip_;
  TimePoint next_read_;
  bool read_pending_ = false;
  bool reader_ = false;
  bool watching_ = false;
  contract::ContractDigest seen_;
};

}  // namespace baobab
