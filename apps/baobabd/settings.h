#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/log.h"
#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_http/http_server.h"
#include "baobab_targets/target_endpoint.h"

namespace baobab {

/// A target named in the settings.
struct TargetSettings {
  TargetId id_;
  TargetEndpoint endpoint_;
  bool engine_ = true;   ///< False for a plain service.
  std::string service_;  ///< Name of the plain service.
  FailureDomain failure_domain_;
  std::size_t slots_ = 8;         ///< Requests an engine runs at once.
  bool honours_fencing_ = false;  ///< Rejects orders with a stale fence.
  bool verifies_issuer_ = false;  ///< Checks who issued an order.
  auto operator==(const TargetSettings&) const -> bool = default;
};

/// Another daemon named in the settings, used to find the first peers.
struct PeerSettings {
  InstanceId id_;
  TargetEndpoint endpoint_;
  FailureDomain failure_domain_;
  auto operator==(const PeerSettings&) const -> bool = default;
};

/// Sizes of the admission queue.
struct AdmissionSettings {
  std::size_t max_waiting_ = 4096;
  std::size_t max_waiting_per_flow_ = 512;
  /// Completion requests above this many prompt and response tokens, as far
  /// as the request tells, count as long work.
  std::uint64_t long_work_tokens_ = 1024;
  Duration default_deadline_ = std::chrono::seconds(60);
};

/// Everything that a settings file says.
struct Settings {
  InstanceId instance_;
  Region region_;
  FailureDomain failure_domain_;
  LogLevel log_level_ = LogLevel::kInfo;
  TargetEndpoint caller_address_;
  HttpLimits caller_limits_;
  Duration entry_max_age_ = std::chrono::seconds(10);
  TargetEndpoint admin_address_;
  TargetEndpoint peer_address_;  ///< Port 0 and no host if there are no peers.
  std::vector<PeerSettings> peers_;
  std::vector<TargetEndpoint> store_;  ///< Configuration service.
  Duration store_timeout_ = std::chrono::seconds(1);
  std::vector<TargetEndpoint> instance_list_;
  Duration instance_list_interval_ = std::chrono::seconds(2);
  AdmissionSettings admission_;
  Duration connect_timeout_ = std::chrono::seconds(1);
  Duration send_timeout_ = std::chrono::seconds(5);
  Duration head_timeout_ = std::chrono::seconds(60);
  Duration body_timeout_ = std::chrono::seconds(30);
  Duration report_interval_ = std::chrono::seconds(1);
  /// Longest usual pause between tokens; after three a stream is silent.
  Duration stream_interval_ = std::chrono::seconds(1);
  std::size_t idle_connections_ = 32;  ///< Per target.
  Duration drain_timeout_ = std::chrono::seconds(150);
  std::vector<TargetSettings> targets_;
};

/// Settings, or every error as "file:line: key: reason".
struct SettingsResult {
  Settings settings_;
  std::vector<std::string> errors_;
};

/// Parses the TOML text of `file`. The file itself is not read.
[[nodiscard]] auto ParseSettings(std::string_view text, const std::string& file)
    -> SettingsResult;

/// Reads and parses `file`.
[[nodiscard]] auto LoadSettings(const std::string& file) -> SettingsResult;

/// Returns the keys that differ and that a running daemon cannot change.
[[nodiscard]] auto KeysThatNeedRestart(const Settings& running,
                                       const Settings& changed)
    -> std::vector<std::string>;

/// Describes every key with type, range, unit and default, for --help.
[[nodiscard]] auto DescribeSettings() -> std::string;

}  // namespace baobab
