#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobab_accounts/cap_bounds.h"
#include "baobab_base/time_types.h"
#include "baobab_gateway/retry_ledger.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab::gateway {

/// Addresses and limits of one entry instance.
struct InstanceSettings {
  std::string instance_;  ///< Name of the instance.
  std::string zone_;      ///< Failure domain of the instance.
  std::string region_;
  std::string address_;  ///< IP address of the instance.

  std::optional<TargetEndpoint>
      caller_endpoint_;  ///< Listens for caller requests.
  std::optional<TargetEndpoint>
      readiness_endpoint_;  ///< Listens for readiness checks.
  std::optional<TargetEndpoint>
      control_endpoint_;  ///< Serves metrics, and state to starting peers.
  /// Serves the instance addresses that callers may use.
  std::optional<TargetEndpoint> directory_endpoint_;
  /// UDP port for reports between peers; all instances use the same port.
  std::uint16_t peer_port_ = 0;
  std::vector<TargetEndpoint>
      seed_peers_;  ///< Control endpoints of a few peers.

  TargetEndpoint store_;

  /// CPU share that this instance may use, in thousandths of a core.
  std::uint32_t cpu_permille_ = 1000;

  /// Memory that this instance may use.
  std::size_t memory_bytes_ = std::size_t{160} << 20;
  /// Descriptors that this instance may use.
  std::size_t max_descriptors_ = 4100;

  /// Handover interval: minimum time between the orders of two lease holders.
  Duration order_handover_interval_{};
  /// Time from the stop signal until the process is killed.
  Duration stop_grace_period_{};
  /// How long callers may cache a directory response.
  Duration directory_ttl_{};
  /// Window over which the rate of model loads from the weight store is
  /// limited.
  Duration weight_store_rate_window_{};
  RetryBounds retries_;
  /// Strict revocation: time after the acknowledgement of a manifest that
  /// removes a key in which the last request with that key may be sent. Not set
  /// if the deployment asks for none.
  std::optional<Duration> revocation_time_;
  /// How far the use of an account may exceed its cap.
  accounts::CapBounds cap_bounds_;
};

}  // namespace baobab::gateway
