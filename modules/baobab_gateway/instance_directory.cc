#include "baobab_gateway/instance_directory.h"

#include <algorithm>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::gateway {

auto InstanceDirectory::Register(const std::string& instance,
                                 const std::string& address,
                                 const std::string& caller_address) -> void {
  auto& entry = instances_[instance];
  entry.registered_ = true;
  if (!entry.has_reported_) {
    entry.address_ = address;
    entry.caller_address_ = caller_address;
  }
}

auto InstanceDirectory::Unregister(const std::string& instance) -> void {
  const auto found = instances_.find(instance);
  if (found != instances_.end()) {
    found->second.registered_ = false;
  }
}

auto InstanceDirectory::RecordReport(const PeerReport& report, TimePoint now)
    -> bool {
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
  entry.caller_address_ = report.caller_address_;
  entry.incarnation_ = report.incarnation_;
  entry.sequence_ = report.sequence_;
  entry.has_reported_ = true;
  const bool was_healthy = entry.ready_ && entry.store_connected_;
  if (!same_process || !was_healthy ||
      now - entry.last_received_at_ > kSilenceTimeout) {
    entry.healthy_since_ = now;
  }
  entry.cpu_permille_ = report.cpu_permille_;
  entry.ready_ = report.ready_;
  entry.stopping_ = report.stopping_;
  entry.store_connected_ = report.store_connected_;
  entry.last_received_at_ = now;
  entry.fencing_token_ = report.fencing_token_;
  return true;
}

auto InstanceDirectory::RecordLoadUpdate(const LoadUpdate& update,
                                         TimePoint now) -> bool {
  const auto found = instances_.find(update.instance_);
  if (found == instances_.end() || !found->second.has_reported_ ||
      found->second.incarnation_ != update.incarnation_ ||
      update.sequence_ <= found->second.sequence_) {
    return false;
  }
  found->second.sequence_ = update.sequence_;
  found->second.last_received_at_ = now;
  return true;
}

auto InstanceDirectory::Expire(TimePoint now) -> void {
  std::erase_if(instances_, [now](const auto& item) {
    const auto& instance = item.second;
    return !instance.registered_ &&
           now - instance.last_received_at_ > kRemovalTimeout;
  });
}

auto InstanceDirectory::IsWatchingInstance(const std::string& own,
                                           std::uint32_t cpu_permille,
                                           TimePoint now) const -> bool {
  const auto rank = std::pair(cpu_permille, HashKey(own));
  std::size_t higher_ranked = 0;
  for (const auto& [name, instance] : instances_) {
    if (IsHealthy(instance, now) &&
        std::pair(instance.cpu_permille_, HashKey(name)) > rank) {
      ++higher_ranked;
    }
  }
  return higher_ranked < kWatchingInstanceCount;
}

auto InstanceDirectory::HasStrongerPeer(std::uint32_t cpu_permille,
                                        TimePoint now) const -> bool {
  return std::any_of(instances_.begin(), instances_.end(),
                     [cpu_permille, now](const auto& item) {
                       const auto& instance = item.second;
                       return instance.cpu_permille_ > cpu_permille &&
                              IsHealthy(instance, now) &&
                              now - instance.healthy_since_ >= kMinHealthyTime;
                     });
}

auto InstanceDirectory::StoreUnreachableForAllSince(TimePoint now) const
    -> std::optional<TimePoint> {
  std::optional<TimePoint> oldest;
  for (const auto& [name, instance] : instances_) {
    if (!HasRecentReport(instance, now) || instance.store_connected_ ||
        instance.fencing_token_ != 0) {
      return std::nullopt;
    }
    oldest = std::min(oldest.value_or(now), instance.last_received_at_);
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
  std::size_t recently_reporting = 0;
  for (const auto& [name, instance] : instances_) {
    registered += instance.registered_ ? 1 : 0;
    recently_reporting += HasRecentReport(instance, now) ? 1 : 0;
  }
  const bool is_partitioned = recently_reporting * 2 < registered;
  for (const auto& [name, instance] : instances_) {
    if (addresses.size() >= kMaxAddresses || instance.stopping_ ||
        instance.caller_address_.empty()) {
      continue;
    }
    if (HasRecentReport(instance, now)
            ? instance.ready_
            : is_partitioned && instance.registered_) {
      addresses.push_back(instance.caller_address_);
    }
  }
  return addresses;
}

}  // namespace baobab::gateway
