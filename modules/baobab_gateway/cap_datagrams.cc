#include "baobab_gateway/cap_datagrams.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include "baobab_base/step_error.h"
#include "baobab_gateway/byte_codec.h"

namespace baobab::gateway {
namespace {

/// First field of each message. Its last character is the version of the
/// encoding.
constexpr std::string_view kDemandMagic = "bbq1";
constexpr std::string_view kGrantsMagic = "bba1";
/// Encoded units of a share of 1: four bytes at most.
constexpr double kShareScale = 1e8;

auto WriteDown(ByteWriter& writer, double value) -> void {
  writer.WriteUnsigned(static_cast<std::uint64_t>(std::max(0.0, value)));
}

/// Writes a share. A decoded one is encoded as the same number again.
auto WriteShare(ByteWriter& writer, const accounts::CapShare& share) -> void {
  constexpr double kDecodedError = 1e-3;
  WriteDown(writer, share.rate_ * kShareScale + kDecodedError);
  WriteDown(writer, share.size_ * kShareScale + kDecodedError);
}

auto ReadNumber(ByteReader& reader) -> double {
  return static_cast<double>(reader.ReadUnsigned());
}

/// Reads a share, at most 1 each.
auto ReadShare(ByteReader& reader) -> accounts::CapShare {
  accounts::CapShare share;
  share.rate_ = std::min(1.0, ReadNumber(reader) / kShareScale);
  share.size_ = std::min(1.0, ReadNumber(reader) / kShareScale);
  return share;
}

}  // namespace

auto EncodeCapDemand(const accounts::CapDemand& demand) -> std::string {
  ByteWriter writer;
  writer.WriteString(kDemandMagic);
  writer.WriteString(demand.instance_);
  writer.WriteString(demand.address_);
  writer.WriteSigned(demand.incarnation_);
  writer.WriteSigned(demand.sequence_);
  writer.WriteSigned(demand.broker_term_);
  writer.WriteSigned(demand.term_);
  writer.WriteSigned(demand.applied_);
  writer.WriteUnsigned(demand.uses_.size());
  for (const auto& [name, use] : demand.uses_) {
    writer.WriteString(name);
    WriteDown(writer, use.asked_per_second_);
    WriteDown(writer, use.level_);
    WriteDown(writer, std::ceil(use.missing_));
    WriteDown(writer, use.dropped_);
    WriteShare(writer, use.held_);
  }
  return writer.Take();
}

auto DecodeCapDemand(std::string_view bytes)
    -> std::optional<accounts::CapDemand> {
  try {
    ByteReader reader(bytes);
    if (reader.ReadString() != kDemandMagic) {
      return std::nullopt;
    }
    accounts::CapDemand demand;
    demand.instance_ = reader.ReadString();
    demand.address_ = reader.ReadString();
    demand.incarnation_ = reader.ReadSigned();
    demand.sequence_ = reader.ReadSigned();
    demand.broker_term_ = reader.ReadSigned();
    demand.term_ = reader.ReadSigned();
    demand.applied_ = reader.ReadSigned();
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      auto& use = demand.uses_[reader.ReadString()];
      use.asked_per_second_ = ReadNumber(reader);
      use.level_ = ReadNumber(reader);
      use.missing_ = ReadNumber(reader);
      use.dropped_ = ReadNumber(reader);
      use.held_ = ReadShare(reader);
    }
    return demand;
  } catch (const StepError&) {
    return std::nullopt;  // PeerLink logs and counts it.
  }
}

auto EncodeCapGrants(const accounts::CapGrants& grants) -> std::string {
  ByteWriter writer;
  writer.WriteString(kGrantsMagic);
  writer.WriteString(grants.instance_);
  writer.WriteSigned(grants.incarnation_);
  writer.WriteSigned(grants.term_);
  writer.WriteSigned(grants.sequence_);
  writer.WriteSigned(grants.demand_);
  writer.WriteUnsigned(grants.grants_.size());
  for (const auto& [name, grant] : grants.grants_) {
    writer.WriteString(name);
    WriteShare(writer, grant.share_);
    WriteDown(writer, grant.credit_);
  }
  return writer.Take();
}

auto DecodeCapGrants(std::string_view bytes)
    -> std::optional<accounts::CapGrants> {
  try {
    ByteReader reader(bytes);
    if (reader.ReadString() != kGrantsMagic) {
      return std::nullopt;
    }
    accounts::CapGrants grants;
    grants.instance_ = reader.ReadString();
    grants.incarnation_ = reader.ReadSigned();
    grants.term_ = reader.ReadSigned();
    grants.sequence_ = reader.ReadSigned();
    grants.demand_ = reader.ReadSigned();
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      auto& grant = grants.grants_[reader.ReadString()];
      grant.share_ = ReadShare(reader);
      grant.credit_ = ReadNumber(reader);
    }
    return grants;
  } catch (const StepError&) {
    return std::nullopt;  // PeerLink logs and counts it.
  }
}

}  // namespace baobab::gateway
