#pragma once

// Members of EntryInstance that let streams go on only at the software version
// that began them.

#include <utility>

#include "baobab_gateway/entry_instance.h"

namespace baobab::gateway {

template <class Platform>
auto EntryInstance<Platform>::ShareStreamOrigins(TimePoint now) -> void {
  const auto mixed = gateway_.versions().MixedServices(now);
  TellKeepers(mixed, now);
  if (mixed.empty()) {
    records_missing_since_.reset();
    return;
  }
  auto update = gateway_.origins().TakeUpdate(mixed, now);
  if (!update.streams_.empty()) {
    update.instance_ = settings_.instance_;
    const auto datagram = EncodeStreamOrigins(update);
    for (const auto* instance : directory_.ReportRecipients(now)) {
      peers_.Send(instance->address_, datagram);
    }
  }
  WriteStreamJournal(mixed, now);
  auto missing = gateway_.versions().MissingRecords(now);
  if (missing.empty()) {
    records_missing_since_.reset();
    return;
  }
  if (!records_missing_since_) {
    records_missing_since_ = now;
  }
  const bool is_on_duty =
      holder_.fencing_token() != 0 ||
      (directory_.IsCoordinator() &&
       now - *records_missing_since_ >= kVersionRecordDelay);
  if (is_on_duty && !writes_records_) {
    WriteVersionRecords(std::move(missing));
  }
}

template <class Platform>
auto EntryInstance<Platform>::TellKeepers(const std::set<std::string>& mixed,
                                          TimePoint now) -> void {
  auto update = gateway_.origins().TakeKeeperUpdate(mixed, now);
  if (update.streams_.empty()) {
    return;
  }
  update.instance_ = settings_.instance_;
  const auto datagram = EncodeStreamOrigins(update);
  for (const auto& [name, instance] : directory_.instances()) {
    if (instance.is_coordinator_ || directory_.IsLeaseHolder(instance)) {
      peers_.Send(instance.address_, datagram);
    }
  }
}

template <class Platform>
auto EntryInstance<Platform>::SendOriginQuery(std::vector<std::uint64_t> ids)
    -> Duration {
  const auto recipients = directory_.ReportRecipients(Now());
  const auto datagram = EncodeStreamOriginQuery(
      {settings_.instance_, settings_.address_, std::move(ids)});
  for (const auto* instance : recipients) {
    peers_.Send(instance->address_, datagram);
  }
  return kOriginQueryInterval +
         kOriginQueryPerRecipient * static_cast<int>(recipients.size());
}

template <class Platform>
auto EntryInstance<Platform>::AnswerOriginQuery(const StreamOriginQuery& query)
    -> void {
  if (query.instance_ == settings_.instance_) {
    return;
  }
  auto answer = gateway_.origins().Lookup(query.ids_, Now());
  if (!answer.streams_.empty()) {
    answer.instance_ = settings_.instance_;
    peers_.Send(query.address_, EncodeStreamOrigins(answer));
  }
}

template <class Platform>
auto EntryInstance<Platform>::WriteVersionRecords(
    std::vector<SoftwareVersion> versions) -> void {
  writes_records_ = true;
  store_.GrantLease(
      SoftwareVersions::kRecordTtl,
      [this, versions = std::move(versions)](auto result) {
        const auto* lease = std::get_if<StoreLease>(&result);
        if (lease == nullptr) {
          writes_records_ = false;
          return;
        }
        StoreTransaction change;
        for (const auto& version : versions) {
          change.writes_.push_back(
              {kVersionsPrefix + SoftwareVersions::RecordName(version),
               SoftwareVersions::RecordText(version), lease->id_});
        }
        store_.Commit(change, [this, versions](auto committed) {
          writes_records_ = false;
          if (!std::holds_alternative<std::int64_t>(committed)) {
            return;
          }
          for (const auto& version : versions) {
            gateway_.versions().OnRecord(SoftwareVersions::RecordName(version),
                                         SoftwareVersions::RecordText(version),
                                         Now());
            LogEvent(LogLevel::kInfo, "software_version_recorded")
                .With("service", version.service_)
                .With("version", version.version_);
          }
        });
      });
}

template <class Platform>
auto EntryInstance<Platform>::WriteStreamJournal(
    const std::set<std::string>& mixed, TimePoint now) -> void {
  auto write = stream_journal_.Next(gateway_.origins(), mixed,
                                    directory_.CountIncludingSelf(), now);
  if (!write) {
    return;
  }
  write->update_.instance_ = settings_.instance_;
  if (journal_lease_ != 0 &&
      now - journal_lease_granted_at_ < StreamJournal::kLeaseUse) {
    CommitStreamJournal(*write);
    return;
  }
  store_.GrantLease(StreamJournal::kLeaseTtl,
                    [this, now, write = std::move(*write)](auto result) {
                      const auto* lease = std::get_if<StoreLease>(&result);
                      if (lease == nullptr) {
                        stream_journal_.OnWritten(false);
                        return;
                      }
                      journal_lease_ = lease->id_;
                      journal_lease_granted_at_ = now;
                      CommitStreamJournal(write);
                    });
}

template <class Platform>
auto EntryInstance<Platform>::CommitStreamJournal(
    const StreamJournal::Write& write) -> void {
  StoreTransaction change;
  change.writes_.push_back(
      {kStreamsPrefix + settings_.instance_ + "/" +
           ToHex(static_cast<std::uint64_t>(incarnation_)) + "-" +
           std::to_string(write.slot_),
       EncodeStreamOrigins(write.update_), journal_lease_});
  store_.Commit(change, [this](auto committed) {
    const auto* failure = std::get_if<StoreFailure>(&committed);
    if (failure != nullptr && *failure == StoreFailure::kNoLease) {
      journal_lease_ = 0;
    }
    stream_journal_.OnWritten(failure == nullptr);
  });
}

template <class Platform>
auto EntryInstance<Platform>::ApplyStreamEntry(const StoreEntry& entry)
    -> bool {
  const std::string versions = kVersionsPrefix;
  if (entry.key_.starts_with(versions)) {
    const auto name = entry.key_.substr(versions.size());
    if (entry.removed_) {
      gateway_.versions().OnRecordGone(name);
    } else {
      gateway_.versions().OnRecord(name, entry.value_, Now());
    }
    return true;
  }
  if (!entry.key_.starts_with(kStreamsPrefix)) {
    return false;
  }
  if (!entry.removed_) {
    if (const auto update = DecodeStreamOrigins(entry.value_)) {
      // Requests that wait for them are decided on after this read, which may
      // bring the targets as well.
      gateway_.origins().Learn(*update, Now());
    }
  }
  return true;
}

template <class Platform>
auto EntryInstance<Platform>::OnYoungPeer(const PeerReport& report,
                                          TimePoint now) -> void {
  if (!report.sent_at_ || *report.sent_at_ > kYoungProcess) {
    return;
  }
  auto& told = told_peers_[report.instance_];
  if (std::exchange(told, report.incarnation_) != report.incarnation_) {
    gateway_.origins().RepeatAll(now);
  }
}

}  // namespace baobab::gateway
