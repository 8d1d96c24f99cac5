#include "baobab_gateway/instance_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::gateway {
namespace {

/// Returns the IP address of `endpoint`, "ip:port".
auto HostOf(const std::string& endpoint) -> std::string {
  return endpoint.substr(0, endpoint.rfind(':'));
}

}  // namespace

auto InstanceDirectory::Register(const std::string& instance,
                                 const InstanceRegistration& registration)
    -> void {
  auto& entry = instances_[instance];
  entry.registered_ = true;
  if (!entry.has_reported_) {
    entry.address_ = registration.address_;
    entry.caller_address_ = registration.caller_address_;
    entry.zone_ = registration.zone_;
    entry.cpu_permille_ = registration.cpu_permille_;
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
  entry.store_silent_since_ = StoreSilentSince(report, entry, now);
  entry.store_response_at_ = report.store_response_at_;
  entry.address_ = report.address_;
  entry.caller_address_ = report.caller_address_;
  entry.zone_ = report.zone_;
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
  entry.lacks_key_evidence_ = report.lacks_key_evidence_;
  entry.has_load_ = !report.load_.empty();
  entry.last_received_at_ = now;
  entry.reported_at_ = now;
  entry.fencing_token_ = report.fencing_token_;
  return true;
}

auto InstanceDirectory::StoreSilentSince(const PeerReport& report,
                                         const Instance& known, TimePoint now)
    -> TimePoint {
  const auto since = report.sent_at_
                         ? now - (*report.sent_at_ - report.store_response_at_)
                         : now;
  const bool is_same_process = report.incarnation_ == known.incarnation_;
  const bool was_silent = known.has_reported_ && !known.store_connected_ &&
                          known.fencing_token_ == 0;
  const bool remains_silent =
      is_same_process
          ? report.store_response_at_ == known.store_response_at_
          : was_silent && report.store_response_at_ == Duration::zero() &&
                since - known.reported_at_ <= kMaxRestartTime;
  return report.sent_at_ && remains_silent
             ? std::min(since, known.store_silent_since_)
             : since;
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

auto InstanceDirectory::RecordDigest(const FleetDigest& digest, TimePoint now)
    -> bool {
  if (!RecordReport(digest.coordinator_, now)) {
    return false;
  }
  for (const auto& member : digest.members_) {
    if (member.instance_ == self_.instance_) {
      continue;
    }
    auto& entry = instances_[member.instance_];
    entry.listed_at_ = now;
    if (!entry.has_reported_) {
      entry.address_ = HostOf(member.caller_address_);
      entry.caller_address_ = member.caller_address_;
      entry.zone_ = member.zone_;
      entry.cpu_permille_ = member.cpu_permille_;
    }
  }
  digests_[digest.coordinator_.instance_] = {digest, now};
  return true;
}

auto InstanceDirectory::OnSuspended(Duration time) -> void {
  for (auto& [name, instance] : instances_) {
    instance.last_received_at_ -= time;
    instance.reported_at_ -= time;
    instance.known_since_ -= time;
    instance.healthy_since_ -= time;
    instance.store_silent_since_ -= time;
  }
  for (auto& [name, received] : digests_) {
    received.received_at_ -= time;
  }
  if (alive_before_partition_since_) {
    *alive_before_partition_since_ -= time;
  }
}

auto InstanceDirectory::Expire(TimePoint now) -> void {
  std::erase_if(instances_, [now](const auto& item) {
    const auto& instance = item.second;
    return !instance.registered_ &&
           now - std::max(instance.last_received_at_, instance.listed_at_) >
               kRemovalTimeout;
  });
  std::erase_if(digests_, [now](const auto& item) {
    return now - item.second.received_at_ > kMaxDigestAge;
  });
}

auto InstanceDirectory::Update(const Self& self, TimePoint now) -> void {
  self_ = self;
  for (auto& [name, instance] : instances_) {
    if (instance.known_since_ == TimePoint{}) {
      instance.known_since_ = now;
    }
  }
  if (!IsPartitioned(now)) {
    alive_before_partition_since_.reset();
  } else if (!alive_before_partition_since_) {
    alive_before_partition_since_ = AliveBeforePartitionSince(now);
  }
  UpdateCoordinators(now);
  UpdateEntries(now);
}

auto InstanceDirectory::UpdateCoordinators(TimePoint now) -> void {
  std::vector<CoordinatorElection::Candidate> candidates;
  candidates.reserve(instances_.size() + 1);
  candidates.push_back({self_.instance_,
                        self_.cpu_permille_,
                        HashKey(self_.instance_),
                        {},
                        self_.is_ready_,
                        /*is_self_=*/true});
  for (auto& [name, instance] : instances_) {
    instance.is_coordinator_ = false;
    candidates.push_back(
        {name, instance.cpu_permille_, HashKey(name),
         instance.has_reported_ ? instance.last_received_at_ : TimePoint{},
         instance.ready_ && !instance.stopping_, /*is_self_=*/false});
  }
  bool is_coordinator = false;
  for (const auto& name :
       election_.Select(std::move(candidates), kSilenceTimeout, now)) {
    if (name == self_.instance_) {
      is_coordinator = true;
    } else {
      instances_.at(name).is_coordinator_ = true;
    }
  }
  if (is_coordinator && !is_coordinator_) {
    coordinator_since_ = now;
  }
  is_coordinator_ = is_coordinator;
}

auto InstanceDirectory::UpdateEntries(TimePoint now) -> void {
  digest_holder_.clear();
  if (!HasDigests()) {
    entries_.clear();
  } else {
    const auto* received = FindCurrentDigest(now);
    const bool is_recent =
        received != nullptr && now - received->received_at_ <= kSilenceTimeout;
    if (received != nullptr) {
      for (const auto& member : received->digest_.members_) {
        if (member.holds_order_lease_) {
          digest_holder_ = HostOf(member.caller_address_);
        }
      }
    }
    if (IsSettled(now)) {
      entries_ = SelectFromReports(/*assume_alive=*/false, now);
    } else if (is_recent || (received != nullptr && !is_coordinator_)) {
      entries_.clear();
      for (const auto& member : received->digest_.members_) {
        if (member.is_entry_) {
          entries_.insert(member.instance_);
        }
      }
    } else if (is_coordinator_) {
      entries_ = SelectFromReports(/*assume_alive=*/true, now);
    }
  }
  for (auto& [name, instance] : instances_) {
    instance.is_entry_ = entries_.count(name) > 0;
  }
  if (HasDigests() && IsEntry()) {
    last_entry_at_ = now;
  }
}

auto InstanceDirectory::SelectFromReports(bool assume_alive,
                                          TimePoint now) const
    -> std::set<std::string> {
  const EntrySelectionSettings settings;
  const bool wants_evidence = HasKeyEvidence(now);
  std::vector<EntryCandidate> candidates;
  candidates.reserve(instances_.size() + 1);
  std::vector<std::size_t> recent;  // healthy for less than kMinHealthyTime
  std::map<std::string, std::size_t> established;  // by zone
  const auto add = [&](EntryCandidate candidate, bool is_established) {
    if (candidate.is_available_ && is_established) {
      ++established[candidate.zone_];
    } else if (candidate.is_available_) {
      recent.push_back(candidates.size());
    }
    candidates.push_back(std::move(candidate));
  };
  add({self_.instance_, self_.zone_, self_.cpu_permille_,
       self_.is_ready_ && !self_.caller_address_.empty() &&
           !(wants_evidence && self_.lacks_key_evidence_),
       self_.holds_order_lease_},
      true);
  for (const auto& [name, instance] : instances_) {
    const bool available =
        HasRecentReport(instance, now)
            ? instance.ready_ && !instance.stopping_
            : assume_alive && instance.registered_ && !instance.stopping_;
    add({name, instance.zone_, instance.cpu_permille_,
         available && !instance.caller_address_.empty() &&
             !(wants_evidence && instance.lacks_key_evidence_),
         instance.fencing_token_ != 0},
        entries_.count(name) > 0 ||
            now - instance.healthy_since_ >= kMinHealthyTime);
  }
  for (const auto index : recent) {
    candidates[index].is_available_ =
        established[candidates[index].zone_] < settings.min_per_zone_;
  }
  return SelectEntries(candidates, settings);
}

auto InstanceDirectory::FindCurrentDigest(TimePoint now) const
    -> const ReceivedDigest* {
  const ReceivedDigest* best = nullptr;
  std::tuple<bool, bool, std::uint32_t, std::uint64_t> best_rank{};
  for (const auto& [name, received] : digests_) {
    if (now - received.received_at_ > kMaxDigestAge) {
      continue;
    }
    const std::tuple rank(now - received.received_at_ <= kSilenceTimeout,
                          received.digest_.settled_,
                          received.digest_.coordinator_.cpu_permille_,
                          HashKey(name));
    if (best == nullptr || rank > best_rank) {
      best = &received;
      best_rank = rank;
    }
  }
  return best;
}

auto InstanceDirectory::CurrentDigest(TimePoint now) const
    -> const FleetDigest* {
  const auto* received = FindCurrentDigest(now);
  return received == nullptr ? nullptr : &received->digest_;
}

auto InstanceDirectory::MakeDigest(const PeerReport& header,
                                   TimePoint now) const -> FleetDigest {
  FleetDigest digest;
  digest.coordinator_ = header;
  digest.settled_ = IsSettled(now);
  digest.instance_count_ = static_cast<std::uint32_t>(CountIncludingSelf());
  if (!self_.caller_address_.empty()) {
    digest.members_.push_back({self_.instance_, self_.caller_address_,
                               self_.zone_, self_.cpu_permille_, IsEntry(),
                               is_coordinator_, self_.holds_order_lease_});
  }
  for (const auto& [name, instance] : instances_) {
    const bool holds_lease =
        instance.fencing_token_ != 0 && HasRecentReport(instance, now);
    if (instance.is_entry_ || instance.is_coordinator_ || holds_lease) {
      digest.members_.push_back({name, instance.caller_address_, instance.zone_,
                                 instance.cpu_permille_, instance.is_entry_,
                                 instance.is_coordinator_, holds_lease});
    }
  }
  return digest;
}

auto InstanceDirectory::ReportRecipients(TimePoint now) const
    -> std::vector<const Instance*> {
  const bool to_all = !HasDigests();
  const bool active = IsActive(now);
  std::vector<const Instance*> recipients;
  for (const auto& [name, instance] : instances_) {
    const bool receives_load =
        active && (instance.is_entry_ ||
                   (instance.has_load_ && HasRecentReport(instance, now)));
    if (to_all || receives_load || instance.is_coordinator_ ||
        IsLeaseHolder(instance)) {
      recipients.push_back(&instance);
    }
  }
  return recipients;
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

auto InstanceDirectory::FindStoreOutage(TimePoint now) const
    -> std::optional<StoreOutage> {
  std::optional<StoreOutage> outage;
  for (const auto& [name, instance] : instances_) {
    if (!instance.has_reported_ ||
        now - instance.reported_at_ > kSilenceTimeout ||
        instance.store_connected_ || instance.fencing_token_ != 0) {
      return std::nullopt;
    }
    if (!outage) {
      outage = {instance.store_silent_since_, instance.reported_at_};
    }
    outage->from_ = std::max(outage->from_, instance.store_silent_since_);
    outage->until_ = std::min(outage->until_, instance.reported_at_);
  }
  return outage;
}

auto InstanceDirectory::CallerAddresses(const std::string& own,
                                        const std::string& zone,
                                        TimePoint now) const
    -> std::vector<std::string> {
  if (!HasDigests() || entries_.empty()) {
    return MeshAddresses(own, now);
  }
  std::vector<std::string> addresses;
  std::vector<std::pair<std::uint64_t, std::string>> elsewhere;
  const auto add = [&](const std::string& name, const std::string& address,
                       const std::string& in_zone) {
    if (in_zone == zone) {
      addresses.push_back(address);
    } else {
      // Ordered by a hash that differs by zone, so that callers of different
      // zones are distributed over the others.
      elsewhere.emplace_back(HashKey(name + '/' + zone), address);
    }
  };
  for (const auto& name : entries_) {
    if (name == self_.instance_) {
      if (!own.empty()) {
        add(name, own, self_.zone_);
      }
      continue;
    }
    const auto found = instances_.find(name);
    if (found == instances_.end() || found->second.stopping_ ||
        found->second.caller_address_.empty()) {
      continue;
    }
    add(name, found->second.caller_address_, found->second.zone_);
  }
  // Without an entry instance in the zone, its callers are distributed over all
  // others.
  const auto wanted = addresses.empty() ? kMaxAddresses : kMinAddresses;
  std::sort(elsewhere.begin(), elsewhere.end());
  for (const auto& [hash, address] : elsewhere) {
    if (addresses.size() >= wanted) {
      break;
    }
    addresses.push_back(address);
  }
  const auto* received = FindCurrentDigest(now);
  const bool is_cut_off =
      !is_coordinator_ &&
      (received == nullptr || now - received->received_at_ > kSilenceTimeout);
  if (is_cut_off && !own.empty() &&
      std::find(addresses.begin(), addresses.end(), own) == addresses.end()) {
    addresses.push_back(own);  // the only instance that is certainly alive
  }
  if (addresses.size() > kMaxAddresses) {
    addresses.resize(kMaxAddresses);
  }
  return addresses;
}

auto InstanceDirectory::IsPartitioned(TimePoint now) const -> bool {
  std::size_t registered = 0;
  std::size_t recently_reporting = 0;
  for (const auto& [name, instance] : instances_) {
    registered += instance.registered_ ? 1 : 0;
    recently_reporting += HasRecentReport(instance, now) ? 1 : 0;
  }
  return recently_reporting * 2 < registered;
}

auto InstanceDirectory::AliveBeforePartitionSince(TimePoint now) const
    -> TimePoint {
  if (alive_before_partition_since_) {
    return *alive_before_partition_since_;
  }
  TimePoint last_silenced_at{};
  for (const auto& [name, instance] : instances_) {
    if (!HasRecentReport(instance, now)) {
      last_silenced_at = std::max(last_silenced_at, LastSignAt(instance));
    }
  }
  return last_silenced_at - kSilenceTimeout;
}

auto InstanceDirectory::HasKeyEvidence(TimePoint now) const -> bool {
  return (self_.is_ready_ && !self_.lacks_key_evidence_) ||
         std::any_of(
             instances_.begin(), instances_.end(), [now](const auto& item) {
               const auto& instance = item.second;
               return HasRecentReport(instance, now) && instance.ready_ &&
                      !instance.stopping_ && !instance.lacks_key_evidence_;
             });
}

auto InstanceDirectory::MeshAddresses(const std::string& own,
                                      TimePoint now) const
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  const bool wants_evidence = HasKeyEvidence(now);
  if (!own.empty() && !(wants_evidence && self_.lacks_key_evidence_)) {
    addresses.push_back(own);
  }
  const bool is_partitioned = IsPartitioned(now);
  const auto alive_since = AliveBeforePartitionSince(now);
  for (const auto& [name, instance] : instances_) {
    if (addresses.size() >= kMaxAddresses || instance.stopping_ ||
        instance.caller_address_.empty() ||
        (wants_evidence && instance.lacks_key_evidence_)) {
      continue;
    }
    const bool was_alive = LastSignAt(instance) >= alive_since;
    if (HasRecentReport(instance, now)
            ? instance.ready_
            : is_partitioned && instance.registered_ && was_alive) {
      addresses.push_back(instance.caller_address_);
    }
  }
  return addresses;
}

}  // namespace baobab::gateway
