#pragma once

#include <string>
#include <variant>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_contract/contract_record.h"
#include "baobab_operations/operation_ledger.h"
#include "baobab_platform/instance_list_client.h"
#include "channel.h"

namespace baobab {

// Control to platform I/O.
struct ReadContracts {};
/// Starts a watch from a revision, or ends it if `from_` is 0.
struct WatchContracts {
  Revision from_ = 0;
};
struct ReadRoster {};
struct SwapRoster {
  Revision expected_ = 0;  ///< 0 if the key does not exist.
  std::string value_;
};
/// One store call of a caller-chosen operation key.
struct CallClaim {
  OperationRef ref_;
  ClaimAction action_ = ClaimAction::kNone;
  ClaimRecord record_;
  std::uint64_t call_ = 0;
};
using PlatformCommand =
    std::variant<std::monostate, ReadContracts, WatchContracts, ReadRoster,
                 SwapRoster, CallClaim>;

// Platform I/O to control.
/// All contracts under the prefix, as of `revision_`.
struct ContractsRead {
  bool failed_ = false;
  std::vector<contract::ContractRecord> records_;
  Revision revision_ = 0;
  TimePoint sent_;  ///< When the read was sent.
};
struct ContractsChanged {
  std::vector<contract::ContractRecord> records_;
};
/// The watch ended because the store discarded its history.
struct ContractHistoryLost {};
struct RosterRead {
  bool failed_ = false;
  Revision revision_ = 0;  ///< 0 if the key does not exist.
  std::string value_;
};
/// A swap ended, with whatever effect; read the roster to find out.
struct RosterSwapped {};
struct ClaimAnswered {
  OperationRef ref_;
  ClaimAnswer answer_;
};
struct InstancesListed {
  std::vector<platform::ListedInstance> instances_;
};
using PlatformEvent =
    std::variant<std::monostate, ContractsRead, ContractsChanged,
                 ContractHistoryLost, RosterRead, RosterSwapped, ClaimAnswered,
                 InstancesListed>;

using PlatformCommands = Channel<PlatformCommand>;
using PlatformEvents = Channel<PlatformEvent>;

}  // namespace baobab
