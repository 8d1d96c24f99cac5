#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/retry_ledger.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab::gateway {

/// Where and under which bounds one entry instance runs.
struct InstanceSettings {
  std::string instance_;  ///< Name of the instance.
  std::string zone_;      ///< Its failure domain.
  std::string region_;
  std::string address_;  ///< IP address of the instance.

  std::optional<TargetEndpoint> callers_;    ///< Requests of callers.
  std::optional<TargetEndpoint> readiness_;  ///< Readiness checks.
  std::optional<TargetEndpoint> control_;    ///< State for starting peers.
  std::optional<TargetEndpoint> directory_;  ///< Which addresses to use.
  std::uint16_t peer_port_ = 0;        ///< UDP; the same on all instances.
  std::vector<TargetEndpoint> seeds_;  ///< Control addresses of a few peers.

  TargetEndpoint store_;

  /// Processor that this instance may use, in thousandths of a core.
  std::uint32_t processor_permille_ = 1000;

  Duration order_turn_{};  ///< Time between orders of two holders.
  Duration
      stop_grace_{};  ///< From the stop signal until the process is killed.
  Duration directory_age_{};  ///< Longest time that callers keep an answer.
  Duration load_window_{};    ///< Window over which loads are limited.
  RetryBounds retries_;
};

}  // namespace baobab::gateway
