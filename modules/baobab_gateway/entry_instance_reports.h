#pragma once

// Members of EntryInstance that send reports to peers and handle received ones.

#include "baobab_gateway/entry_instance.h"

namespace baobab::gateway {

template <class Platform>
auto EntryInstance<Platform>::OnPeerReport(const PeerReport& report) -> void {
  const auto now = Now();
  if (report.instance_ == settings_.instance_ ||
      !directory_.RecordReport(report, now)) {
    return;
  }
  OnYoungPeer(report, now);
  auto& dispatcher = gateway_.dispatcher();
  dispatcher.OnPeerLoad(report.instance_, report.load_, now);
  for (const auto& change : report.changes_) {
    ApplyChange(change);
  }
  ApplyReportHeader(report, now);
  // Reports of earlier versions do not tell whether their sender had to wait.
  if (report.fencing_token_ == 0 && report.sent_at_) {
    holder_.OnPeerNotHolder({OwnerId(report.instance_, report.incarnation_),
                             report.last_fencing_token_, report.handover_wait_,
                             report.recent_orders_});
  }
  if (report.needs_digest_) {
    if (const auto* digest = directory_.CurrentDigest(now)) {
      auto relayed = *digest;
      // The age at which the coordinator stated it has passed.
      relayed.coordinator_.store_read_age_.reset();
      relayed.coordinator_.sent_at_.reset();
      peers_.Send(report.address_, EncodeFleetDigest(relayed));
    }
  }
  if (directory_.IsCoordinator() && report.stopping_ &&
      digest_entries_.count(report.instance_) > 0) {
    urgent_report_to_all_ = true;
    ScheduleUrgentReport(kUrgentReportDelay);
  }
  if (holder_.fencing_token() != 0) {
    holder_.planner().OnPeerDemand(report.instance_, report.demand_,
                                   report.missing_adapters_,
                                   report.adapter_uses_, now);
  }
  if (!report.missing_adapters_.empty() && holder_.fencing_token() != 0) {
    for (const auto& missing : report.missing_adapters_) {
      requesters_.OnAdapterRequested(missing.model_, missing.adapter_,
                                     report.address_, now);
    }
    holder_.RunPlanner();
    // A target may have loaded the adapter already.
    ScheduleUrgentReport(kUrgentReportDelay);
  }
  if (!report.changes_.empty() && dispatcher.waiting() > 0) {
    gateway_.Dispatch();
  }
}

template <class Platform>
auto EntryInstance<Platform>::ApplyReportHeader(const PeerReport& report,
                                                TimePoint now) -> void {
  sync_.OnPeerRevision(
      report.routing_revision_,
      report.store_read_age_
          ? std::optional(now - *report.store_read_age_ - kMaxReportDelay)
          : std::nullopt);
  if (report.store_read_age_ && report.store_reading_time_) {
    const auto read_at = now - *report.store_read_age_ - kMaxReportDelay;
    sync_.OnPeerReads(read_at - *report.store_reading_time_, read_at);
  }
  sync_.OnPeerManifestVersion(report.manifest_version_);
  if (sync_.NeedsPeerManifest(report.manifest_version_)) {
    RequestRecentState(report.address_);
  }
  ApplyKeyEvidence(report);
  holder_.OnPeerHolder(report.fencing_token_);
}

template <class Platform>
auto EntryInstance<Platform>::OnDigest(const FleetDigest& digest) -> void {
  const auto now = Now();
  const auto& coordinator = digest.coordinator_;
  if (coordinator.instance_ == settings_.instance_ ||
      !directory_.RecordDigest(digest, now)) {
    return;
  }
  ApplyReportHeader(coordinator, now);
  // One coordinator that does not reach the store may be partitioned from it.
  const bool outage = !directory_.CoordinatorReachesStore(now);
  if (!std::exchange(outage_reported_, outage) && outage &&
      registration_lease_ != 0) {
    ScheduleRegistration(Duration::zero());
  }
  sync_.OnLeavingTargets(
      digest.leaving_targets_, digest.leaving_complete_after_,
      coordinator.store_read_age_
          ? std::optional(now - *coordinator.store_read_age_ - kMaxReportDelay)
          : std::nullopt);
}

template <class Platform>
auto EntryInstance<Platform>::OnPeerLoadUpdate(const LoadUpdate& update)
    -> void {
  const auto now = Now();
  if (update.instance_ != settings_.instance_ &&
      directory_.RecordLoadUpdate(update, now)) {
    gateway_.dispatcher().OnPeerTargetLoad(update.instance_, update.target_,
                                           update.load_, now);
  }
}

template <class Platform>
auto EntryInstance<Platform>::OnCrashEvidence(const CrashEvidence& evidence)
    -> void {
  if (evidence.instance_ == settings_.instance_) {
    return;
  }
  auto& detector = gateway_.dispatcher().poison_parts();
  detector.Merge(evidence, Now());
  if (!detector.TakeRelayedNews()) {
    return;
  }
  if (directory_.HasDigests() && directory_.IsCoordinator()) {
    ScheduleEvidence();
  }
  gateway_.Dispatch();
}

template <class Platform>
auto EntryInstance<Platform>::EvidenceRecipients(TimePoint now) const
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  if (directory_.HasDigests() && directory_.IsCoordinator()) {
    for (const auto& [name, instance] : directory_.instances()) {
      addresses.push_back(instance.address_);
    }
    return addresses;
  }
  for (const auto* instance : directory_.ReportRecipients(now)) {
    addresses.push_back(instance->address_);
  }
  return addresses;
}

template <class Platform>
auto EntryInstance<Platform>::ScheduleEvidence() -> void {
  if (evidence_pending_) {
    return;
  }
  evidence_pending_ = true;
  const auto now = Now();
  const auto due = evidence_sent_at_ +
                   ReportIntervals::Evidence(EvidenceRecipients(now).size());
  evidence_timer_.expires_at(std::max(due, now + kUrgentReportDelay));
  evidence_timer_.async_wait([this](boost::system::error_code error) {
    evidence_pending_ = false;
    if (!error) {
      SendEvidence();
    }
  });
}

template <class Platform>
auto EntryInstance<Platform>::SendEvidence() -> void {
  const auto now = Now();
  evidence_sent_at_ = now;
  CrashEvidence evidence{settings_.instance_,
                         gateway_.dispatcher().poison_parts().Evidence(now)};
  if (evidence.parts_.empty()) {
    return;
  }
  const auto bytes = EncodeCrashEvidence(evidence);
  for (const auto& address : EvidenceRecipients(now)) {
    peers_.Send(address, bytes);
  }
}

template <class Platform>
auto EntryInstance<Platform>::SendLoadUpdates(
    const std::set<std::string>& targets) -> void {
  const auto now = Now();
  if (!directory_.IsActive(now)) {
    return;
  }
  const auto recipients = directory_.ReportRecipients(now);
  for (const auto& target : targets) {
    const auto bytes = EncodeLoadUpdate(
        {settings_.instance_, incarnation_, ++sequence_, target,
         gateway_.dispatcher().OwnLoadAt(target, now)});
    for (const auto* instance : recipients) {
      if (instance->has_reported_) {
        peers_.Send(instance->address_, bytes);
      }
    }
  }
}

template <class Platform>
auto EntryInstance<Platform>::ApplyChange(const LoadedModelChange& change)
    -> void {
  auto& dispatcher = gateway_.dispatcher();
  if (change.removed_) {
    dispatcher.OnUnloadAnnounced(change.target_, change.model_,
                                 change.adapter_);
  } else {
    dispatcher.OnAdapterLoaded(change.target_, change.model_, change.adapter_);
  }
}

template <class Platform>
auto EntryInstance<Platform>::OnMissingAdaptersChanged() -> void {
  auto missing_adapters = gateway_.dispatcher().MissingAdapters();
  if (missing_adapters == last_missing_adapters_) {
    return;
  }
  last_missing_adapters_ = std::move(missing_adapters);
  if (!last_missing_adapters_.empty()) {
    ScheduleUrgentReport(kUrgentReportDelay);
  }
}

template <class Platform>
auto EntryInstance<Platform>::ScheduleUrgentReport(Duration delay) -> void {
  if (urgent_report_pending_) {
    urgent_report_requested_again_ = true;
    return;
  }
  urgent_report_pending_ = true;
  urgent_timer_.expires_after(delay);
  urgent_timer_.async_wait([this](boost::system::error_code error) {
    urgent_report_pending_ = false;
    if (error) {
      return;
    }
    const bool to_all =
        urgent_report_to_all_ && Now() - reported_at_ >= kMinBroadcastInterval;
    SendReport(/*urgent=*/!to_all);
    if (std::exchange(urgent_report_requested_again_, false)) {
      ScheduleUrgentReport(kReportDelayAfterOrder);
    }
  });
}

template <class Platform>
auto EntryInstance<Platform>::SendPeriodicReports() -> void {
  // The timer is started first, so that an exception does not end the reports.
  const auto now = Now();
  report_timer_.expires_after(
      directory_.IsActive(now)
          ? ReportIntervals::Report(directory_.ReportRecipients(now).size())
          : ReportIntervals::kStandbyReport);
  report_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      SendPeriodicReports();
    }
  });
  SendReport();
}

template <class Platform>
auto EntryInstance<Platform>::UpdateRoles(TimePoint now) -> void {
  CheckSuspension();
  directory_.Expire(now);
  const bool was_entry = directory_.IsEntry();
  directory_.Update(
      {settings_.instance_, settings_.zone_,
       settings_.caller_endpoint_ ? settings_.caller_endpoint_->ToString() : "",
       settings_.cpu_permille_, IsReady(), holder_.fencing_token() != 0,
       gateway_.key_gate().NeedsRenewal(BootTime())},
      now);
  if (directory_.HasDigests() && directory_.IsEntry() != was_entry) {
    LogEvent(LogLevel::kInfo, "entry_role")
        .With("entry", directory_.IsEntry() ? "yes" : "no")
        .With("entries", directory_.CountEntries())
        .With("instances", directory_.CountIncludingSelf());
  }
  UpdateShares(now);
  UpdateCapBroker();
  cap_broker_.RefreshReserves(BootNow());
  gateway_.dispatcher().ExpirePeers(now);
  const bool store_connected = IsStoreConnected(now);
  holder_.SetStoreConnected(store_connected);
  gateway_.SetStoreConnected(store_connected);
  if (!store_connected) {
    if (const auto outage = directory_.FindStoreOutage(now)) {
      // The reports describe the state before their transmission.
      const auto boot_now = BootTime();
      holder_.OnStoreOutage(
          boot_now - (now - outage->from_),
          boot_now - (now - outage->until_) - kMaxReportDelay);
    }
  }
  holder_.SetHasStrongerPeer(
      directory_.HasStrongerPeer(settings_.cpu_permille_, now));
  if (holder_.fencing_token() == 0) {
    requesters_.Clear();
  }
  holder_.SetMayCompete(
      directory_.IsCoordinator() ||
      (directory_.IsEntry() && !directory_.CoordinatorReachesStore(now)));
  sync_.SetReadRole(directory_.IsCoordinator() || holder_.fencing_token() != 0
                        ? StoreReadRole::kWatching
                    : directory_.IsActive(now) ? StoreReadRole::kActive
                                               : StoreReadRole::kStandby);
}

template <class Platform>
auto EntryInstance<Platform>::UpdateShares(TimePoint now) -> void {
  if (!directory_.HasDigests()) {
    const auto count = directory_.CountIncludingSelf();
    gateway_.SetInstanceCount(count, count);
    return;
  }
  const bool active = directory_.IsActive(now);
  const auto sharing =
      active ? static_cast<double>(directory_.CountEntries()) / kEntryRetryShare
             : static_cast<double>(directory_.CountIncludingSelf()) /
                   kStandbyRetryShare;
  gateway_.SetInstanceCount(
      static_cast<std::size_t>(sharing) + 1,
      active ? directory_.CountEntries() : directory_.CountIncludingSelf());
}

template <class Platform>
auto EntryInstance<Platform>::MakeReport(TimePoint now) -> PeerReport {
  auto& dispatcher = gateway_.dispatcher();
  PeerReport report;
  report.instance_ = settings_.instance_;
  report.incarnation_ = incarnation_;
  report.sequence_ = ++sequence_;
  report.address_ = settings_.address_;
  report.caller_address_ =
      settings_.caller_endpoint_ ? settings_.caller_endpoint_->ToString() : "";
  report.zone_ = settings_.zone_;
  report.ready_ = IsReady();
  report.stopping_ = stopping_;
  report.manifest_version_ = sync_.manifest() ? sync_.manifest()->version_ : 0;
  report.routing_revision_ = sync_.routing_revision();
  if (sync_.is_watching_instance() && sync_.is_connected()) {
    report.store_read_age_ = now - sync_.read_at();
    report.store_reading_time_ = sync_.ReadingTime(sync_.read_at());
  }
  report.store_connected_ = IsStoreConnected(now);
  report.sent_at_ = now - started_at_;
  if (HasStrictKeys()) {
    report.stamp_ = BootTime();
    // Stated before requests have to be refused, so that directories leave this
    // instance out in time.
    report.lacks_key_evidence_ =
        gateway_.key_gate().NeedsRenewal(*report.stamp_);
  }
  report.store_response_at_ =
      std::max(store_.last_response_time(), started_at_) - started_at_;
  report.fencing_token_ = holder_.fencing_token();
  report.needs_digest_ = directory_.HasDigests() && directory_.NeedsDigest(now);
  report.cpu_permille_ = settings_.cpu_permille_;
  report.load_ = dispatcher.OwnLoad(now);
  auto handover = holder_.MakeHandoverReport();
  report.recent_orders_ = std::move(handover.recent_orders_);
  report.handover_wait_ = handover.wait_;
  report.last_fencing_token_ = handover.last_token_;
  return report;
}

template <class Platform>
auto EntryInstance<Platform>::SendReport(bool urgent) -> void {
  const auto now = Now();
  UpdateRoles(now);
  auto report = MakeReport(now);
  auto& dispatcher = gateway_.dispatcher();
  auto demand = dispatcher.DemandByModel(now);
  auto missing_adapters = dispatcher.MissingAdapters();
  auto uses = dispatcher.TakeAdapterUses();
  std::set<std::string> waiting_addresses;  // instances waiting for adapters
  if (report.fencing_token_ != 0) {
    report.changes_ =
        holder_.planner().ChangesSince(now - kChangeRepeatTime, now);
    waiting_addresses = requesters_.Take(report.changes_, now);
    for (const auto& change : report.changes_) {
      ApplyChange(change);
    }
    holder_.planner().OnPeerDemand(settings_.instance_, demand,
                                   missing_adapters, uses, now);
    holder_.RunPlanner();
    gateway_.Dispatch();
  }
  const auto datagram = EncodePeerReport(report);
  report.demand_ = std::move(demand);
  report.missing_adapters_ = std::move(missing_adapters);
  report.adapter_uses_ = std::move(uses);
  std::string holder_datagram;  // encoded only if a peer holds the order lease
  for (const auto* instance : directory_.ReportRecipients(now)) {
    if (directory_.IsLeaseHolder(*instance)) {
      if (holder_datagram.empty()) {
        holder_datagram = EncodePeerReport(report);
      }
      SendWithEcho(instance->address_, holder_datagram);
    } else if (!urgent || waiting_addresses.count(instance->address_) > 0) {
      SendWithEcho(instance->address_, datagram);
    }
    waiting_addresses.erase(instance->address_);
  }
  for (const auto& address : waiting_addresses) {
    peers_.Send(address, datagram);
  }
  SendDigestIfDue(report, now);
  SendCapDemand();
  ShareStreamOrigins(now);
  RecordSettledEra(now);
  if (now - evidence_sent_at_ >= ReportIntervals::kEvidenceRepeat) {
    SendEvidence();
  }
  if (!urgent) {
    urgent_report_to_all_ = false;
    reported_at_ = now;
  }
  if (directory_.instances().empty() || report.needs_digest_) {
    for (const auto& seed : settings_.seed_peers_) {
      if (seed.host_ != settings_.address_) {
        peers_.Send(seed.host_, datagram);
      }
    }
  }
}

template <class Platform>
auto EntryInstance<Platform>::SendDigestIfDue(const PeerReport& header,
                                              TimePoint now) -> void {
  if (!directory_.HasDigests() || !directory_.IsCoordinator()) {
    return;
  }
  const bool changed = directory_.entries() != digest_entries_ ||
                       sync_.routing_revision() != digest_routing_revision_;
  const auto interval =
      changed ? kMinBroadcastInterval
              : ReportIntervals::Digest(directory_.CountIncludingSelf());
  if (now - digest_sent_at_ < interval) {
    return;
  }
  digest_sent_at_ = now;
  digest_entries_ = directory_.entries();
  digest_routing_revision_ = sync_.routing_revision();
  auto digest = directory_.MakeDigest(header, now);
  digest.coordinator_.sequence_ = ++sequence_;
  digest.leaving_complete_after_ = sync_.leaving_targets().CompleteAfter(now);
  digest.leaving_targets_ = sync_.leaving_targets().Recent(now);
  const auto bytes = EncodeFleetDigest(digest);
  for (const auto& [name, instance] : directory_.instances()) {
    SendWithEcho(instance.address_, bytes);
  }
}

}  // namespace baobab::gateway
