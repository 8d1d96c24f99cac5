#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/log.h"
#include "baobab_base/random_source.h"
#include "baobab_base/step_error.h"
#include "baobab_base/time_types.h"
#include "baobab_gateway/boot_clock.h"
#include "baobab_gateway/fleet_digest.h"
#include "baobab_gateway/leaving_target_log.h"
#include "baobab_gateway/manifest.h"
#include "baobab_gateway/read_schedule.h"
#include "baobab_gateway/store_outage_detector.h"
#include "baobab_gateway/store_position.h"
#include "baobab_gateway/store_read_evidence.h"
#include "baobab_gateway/store_types.h"
#include "baobab_gateway/target_registry.h"
#include "baobab_platform/jittered_backoff.h"

namespace baobab::gateway {

/// Provides the keys of the store entries that the platform writes, and decodes
/// their values. The Decode functions throw StepError if a value is malformed.
template <class C>
concept StateDecoder = requires(const std::string& text) {
  { C::ManifestKey() } -> std::same_as<std::string>;
  { C::TargetKeyPrefix() } -> std::same_as<std::string>;
  { C::DecodeManifest(text) } -> std::same_as<Manifest>;
  { C::DecodeTarget(text, text) } -> std::same_as<TargetRegistration>;
};

/// Keeps a local copy of the store state: the manifest, the registered targets
/// and the keys under `own_prefix`, which the entry instances write.
///
/// Lists all entries at the start, and again if the store no longer keeps the
/// changes since the last read or has returned from a copy. Between two
/// listings, it reads the changes of all keys with one watch call at a time.
/// Ignores a manifest with a lower version and a target registration with a
/// lower revision than the known ones, whether they come from the store or from
/// a peer. Runs on the thread of its io_context.
template <class Store, StateDecoder Codec>
class StateSync {
 public:
  /// Callbacks for changes. `on_manifest_` and `on_targets_` are called once
  /// after each batch of changes, `on_own_entry_` for every entry under
  /// `own_prefix` that was written or removed.
  struct Handlers {
    std::function<void(const std::shared_ptr<const Manifest>&)> on_manifest_;
    std::function<void(const TargetRegistry&)> on_targets_;
    std::function<void(const StoreEntry&)> on_own_entry_;
    /// A read of all changes begins; it replaces an earlier one.
    std::function<void()> on_read_begins_;
    /// A read that began at a moment of the boot clock ended and proves that no
    /// manifest newer than the known one was acknowledged before that moment
    /// (see StoreReadEvidence). `of_all`: the read was one of all changes.
    std::function<void(Duration began, bool of_all)> on_manifest_confirmed_;
    /// A registration was read or adopted.
    std::function<void(const TargetRegistration&)> on_registration_;
    /// The local copy holds every registration that the store had accepted at a
    /// moment of the boot clock and that has not expired for lack of a store.
    std::function<void(Duration moment)> on_registrations_confirmed_;
    /// All entries were listed in an era that has not settled: the store may
    /// lack what peers know, and they are to be asked (see AwaitsPeers()).
    std::function<void()> on_restored_;
  };

  /// Time for which the store waits for a change in one watch call. A stalled
  /// connection is detected only after this time plus the grace period of the
  /// call. No changes are received until then.
  static constexpr Duration kWatchTimeout = std::chrono::milliseconds(400);
  /// Time for which the store waits for a change in one watch call of an
  /// instance that is not a watching instance. Such a call only fetches the
  /// changes that have already happened.
  static constexpr Duration kFetchTimeout = std::chrono::milliseconds(1);
  /// Minimum delay before a scheduled read.
  static constexpr Duration kMinReadDelay = std::chrono::milliseconds(5);
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(80);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
  /// Longest time for which an instance that starts waits for the state of a
  /// peer: several requests, some to peers that do not answer.
  static constexpr Duration kMaxPeerWait = std::chrono::seconds(1);
  /// Time after a return of the store from a copy in which live targets have
  /// registered again and the operator has written a lost manifest again.
  static constexpr Duration kEraSettlingTime =
      std::max(TargetRegistry::kExpiryGracePeriod,
               StoreReadEvidence::kManifestRewriteTime);

  /// `store` must outlive this object. `own_prefix` is the key prefix of the
  /// entries that this system writes itself.
  StateSync(boost::asio::io_context& io, Store& store, std::string own_prefix,
            Handlers handlers)
      : store_(store),
        own_prefix_(std::move(own_prefix)),
        handlers_(std::move(handlers)),
        timer_(io),
        expiry_(io),
        peer_wait_(io),
        backoff_(kMinBackoff, kMaxBackoff),
        random_(std::random_device{}()) {}

  /// Starts to read the store. Failed calls are repeated with a backoff.
  auto Start() -> void { RequestPage(""); }

  [[nodiscard]] auto manifest() const
      -> const std::shared_ptr<const Manifest>& {
    return manifest_;
  }
  [[nodiscard]] auto manifest_text() const -> const std::string& {
    return manifest_text_;
  }
  [[nodiscard]] auto registry() const -> const TargetRegistry& {
    return registry_;
  }
  [[nodiscard]] auto revision() const -> std::int64_t { return revision_; }
  [[nodiscard]] auto is_connected() const -> bool {
    return outage_.is_connected();
  }
  /// Returns true once a manifest and the targets are known, from the store or
  /// from a peer.
  [[nodiscard]] auto is_complete() const -> bool {
    return manifest_ != nullptr && targets_known_ && !awaits_peers_;
  }
  /// Returns true if the first listing is held back because the store may have
  /// returned from a copy shortly before: what it lacks, peers may know. Ends
  /// with the state of a peer, with EndPeerWait() or after kMaxPeerWait.
  [[nodiscard]] auto AwaitsPeers() const -> bool { return awaits_peers_; }

  /// Returns true if the store may lack what it held before it returned from a
  /// copy.
  [[nodiscard]] auto IsSettling() const -> bool {
    return Now() < era_settles_at_;
  }

  /// Uses what the store listed, because no peer can be asked.
  auto EndPeerWait() -> void {
    peer_wait_.cancel();
    awaits_peers_ = false;
    NotifyHandlers();
  }
  /// Returns, by target, the encoded registration and its revision. Sent to
  /// peers that start while the store is unreachable.
  [[nodiscard]] auto raw_targets() const
      -> const std::map<std::string, std::pair<std::string, std::int64_t>>& {
    return raw_targets_;
  }

  /// Returns the revision of the last change that affects routing: a new
  /// manifest, or a target that registered, restarted, is leaving or is
  /// removed.
  [[nodiscard]] auto routing_revision() const -> std::int64_t {
    return routing_revision_;
  }

  /// Sets how this instance learns about changes. An instance that takes a role
  /// in which it reads more often reads the store immediately.
  auto SetReadRole(StoreReadRole role) -> void {
    const bool reads_now = role < schedule_.role();
    schedule_.SetRole(role);
    if (reads_now) {
      ReadNow();
    }
  }
  [[nodiscard]] auto is_watching_instance() const -> bool {
    return schedule_.role() == StoreReadRole::kWatching;
  }
  /// Returns when the store last responded to a read of this instance.
  [[nodiscard]] auto read_at() const -> TimePoint {
    return outage_.last_response_at();
  }

  /// Records that the process was suspended for `time`. Reads the store at
  /// once.
  auto OnSuspended(Duration time) -> void {
    schedule_.OnSuspended(time);
    ReadNow();
  }

  /// Handles the routing revision that a peer reported.
  ///
  /// If `revision` is newer than the local copy, the next read is moved
  /// forward. Otherwise, if the peer is a watching instance, the report
  /// confirms that the local copy was current at `read_at`, when the peer last
  /// read the store. `read_at` is nullopt if the peer is not a watching
  /// instance.
  auto OnPeerRevision(std::int64_t revision, std::optional<TimePoint> read_at)
      -> void {
    if (revision > revision_) {
      schedule_.OnNewerRevisionReported();
      if (read_scheduled_) {
        ScheduleRead();
      }
    } else if (read_at) {
      schedule_.OnLocalCopyConfirmed(*read_at);
    }
  }

  /// Handles the report of a peer that it read the store from `from` to `until`
  /// without a pause in which registrations can expire.
  auto OnPeerReads(TimePoint from, TimePoint until) -> void {
    // A registration may also be missing because the store returned from a
    // copy, however well peers reached it.
    if (!outage_.OnPeerReads(from, until) || Now() < registrations_back_at_) {
      return;
    }
    LogEvent(LogLevel::kInfo, "store_was_reachable_for_peers")
        .With("revision", revision_);
    const auto now = Now();
    grace_period_end_ = now;
    registry_.EndGracePeriods(now);
    ScheduleExpiry();
  }
  /// Returns for how long this instance has read the store without a pause in
  /// which registrations can expire.
  [[nodiscard]] auto ReadingTime(TimePoint now) const -> Duration {
    return outage_.ReadingTime(now);
  }

  /// Handles the manifest version that a peer reported: if it is newer than the
  /// known one, the next read is moved forward.
  auto OnPeerManifestVersion(std::int64_t version) -> void {
    read_evidence_.OnStatedVersion(version, BootTime());
    if (version > ManifestVersion()) {
      schedule_.OnNewerManifestReported();
      if (read_scheduled_) {
        ScheduleRead();
      }
    }
  }

  /// Returns true if a peer uses a newer manifest than this instance, which the
  /// store does not provide: it returned from an older copy, or does not
  /// answer.
  [[nodiscard]] auto NeedsPeerManifest(std::int64_t peer_version) const
      -> bool {
    const auto version = ManifestVersion();
    return peer_version > version && manifest_ != nullptr &&
           (!outage_.is_connected() ||
            read_evidence_.LacksStatedVersion(version));
  }

  /// Reads all changes at once if the next read is not due yet.
  auto ReadNow() -> void {
    if (read_scheduled_) {
      read_scheduled_ = false;
      Watch();
    }
  }

  /// Handles the leaving targets in a digest: `targets` lists all that began to
  /// leave after the revision `complete_after`, up to the time `read_at` at
  /// which the coordinator last read the store. They get no more requests. If
  /// the local copy is not older than `complete_after`, this confirms it.
  auto OnLeavingTargets(const std::vector<LeavingTarget>& targets,
                        std::int64_t complete_after,
                        std::optional<TimePoint> read_at) -> void {
    for (const auto& leaving : targets) {
      if (registry_.MarkLeaving(leaving.target_, leaving.revision_)) {
        LogEvent(LogLevel::kInfo, "target_leaving")
            .With("target", leaving.target_)
            .With("revision", leaving.revision_)
            .With("source", "peer");
        targets_changed_ = true;
      }
    }
    if (read_at && revision_ >= complete_after) {
      schedule_.OnLocalCopyConfirmed(*read_at);
    }
    NotifyHandlers();
  }

  /// Handles a response of a target that states that it is leaving.
  auto OnLeavingStatement(const LeavingStatement& statement) -> void {
    if (!registry_.RecordStatement(statement)) {
      return;
    }
    LogEvent(LogLevel::kInfo, "target_leaving")
        .With("target", statement.target_)
        .With("address", statement.endpoint_.ToString())
        .With("source", "response");
    targets_changed_ = true;
    NotifyHandlers();
  }

  /// Returns the targets that began to leave recently, for digests.
  [[nodiscard]] auto leaving_targets() const -> const LeavingTargetLog& {
    return leaving_log_;
  }

  /// Reads the manifest from the store at once, beside the other reads. `done`
  /// receives whether the store answered.
  auto ReadManifest(std::function<void(bool)> done) -> void {
    const auto began = BootTime();
    store_.Range(Codec::ManifestKey(), "",
                 [this, began, done = std::move(done)](auto result) {
                   const auto* page = std::get_if<StoreListing>(&result);
                   if (page != nullptr) {
                     read_evidence_.OnResponse(page->revision_, BootTime());
                     for (const auto& entry : page->entries_) {
                       if (entry.key_ == Codec::ManifestKey()) {
                         Guard(entry.key_,
                               [&] { ApplyEntry(entry, /*listing=*/false); });
                       }
                     }
                     NotifyHandlers();
                     ConfirmManifest(began, /*of_all=*/false);
                   }
                   done(page != nullptr);
                 });
  }

  /// Has the store confirm the registrations as of now, or of a moment after
  /// this call. Begins a read if none is in progress; otherwise asks the store
  /// for its revision, which the reads confirm once they have reached it. Makes
  /// one such call at a time, and none while reads fail.
  auto ConfirmRegistrations() -> void {
    if (read_scheduled_) {
      read_scheduled_ = false;
      Watch();
      return;
    }
    if (asks_revision_ || !outage_.is_connected()) {
      return;
    }
    asks_revision_ = true;
    store_.Range(Codec::ManifestKey(), "",
                 [this, began = BootTime()](auto result) {
                   asks_revision_ = false;
                   if (const auto* page = std::get_if<StoreListing>(&result)) {
                     awaited_ = {began, page->revision_};
                     ConfirmAwaitedRevision();
                   }
                 });
  }

  /// Records that the store is in the era `era` for so long that all live
  /// targets have registered again and the operator has written a lost manifest
  /// again: an instance has observed it. An instance that starts cannot tell by
  /// itself when the store returned from a copy last.
  auto OnSettledEra(std::int64_t era) -> void {
    settled_era_ = era;
    read_evidence_.OnSettledEra(era);
    if (StorePosition::Era(revision_) == era) {
      registrations_back_at_ = TimePoint{};
      era_settles_at_ = TimePoint{};
    }
  }
  /// Returns the era of the store if this instance has observed that it settled
  /// and no entry of the store states that.
  [[nodiscard]] auto FindUnrecordedEra(TimePoint now) const
      -> std::optional<std::int64_t> {
    const auto era = StorePosition::Era(revision_);
    if (era == settled_era_ || now < era_settles_at_ ||
        !read_evidence_.HasNewestManifest(ManifestVersion())) {
      return std::nullopt;
    }
    return era;
  }

  /// Applies a manifest that a peer sent, if it is newer than the known one.
  /// `text` is the value of its store entry.
  auto AdoptManifest(const std::string& text) -> void {
    ApplyManifest(text, "peer");
  }
  /// Applies the registration of target `id` that a peer sent, if it is newer
  /// than the known one. `text` is the value of its store entry.
  auto AdoptTarget(const std::string& id, const std::string& text,
                   std::int64_t revision) -> void {
    const auto known = raw_targets_.find(id);
    const bool is_listed = known != raw_targets_.end();
    if (is_listed && known->second.second >= revision) {
      return;
    }
    ApplyTarget(id, text, revision);
    targets_changed_ = true;
    if (!is_listed && revision_ != 0) {
      // The store lost the registration with a return from a copy. No change
      // would remove it here if the target has ended since.
      registry_.MarkPossiblyExpired(id, revision,
                                    std::max(Now(), registrations_back_at_));
      ScheduleExpiry();
    }
  }
  /// Calls the handlers for the changes since the last batch, and ends the wait
  /// for peers. Must be called after each batch of AdoptManifest and
  /// AdoptTarget calls.
  auto FinishAdoption() -> void {
    targets_known_ = targets_known_ || !raw_targets_.empty();
    EndPeerWait();
  }

 private:
  /// A revision of the store, as of a moment of the boot clock.
  struct AwaitedRevision {
    Duration moment_{};
    std::int64_t revision_ = 0;
  };

  [[nodiscard]] static auto Now() -> TimePoint {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }

  auto RequestPage(const std::string& after) -> void {
    if (after.empty()) {
      read_began_ = BeginRead();
      listed_targets_.clear();
      listed_own_keys_.clear();
      list_revision_ = 0;
    }
    store_.Range("", after, [this](auto result) {
      if (const auto* failure = std::get_if<StoreFailure>(&result)) {
        OnFailure("list", *failure);
        RunAfter(backoff_.Next(random_), [this] { RequestPage(""); });
        return;
      }
      const auto& page = std::get<StoreListing>(result);
      read_evidence_.OnResponse(page.revision_, BootTime());
      OnPage(page);
    });
  }

  auto OnPage(const StoreListing& page) -> void {
    if (list_revision_ != 0 && StorePosition::Era(page.revision_) !=
                                   StorePosition::Era(list_revision_)) {
      RequestPage("");
      return;
    }
    // The pages are not a consistent snapshot: entries may change between two
    // of them. The watch that follows starts at the revision of the first page
    // and therefore returns all changes since then.
    if (list_revision_ == 0) {
      list_revision_ = page.revision_;
      if (IsOfLaterEra(list_revision_)) {
        OnRestored();
      }
    }
    for (const auto& entry : page.entries_) {
      Guard(entry.key_, [&] { ApplyEntry(entry, /*listing=*/true); });
    }
    if (page.has_more_ && !page.entries_.empty()) {
      RequestPage(page.entries_.back().key_);
      return;
    }
    // A registration may also be missing because the store returned from a copy
    // that is older than it.
    const bool is_restored = revision_ != 0 && IsOfLaterEra(list_revision_);
    const bool after_outage = RecordStoreResponse() || is_restored;
    if (is_restored) {
      grace_period_end_ = Now() + TargetRegistry::kExpiryGracePeriod;
    }
    const bool is_unsettled = IsOfLaterEra(list_revision_);
    if (is_unsettled) {
      registrations_back_at_ = Now() + TargetRegistry::kExpiryGracePeriod;
      era_settles_at_ = Now() + kEraSettlingTime;
    }
    registry_.Reconcile(listed_targets_, list_revision_, after_outage, Now());
    std::erase_if(raw_targets_, [this](const auto& entry) {
      return registry_.Find(entry.first) == nullptr;
    });
    for (auto key = own_keys_.begin(); key != own_keys_.end();) {
      if (listed_own_keys_.count(*key) > 0) {
        ++key;
        continue;
      }
      StoreEntry removed;
      removed.key_ = *key;
      removed.revision_ = list_revision_;
      removed.removed_ = true;
      key = own_keys_.erase(key);
      Guard(removed.key_, [&] { handlers_.on_own_entry_(removed); });
    }
    if (is_unsettled && revision_ == 0 && !is_complete()) {
      AwaitPeers();
    }
    revision_ = list_revision_;
    OnReadUpToRevision();
    leaving_log_.OnListing(revision_);
    if (!targets_known_) {
      LogEvent(LogLevel::kInfo, "targets_listed")
          .With("targets", registry_.entries().size())
          .With("revision", revision_);
    }
    targets_known_ = true;
    targets_changed_ = true;
    NotifyHandlers();
    read_evidence_.OnCompleteRead(read_began_);
    ConfirmManifest(read_began_, /*of_all=*/true);
    ConfirmRegistrationsAt(read_began_);
    if (after_outage) {
      ScheduleExpiry();
    }
    if (is_unsettled && handlers_.on_restored_) {
      handlers_.on_restored_();
    }
    Watch();
  }

  /// Returns true if `position` is of a later era than the last read, or, at
  /// the first read, of one that is not known to have settled.
  [[nodiscard]] auto IsOfLaterEra(std::int64_t position) const -> bool {
    return StorePosition::Era(position) !=
           (revision_ == 0 ? settled_era_ : StorePosition::Era(revision_));
  }

  /// Handles the beginning of the first listing in an era: it may be that of a
  /// copy in which targets that have left since are ready.
  auto OnRestored() -> void {
    registry_.OnRestored(list_revision_);
    for (const auto& leaving : leaving_log_.Recent(Now())) {
      registry_.MarkLeaving(leaving.target_, leaving.revision_);
    }
  }

  auto OnReadUpToRevision() -> void {
    if (!IsSettling()) {
      registry_.OnSettled();
    }
    registry_.OnReadUpTo(revision_);
  }

  auto AwaitPeers() -> void {
    if (!handlers_.on_restored_) {
      return;
    }
    awaits_peers_ = true;
    peer_wait_.expires_after(kMaxPeerWait);
    peer_wait_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        EndPeerWait();
      }
    });
  }

  auto Watch() -> void {
    const auto wait = is_watching_instance() ? kWatchTimeout : kFetchTimeout;
    read_began_ = BeginRead();
    store_.Watch("", revision_, wait, [this](auto result) {
      if (const auto* failure = std::get_if<StoreFailure>(&result)) {
        if (*failure == StoreFailure::kCompacted) {
          LogEvent(LogLevel::kInfo, "store_history_gone")
              .With("revision", revision_);
          RequestPage("");
          return;
        }
        OnFailure("watch", *failure);
        RunAfter(backoff_.Next(random_), [this] { Watch(); });
        return;
      }
      const auto& listing = std::get<StoreListing>(result);
      if (StorePosition::Era(listing.revision_) !=
          StorePosition::Era(revision_)) {
        // The revision after which changes were asked for is of another era.
        RequestPage("");
        return;
      }
      if (RecordStoreResponse()) {
        grace_period_end_ = Now() + TargetRegistry::kExpiryGracePeriod;
      }
      for (const auto& entry : listing.entries_) {
        Guard(entry.key_, [&] { ApplyEntry(entry, /*listing=*/false); });
      }
      revision_ = std::max(revision_, listing.revision_);
      OnReadUpToRevision();
      NotifyHandlers();
      if (!listing.has_more_) {
        // Changes after the beginning of the call may or may not be included.
        read_evidence_.OnCompleteRead(read_began_);
        ConfirmManifest(read_began_, /*of_all=*/true);
        ConfirmRegistrationsAt(read_began_);
      }
      schedule_.OnRead(Now());
      if (listing.entries_.empty() && is_watching_instance()) {
        Watch();
        return;
      }
      read_scheduled_ = true;
      ScheduleRead();
    });
  }

  auto ScheduleRead() -> void {
    // When the timer expires, reports of peers may have changed the time of the
    // next read.
    RunAfter(std::max(schedule_.NextRead() - Now(), kMinReadDelay), [this] {
      if (!read_scheduled_) {
        return;
      }
      if (schedule_.NextRead() > Now()) {
        ScheduleRead();
        return;
      }
      read_scheduled_ = false;
      Watch();
    });
  }

  /// Runs `action`, which handles the entry or entries at `key`. An exception
  /// must not end the reading of the store.
  template <class Action>
  static auto Guard(const std::string& key, Action action) -> void {
    try {
      action();
    } catch (const std::exception& error) {
      LogEvent(LogLevel::kError, "store_entry_failed")
          .With("key", key)
          .With("reason", error.what());
    }
  }

  auto ApplyEntry(const StoreEntry& entry, bool listing) -> void {
    const auto prefix = Codec::TargetKeyPrefix();
    if (entry.key_ == Codec::ManifestKey()) {
      if (!entry.removed_) {
        if (entry.value_ != manifest_text_) {
          RecordRoutingChange(entry.revision_);
        }
        const auto version = ApplyManifest(entry.value_, "store");
        // An unreadable manifest leaves the known one in force.
        read_evidence_.OnManifest(version.value_or(ManifestVersion()),
                                  entry.revision_);
      }
    } else if (entry.key_.starts_with(prefix)) {
      const auto id = entry.key_.substr(prefix.size());
      targets_changed_ = true;
      if (!entry.removed_) {
        listed_targets_.insert(id);
        ApplyTarget(id, entry.value_, entry.revision_);
        return;
      }
      RecordRoutingChange(entry.revision_);
      if (Now() < grace_period_end_) {
        LogEvent(LogLevel::kInfo, "target_lapsed")
            .With("target", id)
            .With("revision", entry.revision_);
        registry_.MarkPossiblyExpired(id, entry.revision_, grace_period_end_);
        ScheduleExpiry();
      } else {
        LogEvent(LogLevel::kInfo, "target_gone")
            .With("target", id)
            .With("revision", entry.revision_);
        leaving_log_.Add(id, entry.revision_, Now());
        registry_.Remove(id, entry.revision_);
        raw_targets_.erase(id);
      }
    } else if (entry.key_.starts_with(own_prefix_)) {
      if (entry.removed_) {
        own_keys_.erase(entry.key_);
      } else {
        own_keys_.insert(entry.key_);
      }
      if (listing) {
        listed_own_keys_.insert(entry.key_);
      }
      handlers_.on_own_entry_(entry);
    }
  }

  /// Applies a manifest if it is newer than the known one. Returns its version,
  /// or nothing if it cannot be read.
  auto ApplyManifest(const std::string& text, const char* source)
      -> std::optional<std::int64_t> {
    if (text == manifest_text_ && manifest_) {
      return manifest_->version_;
    }
    try {
      auto manifest = std::make_shared<Manifest>(Codec::DecodeManifest(text));
      const auto version = manifest->version_;
      if (manifest_ && version <= manifest_->version_) {
        return version;
      }
      LogEvent(LogLevel::kInfo, "manifest_applied")
          .With("version", manifest->version_)
          .With("previous", manifest_ ? manifest_->version_ : 0)
          .With("routes", manifest->routes_.size())
          .With("source", source);
      manifest_ = std::move(manifest);
      manifest_text_ = text;
      manifest_changed_ = true;
      return version;
    } catch (const StepError& error) {
      LogEvent(LogLevel::kError, "manifest_unreadable")
          .With("source", source)
          .With("reason", error.what());
      return std::nullopt;
    }
  }

  auto ApplyTarget(const std::string& id, const std::string& text,
                   std::int64_t revision) -> void {
    try {
      auto registration = Codec::DecodeTarget(id, text);
      const auto* known = registry_.Find(id);
      // Compared with the former registration and not with the effective state:
      // a response or a digest may have marked the target before, but peers
      // learn of it from this revision.
      const bool begins_to_leave =
          registration.draining_ &&
          (known == nullptr || !known->registered_as_leaving_);
      const bool is_leaving = registry_.IsKnownToLeave(registration, revision);
      const bool usability_changed =
          known == nullptr || begins_to_leave ||
          known->registration_.draining_ != is_leaving;
      if (usability_changed ||
          known->registration_.start_time_ms_ != registration.start_time_ms_) {
        // Changes of the loaded models and adapters do not affect the routing
        // revision: the order lease holder reports them to all instances.
        RecordRoutingChange(revision);
      }
      if (begins_to_leave) {
        leaving_log_.Add(id, revision, Now());
      }
      // The first listing of hundreds of targets is logged as one line.
      if (targets_known_ && usability_changed) {
        LogEvent(LogLevel::kInfo, "target_registered")
            .With("target", id)
            .With("service", registration.service_)
            .With("leaving", is_leaving ? "yes" : "no")
            .With("revision", revision);
      }
      if (known != nullptr && known->registration_.draining_ && !is_leaving) {
        LogEvent(LogLevel::kInfo, "target_usable_again")
            .With("target", id)
            .With("revision", revision)
            .With("known_revision", known->revision_)
            .With("started_ms", registration.start_time_ms_)
            .With("known_started_ms", known->registration_.start_time_ms_);
      }
      if (handlers_.on_registration_) {
        handlers_.on_registration_(registration);
      }
      registry_.Put(std::move(registration), revision);
      raw_targets_[id] = {text, revision};
    } catch (const StepError& error) {
      LogEvent(LogLevel::kWarning, "registration_unreadable")
          .With("target", id)
          .With("revision", revision)
          .With("reason", error.what());
      registry_.Discard(id);
      raw_targets_.erase(id);
    }
  }

  auto RecordRoutingChange(std::int64_t revision) -> void {
    routing_revision_ = std::max(routing_revision_, revision);
  }

  auto NotifyHandlers() -> void {
    if (awaits_peers_) {
      return;
    }
    if (std::exchange(manifest_changed_, false)) {
      Guard(Codec::ManifestKey(), [&] { handlers_.on_manifest_(manifest_); });
      targets_changed_ = true;
    }
    if (targets_known_ && std::exchange(targets_changed_, false)) {
      Guard(Codec::TargetKeyPrefix(),
            [&] { handlers_.on_targets_(registry_); });
    }
  }

  auto BeginRead() -> Duration {
    if (handlers_.on_read_begins_) {
      handlers_.on_read_begins_();
    }
    return BootTime();
  }

  [[nodiscard]] auto ManifestVersion() const -> std::int64_t {
    return manifest_ ? manifest_->version_ : 0;
  }

  auto ConfirmManifest(Duration began, bool of_all) -> void {
    if (!manifest_) {
      return;
    }
    const auto verdict = read_evidence_.Judge(began, ManifestVersion());
    if (std::exchange(manifest_verdict_, verdict) != verdict) {
      LogVerdict();
    }
    if (verdict == StoreReadEvidence::Verdict::kProves &&
        handlers_.on_manifest_confirmed_) {
      Guard(Codec::ManifestKey(),
            [&] { handlers_.on_manifest_confirmed_(began, of_all); });
    }
  }

  auto LogVerdict() const -> void {
    const bool proves =
        manifest_verdict_ == StoreReadEvidence::Verdict::kProves;
    LogEvent(proves ? LogLevel::kInfo : LogLevel::kWarning,
             proves ? "manifest_confirmed" : "manifest_unconfirmed")
        .With("version", ManifestVersion())
        .With("era", StorePosition::Era(revision_))
        .With("reason", ToString(manifest_verdict_));
  }

  /// Reports that the registrations as of `moment` are known, and those as of
  /// the revision that was asked for if the reads have reached it.
  auto ConfirmRegistrationsAt(Duration moment) -> void {
    // A response may be much later than the state that it returns.
    const auto at = Now() - (BootTime() - moment);
    if (at >= registrations_back_at_ && at >= grace_period_end_ &&
        handlers_.on_registrations_confirmed_) {
      Guard(Codec::TargetKeyPrefix(),
            [&] { handlers_.on_registrations_confirmed_(moment); });
    }
    ConfirmAwaitedRevision();
  }

  auto ConfirmAwaitedRevision() -> void {
    if (awaited_ && revision_ >= awaited_->revision_) {
      const auto moment = awaited_->moment_;
      awaited_.reset();
      ConfirmRegistrationsAt(moment);
    }
  }

  auto OnFailure(const char* call, StoreFailure failure) -> void {
    if (outage_.OnFailure()) {
      LogEvent(LogLevel::kWarning, "store_lost")
          .With("call", call)
          .With("failure", ToString(failure));
    }
  }

  /// Records a response of the store. Returns true if the response ends an
  /// outage of the store during which registrations may have expired.
  auto RecordStoreResponse() -> bool {
    backoff_.Reset();
    const bool regained = !outage_.is_connected();
    const bool may_have_expired = outage_.OnStoreResponse(Now());
    if (regained) {
      LogEvent(LogLevel::kInfo, "store_reached")
          .With("revision", revision_)
          .With("registrations_may_have_lapsed",
                may_have_expired ? "yes" : "no");
    }
    return may_have_expired;
  }

  /// Schedules the removal of possibly expired registrations at the end of
  /// their grace period.
  auto ScheduleExpiry() -> void {
    const auto next = registry_.NextExpiry();
    if (!next) {
      return;
    }
    expiry_.expires_at(*next);
    expiry_.async_wait([this](boost::system::error_code error) {
      if (error) {
        return;
      }
      for (const auto& id : registry_.Expire(Now())) {
        LogEvent(LogLevel::kInfo, "target_gone")
            .With("target", id)
            .With("reason", "grace_period_ended");
        leaving_log_.Add(id, routing_revision_, Now());
        raw_targets_.erase(id);
        targets_changed_ = true;
      }
      NotifyHandlers();
      ScheduleExpiry();
    });
  }

  template <class Action>
  auto RunAfter(Duration delay, Action action) -> void {
    timer_.expires_after(delay);
    timer_.async_wait([action](boost::system::error_code error) {
      if (!error) {
        action();
      }
    });
  }

  Store& store_;
  std::string own_prefix_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer expiry_;
  boost::asio::steady_timer peer_wait_;
  platform::JitteredBackoff backoff_;
  Random random_;
  std::shared_ptr<const Manifest> manifest_;
  std::string manifest_text_;
  TargetRegistry registry_;
  std::map<std::string, std::pair<std::string, std::int64_t>> raw_targets_;
  std::set<std::string> listed_targets_;
  std::set<std::string> listed_own_keys_;
  std::set<std::string> own_keys_;
  TimePoint grace_period_end_{};
  /// When live targets whose registrations a return of the store from a copy
  /// has removed are registered again.
  TimePoint registrations_back_at_{};
  TimePoint era_settles_at_{};
  std::int64_t settled_era_ = 0;  // 0: the store has never returned from a copy
  std::optional<AwaitedRevision> awaited_;
  bool asks_revision_ = false;
  StoreOutageDetector outage_;
  StoreReadEvidence read_evidence_;
  StoreReadEvidence::Verdict manifest_verdict_ =
      StoreReadEvidence::Verdict::kProves;  // of the last read that succeeded
  std::int64_t revision_ = 0;
  std::int64_t list_revision_ = 0;
  std::int64_t routing_revision_ = 0;
  Duration read_began_{};  // boot clock
  ReadSchedule schedule_;
  LeavingTargetLog leaving_log_;
  bool read_scheduled_ = false;
  bool manifest_changed_ = false;
  bool targets_changed_ = false;
  bool targets_known_ = false;
  bool awaits_peers_ = false;
};

}  // namespace baobab::gateway
