#include "baobab_gateway/crash_evidence.h"

#include <algorithm>
#include <utility>

#include "baobab_base/step_error.h"
#include "baobab_gateway/byte_codec.h"

namespace baobab::gateway {
namespace {

/// First field of every message. Its last character is the version of the
/// encoding.
constexpr std::string_view kEvidenceMagic = "bbc1";
/// Upper bound on an age: sums with it must not overflow.
constexpr Duration kMaxAge = std::chrono::hours(24);

auto WriteAge(ByteWriter& writer, Duration age) -> void {
  writer.WriteUnsigned(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::clamp(age, Duration::zero(), kMaxAge))
          .count()));
}

auto ReadAge(ByteReader& reader) -> Duration {
  return std::min<Duration>(kMaxAge,
                            std::chrono::milliseconds(reader.ReadUint32()));
}

}  // namespace

auto EncodeCrashEvidence(const CrashEvidence& evidence) -> std::string {
  ByteWriter writer;
  writer.WriteString(kEvidenceMagic);
  writer.WriteString(evidence.instance_);
  writer.WriteUnsigned(evidence.parts_.size());
  for (const auto& part : evidence.parts_) {
    writer.WriteUnsigned(part.part_);
    writer.WriteUnsigned(part.begun_age_ ? 1 : 0);
    if (part.begun_age_) {
      WriteAge(writer, *part.begun_age_);
    }
    writer.WriteUnsigned(part.crashes_.size());
    for (const auto& crash : part.crashes_) {
      writer.WriteUnsigned(crash.crash_);
      WriteAge(writer, crash.age_);
    }
  }
  return writer.Take();
}

auto DecodeCrashEvidence(std::string_view bytes)
    -> std::optional<CrashEvidence> {
  try {
    ByteReader reader(bytes);
    if (reader.ReadString() != kEvidenceMagic) {
      return std::nullopt;
    }
    CrashEvidence evidence;
    evidence.instance_ = reader.ReadString();
    for (auto parts = reader.ReadCount(); parts > 0; --parts) {
      PartEvidence part;
      part.part_ = reader.ReadUnsigned();
      if (reader.ReadUnsigned() != 0) {
        part.begun_age_ = ReadAge(reader);
      }
      for (auto crashes = reader.ReadCount(); crashes > 0; --crashes) {
        const auto crash = reader.ReadUint32();
        part.crashes_.push_back({crash, ReadAge(reader)});
      }
      evidence.parts_.push_back(std::move(part));
    }
    return evidence;
  } catch (const StepError&) {
    return std::nullopt;  // PeerLink logs and counts it.
  }
}

}  // namespace baobab::gateway
