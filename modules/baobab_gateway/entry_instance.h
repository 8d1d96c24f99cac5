#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <csignal>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "baobab_accounts/account_cap_broker.h"
#include "baobab_accounts/evidence_echo.h"
#include "baobab_base/log.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_gateway/adapter_requesters.h"
#include "baobab_gateway/instance_directory.h"
#include "baobab_gateway/instance_settings.h"
#include "baobab_gateway/order_holder.h"
#include "baobab_gateway/peer_link.h"
#include "baobab_gateway/report_intervals.h"
#include "baobab_gateway/request_gateway.h"
#include "baobab_gateway/state_sync.h"
#include "baobab_gateway/stop_sequence.h"
#include "baobab_gateway/stream_journal.h"
#include "baobab_gateway/suspension_detector.h"
#include "baobab_http/http_server.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab::gateway {

/// One entry instance: forwards the requests of callers to targets and serves
/// the directory of caller addresses. The instances of a fleet divide two roles
/// among themselves: watching the store, and sending load and unload orders to
/// engines.
///
/// Construct it, call Start, then run the io_context; after SIGTERM or
/// SIGINT it stops the io_context once the requests in progress have ended, or
/// shortly before the end of the grace period. `Platform` provides the types
/// that translate between the platform's formats and the gateway: Store,
/// RequestCodec, StateCodec, EntryCodec and EngineCodec.
template <class Platform>
class EntryInstance {
 public:
  /// Delay between an event and the urgent report that it causes. An urgent
  /// report is sent without waiting for the report interval. The delay is also
  /// the minimum time between two urgent reports.
  static constexpr Duration kUrgentReportDelay = std::chrono::milliseconds(10);
  /// Delay of an urgent report after a response to an order. The adapter
  /// becomes usable 14 ms after the response (PlannerSettings), so an earlier
  /// report would not contain it.
  static constexpr Duration kReportDelayAfterOrder =
      std::chrono::milliseconds(16);
  /// Minimum time between a report to all instances and a subsequent urgent
  /// report to all instances.
  static constexpr Duration kMinBroadcastInterval =
      std::chrono::milliseconds(100);
  /// Duration of the store lease under which this instance is registered, and
  /// the intervals of its renewals. Renewals of a standby are rarer, since each
  /// is a call to the store, until a coordinator reports an outage.
  static constexpr Duration kRegistrationTtl = std::chrono::seconds(10);
  static constexpr Duration kRegistrationRenewInterval =
      std::chrono::seconds(1);
  static constexpr Duration kStandbyRenewInterval = std::chrono::seconds(3);
  /// The store counts as unreachable if it has responded to no call for the
  /// interval of the renewals and this time: the response time of a slow store.
  static constexpr Duration kStoreResponseTime = std::chrono::milliseconds(700);
  /// Maximum time for which callers may cache a directory response.
  static constexpr Duration kMaxDirectoryAge = std::chrono::seconds(2);
  /// Interval of the checks on the way to a planned stop (see StopSequence).
  static constexpr Duration kStopCheckInterval = std::chrono::milliseconds(100);
  /// Time after its start at which an instance requests the state from a peer
  /// if it has not received the complete state from the store. Also the
  /// interval and the timeouts of these requests.
  static constexpr Duration kPeerStateInterval = std::chrono::milliseconds(400);
  /// Delay of the next such request after one that failed, while the state of
  /// the store is held back for it.
  static constexpr Duration kPeerStateRetryDelay =
      std::chrono::milliseconds(100);
  static constexpr std::size_t kMaxPeerStateBytes = std::size_t{8} << 20;
  /// Idle connections for orders: one call to a target is made at a time.
  static constexpr std::size_t kOrderConnectionsPerTarget = 1;
  static constexpr Duration kOrderConnectionIdleTime = std::chrono::seconds(4);
  static constexpr const char* kStorePrefix = "baobab/";
  static constexpr const char* kInstancesPrefix = "baobab/instances/";
  static constexpr const char* kOrderHolderKey = "baobab/orders";
  /// Prefix of the records of software versions (see SoftwareVersions).
  static constexpr const char* kVersionsPrefix = "baobab/versions/";
  /// Latest era of the store that has settled (see StateSync::OnSettledEra).
  static constexpr const char* kSettledEraKey = "baobab/era";
  /// Prefix of the origins of streams (see StreamJournal).
  static constexpr const char* kStreamsPrefix = "baobab/streams/";
  /// Time after a record of a software version was found missing at which a
  /// coordinator that is not the lease holder writes it.
  static constexpr Duration kVersionRecordDelay = std::chrono::seconds(2);
  /// Age of a process up to which its peers tell it of all streams again.
  static constexpr Duration kYoungProcess = std::chrono::seconds(2);
  /// Interval of the queries for origins of streams, which may be lost, and the
  /// time added for each recipient, so that many resumed streams at once do not
  /// take the processor time of a small instance.
  static constexpr Duration kOriginQueryInterval =
      std::chrono::milliseconds(25);
  static constexpr Duration kOriginQueryPerRecipient =
      std::chrono::microseconds(500);

  EntryInstance(boost::asio::io_context& io, InstanceSettings settings)
      : io_(io),
        settings_(std::move(settings)),
        random_(std::random_device{}()),
        incarnation_(static_cast<std::int64_t>(random_() >> 2U)),
        store_pool_(
            std::make_shared<ConnectionPool>(io, 4, std::chrono::seconds(5))),
        store_(store_pool_, settings_.store_),
        gateway_(io, settings_, metrics_, incarnation_),
        cap_broker_(settings_.cap_bounds_),
        sync_(io, store_, kStorePrefix,
              {[this](const auto& manifest) { OnManifest(manifest); },
               [this](const auto& registry) { OnTargets(registry); },
               [this](const auto& entry) { OnOwnEntry(entry); },
               [this] { ForgetGonePeers(); },
               [this](Duration began, bool /*of_all*/) {
                 OnManifestConfirmed(began);
               },
               [this](const TargetRegistration& registration) {
                 gateway_.versions().OnRegistration(
                     {registration.service_, registration.software_version_},
                     Now());
               },
               [this](Duration moment) {
                 gateway_.OnRegistrationsConfirmed(moment);
               },
               [this] { OnRestoredListing(); }}),
        holder_(io, store_, kOrderHolderKey, settings_.instance_,
                OwnerId(settings_.instance_, incarnation_),
                settings_.order_handover_interval_, Planner(settings_),
                // Not the pool of requests: a late copy of a response to an
                // order must not be taken for the response to a request.
                std::make_shared<ConnectionPool>(io, kOrderConnectionsPerTarget,
                                                 kOrderConnectionIdleTime),
                metrics_,
                {[this] { ScheduleUrgentReport(kReportDelayAfterOrder); },
                 [this] {
                   urgent_report_to_all_ = true;
                   ScheduleUrgentReport(kUrgentReportDelay);
                 },
                 [this](const LeavingStatement& statement) {
                   sync_.OnLeavingStatement(statement);
                 }}),
        peers_(
            io, settings_.address_, settings_.peer_port_,
            {[this](const PeerReport& report) { OnPeerReport(report); },
             [this](const LoadUpdate& update) { OnPeerLoadUpdate(update); },
             [this](const FleetDigest& digest) { OnDigest(digest); },
             [this](const CrashEvidence& evidence) {
               OnCrashEvidence(evidence);
             },
             [this](const accounts::CapDemand& demand) { OnCapDemand(demand); },
             [this](const accounts::CapGrants& grants) {
               gateway_.OnCapGrants(grants);
             },
             [this](const StreamOriginUpdate& update) {
               gateway_.OnStreamOrigins(update);
             },
             [this](const StreamOriginQuery& query) {
               AnswerOriginQuery(query);
             }}),
        report_timer_(io),
        evidence_timer_(io),
        urgent_timer_(io),
        registration_timer_(io),
        start_timer_(io),
        stop_timer_(io),
        stop_sequence_(
            StopSequence::ForGracePeriod(settings_.stop_grace_period_)),
        signals_(io, SIGTERM, SIGINT, SIGHUP) {}

  /// Starts the listeners, the reports to peers and the reads of the store.
  /// Throws StepError if a listener cannot be bound.
  auto Start() -> void {
    LogEvent(LogLevel::kInfo, "instance_started")
        .With("instance", settings_.instance_)
        .With("zone", settings_.zone_)
        .With("incarnation", incarnation_);
    if (settings_.caller_endpoint_) {
      gateway_.Listen(*settings_.caller_endpoint_);
    }
    Serve(settings_.readiness_endpoint_, [this](const HttpRequest& request) {
      return Platform::EntryCodec::EncodeReadiness(request, IsReady());
    });
    Serve(settings_.directory_endpoint_,
          [this](const HttpRequest& request) { return OnLookup(request); });
    Serve(settings_.control_endpoint_, [this](const HttpRequest& request) {
      return OnStateOrMetricsRequest(request);
    });
    gateway_.SetDispatchCheck([this] { return MayDispatch(); });
    gateway_.SetMissingAdaptersHandler([this] { OnMissingAdaptersChanged(); });
    gateway_.SetLeavingHandler([this](const LeavingStatement& statement) {
      sync_.OnLeavingStatement(statement);
    });
    gateway_.SetKeyReadHandler([this] {
      sync_.ReadManifest(
          [this](bool answered) { gateway_.OnKeyReadEnded(answered); });
    });
    gateway_.SetOriginQueryHandler([this](std::vector<std::uint64_t> ids) {
      return SendOriginQuery(std::move(ids));
    });
    gateway_.SetRegistrationReadHandler(
        [this] { sync_.ConfirmRegistrations(); });
    gateway_.SetCapDemandHandler([this] { SendCapDemand(); });
    gateway_.SetEvidenceHandler([this] { ScheduleEvidence(); });
    gateway_.SetRetryAfterHandler(
        [this](const std::string& target, Duration time) {
          holder_.OnRetryAfter(target, time);
        });
    gateway_.SetLoadChangedHandler(
        [this](const std::set<std::string>& targets) {
          SendLoadUpdates(targets);
        });
    store_.SetEraHandler([this] { OnLaterStoreEra(); });
    sync_.Start();
    Register();
    SendPeriodicReports();
    if (!sync_.AwaitsPeers()) {
      SchedulePeerState(kPeerStateInterval);
    }
    WaitForSignal();
  }

  /// Serves the metrics in text format at `endpoint`, for any path. Throws
  /// StepError if the endpoint cannot be bound.
  auto ServeMetrics(const TargetEndpoint& endpoint) -> void {
    Serve(endpoint, [this](const HttpRequest&) { return MetricsPage(); });
  }

 private:
  using RequestHandler = std::function<HttpResponse(const HttpRequest&)>;

  [[nodiscard]] static auto Now() -> TimePoint {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }

  [[nodiscard]] static auto Planner(const InstanceSettings& settings)
      -> PlannerSettings {
    PlannerSettings planner;
    planner.weight_store_rate_window_ = settings.weight_store_rate_window_;
    return planner;
  }

  /// Returns the owner id, which identifies one process of an instance.
  [[nodiscard]] static auto OwnerId(const std::string& instance,
                                    std::int64_t incarnation) -> std::string {
    return instance + "/" + std::to_string(incarnation);
  }

  [[nodiscard]] auto IsReady() const -> bool {
    return !stopping_ && sync_.is_complete();
  }

  auto Serve(const std::optional<TargetEndpoint>& endpoint,
             RequestHandler handler) -> void {
    if (!endpoint) {
      return;
    }
    const auto index = servers_.size();
    servers_.push_back(std::make_unique<HttpServer>(
        io_, ConnectionLimits::ForControl(settings_),
        HttpHandlers{[this, index, handler = std::move(handler)](
                         ExchangeId exchange, const HttpRequest& request) {
                       servers_[index]->Respond(exchange, handler(request));
                     },
                     nullptr, nullptr}));
    servers_.back()->Listen(endpoint->host_, endpoint->port_);
  }

  auto OnLookup(const HttpRequest& request) -> HttpResponse {
    const auto own = IsReady() && settings_.caller_endpoint_
                         ? settings_.caller_endpoint_->ToString()
                         : "";
    const auto addresses = directory_.CallerAddresses(
        own, Platform::EntryCodec::DecodeLookupZone(request), Now());
    return Platform::EntryCodec::EncodeLookup(
        request, addresses,
        std::min(kMaxDirectoryAge, settings_.directory_ttl_));
  }

  auto OnStateOrMetricsRequest(const HttpRequest& request) -> HttpResponse;

  auto MetricsPage() -> HttpResponse;

  auto OnManifest(const std::shared_ptr<const Manifest>& manifest) -> void {
    gateway_.SetManifest(manifest);
    holder_.planner().SetManifest(*manifest);
    cap_broker_.SetAccounts(gateway_.key_gate().accounts(), BootNow());
  }

  auto OnTargets(const TargetRegistry& registry) -> void {
    // Deferred requests are admitted now, perhaps before the first report.
    gateway_.SetStoreConnected(IsStoreConnected(Now()));
    gateway_.SetTargets(registry);
    holder_.SetRegistry(registry);
    if (sync_.is_watching_instance() &&
        sync_.routing_revision() > announced_routing_revision_) {
      announced_routing_revision_ = sync_.routing_revision();
      urgent_report_to_all_ = true;
      ScheduleUrgentReport(kUrgentReportDelay);
    }
    if (sync_.is_complete()) {
      holder_.Start();
    }
  }

  /// Handles the first response of the store in a later era, or the first one
  /// that states an era.
  auto OnLaterStoreEra() -> void;

  auto OnOwnEntry(const StoreEntry& entry) -> void;

  /// Writes that the era of the store has settled, if this instance holds the
  /// order lease and no entry states it.
  auto RecordSettledEra(TimePoint now) -> void;

  /// Encodes the value of the store entry that registers this instance:
  /// "<address> <address for callers> <zone> <CPU share>".
  [[nodiscard]] auto EncodeRegistration() const -> std::string;

  /// Decodes the value that EncodeRegistration returned. Fields that are
  /// missing, as in entries of an earlier version, are left empty.
  [[nodiscard]] static auto DecodeRegistration(const std::string& value)
      -> InstanceRegistration;

  auto OnPeerReport(const PeerReport& report) -> void;

  auto OnPeerLoadUpdate(const LoadUpdate& update) -> void;

  /// Applies a digest of a coordinator: the entry instances, the leaving
  /// targets and the state of the coordinator.
  auto OnDigest(const FleetDigest& digest) -> void;

  /// Returns true if keys are revoked strictly: instances exchange evidence
  /// that their manifest is the newest.
  [[nodiscard]] auto HasStrictKeys() -> bool {
    return gateway_.key_gate().IsStrict();
  }

  /// Forgets the stamps of peers that are no longer known.
  auto ForgetGonePeers() -> void;

  auto OnManifestConfirmed(Duration began) -> void;

  /// Applies what a report or digest proves about the manifest.
  auto ApplyKeyEvidence(const PeerReport& report) -> void;

  /// Sends a report or digest to the instance at `address`, with the moment on
  /// its clock for which this instance has evidence.
  auto SendWithEcho(const std::string& address, const std::string& datagram)
      -> void;

  /// Answers a demand if this instance is the broker of caps: the holder of the
  /// order lease, while no other instance can have acquired that.
  auto OnCapDemand(const accounts::CapDemand& demand) -> void;

  /// Sends the demand of this instance to the broker of caps, if one is due.
  auto SendCapDemand() -> void;

  /// Tells peers which software versions began recent streams: the keepers of
  /// origins, or all peers if the service has several versions. Writes the
  /// records of these versions to the store.
  auto ShareStreamOrigins(TimePoint now) -> void;

  /// Tells the keepers of origins, the coordinators and the order lease holder,
  /// of streams of services with one version. They answer for this instance
  /// after it was lost, or while it is partitioned or suspended.
  auto TellKeepers(const std::set<std::string>& mixed, TimePoint now) -> void;

  /// Asks all peers that may know them for the origins of streams. Returns the
  /// time until they may be asked again.
  auto SendOriginQuery(std::vector<std::uint64_t> ids) -> Duration;

  auto AnswerOriginQuery(const StreamOriginQuery& query) -> void;

  /// Tells a process that has just started of all streams.
  auto OnYoungPeer(const PeerReport& report, TimePoint now) -> void;

  auto WriteVersionRecords(std::vector<SoftwareVersion> versions) -> void;

  /// Writes the origins of recent streams to the store if that is due.
  auto WriteStreamJournal(const std::set<std::string>& mixed, TimePoint now)
      -> void;

  auto CommitStreamJournal(const StreamJournal::Write& write) -> void;

  /// Applies an entry with a record of a software version or with origins of
  /// streams. Returns false if it is neither.
  auto ApplyStreamEntry(const StoreEntry& entry) -> bool;

  auto UpdateCapBroker() -> void;

  /// Applies the parts of a report that a digest has as well.
  auto ApplyReportHeader(const PeerReport& report, TimePoint now) -> void;

  /// Merges the evidence of a peer on prompt parts that crash targets.
  auto OnCrashEvidence(const CrashEvidence& evidence) -> void;

  /// Returns the instances that get the evidence of this one: all if it is a
  /// coordinator, otherwise the recipients of its reports.
  [[nodiscard]] auto EvidenceRecipients(TimePoint now) const
      -> std::vector<std::string>;

  /// Sends the evidence on prompt parts to peers as soon as the minimum
  /// interval allows it.
  auto ScheduleEvidence() -> void;

  auto SendEvidence() -> void;

  /// Sends the load of this instance at `targets` to the peers that send
  /// requests to targets.
  auto SendLoadUpdates(const std::set<std::string>& targets) -> void;

  auto ApplyChange(const LoadedModelChange& change) -> void;

  /// Schedules an urgent report if the list of missing adapters (those that
  /// waiting requests need and no target has loaded) has changed and is not
  /// empty.
  auto OnMissingAdaptersChanged() -> void;

  /// Sends an urgent report after `delay`.
  ///
  /// The instance that holds the order lease (the right to send load and unload
  /// orders) receives the report, including the missing adapters. If this
  /// instance holds the lease, the report goes to the peers that wait for an
  /// adapter that has been loaded. If urgent_report_to_all_ is set, it goes to
  /// all instances, unless the last report to all of them was sent less than
  /// kMinBroadcastInterval ago.
  auto ScheduleUrgentReport(Duration delay) -> void;

  auto SendPeriodicReports() -> void;

  /// Returns the interval of the renewals of the registration.
  [[nodiscard]] auto RenewInterval(TimePoint now) const -> Duration {
    return directory_.IsActive(now) || outage_reported_
               ? kRegistrationRenewInterval
               : kStandbyRenewInterval;
  }

  [[nodiscard]] auto IsStoreConnected(TimePoint now) const -> bool {
    return now - store_.last_response_time() <=
           RenewInterval(now) + kStoreResponseTime;
  }

  /// Updates the roles of this instance (watching instance, order lease
  /// holder) according to the connection to the store and the reports of the
  /// peers. Must be called before MakeReport, so that the report contains the
  /// new roles.
  auto UpdateRoles(TimePoint now) -> void;

  /// Returns the report without the recent changes and without the parts for
  /// the order lease holder.
  [[nodiscard]] auto MakeReport(TimePoint now) -> PeerReport;

  /// Sends a report. If `urgent` is true, only the order lease holder and the
  /// instances that wait for a newly loaded adapter receive it; otherwise all
  /// instances with which this one exchanges reports do. If no instance is
  /// known, it goes to the seeds.
  auto SendReport(bool urgent = false) -> void;

  /// Sends a digest to all known instances if this instance is a coordinator
  /// and a digest is due: its interval has passed, or the entry instances or
  /// leaving targets have changed.
  auto SendDigestIfDue(const PeerReport& header, TimePoint now) -> void;

  /// Divides the retry budget and the connections of targets according to the
  /// role of this instance.
  auto UpdateShares(TimePoint now) -> void;

  auto Register() -> void;

  /// Checks whether the process was suspended, after which all that it knows is
  /// older than its steady clock says.
  auto CheckSuspension() -> void;

  /// Returns false for a short time after a suspension, until the store was
  /// read: targets may have left meanwhile.
  [[nodiscard]] auto MayDispatch() -> bool;

  auto ScheduleRegistration(Duration delay) -> void;

  /// Requests the state from a random peer, and again after kPeerStateInterval
  /// until the state is complete.
  auto RequestPeerState() -> void;

  /// Requests the state again after `delay` unless it is complete then.
  auto SchedulePeerState(Duration delay) -> void;

  /// Handles the failure of a request for the state. While the store's own
  /// state is held back, another peer is asked soon.
  auto OnPeerStateFailed(const std::string& peer, const std::string& reason)
      -> void;

  /// Asks peers for what the store may lack after its return from a copy.
  auto OnRestoredListing() -> void;

  /// Requests the recent state (manifest and leaving targets) from the instance
  /// at `address`, at most once each kPeerStateInterval.
  auto RequestRecentState(const std::string& address) -> void;

  /// Returns the control endpoints of the seeds and of the known peers.
  [[nodiscard]] auto PeerControlEndpoints() const
      -> std::vector<TargetEndpoint>;

  /// Returns the manifest and the targets that left recently.
  [[nodiscard]] auto MakeRecentState() const -> boost::json::object;

  auto ApplyRecentState(const boost::json::object& state) -> void;

  /// Sends GET `path` to the control endpoint `peer`. `on_body` gets the body
  /// of a complete response with status 200, `on_failure` the reason otherwise.
  auto FetchFromPeer(const TargetEndpoint& peer, std::string path,
                     std::function<void(const std::string&)> on_body,
                     const std::function<void(const std::string&)>& on_failure)
      -> void;

  auto ApplyPeerState(const std::string& text) -> void;

  auto WaitForSignal() -> void;

  auto BeginStop() -> void;

  auto CheckStop() -> void;

  /// Maximum time that a report usually takes from its creation to its receipt,
  /// including delays in the sending process.
  static constexpr Duration kMaxReportDelay = std::chrono::milliseconds(150);
  /// Maximum time for which requests wait after a suspension for the store to
  /// be read: a read takes some milliseconds, and the store may be unreachable.
  static constexpr Duration kMaxResumeWait = std::chrono::milliseconds(400);
  /// Part of the retry slack that all entry instances share, and the part that
  /// all others share. Their sum is below 1 because the set of entry instances
  /// may change within the window of the retry limit.
  static constexpr double kEntryRetryShare = 0.5;
  static constexpr double kStandbyRetryShare = 0.3;
  /// Time for which the order lease holder repeats a change of loaded models or
  /// adapters in its reports, since a report may be lost.
  static constexpr Duration kChangeRepeatTime = std::chrono::seconds(2);

  boost::asio::io_context& io_;
  InstanceSettings settings_;
  MetricsRegistry metrics_;
  Random random_;
  std::int64_t incarnation_;
  TimePoint started_at_ = Now();  // of this process
  std::shared_ptr<ConnectionPool> store_pool_;
  typename Platform::Store store_;
  RequestGateway<typename Platform::RequestCodec> gateway_;
  accounts::AccountCapBroker cap_broker_;
  InstanceDirectory directory_;
  StateSync<typename Platform::Store, typename Platform::StateCodec> sync_;
  OrderHolder<typename Platform::Store, typename Platform::EngineCodec> holder_;
  PeerLink peers_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  boost::asio::steady_timer report_timer_;
  boost::asio::steady_timer evidence_timer_;
  boost::asio::steady_timer urgent_timer_;
  boost::asio::steady_timer registration_timer_;
  boost::asio::steady_timer start_timer_;
  boost::asio::steady_timer stop_timer_;
  StopSequence stop_sequence_;
  boost::asio::signal_set signals_;
  std::vector<MissingAdapter> last_missing_adapters_;
  std::int64_t sequence_ = 0;
  std::int64_t store_era_ = 0;
  std::int64_t registration_lease_ = 0;
  TimePoint registration_confirmed_at_{-kRegistrationTtl};  // on the boot clock
  bool outage_reported_ = false;  // no coordinator reaches the store
  TimePoint stop_started_at_{};
  SuspensionDetector suspension_;
  std::optional<TimePoint> resumed_at_;  // until the store was read since
  bool stopping_ = false;
  TimePoint recent_state_requested_at_{};
  bool urgent_report_pending_ = false;
  // Set if an urgent report was requested while another one was pending.
  bool urgent_report_requested_again_ = false;
  bool urgent_report_to_all_ = false;
  // Last routing revision for which this watching instance scheduled an urgent
  // report to all instances.
  std::int64_t announced_routing_revision_ = 0;
  TimePoint reported_at_{};  // time of the last report to all recipients
  TimePoint digest_sent_at_{};
  TimePoint evidence_sent_at_{};
  bool evidence_pending_ = false;
  std::set<std::string> digest_entries_;  // entry instances in the last digest
  std::int64_t digest_routing_revision_ = 0;
  accounts::EvidenceEcho echo_;
  std::map<std::string, std::int64_t> told_peers_;  // incarnation by name
  std::optional<TimePoint> records_missing_since_;
  bool writes_records_ = false;
  bool writes_era_ = false;
  StreamJournal stream_journal_;
  std::int64_t journal_lease_ = 0;
  TimePoint journal_lease_granted_at_{};
  AdapterRequesters requesters_;  // used by the order lease holder
};

}  // namespace baobab::gateway

// Definitions of the members declared above.
#include "baobab_gateway/entry_instance_caps.h"
#include "baobab_gateway/entry_instance_keys.h"
#include "baobab_gateway/entry_instance_reports.h"
#include "baobab_gateway/entry_instance_state.h"
#include "baobab_gateway/entry_instance_streams.h"
