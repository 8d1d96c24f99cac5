#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_platform/store_client.h"

namespace baobab {

/// The lease of the instance that plans, under `/baobab/planner`. It avoids
/// duplicate work; safety does not depend on it.
class PlannerLease {
 public:
  PlannerLease(platform::StoreClient& store, std::string holder)
      : store_(store), holder_(std::move(holder)) {}
  ~PlannerLease() { *alive_ = false; }
  PlannerLease(const PlannerLease&) = delete;
  auto operator=(const PlannerLease&) -> PlannerLease& = delete;

  /// Takes or renews the lease when that is due.
  auto Tick(TimePoint now) -> void;

  /// Returns the store revision at which this instance took the lease, which
  /// rises with each term and serves as fencing number; 0 without the lease.
  [[nodiscard]] auto Term(TimePoint now) const -> std::uint64_t {
    return now < valid_until_ ? term_ : 0;
  }

 private:
  auto Take(TimePoint now) -> void;
  auto Create(std::int64_t lease, TimePoint asked) -> void;
  auto Renew(TimePoint now) -> void;

  platform::StoreClient& store_;
  std::string holder_;
  std::int64_t lease_ = 0;
  std::uint64_t term_ = 0;
  TimePoint valid_until_{};
  TimePoint next_call_{};
  bool calling_ = false;
  /// Cleared when this object ends; answers may arrive later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobab
