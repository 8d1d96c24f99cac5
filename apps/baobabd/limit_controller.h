#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "baobab_limits/concurrency_limiter.h"
#include "baobab_limits/epoch_transition.h"
#include "baobab_limits/rate_limiter.h"
#include "baobab_limits/share_broker.h"
#include "baobab_membership/peer_topology.h"
#include "control_context.h"

namespace baobab {

/// Why a request is over its customer's limits at this instance.
struct LimitRefusal {
  limits::LimitKind kind_ = limits::LimitKind::kRequestRate;
  Duration retry_after_{};
};

/// Enforces the limits of every contract: base shares under the roster, loans
/// between instances, and the limiters over them. Owned by the control thread.
class LimitController {
 public:
  /// `context` must outlive this object.
  explicit LimitController(ControlContext& context);

  /// Takes the limits of all active contracts. Call after each change.
  auto ApplyContracts() -> void;

  /// Takes a roster of a higher epoch.
  auto Learn(const RosterEpoch& roster) -> void;

  /// Takes the applied epoch of a peer's heartbeat.
  auto OnReport(const ProcessId& peer, std::uint64_t epoch) -> void;

  /// Admits a request, or tells which limit refuses it. `tokens` is the
  /// predicted length. Each admitted request needs one Release.
  [[nodiscard]] auto Admit(const CustomerId& customer, WorkKind kind,
                           std::uint64_t tokens, TimePoint deadline)
      -> std::optional<LimitRefusal>;

  /// Ends an admitted request.
  auto Release(const CustomerId& customer, WorkKind kind) -> void;

  /// Advances loans; returns messages for peers. Call every 50 ms.
  [[nodiscard]] auto Tick(const membership::MembershipTable& members)
      -> limits::LoanMessages;

  [[nodiscard]] auto OnRequest(const ProcessId& from,
                               const limits::LoanRequest& request)
      -> limits::LoanMessages;
  [[nodiscard]] auto OnAnswer(const ProcessId& from,
                              const limits::LoanAnswer& answer)
      -> limits::LoanMessages;

  /// Returns true if any unit is lent or borrowed.
  [[nodiscard]] auto HasLoans() const -> bool;

  /// Epoch to report in heartbeats.
  [[nodiscard]] auto applied_epoch() const -> std::uint64_t {
    return epochs_.applied_epoch();
  }

  /// Longest time that a loan may be counted, for the roster.
  [[nodiscard]] auto LoanHorizon() const -> Duration;

  /// Usable, lent and borrowed units per customer and limit, as JSON.
  [[nodiscard]] auto Describe() const -> std::string;

 private:
  /// One limit of one customer.
  struct Share {
    Share(const limits::ShareKey& key, const ProcessId& self,
          const limits::ShareBrokerSettings& settings)
        : ledger_(key, self),
          broker_(&ledger_, self, settings),
          concurrency_(&ledger_) {}
    limits::ShareLedger ledger_;
    limits::ShareBroker broker_;
    limits::RateLimiter rate_;                // used for rates
    limits::ConcurrencyLimiter concurrency_;  // used for concurrency
  };
  using Shares = std::array<std::unique_ptr<Share>, limits::kLimitKinds>;

  auto Find(const limits::ShareKey& key) -> Share*;
  auto MakeShares(const contract::Contract& contract) -> Shares;
  auto ApplyLimits(const contract::Contract& contract, Shares& shares) -> void;
  auto UpdateRates(Share& share, TimePoint now) -> void;
  auto ApplyEpochs() -> void;
  auto MarkAppliedIfCovered() -> void;

  template <class Function>
  auto ForEachShare(Function&& function) -> void {
    for (auto& [customer, shares] : customers_) {
      for (auto& share : shares) {
        function(*share);
      }
    }
  }

  ControlContext& context_;
  ProcessId self_;
  limits::EpochTransition epochs_;
  std::map<CustomerId, Shares> customers_;
};

}  // namespace baobab
