#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Work that one instance has in progress at one target.
struct TargetWork {
  std::uint32_t running_ = 0;       ///< Requests sent and not finished.
  std::uint32_t cache_tokens_ = 0;  ///< Their prompt and expected output.
  /// Time that reading their unread prompts takes, in microseconds.
  std::uint32_t prefill_us_ = 0;
  /// Share of time that reading prompts took of late, in thousandths.
  std::uint32_t busy_permille_ = 0;

  auto operator+=(const TargetWork& other) -> TargetWork& {
    running_ += other.running_;
    cache_tokens_ += other.cache_tokens_;
    prefill_us_ += other.prefill_us_;
    busy_permille_ += other.busy_permille_;
    return *this;
  }
  auto operator-=(const TargetWork& other) -> TargetWork& {
    running_ -= other.running_;
    cache_tokens_ -= other.cache_tokens_;
    prefill_us_ -= other.prefill_us_;
    busy_permille_ -= other.busy_permille_;
    return *this;
  }
  auto operator==(const TargetWork&) const -> bool = default;
};

/// Work in progress by target id.
using WorkByTarget = std::map<std::string, TargetWork>;

/// The work of all other instances, from their last reports.
class PeerLoad {
 public:
  /// A report older than this no longer counts: its sender is gone or cut off,
  /// and most of the work in it has ended.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(1500);

  /// Replaces the report of `peer`.
  auto Update(const std::string& peer, WorkByTarget work, TimePoint now)
      -> void {
    auto& report = reports_[peer];
    Subtract(report.work_);
    for (const auto& [target, item] : work) {
      totals_[target] += item;
    }
    report = {std::move(work), now};
  }

  /// Replaces what `peer` reported of one target.
  auto UpdateTarget(const std::string& peer, const std::string& target,
                    const TargetWork& work, TimePoint now) -> void {
    const auto [report, is_new] = reports_.try_emplace(peer);
    if (is_new) {
      report->second.at_ = now;
    }
    auto& known = report->second.work_[target];
    auto& total = totals_[target];
    total -= known;
    total += work;
    known = work;
  }

  /// Forgets the reports that are too old.
  auto Expire(TimePoint now) -> void {
    std::erase_if(reports_, [this, now](const auto& item) {
      const bool old = now - item.second.at_ > kMaxReportAge;
      if (old) {
        Subtract(item.second.work_);
      }
      return old;
    });
  }

  /// Returns true if no peer has reported lately.
  [[nodiscard]] auto is_empty() const -> bool { return reports_.empty(); }

  /// Returns the work of all peers at `target`.
  [[nodiscard]] auto At(const std::string& target) const -> TargetWork {
    const auto found = totals_.find(target);
    return found == totals_.end() ? TargetWork() : found->second;
  }

 private:
  struct Report {
    WorkByTarget work_;
    TimePoint at_{};
  };

  auto Subtract(const WorkByTarget& work) -> void {
    for (const auto& [target, item] : work) {
      const auto found = totals_.find(target);
      found->second -= item;
      if (found->second == TargetWork()) {
        totals_.erase(found);
      }
    }
  }

  std::map<std::string, Report> reports_;
  WorkByTarget totals_;  // of all reports; read for each target of a decision
};

}  // namespace baobab::gateway
