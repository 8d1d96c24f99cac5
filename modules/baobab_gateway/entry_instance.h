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
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/log.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_gateway/adapter_requesters.h"
#include "baobab_gateway/instance_directory.h"
#include "baobab_gateway/instance_settings.h"
#include "baobab_gateway/order_holder.h"
#include "baobab_gateway/peer_link.h"
#include "baobab_gateway/request_gateway.h"
#include "baobab_gateway/state_sync.h"
#include "baobab_http/http_server.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab::gateway {

/// One entry instance: takes requests of callers, tells callers which addresses
/// to use, and shares the duties of the fleet with its peers.
///
/// `Platform` names the types that translate between the platform's formats and
/// the gateway: Store, RequestCodec, StateCodec, EntryCodec and EngineCalls.
template <class Platform>
class EntryInstance {
 public:
  /// Interval of reports to peers in a small fleet.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(100);
  /// Time per peer by which the interval grows, so that the cost of reports
  /// stays below about 2% of a quarter core.
  static constexpr Duration kReportIntervalPerPeer =
      std::chrono::milliseconds(6);
  /// Shortest time between two reports outside the interval.
  static constexpr Duration kUrgentReportDelay = std::chrono::milliseconds(10);
  /// Time after an order was answered in which an adapter becomes usable: 14 ms
  /// (PlannerSettings). A report before that does not name it.
  static constexpr Duration kReportDelayAfterOrder =
      std::chrono::milliseconds(16);
  /// Shortest time between two reports to all instances.
  static constexpr Duration kMinBroadcastInterval =
      std::chrono::milliseconds(100);
  /// Lease of the own registration, and the interval of its renewal.
  static constexpr Duration kRegistrationTtl = std::chrono::seconds(6);
  static constexpr Duration kRegistrationRenewInterval =
      std::chrono::seconds(1);
  /// The store counts as away if no call was answered for this long: a renewal
  /// of the registration, and the answer of a slow store.
  static constexpr Duration kStoreTimeout = std::chrono::milliseconds(1700);
  /// How long callers keep an answer of the directory.
  static constexpr Duration kMaxDirectoryAge = std::chrono::seconds(2);
  /// Least time from the stop signal to the end of the process: callers with
  /// an earlier answer of the directory still connect.
  static constexpr Duration kMinStopTime = std::chrono::milliseconds(2500);
  /// Part of the grace period that is left unused before the process would be
  /// killed.
  static constexpr Duration kStopReserve = std::chrono::milliseconds(700);
  static constexpr Duration kStopCheckInterval = std::chrono::milliseconds(100);
  /// How long a start waits for the store before it asks peers.
  static constexpr Duration kPeerStateInterval = std::chrono::milliseconds(400);
  static constexpr std::size_t kMaxPeerStateBytes = std::size_t{8} << 20;
  static constexpr const char* kStorePrefix = "baobab/";
  static constexpr const char* kInstancesPrefix = "baobab/instances/";
  static constexpr const char* kOrderHolderKey = "baobab/orders";

  EntryInstance(boost::asio::io_context& io, InstanceSettings settings)
      : io_(io),
        settings_(std::move(settings)),
        random_(std::random_device{}()),
        incarnation_(static_cast<std::int64_t>(random_() >> 2U)),
        store_pool_(
            std::make_shared<ConnectionPool>(io, 4, std::chrono::seconds(5))),
        store_(store_pool_, settings_.store_),
        gateway_(io, settings_, metrics_),
        sync_(io, store_, kStorePrefix,
              {[this](const auto& manifest) { OnManifest(manifest); },
               [this](const auto& registry) { OnTargets(registry); },
               [this](const auto& entry) { OnOwnEntry(entry); }}),
        holder_(io, store_, kOrderHolderKey, settings_.instance_,
                OwnerId(settings_.instance_, incarnation_),
                settings_.order_turn_, Planner(settings_), gateway_.pool(),
                metrics_,
                {[this] { ScheduleUrgentReport(kReportDelayAfterOrder); },
                 [this] {
                   urgent_to_all_ = true;
                   ScheduleUrgentReport(kUrgentReportDelay);
                 }}),
        peers_(
            io, settings_.address_, settings_.peer_port_,
            {[this](const PeerReport& report) { OnPeerReport(report); },
             [this](const WorkUpdate& update) { OnPeerLoadUpdate(update); }}),
        report_timer_(io),
        urgent_timer_(io),
        registration_timer_(io),
        start_timer_(io),
        stop_timer_(io),
        signals_(io, SIGTERM, SIGINT, SIGHUP) {}

  /// Starts everything. Throws StepError if an address cannot be used.
  auto Start() -> void {
    LogEvent(LogLevel::kInfo, "instance_started")
        .With("instance", settings_.instance_)
        .With("zone", settings_.zone_)
        .With("incarnation", incarnation_);
    if (settings_.callers_) {
      gateway_.Listen(*settings_.callers_);
    }
    Serve(settings_.readiness_, [this](const HttpRequest& request) {
      return Platform::EntryCodec::Readiness(request, IsReady());
    });
    Serve(settings_.directory_,
          [this](const HttpRequest& request) { return OnLookup(request); });
    Serve(settings_.control_,
          [this](const HttpRequest& request) { return OnControl(request); });
    gateway_.OnNeeds([this] { OnMissingAdaptersChanged(); });
    gateway_.OnWorkChanged([this](const std::set<std::string>& targets) {
      SendLoadUpdates(targets);
    });
    sync_.Start();
    Register();
    SendPeriodicReports();
    start_timer_.expires_after(kPeerStateInterval);
    start_timer_.async_wait([this](boost::system::error_code error) {
      if (!error && !sync_.is_complete()) {
        RequestPeerState();
      }
    });
    WaitForSignal();
  }

  /// Serves the metrics page at `endpoint`.
  auto ServeMetrics(const TargetEndpoint& endpoint) -> void {
    Serve(endpoint, [this](const HttpRequest&) { return MetricsPage(); });
  }

 private:
  using Answer = std::function<HttpResponse(const HttpRequest&)>;

  [[nodiscard]] static auto Now() -> TimePoint {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }

  [[nodiscard]] static auto Planner(const InstanceSettings& settings)
      -> PlannerSettings {
    PlannerSettings planner;
    planner.load_window_ = settings.load_window_;
    return planner;
  }

  /// Names one process of an instance.
  [[nodiscard]] static auto OwnerId(const std::string& instance,
                                    std::int64_t incarnation) -> std::string {
    return instance + "/" + std::to_string(incarnation);
  }

  [[nodiscard]] auto IsReady() const -> bool {
    return !stopping_ && sync_.is_complete();
  }

  auto Serve(const std::optional<TargetEndpoint>& endpoint, Answer answer)
      -> void {
    if (!endpoint) {
      return;
    }
    const auto index = servers_.size();
    servers_.push_back(std::make_unique<HttpServer>(
        io_, HttpLimits(),
        HttpHandlers{[this, index, answer = std::move(answer)](
                         ExchangeId exchange, const HttpRequest& request) {
                       servers_[index]->Respond(exchange, answer(request));
                     },
                     nullptr, nullptr}));
    servers_.back()->Listen(endpoint->host_, endpoint->port_);
  }

  auto OnLookup(const HttpRequest& request) -> HttpResponse {
    const auto own =
        IsReady() && settings_.callers_ ? settings_.callers_->ToString() : "";
    const auto addresses = directory_.CallerAddresses(own, Now());
    return Platform::EntryCodec::Lookup(
        request, addresses,
        std::min(kMaxDirectoryAge, settings_.directory_age_));
  }

  auto OnControl(const HttpRequest& request) -> HttpResponse;

  auto MetricsPage() -> HttpResponse;

  auto OnManifest(const std::shared_ptr<const Manifest>& manifest) -> void {
    gateway_.SetManifest(manifest);
    holder_.planner().SetManifest(*manifest);
  }

  auto OnTargets(const TargetRegistry& registry) -> void {
    gateway_.SetTargets(registry);
    holder_.SetRegistry(registry);
    if (sync_.is_reader() &&
        sync_.routing_revision() > announced_routing_revision_) {
      announced_routing_revision_ = sync_.routing_revision();
      urgent_to_all_ = true;
      ScheduleUrgentReport(kUrgentReportDelay);
    }
    if (sync_.is_complete()) {
      holder_.Start();
    }
  }

  auto OnOwnEntry(const StoreItem& entry) -> void {
    holder_.OnItem(entry);
    const std::string prefix = kInstancesPrefix;
    if (!entry.key_.starts_with(prefix)) {
      return;
    }
    const auto name = entry.key_.substr(prefix.size());
    if (name == settings_.instance_) {
      return;
    }
    if (entry.removed_) {
      directory_.Unregister(name);
      return;
    }
    // "<address> <callers>"
    const auto space = entry.value_.find(' ');
    directory_.Register(name, entry.value_.substr(0, space),
                        space == std::string::npos
                            ? std::string()
                            : entry.value_.substr(space + 1));
  }

  auto OnPeerReport(const PeerReport& report) -> void;

  auto OnPeerLoadUpdate(const WorkUpdate& update) -> void;

  /// Tells all peers what this instance has in progress at `targets`.
  auto SendLoadUpdates(const std::set<std::string>& targets) -> void;

  auto ApplyChange(const HoldingChange& change) -> void;

  /// Requests wait for an adapter that no target holds: tells the holder.
  auto OnMissingAdaptersChanged() -> void;

  /// Reports after `delay`: needs to the holder, or, as the holder, changes of
  /// what targets hold: adapters to the instances that wait for them, models to
  /// all.
  auto ScheduleUrgentReport(Duration delay) -> void;

  auto SendPeriodicReports() -> void;

  [[nodiscard]] auto IsStoreConnected(TimePoint now) const -> bool {
    return now - store_.last_answer() <= kStoreTimeout;
  }

  /// Takes and leaves duties by what is known of the store and of peers. Comes
  /// before a report, so that the report says what holds from now on.
  auto UpdateRoles(TimePoint now) -> void;

  /// Returns what every peer hears of this instance.
  [[nodiscard]] auto MakeReport(TimePoint now) -> PeerReport;

  /// `urgent`: only to the holder of orders and the instances that wait for
  /// what has changed.
  auto SendReport(bool urgent = false) -> void;

  auto Register() -> void;

  auto RegisterLater(Duration delay) -> void;

  /// Reads the state from a peer while the store does not answer.
  auto RequestPeerState() -> void;

  auto ApplyPeerState(const std::string& text) -> void;

  auto WaitForSignal() -> void;

  auto BeginStop() -> void;

  auto CheckStop() -> void;

  /// Longest usual time of a report on its way, with the sender's delays.
  static constexpr Duration kMaxReportDelay = std::chrono::milliseconds(150);
  /// Age up to which changes are repeated in reports.
  static constexpr Duration kChangeRepeatTime = std::chrono::seconds(2);

  boost::asio::io_context& io_;
  InstanceSettings settings_;
  MetricsRegistry metrics_;
  Random random_;
  std::int64_t incarnation_;
  std::shared_ptr<ConnectionPool> store_pool_;
  typename Platform::Store store_;
  RequestGateway<typename Platform::RequestCodec> gateway_;
  InstanceDirectory directory_;
  StateSync<typename Platform::Store, typename Platform::StateCodec> sync_;
  OrderHolder<typename Platform::Store, typename Platform::EngineCalls> holder_;
  PeerLink peers_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  boost::asio::steady_timer report_timer_;
  boost::asio::steady_timer urgent_timer_;
  boost::asio::steady_timer registration_timer_;
  boost::asio::steady_timer start_timer_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::signal_set signals_;
  std::vector<AdapterNeed> last_missing_adapters_;
  std::int64_t sequence_ = 0;
  std::int64_t registration_lease_ = 0;
  TimePoint stop_started_at_{};
  bool stopping_ = false;
  bool refusing_connections_ = false;
  bool urgent_pending_ = false;
  bool urgent_requested_again_ = false;  // asked for while one was pending
  bool urgent_to_all_ = false;
  std::int64_t announced_routing_revision_ =
      0;                          // important revision of the last such report
  TimePoint reported_at_{};       // to all instances
  AdapterRequesters requesters_;  // kept by the holder of orders
};

}  // namespace baobab::gateway

// Definitions of the members declared above.
#include "baobab_gateway/entry_instance_reports.h"
#include "baobab_gateway/entry_instance_state.h"
