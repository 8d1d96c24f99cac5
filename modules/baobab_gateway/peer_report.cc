#include "baobab_gateway/peer_report.h"

#include "baobab_base/step_error.h"
#include "baobab_gateway/byte_codec.h"

namespace baobab::gateway {
namespace {

/// First field of every report. Its last character is the version of the
/// encoding.
constexpr std::string_view kReportMagic = "bbr2";
/// First field of every load update.
constexpr std::string_view kLoadUpdateMagic = "bbw2";
/// Number of encoded units of demand per engine: demand is encoded in
/// thousandths of the time of one engine.
constexpr double kDemandScale = 1000;

constexpr std::uint64_t kReady = 1;
constexpr std::uint64_t kStopping = 2;
constexpr std::uint64_t kStoreConnected = 4;
constexpr std::uint64_t kHasStoreReadAge = 8;
constexpr std::uint64_t kNeedsDigest = 16;
constexpr std::uint64_t kHasExtension = 32;
constexpr std::uint64_t kLacksKeyEvidence = 64;

auto EncodeFlags(const PeerReport& report) -> std::uint64_t {
  return (report.ready_ ? kReady : 0U) | (report.stopping_ ? kStopping : 0U) |
         (report.store_connected_ ? kStoreConnected : 0U) |
         (report.store_read_age_ ? kHasStoreReadAge : 0U) |
         (report.needs_digest_ ? kNeedsDigest : 0U) |
         (report.sent_at_ ? kHasExtension : 0U) |
         (report.lacks_key_evidence_ ? kLacksKeyEvidence : 0U);
}

auto EncodeLoad(ByteWriter& writer, const TargetLoad& load) -> void {
  writer.WriteUnsigned(load.running_);
  writer.WriteUnsigned(load.cache_tokens_);
  writer.WriteUnsigned(load.pending_prefill_us_);
  writer.WriteUnsigned(load.prefill_utilization_permille_);
}

auto DecodeLoad(ByteReader& reader) -> TargetLoad {
  TargetLoad load;
  load.running_ = reader.ReadUint32();
  load.cache_tokens_ = reader.ReadUint32();
  load.pending_prefill_us_ = reader.ReadUint32();
  load.prefill_utilization_permille_ = reader.ReadUint32();
  return load;
}

}  // namespace

auto EncodeReportHeader(ByteWriter& writer, const PeerReport& report) -> void {
  writer.WriteString(report.instance_);
  writer.WriteSigned(report.incarnation_);
  writer.WriteSigned(report.sequence_);
  writer.WriteString(report.address_);
  writer.WriteString(report.caller_address_);
  writer.WriteString(report.zone_);
  writer.WriteUnsigned(EncodeFlags(report));
  writer.WriteSigned(report.manifest_version_);
  writer.WriteSigned(report.routing_revision_);
  writer.WriteSigned(report.fencing_token_);
  writer.WriteUnsigned(report.cpu_permille_);
  if (report.store_read_age_) {
    writer.WriteSigned(report.store_read_age_->count());
  }
}

auto DecodeReportHeader(ByteReader& reader, PeerReport& report) -> bool {
  report.instance_ = reader.ReadString();
  report.incarnation_ = reader.ReadSigned();
  report.sequence_ = reader.ReadSigned();
  report.address_ = reader.ReadString();
  report.caller_address_ = reader.ReadString();
  report.zone_ = reader.ReadString();
  const auto flags = reader.ReadUnsigned();
  report.ready_ = (flags & kReady) != 0;
  report.stopping_ = (flags & kStopping) != 0;
  report.store_connected_ = (flags & kStoreConnected) != 0;
  report.needs_digest_ = (flags & kNeedsDigest) != 0;
  report.lacks_key_evidence_ = (flags & kLacksKeyEvidence) != 0;
  report.manifest_version_ = reader.ReadSigned();
  report.routing_revision_ = reader.ReadSigned();
  report.fencing_token_ = reader.ReadSigned();
  report.cpu_permille_ = reader.ReadUint32();
  if ((flags & kHasStoreReadAge) != 0) {
    report.store_read_age_ = Duration(reader.ReadSigned());
  }
  return (flags & kHasExtension) != 0;
}

auto EncodeReportExtension(ByteWriter& writer, const PeerReport& report)
    -> void {
  if (report.sent_at_) {
    writer.WriteSigned(report.sent_at_->count());
    writer.WriteSigned(report.store_response_at_.count());
    writer.WriteSigned(report.handover_wait_.count());
    writer.WriteSigned(report.last_fencing_token_);
    if (report.stamp_) {
      writer.WriteSigned(report.stamp_->count());
    }
  }
}

auto DecodeReportExtension(ByteReader& reader, PeerReport& report) -> void {
  report.sent_at_ = Duration(reader.ReadSigned());
  report.store_response_at_ = Duration(reader.ReadSigned());
  report.handover_wait_ = Duration(reader.ReadSigned());
  report.last_fencing_token_ = reader.ReadSigned();
  if (!reader.is_at_end()) {
    report.stamp_ = Duration(reader.ReadSigned());
  }
  if (!reader.is_at_end()) {
    auto& echo = report.echo_.emplace();
    echo.incarnation_ = reader.ReadSigned();
    echo.sent_at_ = Duration(reader.ReadSigned());
  }
}

auto AppendEcho(std::string datagram, const accounts::ReportStamp& echo)
    -> std::string {
  ByteWriter writer;
  writer.WriteSigned(echo.incarnation_);
  writer.WriteSigned(echo.sent_at_.count());
  return std::move(datagram) + writer.Take();
}

auto EncodeLoadUpdate(const LoadUpdate& update) -> std::string {
  ByteWriter writer;
  writer.WriteString(kLoadUpdateMagic);
  writer.WriteString(update.instance_);
  writer.WriteSigned(update.incarnation_);
  writer.WriteSigned(update.sequence_);
  writer.WriteString(update.target_);
  EncodeLoad(writer, update.load_);
  return writer.Take();
}

auto DecodeLoadUpdate(std::string_view bytes) -> std::optional<LoadUpdate> {
  try {
    ByteReader reader(bytes);
    if (reader.ReadString() != kLoadUpdateMagic) {
      return std::nullopt;
    }
    LoadUpdate update;
    update.instance_ = reader.ReadString();
    update.incarnation_ = reader.ReadSigned();
    update.sequence_ = reader.ReadSigned();
    update.target_ = reader.ReadString();
    update.load_ = DecodeLoad(reader);
    return update;
  } catch (const StepError&) {
    return std::nullopt;  // PeerLink logs and counts it.
  }
}

auto EncodePeerReport(const PeerReport& report) -> std::string {
  ByteWriter writer;
  writer.WriteString(kReportMagic);
  EncodeReportHeader(writer, report);
  writer.WriteUnsigned(report.load_.size());
  for (const auto& [target, load] : report.load_) {
    writer.WriteString(target);
    EncodeLoad(writer, load);
  }
  writer.WriteUnsigned(report.recent_orders_.size());
  for (const auto& [target, age] : report.recent_orders_) {
    writer.WriteString(target);
    writer.WriteSigned(age.count());
  }
  writer.WriteUnsigned(report.demand_.size());
  for (const auto& [model, rate] : report.demand_) {
    writer.WriteString(model);
    writer.WriteUnsigned(static_cast<std::uint64_t>(rate * kDemandScale));
  }
  writer.WriteUnsigned(report.missing_adapters_.size());
  for (const auto& missing : report.missing_adapters_) {
    writer.WriteString(missing.service_);
    writer.WriteString(missing.model_);
    writer.WriteString(missing.adapter_);
    writer.WriteUnsigned(missing.waiting_);
  }
  writer.WriteUnsigned(report.adapter_uses_.size());
  for (const auto& use : report.adapter_uses_) {
    writer.WriteString(use.target_);
    writer.WriteString(use.model_);
    writer.WriteString(use.adapter_);
  }
  writer.WriteUnsigned(report.changes_.size());
  for (const auto& change : report.changes_) {
    writer.WriteString(change.target_);
    writer.WriteString(change.model_);
    writer.WriteString(change.adapter_);
    writer.WriteUnsigned(change.removed_ ? 1 : 0);
  }
  EncodeReportExtension(writer, report);
  return writer.Take();
}

auto DecodePeerReport(std::string_view bytes) -> std::optional<PeerReport> {
  try {
    ByteReader reader(bytes);
    if (reader.ReadString() != kReportMagic) {
      return std::nullopt;
    }
    PeerReport report;
    const bool has_extension = DecodeReportHeader(reader, report);
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      auto target = reader.ReadString();
      report.load_[std::move(target)] = DecodeLoad(reader);
    }
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      auto target = reader.ReadString();
      report.recent_orders_.emplace_back(std::move(target),
                                         Duration(reader.ReadSigned()));
    }
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      auto model = reader.ReadString();
      report.demand_[std::move(model)] =
          static_cast<double>(reader.ReadUnsigned()) / kDemandScale;
    }
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      MissingAdapter missing;
      missing.service_ = reader.ReadString();
      missing.model_ = reader.ReadString();
      missing.adapter_ = reader.ReadString();
      missing.waiting_ = reader.ReadUint32();
      report.missing_adapters_.push_back(std::move(missing));
    }
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      AdapterUse use;
      use.target_ = reader.ReadString();
      use.model_ = reader.ReadString();
      use.adapter_ = reader.ReadString();
      report.adapter_uses_.push_back(std::move(use));
    }
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      LoadedModelChange change;
      change.target_ = reader.ReadString();
      change.model_ = reader.ReadString();
      change.adapter_ = reader.ReadString();
      change.removed_ = reader.ReadUnsigned() != 0;
      report.changes_.push_back(std::move(change));
    }
    if (has_extension) {
      DecodeReportExtension(reader, report);
    }
    return report;
  } catch (const StepError&) {
    return std::nullopt;  // PeerLink logs and counts it.
  }
}

}  // namespace baobab::gateway
