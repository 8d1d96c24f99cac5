#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// A crash of a target, of which several instances may know.
struct ObservedCrash {
  /// Hash of the target and its start: the same at every observer.
  std::uint32_t crash_ = 0;
  Duration age_{};
  auto operator==(const ObservedCrash&) const -> bool = default;
};

/// What an instance knows of a prompt part that is under suspicion.
struct PartEvidence {
  std::uint64_t part_ = 0;
  /// Time since a target began to respond to a prompt with the part.
  std::optional<Duration> begun_age_;
  /// Crashes before the target began to respond to a prompt with the part.
  std::vector<ObservedCrash> crashes_;
  auto operator==(const PartEvidence&) const -> bool = default;
};

/// Evidence on prompt parts that crash targets, as instances send it to each
/// other. Each message is complete in itself: it may be lost, duplicated or
/// delayed without harm.
struct CrashEvidence {
  /// Bounds of a message, so that it fits into one datagram without
  /// fragmentation.
  static constexpr std::size_t kMaxParts = 24;
  static constexpr std::size_t kMaxCrashesPerPart = 5;

  std::string instance_;
  std::vector<PartEvidence> parts_;
};

/// Encodes evidence as the payload of a datagram.
[[nodiscard]] auto EncodeCrashEvidence(const CrashEvidence& evidence)
    -> std::string;

/// Decodes evidence. Returns nullopt if `bytes` are not a complete message.
[[nodiscard]] auto DecodeCrashEvidence(std::string_view bytes)
    -> std::optional<CrashEvidence>;

}  // namespace baobab::gateway
