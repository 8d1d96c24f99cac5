#include "baobab_gateway/fleet_digest.h"

#include <algorithm>

#include "baobab_base/step_error.h"
#include "baobab_gateway/byte_codec.h"

namespace baobab::gateway {
namespace {

/// First field of every digest. Its last character is the version of the
/// encoding.
constexpr std::string_view kDigestMagic = "bbd1";

constexpr std::uint64_t kEntry = 1;
constexpr std::uint64_t kCoordinator = 2;
constexpr std::uint64_t kOrderLease = 4;

auto EncodeRoles(const DigestMember& member) -> std::uint64_t {
  return (member.is_entry_ ? kEntry : 0U) |
         (member.is_coordinator_ ? kCoordinator : 0U) |
         (member.holds_order_lease_ ? kOrderLease : 0U);
}

/// Returns the zones of `members` without duplicates. Members refer to them by
/// index, since many members share a zone.
auto DistinctZones(const std::vector<DigestMember>& members)
    -> std::vector<std::string> {
  std::vector<std::string> zones;
  zones.reserve(members.size());
  for (const auto& member : members) {
    zones.push_back(member.zone_);
  }
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  return zones;
}

}  // namespace

auto EncodeFleetDigest(const FleetDigest& digest) -> std::string {
  ByteWriter writer;
  writer.WriteString(kDigestMagic);
  EncodeReportHeader(writer, digest.coordinator_);
  writer.WriteUnsigned(digest.settled_ ? 1 : 0);
  writer.WriteUnsigned(digest.instance_count_);
  const auto zones = DistinctZones(digest.members_);
  writer.WriteUnsigned(zones.size());
  for (const auto& zone : zones) {
    writer.WriteString(zone);
  }
  writer.WriteUnsigned(digest.members_.size());
  for (const auto& member : digest.members_) {
    writer.WriteString(member.instance_);
    writer.WriteString(member.caller_address_);
    writer.WriteUnsigned(static_cast<std::uint64_t>(
        std::lower_bound(zones.begin(), zones.end(), member.zone_) -
        zones.begin()));
    writer.WriteUnsigned(member.cpu_permille_);
    writer.WriteUnsigned(EncodeRoles(member));
  }
  writer.WriteSigned(digest.leaving_complete_after_);
  writer.WriteUnsigned(digest.leaving_targets_.size());
  for (const auto& leaving : digest.leaving_targets_) {
    writer.WriteString(leaving.target_);
    writer.WriteSigned(leaving.revision_);
  }
  EncodeReportExtension(writer, digest.coordinator_);
  return writer.Take();
}

auto DecodeFleetDigest(std::string_view bytes) -> std::optional<FleetDigest> {
  try {
    ByteReader reader(bytes);
    if (reader.ReadString() != kDigestMagic) {
      return std::nullopt;
    }
    FleetDigest digest;
    const bool has_extension = DecodeReportHeader(reader, digest.coordinator_);
    digest.settled_ = reader.ReadUnsigned() != 0;
    digest.instance_count_ = reader.ReadUint32();
    std::vector<std::string> zones;
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      zones.push_back(reader.ReadString());
    }
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      DigestMember member;
      member.instance_ = reader.ReadString();
      member.caller_address_ = reader.ReadString();
      const auto zone = reader.ReadUnsigned();
      if (zone >= zones.size()) {
        return std::nullopt;
      }
      member.zone_ = zones[zone];
      member.cpu_permille_ = reader.ReadUint32();
      const auto roles = reader.ReadUnsigned();
      member.is_entry_ = (roles & kEntry) != 0;
      member.is_coordinator_ = (roles & kCoordinator) != 0;
      member.holds_order_lease_ = (roles & kOrderLease) != 0;
      digest.members_.push_back(std::move(member));
    }
    digest.leaving_complete_after_ = reader.ReadSigned();
    for (auto remaining = reader.ReadCount(); remaining > 0; --remaining) {
      LeavingTarget leaving;
      leaving.target_ = reader.ReadString();
      leaving.revision_ = reader.ReadSigned();
      digest.leaving_targets_.push_back(std::move(leaving));
    }
    if (has_extension) {
      DecodeReportExtension(reader, digest.coordinator_);
    }
    return digest;
  } catch (const StepError&) {
    return std::nullopt;  // PeerLink logs and counts it.
  }
}

}  // namespace baobab::gateway
