#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "baobab_accounts/evidence_echo.h"
#include "baobab_gateway/byte_codec.h"
#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/target_load.h"

namespace baobab::gateway {

/// A model or adapter that was loaded on a target, or that was or will soon be
/// unloaded from it. Reported by the order lease holder.
struct LoadedModelChange {
  std::string target_;
  std::string model_;
  std::string adapter_;  ///< Empty if the model itself changed.
  bool removed_ = false;
  auto operator==(const LoadedModelChange&) const -> bool = default;
};

/// State that an instance sends to its peers several times a second.
///
/// Each report is complete in itself, since reports may be lost, duplicated or
/// reordered.
struct PeerReport {
  std::string instance_;
  std::int64_t incarnation_ = 0;  ///< Random, drawn when the process starts.
  std::int64_t sequence_ = 0;     ///< Increases with each datagram sent.
  std::string address_;           ///< IP address of the instance.
  std::string caller_address_;    ///< Address for callers, "ip:port".
  std::string zone_;              ///< Failure domain of the instance.
  bool ready_ = false;            ///< Accepts requests.
  bool stopping_ = false;         ///< Must not be listed for callers.
  std::int64_t manifest_version_ = 0;
  /// Store revision of the last known change that affects routing: a change of
  /// the manifest or of the set of usable targets.
  std::int64_t routing_revision_ = 0;
  /// Time since the sender last read the store. Set only by a watching
  /// instance, which reads the store for its peers.
  std::optional<Duration> store_read_age_;
  /// Time for which the sender has read the store without a pause in which
  /// registrations can expire. Set only together with `store_read_age_` and
  /// `sent_at_`; missing in reports of earlier versions.
  std::optional<Duration> store_reading_time_;
  bool store_connected_ = false;  ///< The store responded recently.
  /// When the report was sent, as the age of the sending process on its steady
  /// clock. Missing in reports of earlier versions.
  std::optional<Duration> sent_at_;
  /// When the store last responded to the sender, on the same clock; zero if it
  /// has not responded to this process. Meaningless without `sent_at_`.
  Duration store_response_at_{};
  /// The instance knows no coordinator; the receiver replies with the digest
  /// that it uses itself.
  bool needs_digest_ = false;
  /// CPU share of the instance in thousandths of a core.
  std::uint32_t cpu_permille_ = 0;
  /// Fencing token of the order lease if the instance holds it, otherwise 0.
  std::int64_t fencing_token_ = 0;
  /// Targets to which the instance, or a holder before it, recently sent
  /// orders, with the time since the last order.
  std::vector<std::pair<std::string, Duration>> recent_orders_;
  /// Rest of the time for which the sender would have to wait for earlier
  /// holders, and the fencing token of its last term (0: none). Meaningless
  /// without `sent_at_`.
  Duration handover_wait_{};
  std::int64_t last_fencing_token_ = 0;
  /// The sender has no evidence that its manifest is the newest, or only
  /// evidence that ends soon, so that it refuses requests with a key.
  bool lacks_key_evidence_ = false;
  /// When the report was sent, on the boot clock of the sender. Set only where
  /// keys are revoked strictly. Meaningless without `sent_at_`.
  std::optional<Duration> stamp_;
  /// Moment on the clock of the receiver for which the sender proves that no
  /// manifest newer than `manifest_version_` had been acknowledged (see
  /// EvidenceEcho). Differs by receiver; see AppendEcho.
  std::optional<accounts::ReportStamp> echo_;
  LoadByTarget load_;
  // Sent only to the order lease holder:
  /// Engine time that the requests need per unit of time, by model.
  std::map<std::string, double> demand_;
  std::vector<MissingAdapter> missing_adapters_;
  std::vector<AdapterUse> adapter_uses_;
  /// Recent changes of the models and adapters that targets have loaded. Set
  /// only by the order lease holder and sent to all peers.
  std::vector<LoadedModelChange> changes_;
};

/// Load of one instance at one target: its requests in progress there.
///
/// Sent to all peers as soon as a long prompt is sent to the target or its
/// prefill ends. Without these updates, instances choose targets based on
/// reports that are up to half a second old, and several instances send long
/// prompts to the same target.
struct LoadUpdate {
  std::string instance_;
  std::int64_t incarnation_ = 0;
  std::int64_t sequence_ = 0;  ///< Numbered together with the reports.
  std::string target_;
  TargetLoad load_;  ///< Load of all its requests there.
};

/// Encodes a load update as the payload of a datagram.
[[nodiscard]] auto EncodeLoadUpdate(const LoadUpdate& update) -> std::string;

/// Decodes a load update. Returns nullopt if `bytes` are not a complete one.
[[nodiscard]] auto DecodeLoadUpdate(std::string_view bytes)
    -> std::optional<LoadUpdate>;

/// Writes the fields of a report that describe its sender: all before `load_`
/// except `recent_orders_` and those of EncodeReportExtension().
auto EncodeReportHeader(ByteWriter& writer, const PeerReport& report) -> void;

/// Reads the fields that EncodeReportHeader wrote. Throws StepError if the
/// bytes end before them. Returns true if the datagram ends with the fields of
/// EncodeReportExtension().
auto DecodeReportHeader(ByteReader& reader, PeerReport& report) -> bool;

/// Writes the fields that were added after the first version of the encoding,
/// at the end of a datagram, where earlier versions ignore them.
auto EncodeReportExtension(ByteWriter& writer, const PeerReport& report)
    -> void;

/// Reads the fields that EncodeReportExtension wrote. Throws StepError if the
/// bytes end before them.
auto DecodeReportExtension(ByteReader& reader, PeerReport& report) -> void;

/// Appends the echo for one receiver to an encoded report or digest with a
/// stamp.
[[nodiscard]] auto AppendEcho(std::string datagram,
                              const accounts::ReportStamp& echo) -> std::string;

/// Encodes a report as the payload of a datagram.
[[nodiscard]] auto EncodePeerReport(const PeerReport& report) -> std::string;

/// Decodes a report. Returns nullopt if `bytes` are not a complete report.
[[nodiscard]] auto DecodePeerReport(std::string_view bytes)
    -> std::optional<PeerReport>;

}  // namespace baobab::gateway
