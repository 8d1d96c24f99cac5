#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Load that one instance has at one target.
struct TargetLoad {
  std::uint32_t running_ = 0;       ///< Requests sent and not finished.
  std::uint32_t cache_tokens_ = 0;  ///< Cache reserved for prompts and output.
  /// Time for the pending prefill of the running requests, in microseconds. The
  /// full prefill time of a request is counted until its first token.
  std::uint32_t pending_prefill_us_ = 0;
  /// Recent prefill utilization of the target by this instance's prompts, as a
  /// moving average in thousandths.
  std::uint32_t prefill_utilization_permille_ = 0;

  auto operator+=(const TargetLoad& other) -> TargetLoad& {
    running_ += other.running_;
    cache_tokens_ += other.cache_tokens_;
    pending_prefill_us_ += other.pending_prefill_us_;
    prefill_utilization_permille_ += other.prefill_utilization_permille_;
    return *this;
  }
  auto operator-=(const TargetLoad& other) -> TargetLoad& {
    running_ -= other.running_;
    cache_tokens_ -= other.cache_tokens_;
    pending_prefill_us_ -= other.pending_prefill_us_;
    prefill_utilization_permille_ -= other.prefill_utilization_permille_;
    return *this;
  }
  auto operator==(const TargetLoad&) const -> bool = default;
};

/// Load by target id.
using LoadByTarget = std::map<std::string, TargetLoad>;

/// The load that all other instances have at each target, from their last
/// reports.
class PeerLoad {
 public:
  /// Age above which a report is ignored: its sender has stopped or is
  /// partitioned, and most of the load in it has ended.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(1500);

  /// Replaces the report of `peer`, received at `now`.
  auto Update(const std::string& peer, LoadByTarget work, TimePoint now)
      -> void {
    auto& report = reports_[peer];
    Subtract(report.load_);
    for (const auto& [target, item] : work) {
      totals_[target] += item;
    }
    report = {std::move(work), now};
  }

  /// Replaces the load that `peer` reported for one target. Does not change the
  /// age of an earlier report of `peer`.
  auto UpdateTarget(const std::string& peer, const std::string& target,
                    const TargetLoad& work, TimePoint now) -> void {
    const auto [report, is_new] = reports_.try_emplace(peer);
    if (is_new) {
      report->second.received_at_ = now;
    }
    auto& known = report->second.load_[target];
    auto& total = totals_[target];
    total -= known;
    total += work;
    known = work;
  }

  /// Records that the process was suspended for `time`: the reports are older
  /// by this time.
  auto OnSuspended(Duration time) -> void {
    for (auto& [peer, report] : reports_) {
      report.received_at_ -= time;
    }
  }

  /// Removes the reports that are older than kMaxReportAge.
  auto Expire(TimePoint now) -> void {
    std::erase_if(reports_, [this, now](const auto& item) {
      const bool old = now - item.second.received_at_ > kMaxReportAge;
      if (old) {
        Subtract(item.second.load_);
      }
      return old;
    });
  }

  /// Returns true if there is no report of a peer.
  [[nodiscard]] auto is_empty() const -> bool { return reports_.empty(); }

  /// Returns the combined load of all peers at `target`.
  [[nodiscard]] auto At(const std::string& target) const -> TargetLoad {
    const auto found = totals_.find(target);
    return found == totals_.end() ? TargetLoad() : found->second;
  }

 private:
  struct Report {
    LoadByTarget load_;
    TimePoint received_at_{};
  };

  auto Subtract(const LoadByTarget& work) -> void {
    for (const auto& [target, item] : work) {
      const auto found = totals_.find(target);
      found->second -= item;
      if (found->second == TargetLoad()) {
        totals_.erase(found);
      }
    }
  }

  std::map<std::string, Report> reports_;
  // Sum of reports_, updated with each report because every decision reads the
  // load of many targets.
  LoadByTarget totals_;
};

}  // namespace baobab::gateway
