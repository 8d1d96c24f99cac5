#include "baobab_burn/burn_tracker.h"

#include <algorithm>

namespace baobab::burn {

auto BurnTracker::SetObjective(const ObjectiveKey& key,
                               const Objective& objective) -> void {
  objectives_[key] = objective;
}

auto BurnTracker::RemoveCustomer(const CustomerId& customer) -> void {
  const auto is_customer = [&customer](const auto& entry) {
    return entry.first.customer_ == customer;
  };
  std::erase_if(objectives_, is_customer);
  std::erase_if(counts_, is_customer);
}

auto BurnTracker::Record(const ObjectiveKey& key, bool succeeded,
                         Duration latency, WallTime now) -> void {
  const auto objective = objectives_.find(key);
  if (objective == objectives_.end()) {
    return;
  }
  const auto minute =
      std::chrono::floor<std::chrono::minutes>(now.time_since_epoch()).count();
  if (auto* bucket = BucketOf(key, minute)) {
    const bool good = succeeded && latency <= objective->second.latency_;
    ++(good ? bucket->good_ : bucket->bad_);
  }
}

auto BurnTracker::Add(const ObjectiveKey& key, const MinuteCount& count)
    -> void {
  if (auto* bucket = BucketOf(key, count.minute_)) {
    bucket->good_ += count.good_;
    bucket->bad_ += count.bad_;
  }
}

auto BurnTracker::CountsOf(const ObjectiveKey& key) const
    -> std::vector<MinuteCount> {
  const auto found = counts_.find(key);
  if (found == counts_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

// Returns the bucket of `minute`, or null if it is older than the retention.
auto BurnTracker::BucketOf(const ObjectiveKey& key, std::int64_t minute)
    -> MinuteCount* {
  auto& buckets = counts_[key];
  const auto newest =
      buckets.empty() ? minute : std::max(buckets.back().minute_, minute);
  const auto oldest = newest - kRetention.count() + 1;
  while (!buckets.empty() && buckets.front().minute_ < oldest) {
    buckets.pop_front();
  }
  if (minute < oldest) {
    return nullptr;
  }
  auto place =
      std::lower_bound(buckets.begin(), buckets.end(), minute,
                       [](const MinuteCount& bucket, std::int64_t value) {
                         return bucket.minute_ < value;
                       });
  if (place == buckets.end() || place->minute_ != minute) {
    place = buckets.insert(place, MinuteCount{.minute_ = minute});
  }
  return &*place;
}

}  // namespace baobab::burn
