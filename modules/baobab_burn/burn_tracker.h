#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"
#include "baobab_base/work_kind.h"

namespace baobab::burn {

/// An objective of a contract: at least `target_` of the requests of a kind
/// complete within `latency_`.
struct Objective {
  Duration latency_{};
  double target_ = 0.99;  ///< 0 to 1, exclusive.

  auto operator==(const Objective&) const -> bool = default;
};

/// The customer and work kind that an objective is for.
struct ObjectiveKey {
  CustomerId customer_;
  WorkKind kind_ = WorkKind::kShort;

  auto operator<=>(const ObjectiveKey&) const = default;
};

/// Requests of one minute of wall-clock time.
struct MinuteCount {
  std::int64_t minute_ = 0;  ///< Minutes since the Unix epoch.
  std::uint64_t good_ = 0;
  std::uint64_t bad_ = 0;

  auto operator==(const MinuteCount&) const -> bool = default;
};

/// Counts good and bad requests in one-minute buckets and keeps three days.
///
/// Buckets are numbered by wall-clock time, so that counts of several
/// instances can be added. See BurnReport for rates and alerts.
class BurnTracker {
 public:
  /// Time for which buckets are kept: the longest window of BurnReport.
  static constexpr std::chrono::minutes kRetention = std::chrono::days(3);

  /// Sets or replaces the objective of `key`.
  auto SetObjective(const ObjectiveKey& key, const Objective& objective)
      -> void;

  /// Removes the objectives and counts of `customer`.
  auto RemoveCustomer(const CustomerId& customer) -> void;

  /// Counts a request of `key` that ended at `now`. It is good if `succeeded`
  /// and its latency is within the objective. Requests without an objective
  /// are not counted.
  auto Record(const ObjectiveKey& key, bool succeeded, Duration latency,
              WallTime now) -> void;

  /// Adds a bucket counted by another instance.
  auto Add(const ObjectiveKey& key, const MinuteCount& count) -> void;

  /// Returns the objectives by key.
  [[nodiscard]] auto objectives() const
      -> const std::map<ObjectiveKey, Objective>& {
    return objectives_;
  }

  /// Returns the buckets of `key`, oldest first; empty if there are none.
  [[nodiscard]] auto CountsOf(const ObjectiveKey& key) const
      -> std::vector<MinuteCount>;

 private:
  auto BucketOf(const ObjectiveKey& key, std::int64_t minute) -> MinuteCount*;

  std::map<ObjectiveKey, Objective> objectives_;
  std::map<ObjectiveKey, std::deque<MinuteCount>> counts_;
};

}  // namespace baobab::burn
