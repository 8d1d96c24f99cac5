#pragma once

#include <map>
#include <string>
#include <vector>

#include "baobab_base/virtual_network.h"
#include "baobab_contract/contract_change.h"
#include "baobab_contract/contract_register.h"
#include "baobab_replay/replay.h"

namespace baobab::replay {

/// Drives ContractChange for operators and ContractRegister for instances,
/// around a configuration service that can fail.
///
/// Settings: `instances`, `relay_ms` (delay from a reader to a peer). Instances
/// 0 and 1 are readers. Events: `read` (`operator`), `put` (`operator`,
/// `change`, `requests_per_second`; based on the operator's last read),
/// `store` (`state`: `up`, `down` or `lose_answers`) and `restart`
/// (`instance`). Measures: `accepted`, `conflicts`, `not_accepted`, `unknown`,
/// `reverted`, `active_everywhere_ms` (worst), `instances_behind`,
/// `lost_changes` (accepted, but neither current nor in the list of recent
/// changes).
class ContractReplay {
 public:
  explicit ContractReplay(const Trace& trace);

  auto Apply(const TraceEvent& event) -> void;
  auto Finish() -> Measures;

 private:
  enum class StoreState : std::uint8_t { kUp, kDown, kLoseAnswers };
  struct Instance {
    contract::ContractRegister register_;
    Revision highest_seen_ = 0;
  };
  struct AcceptedChange {
    std::string change_id_;
    Revision revision_ = 0;
    TimePoint at_;
  };

  auto Put(const TraceFields& fields, TimePoint now) -> void;
  auto Step(contract::ContractChange& change, contract::ChangeAction action)
      -> contract::ChangeAction;
  auto CompareAndSwap(contract::ContractChange& change)
      -> contract::ChangeAction;
  auto Distribute() -> void;
  auto Offer(std::size_t instance, const contract::ContractRecord& record,
             TimePoint now) -> void;
  auto Restart(std::size_t instance, TimePoint now) -> void;
  auto SetStore(const TraceFields& fields) -> void;
  auto NoteActivation(TimePoint now) -> void;

  VirtualNetwork events_;
  StoreState store_ = StoreState::kUp;
  Revision store_revision_ = 0;
  std::optional<contract::ContractRecord> stored_;
  std::map<std::string, Revision> last_read_;  ///< By operator.
  std::vector<Instance> instances_;
  Duration relay_delay_;
  std::vector<AcceptedChange> accepted_;
  std::size_t activated_ =
      0;  ///< Accepted changes known to be active everywhere.
  Measures measures_;
};

}  // namespace baobab::replay
