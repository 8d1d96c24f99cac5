#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/virtual_network.h"
#include "baobab_operations/operation_ledger.h"
#include "baobab_replay/replay.h"

namespace baobab::replay {

/// Drives the OperationLedger of several instances before one plain service.
///
/// Settings: `instances`, `service_ms`. Events: `issue` (`key`, `instance`),
/// `submit` (`key`, `instance`, optional `copies`), `kill` (`instance`; it
/// restarts at once with a new incarnation) and `service` (`state`: `up`,
/// `lose_answers`, `reject` or `unreachable`). Measures: `completed`,
/// `not_run`, `unknown`, `runs`, `keys_run_twice`, `false_not_run` (told
/// `not_run` after a run), `unanswered`.
class OperationReplay {
 public:
  explicit OperationReplay(const Trace& trace);

  auto Apply(const TraceEvent& event) -> void;
  auto Finish() -> Measures;

 private:
  enum class ServiceState : std::uint8_t {
    kUp,
    kLoseAnswers,
    kReject,
    kUnreachable
  };
  struct Instance {
    std::shared_ptr<OperationLedger> ledger_;
    Incarnation incarnation_ = 0;
  };

  /// The instance that a caller uses and the one that acts for it.
  struct Route {
    std::size_t entry_ = 0;
    std::size_t owner_ = 0;
  };

  auto StartInstance(std::size_t index) -> void;
  auto Submit(const TraceFields& fields, TimePoint now) -> void;
  auto SubmitAt(std::size_t index, const OperationKey& key, WaiterId waiter,
                bool forwarded, TimePoint now) -> void;
  auto Handle(std::size_t index, const LedgerStep& step,
              const OperationKey& key, TimePoint now) -> void;
  auto Send(std::size_t index, const LedgerStep& step, const OperationKey& key,
            TimePoint now) -> void;
  auto Tell(WaiterId waiter, Outcome outcome, const std::string& key) -> void;
  [[nodiscard]] auto FindOwner(const OperationOwner& owner) const
      -> std::optional<std::size_t>;

  VirtualNetwork events_;
  std::vector<Instance> instances_;
  Duration service_time_;
  ServiceState service_ = ServiceState::kUp;
  Incarnation next_incarnation_ = 1;
  WaiterId next_waiter_ = 1;
  std::map<std::string, OperationKey> keys_;  ///< By name in the trace.
  std::map<std::string, int> runs_;           ///< By key text.
  std::map<WaiterId, Route> waiting_;
  Measures measures_;
};

}  // namespace baobab::replay
