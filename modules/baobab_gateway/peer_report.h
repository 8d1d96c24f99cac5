#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/target_load.h"

namespace baobab::gateway {

/// A change of what a target holds, told by the holder of orders.
struct HoldingChange {
  std::string target_;
  std::string model_;
  std::string adapter_;  ///< Empty: the model itself.
  bool removed_ = false;
  auto operator==(const HoldingChange&) const -> bool = default;
};

/// What an instance tells its peers several times a second. Each report stands
/// alone: reports may be lost, repeated or arrive out of order.
struct PeerReport {
  std::string instance_;
  std::int64_t incarnation_ = 0;  ///< Drawn at random by each process.
  std::int64_t sequence_ = 0;     ///< Rises with each report of a process.
  std::string address_;           ///< IP address of the instance.
  std::string caller_address_;    ///< Address for callers, "ip:port".
  std::string zone_;
  bool ready_ = false;     ///< Serves requests.
  bool stopping_ = false;  ///< Must get no new callers.
  std::int64_t manifest_version_ = 0;
  /// Store revision of the last change that decides where requests may go.
  std::int64_t routing_revision_ = 0;
  /// Time since it has read the store, if it does so for others.
  std::optional<Duration> store_read_age_;
  bool store_connected_ = false;  ///< Its last call to the store succeeded.
  /// Processor that it may use, in thousandths of a core.
  std::uint32_t processor_permille_ = 0;
  /// Fencing token, if it holds the right to give orders; else 0.
  std::int64_t fencing_token_ = 0;
  /// Targets to which it gave orders of late, and the time since then.
  std::vector<std::pair<std::string, Duration>> recent_orders_;
  WorkByTarget load_;
  // For the holder of orders only:
  std::map<std::string, double> demand_;  ///< Engine time per time, by model.
  std::vector<AdapterNeed> needs_;
  std::vector<AdapterUse> adapter_uses_;
  std::vector<HoldingChange> changes_;  ///< Recent ones, from the holder only.
};

/// What one instance has in progress at one target, sent to all peers as soon
/// as a long prompt is sent there or was read. Answers instances that choose by
/// reports half a second old and send several long prompts to one target.
struct WorkUpdate {
  std::string instance_;
  std::int64_t incarnation_ = 0;
  std::int64_t sequence_ = 0;  ///< Counts on with those of the reports.
  std::string target_;
  TargetWork load_;  ///< All that the instance has in progress there.
};

/// Writes an update as bytes.
[[nodiscard]] auto EncodeWorkUpdate(const WorkUpdate& update) -> std::string;

/// Reads an update. Returns nothing if it is not one.
[[nodiscard]] auto DecodeWorkUpdate(std::string_view bytes)
    -> std::optional<WorkUpdate>;

/// Writes a report as bytes.
[[nodiscard]] auto EncodePeerReport(const PeerReport& report) -> std::string;

/// Reads a report. Returns nothing if it is not one.
[[nodiscard]] auto DecodePeerReport(std::string_view bytes)
    -> std::optional<PeerReport>;

}  // namespace baobab::gateway
