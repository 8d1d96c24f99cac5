#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "admin_client.h"
#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"

namespace baobab::ctl {

/// A contract as it is active on one instance.
struct ActiveContract {
  std::string customer_;
  Revision revision_ = 0;         ///< Zero: none is active.
  Revision newest_revision_ = 0;  ///< Known, but faulty if it differs.
  bool deleted_ = false;
  std::string author_;
  WallTime written_at_{};
  std::string note_;
};

/// What one daemon says of itself in `/admin/status`.
struct DaemonStatus {
  std::string instance_;
  std::string state_;
  std::string failure_domain_;
  std::int64_t uptime_ms_ = 0;
  std::int64_t waiting_ = 0;
  std::int64_t running_ = 0;
  bool stale_ = false;  ///< Its contracts may be out of date.
  std::vector<ActiveContract> contracts_;
};

/// Reads the answer of `/admin/status`; nothing if it is malformed.
[[nodiscard]] auto ParseDaemonStatus(std::string_view body)
    -> std::optional<DaemonStatus>;

/// One revision of a contract and the instances on which it is active.
struct ContractSpread {
  ActiveContract contract_;
  std::vector<std::string> instances_;
};

/// Groups the contracts of all daemons by customer and revision.
[[nodiscard]] auto GroupContracts(const std::vector<DaemonStatus>& daemons)
    -> std::vector<ContractSpread>;

}  // namespace baobab::ctl
