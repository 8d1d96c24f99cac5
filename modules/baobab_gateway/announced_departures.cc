#include "baobab_gateway/announced_departures.h"

#include <algorithm>
#include <chrono>

namespace baobab::gateway {
namespace {

template <class Key>
auto DropOldest(std::map<Key, WallTime>& statements) -> void {
  statements.erase(std::min_element(statements.begin(), statements.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second < right.second;
                                    }));
}

}  // namespace

auto AnnouncedDepartures::Record(const LeavingStatement& statement) -> void {
  by_target_[statement.target_] = statement.stated_at_;
  by_endpoint_[statement.endpoint_] = statement.stated_at_;
  if (by_target_.size() > kMaxTargets) {
    DropOldest(by_target_);
  }
  if (by_endpoint_.size() > kMaxTargets) {
    DropOldest(by_endpoint_);
  }
}

auto AnnouncedDepartures::RecordRegistration(
    const TargetRegistration& registration) -> void {
  if (registration.start_time_ms_ == 0) {
    return;
  }
  auto& latest = by_target_[registration.id_];
  latest = std::max(
      latest, WallTime(std::chrono::milliseconds(registration.start_time_ms_)));
  if (by_target_.size() > kMaxTargets) {
    DropOldest(by_target_);
  }
}

auto AnnouncedDepartures::IsLeaving(
    const TargetRegistration& registration) const -> bool {
  const WallTime started_at{
      std::chrono::milliseconds(registration.start_time_ms_)};
  const auto target = by_target_.find(registration.id_);
  if (target != by_target_.end() && started_at <= target->second) {
    return true;
  }
  const auto endpoint = by_endpoint_.find(registration.endpoint_);
  return endpoint != by_endpoint_.end() && registration.start_time_ms_ != 0 &&
         started_at <= endpoint->second;
}

}  // namespace baobab::gateway
