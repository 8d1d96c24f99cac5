#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobab_accounts/account_cap_limiter.h"
#include "baobab_base/log.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_base/random_source.h"
#include "baobab_base/rendezvous_hash.h"
#include "baobab_base/step_error.h"
#include "baobab_base/time_types.h"
#include "baobab_gateway/active_request.h"
#include "baobab_gateway/attempt_policy.h"
#include "baobab_gateway/boot_clock.h"
#include "baobab_gateway/buffer_budget.h"
#include "baobab_gateway/connection_limits.h"
#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/event_stream.h"
#include "baobab_gateway/gateway_metrics.h"
#include "baobab_gateway/hold_policy.h"
#include "baobab_gateway/ingress_types.h"
#include "baobab_gateway/instance_settings.h"
#include "baobab_gateway/key_gate.h"
#include "baobab_gateway/retry_ledger.h"
#include "baobab_gateway/route_table.h"
#include "baobab_gateway/stream_origin_resolver.h"
#include "baobab_http/http_server.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/target_exchange.h"

namespace baobab::gateway {

/// Requirements on a codec that translates between the HTTP messages of a
/// platform and the types of the gateway.
template <class C>
concept RequestTranslator = requires(const HttpRequest& request,
                                     const ForwardOptions& options,
                                     const TargetResponseHead& head,
                                     RefusalReason reason,
                                     const std::string& text, Duration time) {
  { C::Decode(request) } -> std::same_as<IngressRequest>;
  { C::EncodeTargetRequest(request, options) } -> std::same_as<TargetRequest>;
  { C::DecodeResponseHead(head) } -> std::same_as<TargetResponseInfo>;
  { C::EncodeResponseHead(head) } -> std::same_as<HttpResponse>;
  {
    C::EncodeErrorResponse(reason, text, text, time)
    } -> std::same_as<HttpResponse>;
};

/// Accepts requests of callers, forwards them to targets and returns the
/// responses.
///
/// RouteTable, Dispatcher, AttemptPolicy and RetryLedger make the decisions on
/// routing, queueing and retries; this class carries them out. All methods run
/// on the thread of the io_context.
template <RequestTranslator Codec>
class RequestGateway {
 public:
  /// `incarnation`: differs with each process of the instance.
  RequestGateway(boost::asio::io_context& io, const InstanceSettings& settings,
                 MetricsRegistry& metrics, std::int64_t incarnation = 1)
      : settings_(settings),
        metrics_(metrics),
        pool_(std::make_shared<ConnectionPool>(io, kMaxIdleConnectionsPerTarget,
                                               kMaxIdleTime)),
        server_(io, ConnectionLimits::ForCallers(settings),
                {[this](ExchangeId exchange, HttpRequest request) {
                   OnRequest(exchange, std::move(request));
                 },
                 [this](ExchangeId exchange) { OnCallerGone(exchange); },
                 [this](ExchangeId exchange, bool blocked) {
                   OnCallerBlocked(exchange, blocked);
                 }}),
        timer_(io),
        defer_timer_(io),
        key_timer_(io),
        key_gate_(settings.revocation_time_),
        cap_timer_(io),
        caps_(settings.instance_, incarnation, settings.cap_bounds_),
        origin_timer_(io),
        dispatcher_(DispatchSettings(), settings.zone_, std::random_device{}()),
        retries_(settings.retries_),
        buffers_(settings.memory_bytes_),
        random_(std::random_device{}()) {}

  /// Idle connections to keep per target. A target serves one request at a time
  /// on each connection, so this is about the usual concurrency per target.
  static constexpr std::size_t kMaxIdleConnectionsPerTarget = 16;
  /// A target must accept this many connections for each idle one; the others
  /// are for requests in progress. With 16 idle connections each, 83 instances
  /// exceeded the 560 connections that a target accepts.
  static constexpr std::size_t kConnectionsPerIdleConnection = 2;
  /// Time after which an idle connection is closed, unless the target
  /// announces a shorter time.
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(4);
  /// Interval between dispatch decisions while requests are queued.
  static constexpr Duration kDispatchInterval = std::chrono::milliseconds(15);
  /// Timeout for connecting to a target, which is in the same region.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

  /// Binds `endpoint` and accepts connections of callers. Throws StepError if
  /// the address cannot be bound.
  auto Listen(const TargetEndpoint& endpoint) -> void {
    server_.Listen(endpoint.host_, endpoint.port_);
  }

  /// Applies a manifest to requests that are admitted from now on. Requests
  /// that are already admitted keep their route.
  auto SetManifest(const std::shared_ptr<const Manifest>& manifest) -> void;

  /// Sets the registered targets, admits deferred requests and dispatches.
  /// Keeps a reference to `registry`.
  auto SetTargets(const TargetRegistry& registry) -> void {
    registry_ = &registry;
    versions().SetTargets(registry, Now());
    dispatcher_.SetTargets(registry, Now());
    ReleaseDeferredRequests(Now());
    Dispatch();
  }

  /// Sets among how many instances the retry budget and the connections of each
  /// target are divided.
  auto SetInstanceCount(std::size_t sharing_retries,
                        std::size_t sharing_connections) -> void;

  /// Returns how many idle connections an instance keeps per target (at least
  /// 1), so that all instances together stay well below what a target accepts.
  [[nodiscard]] static auto IdleConnectionsPerTarget(
      const std::vector<Service>& services, std::size_t instances)
      -> std::size_t {
    auto max_idle = kMaxIdleConnectionsPerTarget;
    for (const auto& service : services) {
      if (service.max_connections_ > 0 && instances > 0) {
        max_idle =
            std::min(max_idle, service.max_connections_ /
                                   (kConnectionsPerIdleConnection * instances));
      }
    }
    return std::max<std::size_t>(1, max_idle);
  }

  /// Records whether this instance reaches the store. Selects the retry delay
  /// for requests that are rejected for lack of a manifest.
  auto SetStoreConnected(bool connected) -> void {
    store_connected_ = connected;
  }

  /// Sets the handler that reads the manifest from the store at once. It must
  /// call OnKeyEvidence if the store answered, and then OnKeyReadEnded.
  auto SetKeyReadHandler(std::function<void()> handler) -> void {
    on_key_read_ = std::move(handler);
  }

  /// Records that no manifest newer than `version` was acknowledged before
  /// `moment` (boot clock), and decides on the requests that wait for it.
  auto OnKeyEvidence(std::int64_t version, Duration moment) -> void;

  auto OnKeyReadEnded(bool succeeded) -> void;

  [[nodiscard]] auto key_gate() -> KeyGate& { return key_gate_; }

  /// Sets the handler that is called when the demand of caps() must be sent to
  /// the broker at once.
  auto SetCapDemandHandler(std::function<void()> handler) -> void {
    on_cap_demand_ = std::move(handler);
  }

  /// Applies an answer of the broker of caps, and decides on the requests that
  /// wait for it.
  auto OnCapGrants(const accounts::CapGrants& grants) -> void;

  [[nodiscard]] auto caps() -> accounts::AccountCapLimiter& { return caps_; }

  /// Begins a graceful stop: still accepts requests, but announces the end of
  /// each connection in its next response.
  auto BeginStop() -> void { server_.CloseAfterResponses(); }

  /// Rejects new connections, new requests on open connections, and requests
  /// not sent to a target yet, because this instance may exit before they end.
  auto StopAccepting() -> void;

  /// Ends all requests in progress, because the process is about to exit: a
  /// request that may have run gets an answer that says so, and a stream that
  /// has begun ends as incomplete. Call after StopAccepting().
  auto AnswerRest() -> void;

  /// Returns the number of requests whose complete response has not been handed
  /// over to the operating system.
  [[nodiscard]] auto active() const -> std::size_t {
    return std::max(active_.size(), server_.exchanges());
  }
  [[nodiscard]] auto connection_counts() const -> ConnectionCounts {
    return server_.counts();
  }
  [[nodiscard]] auto dispatcher() -> Dispatcher& { return dispatcher_; }
  [[nodiscard]] auto pool() -> const std::shared_ptr<ConnectionPool>& {
    return pool_;
  }

  /// Sends queued requests for which a target has capacity, and rejects those
  /// that no target can serve in time.
  auto Dispatch() -> void;

  /// Returns what is known of the software versions of services, and of the
  /// streams that they began, to exchange it with the store and with peers.
  [[nodiscard]] auto versions() -> SoftwareVersions& {
    return origin_resolver_.versions();
  }
  [[nodiscard]] auto origins() -> StreamOrigins& {
    return origin_resolver_.origins();
  }

  /// Sets the handler that asks peers for the origins of the streams with these
  /// ids (see StreamOrigins::IdOf), and returns the time until they may be
  /// asked again. Their answers go to OnStreamOrigins().
  auto SetOriginQueryHandler(
      std::function<Duration(std::vector<std::uint64_t>)> handler) -> void {
    on_origin_query_ = std::move(handler);
  }

  /// Sets the handler that has the store confirm the registrations; the result
  /// goes to OnRegistrationsConfirmed().
  auto SetRegistrationReadHandler(std::function<void()> handler) -> void {
    on_registration_read_ = std::move(handler);
  }

  /// Records what a peer or the store states of streams, and decides on the
  /// requests that wait for it.
  auto OnStreamOrigins(const StreamOriginUpdate& update) -> void;

  /// Records that this instance knows all registrations that the store had
  /// accepted at `moment` (boot clock), and decides on the requests that wait
  /// for it.
  auto OnRegistrationsConfirmed(Duration moment) -> void;

  /// Sets the handler that is called after each dispatch decision that leaves
  /// requests queued: they may need an adapter that the lease holder has to
  /// load.
  auto SetMissingAdaptersHandler(std::function<void()> handler) -> void {
    on_missing_adapters_ = std::move(handler);
  }

  /// Sets the handler that is called when this instance has evidence on prompt
  /// parts that peers must know soon.
  auto SetEvidenceHandler(std::function<void()> handler) -> void {
    on_evidence_ = std::move(handler);
  }

  /// Sets the check that is made before requests are sent. While it returns
  /// false, requests stay in the queue.
  auto SetDispatchCheck(std::function<bool()> may_dispatch) -> void {
    may_dispatch_ = std::move(may_dispatch);
  }

  /// Records that the process was suspended for `time`: the callers have less
  /// time left by it.
  auto OnSuspended(Duration time) -> void;

  /// Sets the handler that is called when a target states in a response that
  /// it is leaving. The handler may call SetTargets.
  auto SetLeavingHandler(std::function<void(const LeavingStatement&)> handler)
      -> void {
    on_leaving_ = std::move(handler);
  }

  /// Sets the handler that is called when a target states for how long it wants
  /// no request of this instance.
  auto SetRetryAfterHandler(
      std::function<void(const std::string& target, Duration time)> handler)
      -> void {
    on_retry_after_ = std::move(handler);
  }

  /// Sets the handler that receives the targets whose load changed: a long
  /// prompt was sent to them, or they completed the prefill of one.
  auto SetLoadChangedHandler(
      std::function<void(const std::set<std::string>&)> handler) -> void {
    on_load_changed_ = std::move(handler);
  }

 private:
  [[nodiscard]] static auto Now() -> TimePoint {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }

  auto OnRequest(ExchangeId exchange, HttpRequest request) -> void;

  [[nodiscard]] auto HasRoutesAndTargets() const -> bool {
    return manifest_ && registry_ != nullptr;
  }

  /// Defers a request that arrives before the routes and targets are known, for
  /// as long as HoldPolicy allows.
  auto DeferRequest(ExchangeId exchange, HttpRequest request,
                    IngressRequest ingress, TimePoint now) -> void;

  auto StartDeferTimer() -> void;

  /// Admits the deferred requests once the routes and targets are known, and
  /// rejects those that were deferred for too long.
  auto ReleaseDeferredRequests(TimePoint now) -> void;

  /// Selects the route and service of a request and queues it, or rejects it.
  auto Admit(ExchangeId exchange, HttpRequest&& request,
             IngressRequest&& decoded, TimePoint arrived) -> void;

  /// If the caller resumes a stream, selects the service and the software
  /// version that began it. Returns false if the request was rejected because
  /// they are unknown, or waits until they are known.
  auto ResolveOrigin(ActiveRequest& active, HttpRequest& request,
                     TimePoint arrived) -> bool;

  [[nodiscard]] auto DecideOrigin(const Route& route,
                                  const IngressRequest& ingress,
                                  TimePoint now) const
      -> StreamOriginResolver::Decision;

  /// Keeps a request waiting for the origin of its stream. Returns false if too
  /// many wait.
  auto AwaitOrigin(ActiveRequest& active, HttpRequest& request,
                   TimePoint arrived) -> bool;

  /// Asks peers and the store for what waiting requests need, as far as each is
  /// due.
  auto AskForOrigins(TimePoint now) -> void;

  auto StartOriginTimer() -> void;

  /// Admits or refuses the requests whose streams can be decided on, or that
  /// waited too long for that.
  auto ReleaseOriginWaits(TimePoint now) -> void;

  auto TakeOriginWait(ExchangeId exchange) -> std::optional<DeferredRequest>;

  /// Queues a request at the dispatcher and dispatches.
  auto Enqueue(const WorkItem& item, TimePoint now) -> void;

  auto StartAttempt(const Assignment& assignment) -> void;

  /// Admits or defers a request that arrived at `arrived`. If that throws, the
  /// request ends with an error.
  auto TryAdmit(ExchangeId exchange, HttpRequest request,
                IngressRequest ingress, TimePoint arrived) -> void;

  /// Holds a request until its key can be decided on, and has the store read.
  auto AwaitEvidence(ExchangeId exchange, HttpRequest&& request,
                     IngressRequest&& ingress, TimePoint arrived,
                     const Route& route) -> void;

  /// Asks for a read of the manifest, unless one was begun a short time ago.
  auto RequestKeyRead() -> void;

  auto StartKeyTimer() -> void;

  /// Admits or refuses the requests whose keys can be decided on, or that
  /// waited too long for that.
  auto ReleaseKeyWaits(TimePoint now) -> void;

  /// Forgets a request that waits for evidence, because its caller left.
  auto ForgetKeyWait(ExchangeId exchange) -> void;

  /// Takes the units of a request from the cap of its account. If that is not
  /// possible, refuses the request or keeps it waiting, and returns false.
  auto AdmitWithinCap(HttpRequest& request, ActiveRequest& active,
                      const std::string& account, TimePoint arrived) -> bool;

  /// Decides again on the requests that wait for the broker of caps: all if it
  /// `answered`, otherwise those that can wait no longer.
  auto ReleaseCapWaits(bool answered) -> void;

  auto StartCapTimer() -> void;

  /// Takes the units of another attempt of a request that may have run.
  auto TakeUnitsForRetry(ActiveRequest& active) -> bool;

  /// Gives back the units of a request that no target ran.
  auto ReturnUnits(const ActiveRequest& active) -> void;

  auto RefuseWithoutEvidence(ExchangeId exchange, const IngressRequest& ingress)
      -> void;

  /// Ends a request whose key a newer manifest removed before it was sent.
  auto RefuseRevoked(WorkId id) -> void;

  auto OnHead(WorkId id, const TargetResponseHead& head) -> void;

  /// Reports that the target of the request states that it is leaving.
  auto ReportLeaving(const ActiveRequest& active,
                     const TargetResponseInfo& info) -> void;

  auto OnData(WorkId id, std::string_view data) -> void;

  /// Records which software version delivers the stream of `active`, so that no
  /// other one goes on with it.
  auto RecordOrigin(ActiveRequest& active, TimePoint now) -> void;

  auto OnEnd(WorkId id) -> void;

  /// Ends the attempt of a response that exceeds its share of the memory for
  /// buffered responses.
  auto OnResponseTooLarge(WorkId id) -> void;

  /// Runs `action` for the request `id`. If it throws, the request ends with an
  /// error: the process and the other requests continue.
  template <class Action>
  auto Guard(WorkId id, const char* step, Action action) -> void;

  /// Handles a response of a target that did not run the request. Retries if
  /// possible; otherwise responds with an error.
  auto OnTargetRefused(WorkId id, const TargetResponseInfo& info) -> void;

  auto OnFailure(WorkId id, const AttemptFailure& failure) -> void;

  /// Handles an incomplete response, after which the request may have run.
  /// `crashed`: the target ended it, not a timeout. Retries if the route, the
  /// retry budget and the evidence against the prompt allow it; otherwise
  /// aborts the stream or responds with an error.
  auto OnAttemptInterrupted(WorkId id, const char* reason, bool crashed)
      -> void;

  /// Queues a request for a retry although it may have run, if its route and
  /// the retry budget allow it. Returns false if they do not.
  auto RetryIfAllowed(ActiveRequest& active, const char* reason) -> bool;

  /// Queues the request again. `spends_budget`: the last attempt reached a
  /// target, so this retry counts against the retry budget, which all instances
  /// share. `exclude_target`: the retry must not go to the last target.
  /// Returns false if no attempts, time or budget are left.
  auto TryRequeue(ActiveRequest& active, const char* reason, bool spends_budget,
                  bool exclude_target = true) -> bool;

  auto OnCallerGone(ExchangeId exchange) -> void;

  auto OnCallerBlocked(ExchangeId exchange, bool blocked) -> void;

  auto OnTimeLimit(WorkId id) -> void;

  auto Reject(const Rejection& rejection) -> void;

  /// Responds to an admitted request with an error of the gateway, or aborts
  /// its stream if that has begun, and removes the request.
  auto FinishWithRefusal(WorkId id, RefusalReason reason,
                         const std::string& detail,
                         Duration retry_after = kDefaultRetryAfter) -> void;

  /// Responds with an error to a request that was not admitted.
  auto Refuse(ExchangeId exchange, const std::string& id, RefusalReason reason,
              const std::string& detail, Duration retry_after) -> void;

  /// Logs and counts the outcome of a request and removes it.
  auto Finish(WorkId id, const std::string& outcome, unsigned status) -> void;

  /// Logs new verdicts on prompt parts, and cancels the requests with a
  /// convicted part to which their targets have not begun to respond.
  auto ApplyVerdicts(TimePoint now) -> void;

  auto NotifyEvidence() -> void {
    if (dispatcher_.poison_parts().TakeNews() && on_evidence_) {
      on_evidence_();
    }
  }

  auto NotifyLoadChanged() -> void {
    const auto targets = dispatcher_.TakeChangedTargets();
    if (on_load_changed_ && !targets.empty()) {
      on_load_changed_(targets);
    }
  }

  /// Sets the timer to the next time limit or dispatch decision.
  auto ArmTimer() -> void;

  auto StartTimerWait() -> void;

  [[nodiscard]] static auto Milliseconds(Duration time) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  }

  static constexpr Duration kDeferCheckInterval = std::chrono::milliseconds(50);
  /// Retry delay while the store is reachable: a starting instance receives its
  /// manifest after a few store calls.
  static constexpr Duration kNoManifestRetryAfter =
      std::chrono::milliseconds(300);
  /// Retry delay while the store is unreachable and the time until a manifest
  /// arrives is unknown. It is long because store outages last several seconds
  /// and callers retry only once.
  static constexpr Duration kNoStoreRetryAfter =
      std::chrono::milliseconds(2000);
  /// Retry delay while this instance stops. It is short because another
  /// instance can serve the request at once.
  static constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(20);
  /// Retry delay while the newest manifest is unknown although the store is
  /// reachable: a few reads of the store.
  static constexpr Duration kNoEvidenceRetryAfter =
      std::chrono::milliseconds(500);
  /// Interval of the checks on requests that wait for evidence. Those that a
  /// read decides on are released at once.
  static constexpr Duration kKeyCheckInterval = std::chrono::milliseconds(50);
  /// Bounds on the requests that wait for evidence, since anyone can send
  /// unknown keys: their number and the part of the memory for their bodies.
  static constexpr std::size_t kMaxKeyWaits = 512;
  static constexpr std::size_t kKeyWaitMemoryPart = 16;
  /// Bounds on the wait for the broker of caps, which usually takes a few
  /// milliseconds, and on the number of requests that wait.
  static constexpr Duration kMaxCapWait = std::chrono::milliseconds(100);
  static constexpr Duration kCapCheckInterval = std::chrono::milliseconds(20);
  static constexpr std::size_t kMaxCapWaits = 256;
  /// Bounds on the requests that wait for the origin of their stream: their
  /// number and the part of the memory for their bodies.
  static constexpr std::size_t kMaxOriginWaits = 512;
  static constexpr std::size_t kOriginWaitMemoryPart = 16;
  /// Retry delay in all other cases: the approximate time until a target has a
  /// free slot or another target can serve the request.
  static constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(300);

  InstanceSettings settings_;
  MetricsRegistry& metrics_;
  std::shared_ptr<ConnectionPool> pool_;
  HttpServer server_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer defer_timer_;
  std::map<ExchangeId, DeferredRequest> deferred_;
  boost::asio::steady_timer key_timer_;
  KeyGate key_gate_;
  std::map<ExchangeId, DeferredRequest> key_waits_;
  std::size_t key_wait_bytes_ = 0;  // of their bodies
  std::function<void()> on_key_read_;
  boost::asio::steady_timer cap_timer_;
  accounts::AccountCapLimiter caps_;
  std::map<ExchangeId, DeferredRequest> cap_waits_;
  std::function<void()> on_cap_demand_;
  boost::asio::steady_timer origin_timer_;
  std::map<ExchangeId, DeferredRequest> origin_waits_;
  std::size_t origin_wait_bytes_ = 0;  // of their bodies
  TimePoint next_origin_query_at_{};
  std::function<Duration(std::vector<std::uint64_t>)> on_origin_query_;
  std::function<void()> on_registration_read_;
  TimePoint timer_expiry_ = TimePoint::max();
  bool dispatch_pending_ = false;
  bool refusing_requests_ = false;
  bool store_connected_ = false;
  std::shared_ptr<const Manifest> manifest_;
  RouteTable routes_;
  const TargetRegistry* registry_ = nullptr;
  Dispatcher dispatcher_;
  StreamOriginResolver origin_resolver_;
  RetryLedger retries_;
  BufferBudget buffers_;
  Random random_;
  std::function<bool()> may_dispatch_;
  std::function<void()> on_missing_adapters_;
  std::function<void()> on_evidence_;
  std::function<void(const LeavingStatement&)> on_leaving_;
  std::function<void(const std::string&, Duration)> on_retry_after_;
  std::function<void(const std::set<std::string>&)> on_load_changed_;
  WorkId last_id_ = 0;
  std::map<WorkId, ActiveRequest> active_;
  std::unordered_map<ExchangeId, WorkId> by_exchange_;
  std::set<std::pair<TimePoint, WorkId>> time_limits_;
};

}  // namespace baobab::gateway

// Definitions of the member functions of RequestGateway.
#include "baobab_gateway/request_gateway_admission.h"
#include "baobab_gateway/request_gateway_attempts.h"
#include "baobab_gateway/request_gateway_caps.h"
#include "baobab_gateway/request_gateway_keys.h"
#include "baobab_gateway/request_gateway_origins.h"
#include "baobab_gateway/request_gateway_timers.h"
