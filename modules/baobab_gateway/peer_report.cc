#include "baobab_gateway/peer_report.h"

#include <algorithm>

#include "baobab_base/step_error.h"
#include "baobab_gateway/byte_codec.h"

namespace baobab::gateway {
namespace {

/// Begins every report; its last byte changes with the layout.
constexpr std::string_view kMark = "bbr2";
/// Begins every update of work.
constexpr std::string_view kUpdateMark = "bbw2";
/// Demand is sent in thousandths of an engine's time.
constexpr double kDemandScale = 1000;

constexpr std::uint64_t kReady = 1;
constexpr std::uint64_t kStopping = 2;
constexpr std::uint64_t kStoreConnected = 4;
constexpr std::uint64_t kReadsStore = 8;

auto Flags(const PeerReport& report) -> std::uint64_t {
  return (report.ready_ ? kReady : 0U) | (report.stopping_ ? kStopping : 0U) |
         (report.store_connected_ ? kStoreConnected : 0U) |
         (report.store_read_age_ ? kReadsStore : 0U);
}

/// Reads a count that must fit into 32 bits.
auto Count32(ByteReader& reader) -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(reader.Unsigned(), UINT32_MAX));
}

auto DecodeHeader(ByteReader& reader, PeerReport& report) -> void {
  report.instance_ = reader.Text();
  report.incarnation_ = reader.Signed();
  report.sequence_ = reader.Signed();
  report.address_ = reader.Text();
  report.callers_ = reader.Text();
  report.zone_ = reader.Text();
  const auto flags = reader.Unsigned();
  report.ready_ = (flags & kReady) != 0;
  report.stopping_ = (flags & kStopping) != 0;
  report.store_connected_ = (flags & kStoreConnected) != 0;
  report.manifest_version_ = reader.Signed();
  report.important_revision_ = reader.Signed();
  report.fencing_token_ = reader.Signed();
  report.processor_permille_ = Count32(reader);
  if ((flags & kReadsStore) != 0) {
    report.store_read_age_ = Duration(reader.Signed());
  }
}

auto EncodeWork(ByteWriter& writer, const TargetWork& work) -> void {
  writer.Unsigned(work.running_);
  writer.Unsigned(work.cache_tokens_);
  writer.Unsigned(work.prefill_us_);
  writer.Unsigned(work.busy_permille_);
}

auto DecodeWork(ByteReader& reader) -> TargetWork {
  TargetWork work;
  work.running_ = Count32(reader);
  work.cache_tokens_ = Count32(reader);
  work.prefill_us_ = Count32(reader);
  work.busy_permille_ = Count32(reader);
  return work;
}

}  // namespace

auto EncodeWorkUpdate(const WorkUpdate& update) -> std::string {
  ByteWriter writer;
  writer.Text(kUpdateMark);
  writer.Text(update.instance_);
  writer.Signed(update.incarnation_);
  writer.Signed(update.sequence_);
  writer.Text(update.target_);
  EncodeWork(writer, update.work_);
  return writer.Take();
}

auto DecodeWorkUpdate(std::string_view bytes) -> std::optional<WorkUpdate> {
  try {
    ByteReader reader(bytes);
    if (reader.Text() != kUpdateMark) {
      return std::nullopt;
    }
    WorkUpdate update;
    update.instance_ = reader.Text();
    update.incarnation_ = reader.Signed();
    update.sequence_ = reader.Signed();
    update.target_ = reader.Text();
    update.work_ = DecodeWork(reader);
    return update;
  } catch (const StepError&) {
    return std::nullopt;  // The receiver logs and counts it.
  }
}

auto EncodePeerReport(const PeerReport& report) -> std::string {
  ByteWriter writer;
  writer.Text(kMark);
  writer.Text(report.instance_);
  writer.Signed(report.incarnation_);
  writer.Signed(report.sequence_);
  writer.Text(report.address_);
  writer.Text(report.callers_);
  writer.Text(report.zone_);
  writer.Unsigned(Flags(report));
  writer.Signed(report.manifest_version_);
  writer.Signed(report.important_revision_);
  writer.Signed(report.fencing_token_);
  writer.Unsigned(report.processor_permille_);
  if (report.store_read_age_) {
    writer.Signed(report.store_read_age_->count());
  }
  writer.Unsigned(report.work_.size());
  for (const auto& [target, work] : report.work_) {
    writer.Text(target);
    EncodeWork(writer, work);
  }
  writer.Unsigned(report.recent_orders_.size());
  for (const auto& [target, age] : report.recent_orders_) {
    writer.Text(target);
    writer.Signed(age.count());
  }
  writer.Unsigned(report.demand_.size());
  for (const auto& [model, rate] : report.demand_) {
    writer.Text(model);
    writer.Unsigned(static_cast<std::uint64_t>(rate * kDemandScale));
  }
  writer.Unsigned(report.needs_.size());
  for (const auto& need : report.needs_) {
    writer.Text(need.service_);
    writer.Text(need.model_);
    writer.Text(need.adapter_);
    writer.Unsigned(need.waiting_);
  }
  writer.Unsigned(report.uses_.size());
  for (const auto& use : report.uses_) {
    writer.Text(use.target_);
    writer.Text(use.model_);
    writer.Text(use.adapter_);
  }
  writer.Unsigned(report.changes_.size());
  for (const auto& change : report.changes_) {
    writer.Text(change.target_);
    writer.Text(change.model_);
    writer.Text(change.adapter_);
    writer.Unsigned(change.removed_ ? 1 : 0);
  }
  return writer.Take();
}

auto DecodePeerReport(std::string_view bytes) -> std::optional<PeerReport> {
  try {
    ByteReader reader(bytes);
    if (reader.Text() != kMark) {
      return std::nullopt;
    }
    PeerReport report;
    DecodeHeader(reader, report);
    for (auto left = reader.Count(); left > 0; --left) {
      auto target = reader.Text();
      report.work_[std::move(target)] = DecodeWork(reader);
    }
    for (auto left = reader.Count(); left > 0; --left) {
      auto target = reader.Text();
      report.recent_orders_.emplace_back(std::move(target),
                                         Duration(reader.Signed()));
    }
    for (auto left = reader.Count(); left > 0; --left) {
      auto model = reader.Text();
      report.demand_[std::move(model)] =
          static_cast<double>(reader.Unsigned()) / kDemandScale;
    }
    for (auto left = reader.Count(); left > 0; --left) {
      AdapterNeed need;
      need.service_ = reader.Text();
      need.model_ = reader.Text();
      need.adapter_ = reader.Text();
      need.waiting_ = Count32(reader);
      report.needs_.push_back(std::move(need));
    }
    for (auto left = reader.Count(); left > 0; --left) {
      AdapterUse use;
      use.target_ = reader.Text();
      use.model_ = reader.Text();
      use.adapter_ = reader.Text();
      report.uses_.push_back(std::move(use));
    }
    for (auto left = reader.Count(); left > 0; --left) {
      HoldingChange change;
      change.target_ = reader.Text();
      change.model_ = reader.Text();
      change.adapter_ = reader.Text();
      change.removed_ = reader.Unsigned() != 0;
      report.changes_.push_back(std::move(change));
    }
    return report;
  } catch (const StepError&) {
    return std::nullopt;  // The receiver logs and counts it.
  }
}

}  // namespace baobab::gateway
