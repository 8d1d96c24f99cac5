#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/work_kind.h"

namespace baobab::contract {

/// Limits of one customer, summed over all instances.
struct ContractLimits {
  std::int64_t requests_per_second_ = 0;
  std::int64_t concurrent_requests_ = 0;
  std::int64_t tokens_per_second_ = 0;
  std::int64_t concurrent_bookings_ = 0;
  /// Longest run time of one request.
  std::chrono::milliseconds max_duration_{};
  auto operator==(const ContractLimits&) const -> bool = default;
};

/// A model that must stay reachable for the customer.
struct ContractModel {
  ModelId name_;
  std::vector<AdapterId> adapters_;
  std::int64_t memory_mb_ = 0;  ///< Accelerator memory of one copy.
  auto operator==(const ContractModel&) const -> bool = default;
};

/// A plain service that the customer may call.
struct ContractService {
  std::string name_;
  bool idempotent_ = false;  ///< Whether a call may be repeated.
  auto operator==(const ContractService&) const -> bool = default;
};

/// A service-level objective for one kind of work.
struct ContractObjective {
  WorkKind kind_ = WorkKind::kShort;
  std::chrono::milliseconds latency_{};
  double target_ = 0;  ///< Part of requests within the latency, 0 to 1.
  auto operator==(const ContractObjective&) const -> bool = default;
};

/// Everything agreed with one customer.
struct Contract {
  CustomerId customer_;
  std::string note_;
  int weight_ = 1;  ///< Share of capacity when overloaded, 1 to 100.
  std::vector<std::string> key_digests_;  ///< SHA-256 of caller keys, hex.
  ContractLimits limits_;
  std::vector<ContractModel> models_;
  std::vector<ContractService> services_;
  std::vector<ContractObjective> objectives_;
  auto operator==(const Contract&) const -> bool = default;
};

/// Returns the contract as TOML with fixed order and spacing; parsing it gives
/// an equal contract.
[[nodiscard]] auto CanonicalText(const Contract& contract) -> std::string;

/// One differing field of two contracts.
struct ContractDifference {
  std::string field_;   ///< For example "limits.requests_per_second".
  std::string before_;  ///< Empty if the field was added.
  std::string after_;   ///< Empty if the field was removed.
  auto operator==(const ContractDifference&) const -> bool = default;
};

/// Returns every field that differs, sorted by field. Models, services and
/// objectives are matched by name, so their order does not count.
[[nodiscard]] auto DiffContracts(const Contract& before, const Contract& after)
    -> std::vector<ContractDifference>;

}  // namespace baobab::contract
