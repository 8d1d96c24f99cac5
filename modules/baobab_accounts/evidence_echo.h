#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::accounts {

/// Moment at which a process sent a report, on its own boot clock.
struct ReportStamp {
  std::int64_t incarnation_ = 0;  ///< Of the sending process.
  Duration sent_at_{};
  auto operator==(const ReportStamp&) const -> bool = default;
};

/// Passes the evidence of this instance on to its peers, without comparing the
/// clocks of two machines.
///
/// Each report of a peer states its time of sending on the clock of the peer.
/// It was received later than that. What this instance can prove for the time
/// of the receipt, or for some time before it, therefore holds for the stated
/// time, or for that much earlier, however long the report or the answer took.
/// The peer gets the moment back on its own clock.
class EvidenceEcho {
 public:
  /// Records the stamp of a report of the instance at `peer` that was received
  /// at `now`, on the boot clock of this instance.
  auto OnReport(const std::string& peer, const ReportStamp& stamp, Duration now)
      -> void {
    received_[peer] = {stamp, now};
  }

  /// Forgets the peers for which `is_known` returns false.
  template <class Predicate>
  auto KeepOnly(Predicate is_known) -> void {
    std::erase_if(received_, [&is_known](const auto& entry) {
      return !is_known(entry.first);
    });
  }

  /// Returns the latest moment, on the clock of `peer`, for which this instance
  /// can prove what it can prove for `proved_at` on its own boot clock.
  [[nodiscard]] auto MomentFor(const std::string& peer,
                               std::optional<Duration> proved_at) const
      -> std::optional<ReportStamp> {
    const auto found = received_.find(peer);
    if (found == received_.end() || !proved_at) {
      return std::nullopt;
    }
    auto moment = found->second.stamp_;
    moment.sent_at_ -=
        std::max(Duration::zero(), found->second.received_at_ - *proved_at);
    return moment;
  }

 private:
  struct Received {
    ReportStamp stamp_;
    Duration received_at_{};  // boot clock of this instance
  };
  std::map<std::string, Received> received_;
};

}  // namespace baobab::accounts
