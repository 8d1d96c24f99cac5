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
  static constexpr Duration kReportPerPeer = std::chrono::milliseconds(6);
  /// Shortest time between two reports outside the interval.
  static constexpr Duration kUrgentInterval = std::chrono::milliseconds(10);
  /// Shortest time between two reports to all instances.
  static constexpr Duration kBroadcastInterval = std::chrono::milliseconds(100);
  /// Lease of the own registration, and the interval of its renewal.
  static constexpr Duration kRegistrationTime = std::chrono::seconds(6);
  static constexpr Duration kRegistrationInterval = std::chrono::seconds(1);
  /// The store counts as away if no call was answered for this long: a renewal
  /// of the registration, and the answer of a slow store.
  static constexpr Duration kStoreSilence = std::chrono::milliseconds(1700);
  /// How long callers keep an answer of the directory.
  static constexpr Duration kDirectoryAge = std::chrono::seconds(2);
  /// Least time from the stop signal to the end of the process: callers with
  /// an earlier answer of the directory still connect.
  static constexpr Duration kStopLinger = std::chrono::milliseconds(2500);
  /// Part of the grace period that is left unused before the process would be
  /// killed.
  static constexpr Duration kStopReserve = std::chrono::milliseconds(700);
  static constexpr Duration kStopCheck = std::chrono::milliseconds(100);
  /// How long a start waits for the store before it asks peers.
  static constexpr Duration kAskPeersAfter = std::chrono::milliseconds(400);
  static constexpr std::size_t kLargestState = std::size_t{8} << 20;
  static constexpr const char* kPrefix = "baobab/";
  static constexpr const char* kInstances = "baobab/instances/";
  static constexpr const char* kHolderKey = "baobab/orders";

  EntryInstance(boost::asio::io_context& io, InstanceSettings settings)
      : io_(io),
        settings_(std::move(settings)),
        random_(std::random_device{}()),
        incarnation_(static_cast<std::int64_t>(random_() >> 2U)),
        store_pool_(
            std::make_shared<ConnectionPool>(io, 4, std::chrono::seconds(5))),
        store_(store_pool_, settings_.store_),
        gateway_(io, settings_, metrics_),
        sync_(io, store_, kPrefix,
              {[this](const auto& manifest) { OnManifest(manifest); },
               [this](const auto& registry) { OnTargets(registry); },
               [this](const auto& item) { OnOwnItem(item); }}),
        holder_(io, store_, kHolderKey, settings_.instance_,
                Mark(settings_.instance_, incarnation_), settings_.order_turn_,
                Planner(settings_), gateway_.pool(), metrics_,
                {[this](const EngineOrder& order) { OnOrdered(order); },
                 [this] {
                   urgent_to_all_ = true;
                   ReportSoon();
                 }}),
        peers_(io, settings_.address_, settings_.peer_port_,
               {[this](const PeerReport& report) { OnPeer(report); },
                [this](const WorkUpdate& update) { OnPeerWork(update); }}),
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
    gateway_.OnNeeds([this] { OnNeeds(); });
    gateway_.OnWorkChanged([this](const std::set<std::string>& targets) {
      SendWorkUpdates(targets);
    });
    sync_.Start();
    Register();
    Report();
    start_timer_.expires_after(kAskPeersAfter);
    start_timer_.async_wait([this](boost::system::error_code error) {
      if (!error && !sync_.is_complete()) {
        AskPeers();
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
  [[nodiscard]] static auto Mark(const std::string& instance,
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
        request, addresses, std::min(kDirectoryAge, settings_.directory_age_));
  }

  auto OnControl(const HttpRequest& request) -> HttpResponse {
    HttpResponse response;
    if (request.path_ == "/state" && sync_.is_complete()) {
      boost::json::array targets;
      for (const auto& [id, raw] : sync_.raw_targets()) {
        targets.push_back(boost::json::array{id, raw.first, raw.second});
      }
      boost::json::array instances;
      for (const auto& [name, instance] : directory_.instances()) {
        instances.emplace_back(instance.address_);
      }
      response.body_ = boost::json::serialize(
          boost::json::object{{"manifest", sync_.manifest_text()},
                              {"targets", std::move(targets)},
                              {"instances", std::move(instances)}});
    } else if (request.path_ == "/metrics") {
      return MetricsPage();
    } else {
      response.status_ = request.path_ == "/state" ? 503 : 404;
    }
    return response;
  }

  auto MetricsPage() -> HttpResponse {
    HttpResponse response;
    response.content_type_ = "text/plain; version=0.0.4";
    const auto now = Now();
    auto& dispatcher = gateway_.dispatcher();
    metrics_.Set("gateway_waiting", "",
                 static_cast<double>(dispatcher.waiting()));
    metrics_.Set("gateway_running", "",
                 static_cast<double>(dispatcher.running()));
    metrics_.Set(
        "gateway_oldest_wait_seconds", "",
        std::chrono::duration<double>(dispatcher.OldestWait(now)).count());
    metrics_.Set(
        "gateway_manifest_version", "",
        sync_.manifest() ? static_cast<double>(sync_.manifest()->version_) : 0);
    metrics_.Set("gateway_store_connected", "", sync_.is_connected() ? 1 : 0);
    metrics_.Set("gateway_is_holder", "", holder_.fencing_token() != 0 ? 1 : 0);
    response.body_ = metrics_.Render();
    return response;
  }

  auto OnManifest(const std::shared_ptr<const Manifest>& manifest) -> void {
    gateway_.SetManifest(manifest);
    holder_.planner().SetManifest(*manifest);
  }

  auto OnTargets(const TargetRegistry& registry) -> void {
    gateway_.SetTargets(registry);
    holder_.SetRegistry(registry);
    if (sync_.is_reader() && sync_.important_revision() > announced_revision_) {
      announced_revision_ = sync_.important_revision();
      urgent_to_all_ = true;
      ReportSoon();
    }
    if (sync_.is_complete()) {
      holder_.Start();
    }
  }

  auto OnOwnItem(const StoreItem& item) -> void {
    holder_.OnItem(item);
    const std::string prefix = kInstances;
    if (!item.key_.starts_with(prefix)) {
      return;
    }
    const auto name = item.key_.substr(prefix.size());
    if (name == settings_.instance_) {
      return;
    }
    if (item.removed_) {
      directory_.Unregister(name);
      return;
    }
    // "<address> <callers>"
    const auto space = item.value_.find(' ');
    directory_.Register(name, item.value_.substr(0, space),
                        space == std::string::npos
                            ? std::string()
                            : item.value_.substr(space + 1));
  }

  auto OnPeer(const PeerReport& report) -> void {
    const auto now = Now();
    if (report.instance_ == settings_.instance_ ||
        !directory_.Hear(report, now)) {
      return;
    }
    auto& dispatcher = gateway_.dispatcher();
    dispatcher.OnPeerWork(report.instance_, report.work_, now);
    for (const auto& change : report.changes_) {
      ApplyChange(change);
    }
    sync_.OnHint(
        report.important_revision_,
        report.store_read_age_
            ? std::optional(now - *report.store_read_age_ - kReportTravel)
            : std::nullopt);
    holder_.OnOtherHolder(report.fencing_token_);
    if (report.fencing_token_ == 0) {
      holder_.OnOtherIsNoHolder(Mark(report.instance_, report.incarnation_),
                                report.recent_orders_);
    }
    if (holder_.fencing_token() != 0) {
      holder_.planner().OnPeer(report.instance_, report.demand_, report.needs_,
                               report.uses_, now);
    }
    if (!report.needs_.empty() && holder_.fencing_token() != 0) {
      for (const auto& need : report.needs_) {
        requesters_[{need.model_, need.adapter_}][report.address_] = now;
      }
      holder_.Pump();
    }
    if (!report.changes_.empty() && dispatcher.waiting() > 0) {
      gateway_.Pump();
    }
  }

  auto OnPeerWork(const WorkUpdate& update) -> void {
    const auto now = Now();
    if (update.instance_ != settings_.instance_ &&
        directory_.HearUpdate(update, now)) {
      gateway_.dispatcher().OnPeerTargetWork(update.instance_, update.target_,
                                             update.work_, now);
    }
  }

  /// Tells all peers what this instance has in progress at `targets`.
  auto SendWorkUpdates(const std::set<std::string>& targets) -> void {
    const auto now = Now();
    for (const auto& target : targets) {
      const auto bytes = EncodeWorkUpdate(
          {settings_.instance_, incarnation_, ++sequence_, target,
           gateway_.dispatcher().OwnWorkAt(target, now)});
      for (const auto& [name, instance] : directory_.instances()) {
        if (instance.heard_) {
          peers_.Send(instance.address_, bytes);
        }
      }
    }
  }

  auto ApplyChange(const HoldingChange& change) -> void {
    auto& dispatcher = gateway_.dispatcher();
    if (change.removed_) {
      dispatcher.OnRemoval(change.target_, change.model_, change.adapter_);
    } else {
      dispatcher.OnAdapterLoaded(change.target_, change.model_,
                                 change.adapter_);
    }
  }

  /// Requests wait for an adapter that no target holds: tells the holder.
  auto OnNeeds() -> void {
    auto needs = gateway_.dispatcher().AdapterNeeds();
    if (needs == last_needs_) {
      return;
    }
    last_needs_ = std::move(needs);
    if (!last_needs_.empty()) {
      ReportSoon();
    }
  }

  /// The holder of orders has the answer to `order`: tells the instances whose
  /// requests wait for it. The others hear of it in the next report. Telling
  /// all of them at once took more than the 10 Mbit/s of a small instance.
  auto OnOrdered(const EngineOrder& order) -> void {
    const auto now = Now();
    const auto asked = requesters_.find({order.model_, order.adapter_});
    if (asked != requesters_.end()) {
      for (const auto& [address, at] : asked->second) {
        if (now - at <= kNeedReported) {
          urgent_to_.insert(address);
        }
      }
      requesters_.erase(asked);
    }
    if (!urgent_to_.empty()) {
      ReportSoon();
    }
  }

  /// Reports before the next interval: needs to the holder, or, as the holder,
  /// changes of what targets hold: adapters to the instances in `urgent_to_`,
  /// models to all.
  auto ReportSoon() -> void {
    if (urgent_pending_) {
      return;
    }
    urgent_pending_ = true;
    urgent_timer_.expires_after(kUrgentInterval);
    urgent_timer_.async_wait([this](boost::system::error_code error) {
      urgent_pending_ = false;
      if (!error) {
        const bool to_all =
            urgent_to_all_ && Now() - reported_at_ >= kBroadcastInterval;
        SendReport(/*urgent=*/!to_all);
      }
    });
  }

  auto Report() -> void {
    SendReport();
    report_timer_.expires_after(
        kReportInterval +
        kReportPerPeer * static_cast<int>(directory_.instances().size()));
    report_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        Report();
      }
    });
  }

  /// `urgent`: only to the holder of orders and the instances in `urgent_to_`.
  auto SendReport(bool urgent = false) -> void {
    const auto now = Now();
    directory_.Expire(now);
    const bool store_connected = now - store_.last_answer() <= kStoreSilence;
    holder_.SetStoreConnected(store_connected);
    gateway_.SetStoreConnected(store_connected);
    if (!store_connected) {
      if (const auto at = directory_.StoreAwayForAllSince(now)) {
        // Reports take a moment to arrive: they speak of an earlier time.
        holder_.OnStoreAwayForAll(BootTime() - (now - *at) - kReportTravel);
      }
    }
    gateway_.SetInstances(directory_.CountWithOwn());
    auto& dispatcher = gateway_.dispatcher();
    dispatcher.ExpirePeers(now);
    PeerReport report;
    report.instance_ = settings_.instance_;
    report.incarnation_ = incarnation_;
    report.sequence_ = ++sequence_;
    report.address_ = settings_.address_;
    report.callers_ = settings_.callers_ ? settings_.callers_->ToString() : "";
    report.zone_ = settings_.zone_;
    report.ready_ = IsReady();
    report.stopping_ = stopping_;
    report.manifest_version_ =
        sync_.manifest() ? sync_.manifest()->version_ : 0;
    report.important_revision_ = sync_.important_revision();
    if (sync_.is_reader() && sync_.is_connected()) {
      report.store_read_age_ = now - sync_.read_at();
    }
    report.store_connected_ = store_connected;
    report.fencing_token_ = holder_.fencing_token();
    report.processor_permille_ = settings_.processor_permille_;
    report.work_ = dispatcher.OwnWork(now);
    report.recent_orders_ = holder_.RecentOrders();
    const auto demand = dispatcher.Demand(now);
    const auto needs = dispatcher.AdapterNeeds();
    const auto uses = dispatcher.TakeAdapterUses();
    sync_.SetReader(report.fencing_token_ != 0 ||
                    directory_.IsReader(settings_.instance_,
                                        settings_.processor_permille_, now));
    holder_.SetStrongerPeer(
        directory_.HasStronger(settings_.processor_permille_, now));
    if (report.fencing_token_ != 0) {
      report.changes_ = holder_.planner().ChangesSince(now - kChangeTime, now);
      for (const auto& change : report.changes_) {
        ApplyChange(change);
      }
      holder_.planner().OnPeer(settings_.instance_, demand, needs, uses, now);
      holder_.Pump();
      gateway_.Pump();
    }
    const auto text = EncodePeerReport(report);
    report.demand_ = demand;
    report.needs_ = needs;
    report.uses_ = uses;
    std::string text_for_holder;  // encoded only if another one is the holder
    for (const auto& [name, instance] : directory_.instances()) {
      if (instance.fencing_token_ != 0) {
        if (text_for_holder.empty()) {
          text_for_holder = EncodePeerReport(report);
        }
        peers_.Send(instance.address_, text_for_holder);
      } else if (!urgent || urgent_to_.count(instance.address_) > 0) {
        peers_.Send(instance.address_, text);
      }
    }
    urgent_to_.clear();
    if (!urgent) {
      urgent_to_all_ = false;
      reported_at_ = now;
    }
    if (directory_.instances().empty()) {
      for (const auto& seed : settings_.seeds_) {
        if (seed.host_ != settings_.address_) {
          peers_.Send(seed.host_, text);
        }
      }
    }
  }

  auto Register() -> void {
    if (stopping_) {
      return;
    }
    if (registration_lease_ != 0) {
      store_.KeepLease(registration_lease_, [this](auto result) {
        if (const auto* failure = std::get_if<StoreFailure>(&result);
            failure != nullptr && *failure == StoreFailure::kNoLease) {
          LogEvent(LogLevel::kWarning, "registration_lapsed")
              .With("lease", registration_lease_);
          registration_lease_ = 0;
        }
        RegisterLater(registration_lease_ == 0 ? Duration::zero()
                                               : kRegistrationInterval);
      });
      return;
    }
    store_.GrantLease(kRegistrationTime, [this](auto result) {
      const auto* lease = std::get_if<StoreLease>(&result);
      if (lease == nullptr) {
        RegisterLater(kRegistrationInterval);
        return;
      }
      StoreChange change;
      change.writes_.push_back(
          {kInstances + settings_.instance_,
           settings_.address_ + " " +
               (settings_.callers_ ? settings_.callers_->ToString() : ""),
           lease->id_});
      const auto id = lease->id_;
      store_.Commit(change, [this, id](auto committed) {
        if (std::holds_alternative<std::int64_t>(committed)) {
          registration_lease_ = id;
          LogEvent(LogLevel::kInfo, "instance_registered").With("lease", id);
        }
        RegisterLater(kRegistrationInterval);
      });
    });
  }

  auto RegisterLater(Duration delay) -> void {
    registration_timer_.expires_after(delay);
    registration_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        Register();
      }
    });
  }

  /// Reads the state from a peer while the store does not answer.
  auto AskPeers() -> void {
    std::vector<TargetEndpoint> candidates = settings_.seeds_;
    for (const auto& [name, instance] : directory_.instances()) {
      if (settings_.control_) {
        candidates.push_back({instance.address_, settings_.control_->port_});
      }
    }
    std::erase_if(candidates, [this](const TargetEndpoint& candidate) {
      return candidate.host_ == settings_.address_;
    });
    if (!candidates.empty()) {
      std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
      TargetRequest request;
      request.endpoint_ = candidates[draw(random_)];
      request.path_ = "/state";
      request.timeouts_ = {kAskPeersAfter, kAskPeersAfter, kAskPeersAfter,
                           kAskPeersAfter};
      StartWholeExchange(store_pool_, std::move(request), kLargestState,
                         {[this](const TargetResponse& response) {
                            if (response.head_.status_ == 200) {
                              AdoptState(response.body_);
                            }
                          },
                          [](const AttemptFailure& failure) {
                            LogEvent(LogLevel::kInfo, "peer_state_failed")
                                .With("peer", failure.peer_)
                                .With("reason", failure.reason_);
                          }});
    }
    start_timer_.expires_after(kAskPeersAfter);
    start_timer_.async_wait([this](boost::system::error_code error) {
      if (!error && !sync_.is_complete()) {
        AskPeers();
      }
    });
  }

  auto AdoptState(const std::string& text) -> void {
    try {
      const auto document = boost::json::parse(text);
      const auto& object = document.as_object();
      const auto manifest =
          boost::json::value_to<std::string>(object.at("manifest"));
      if (manifest.empty() || sync_.is_complete()) {
        return;
      }
      sync_.AdoptManifest(manifest);
      for (const auto& entry : object.at("targets").as_array()) {
        const auto& fields = entry.as_array();
        sync_.AdoptTarget(boost::json::value_to<std::string>(fields.at(0)),
                          boost::json::value_to<std::string>(fields.at(1)),
                          fields.at(2).to_number<std::int64_t>());
      }
      sync_.FinishAdoption();
    } catch (const std::exception& error) {
      LogEvent(LogLevel::kWarning, "peer_state_unreadable")
          .With("reason", error.what());
    }
  }

  auto WaitForSignal() -> void {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        // Addresses and bounds hold for the life of a process; what may change
        // at run time comes from the store.
        LogEvent(LogLevel::kInfo, "settings_reload").With("changed", 0);
      } else if (!stopping_) {
        BeginStop();
      }
      WaitForSignal();
    });
  }

  auto BeginStop() -> void {
    LogEvent(LogLevel::kInfo, "stop_requested")
        .With("active", gateway_.active());
    stopping_ = true;
    stop_at_ = Now();
    holder_.Stop();
    gateway_.BeginStop();
    if (registration_lease_ != 0) {
      store_.EndLease(registration_lease_, [](const auto&) {});
    }
    SendReport();
    CheckStop();
  }

  auto CheckStop() -> void {
    const auto elapsed = Now() - stop_at_;
    if (elapsed >= kStopLinger && !std::exchange(refusing_, true)) {
      gateway_.RefuseNew();
    }
    if ((gateway_.active() == 0 && elapsed >= kStopLinger) ||
        elapsed >= settings_.stop_grace_ - kStopReserve) {
      LogEvent(LogLevel::kInfo, "instance_stopped")
          .With("active", gateway_.active());
      io_.stop();
      return;
    }
    stop_timer_.expires_after(kStopCheck);
    stop_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        CheckStop();
      }
    });
  }

  /// Longest usual time of a report on its way, with the sender's delays.
  static constexpr Duration kReportTravel = std::chrono::milliseconds(150);
  /// A request that waits for an adapter is reported again within this time.
  static constexpr Duration kNeedReported = std::chrono::seconds(2);
  /// Age up to which changes are repeated in reports.
  static constexpr Duration kChangeTime = std::chrono::seconds(2);

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
  std::vector<AdapterNeed> last_needs_;
  std::int64_t sequence_ = 0;
  std::int64_t registration_lease_ = 0;
  TimePoint stop_at_{};
  bool stopping_ = false;
  bool refusing_ = false;
  bool urgent_pending_ = false;
  bool urgent_to_all_ = false;
  std::int64_t announced_revision_ =
      0;                     // important revision of the last such report
  TimePoint reported_at_{};  // to all instances
  std::set<std::string> urgent_to_;  // addresses of instances
  /// Instances whose requests wait for an adapter, by model and adapter, and
  /// when they last said so. Kept by the holder of orders.
  std::map<std::pair<std::string, std::string>,
           std::map<std::string, TimePoint>>
      requesters_;
};

}  // namespace baobab::gateway
