#pragma once

#include <algorithm>
#include <cstddef>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Intervals of the datagrams between instances, by the size of the fleet.
///
/// Bounds the datagrams that an instance sends and receives per second at any
/// size of the fleet. InstanceDirectory::kSilenceTimeout must be more than
/// twice each interval.
class ReportIntervals {
 public:
  /// Interval of the reports of an active instance to a few peers.
  static constexpr Duration kReport = std::chrono::milliseconds(100);
  /// Added to that interval for each recipient, so that reports take less than
  /// about 2% of a quarter core.
  static constexpr Duration kReportPerRecipient = std::chrono::milliseconds(6);
  /// Upper bound on the interval of reports.
  static constexpr Duration kMaxReport = std::chrono::milliseconds(600);
  /// Interval of the reports of a standby to the coordinators. With 360
  /// instances, a coordinator receives 720 of them per second.
  static constexpr Duration kStandbyReport = std::chrono::milliseconds(500);
  /// Interval of digests in a fleet of few instances, and the time added for
  /// each instance.
  static constexpr Duration kDigest = std::chrono::milliseconds(300);
  static constexpr Duration kDigestPerInstance = std::chrono::microseconds(400);
  /// Upper bound on the interval of digests.
  static constexpr Duration kMaxDigest = std::chrono::milliseconds(600);

  /// Minimum interval of messages with evidence on prompt parts, and the time
  /// added for each recipient: with 360 instances, a coordinator that relays
  /// evidence sends fewer than 800 of them per second.
  static constexpr Duration kEvidence = std::chrono::milliseconds(100);
  static constexpr Duration kEvidencePerRecipient =
      std::chrono::milliseconds(1);
  /// Interval at which evidence that peers may have missed is repeated.
  static constexpr Duration kEvidenceRepeat = std::chrono::seconds(1);

  /// Returns the minimum interval of messages with new evidence that go to
  /// `recipients` instances.
  [[nodiscard]] static auto Evidence(std::size_t recipients) -> Duration {
    return kEvidence + kEvidencePerRecipient * static_cast<int>(recipients);
  }
  /// Returns the interval of the reports of an active instance that sends each
  /// to `recipients` peers.
  [[nodiscard]] static auto Report(std::size_t recipients) -> Duration {
    return std::min(kMaxReport, kReport + kReportPerRecipient *
                                              static_cast<int>(recipients));
  }
  /// Returns the interval at which a coordinator sends digests to each of
  /// `instances` instances.
  [[nodiscard]] static auto Digest(std::size_t instances) -> Duration {
    return std::min(kMaxDigest,
                    kDigest + kDigestPerInstance * static_cast<int>(instances));
  }
};

}  // namespace baobab::gateway
