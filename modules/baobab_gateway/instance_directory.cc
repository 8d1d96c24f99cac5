#include "baobab_gateway/instance_directory.h"

#include <algorithm>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::gateway {

auto InstanceDirectory::Register(const std::string& instance,
                                 const std::string& address,
                                 const std::string& callers) -> void {
  auto& entry = instances_[instance];
  entry.registered_ = true;
  if (!entry.heard_) {
    entry.address_ = address;
    entry.callers_ = callers;
  }
}

auto InstanceDirectory::Unregister(const std::string& instance) -> void {
  const auto found = instances_.find(instance);
  if (found != instances_.end()) {
    found->second.registered_ = false;
  }
}

auto InstanceDirectory::Hear(const PeerReport& report, TimePoint now) -> bool {
  auto& entry = instances_[report.instance_];
  const bool same_process = report.incarnation_ == entry.incarnation_;
  if (same_process ? report.sequence_ <= entry.sequence_
                   : report.incarnation_ == entry.previous_incarnation_) {
    return false;
  }
  if (!same_process) {
    entry.previous_incarnation_ = entry.incarnation_;
  }
  entry.address_ = report.address_;
  entry.callers_ = report.callers_;
  entry.incarnation_ = report.incarnation_;
  entry.sequence_ = report.sequence_;
  entry.heard_ = true;
  const bool was_fit = entry.ready_ && entry.store_connected_;
  if (!same_process || !was_fit || now - entry.heard_at_ > kSilence) {
    entry.fit_since_ = now;
  }
  entry.processor_permille_ = report.processor_permille_;
  entry.ready_ = report.ready_;
  entry.stopping_ = report.stopping_;
  entry.store_connected_ = report.store_connected_;
  entry.heard_at_ = now;
  entry.fencing_token_ = report.fencing_token_;
  return true;
}

auto InstanceDirectory::HearUpdate(const WorkUpdate& update, TimePoint now)
    -> bool {
  const auto found = instances_.find(update.instance_);
  if (found == instances_.end() || !found->second.heard_ ||
      found->second.incarnation_ != update.incarnation_ ||
      update.sequence_ <= found->second.sequence_) {
    return false;
  }
  found->second.sequence_ = update.sequence_;
  found->second.heard_at_ = now;
  return true;
}

auto InstanceDirectory::Expire(TimePoint now) -> void {
  std::erase_if(instances_, [now](const auto& item) {
    const auto& instance = item.second;
    return !instance.registered_ && now - instance.heard_at_ > kForget;
  });
}

auto InstanceDirectory::IsReader(const std::string& own,
                                 std::uint32_t processor_permille,
                                 TimePoint now) const -> bool {
  const auto rank = std::pair(processor_permille, HashKey(own));
  std::size_t before = 0;
  for (const auto& [name, instance] : instances_) {
    if (IsFit(instance, now) &&
        std::pair(instance.processor_permille_, HashKey(name)) > rank) {
      ++before;
    }
  }
  return before < kReaders;
}

auto InstanceDirectory::HasStronger(std::uint32_t processor_permille,
                                    TimePoint now) const -> bool {
  return std::any_of(
      instances_.begin(), instances_.end(),
      [processor_permille, now](const auto& item) {
        const auto& instance = item.second;
        return instance.processor_permille_ > processor_permille &&
               IsFit(instance, now) && now - instance.fit_since_ >= kSettled;
      });
}

auto InstanceDirectory::StoreAwayForAllSince(TimePoint now) const
    -> std::optional<TimePoint> {
  std::optional<TimePoint> oldest;
  for (const auto& [name, instance] : instances_) {
    if (!IsHeard(instance, now) || instance.store_connected_ ||
        instance.fencing_token_ != 0) {
      return std::nullopt;
    }
    oldest = std::min(oldest.value_or(now), instance.heard_at_);
  }
  return oldest;
}

auto InstanceDirectory::CallerAddresses(const std::string& own,
                                        TimePoint now) const
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  if (!own.empty()) {
    addresses.push_back(own);
  }
  std::size_t registered = 0;
  std::size_t audible = 0;
  for (const auto& [name, instance] : instances_) {
    registered += instance.registered_ ? 1 : 0;
    audible += IsHeard(instance, now) ? 1 : 0;
  }
  const bool cut_off = audible * 2 < registered;
  for (const auto& [name, instance] : instances_) {
    if (addresses.size() >= kMostAddresses || instance.stopping_ ||
        instance.callers_.empty()) {
      continue;
    }
    if (IsHeard(instance, now) ? instance.ready_
                               : cut_off && instance.registered_) {
      addresses.push_back(instance.callers_);
    }
  }
  return addresses;
}

}  // namespace baobab::gateway
