#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "baobab_base/log.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_base/step_error.h"
#include "baobab_gateway/boot_clock.h"
#include "baobab_gateway/gateway_metrics.h"
#include "baobab_gateway/holder_election.h"
#include "baobab_gateway/order_planner.h"
#include "baobab_gateway/store_types.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab::gateway {

/// Makes the calls to the store that HolderElection decides on and, while this
/// instance holds the order lease, sends the orders that OrderPlanner decides
/// on to the engines.
///
/// Call Start() once and pass in store entries, reports of peers and the
/// registry of targets as they arrive. Runs on the thread of its io_context.
///
/// `Store` provides GrantLease, RenewLease, RevokeLease, Commit and era.
/// `Codec` encodes orders and requests for reports, and decodes the responses.
template <class Store, class Codec>
class OrderHolder {
 public:
  /// Interval between two runs of the planner while this instance is the
  /// holder. Other instances check four times less often whether the lease is
  /// free.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  /// Timeout of a call to an engine.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(600);
  /// Timeout of an order for an adapter. Engines respond to it at once: the
  /// shorter the timeout, the sooner another engine gets the order.
  static constexpr Duration kAdapterCallTimeout =
      std::chrono::milliseconds(200);
  /// Maximum size of a response of an engine.
  static constexpr std::size_t kMaxReportBytes = std::size_t{1} << 20;
  /// Interval of the "placement" log event.
  static constexpr Duration kPlacementLogInterval = std::chrono::seconds(1);
  /// Maximum number of models in the "placement" log event, in descending order
  /// of demand.
  static constexpr std::size_t kMaxLoggedModels = 6;
  /// Margin added to the handover interval: an order may reach its target at
  /// any time until its call times out.
  static constexpr Duration kHandoverMargin =
      kCallTimeout + std::chrono::milliseconds(100);

  /// Notifications to the owner of this object.
  struct Handlers {
    /// An engine responded to an order, or the call failed.
    std::function<void()> on_order_result_;
    /// A model was loaded at a target or is about to be unloaded.
    std::function<void()> on_models_changed_;
    /// A target states that it is leaving. May call SetRegistry.
    std::function<void(const LeavingStatement&)> on_leaving_;
  };

  /// `key` is the key of the lease entry; the entry of the last holder is at
  /// `key` + "/last". `owner_id` identifies this process: the instance, a slash
  /// and a part that differs with each process. `handover_interval` is the
  /// minimum interval between the orders of two holders to one target.
  /// `planner` configures the placement decisions.
  OrderHolder(boost::asio::io_context& io, Store& store, std::string key,
              std::string instance, std::string owner_id,
              Duration handover_interval, PlannerSettings planner,
              std::shared_ptr<ConnectionPool> pool, MetricsRegistry& metrics,
              Handlers handlers)
      : store_(store),
        instance_(instance),
        election_({std::move(key), std::move(instance), std::move(owner_id),
                   handover_interval, kHandoverMargin},
                  std::random_device{}()),
        pool_(std::move(pool)),
        metrics_(metrics),
        handlers_(std::move(handlers)),
        planner_(planner),
        tick_timer_(io),
        acquire_delay_timer_(io) {}

  /// Starts to compete for the lease. Call when the state of the store is
  /// known; further calls have no effect.
  auto Start() -> void {
    if (!std::exchange(started_, true)) {
      election_.Start();
      ApplyDecisions();
      Tick();
    }
  }

  /// Releases the lease and no longer competes for it.
  auto Stop() -> void {
    election_.Stop();
    ApplyDecisions();
  }

  /// See the functions of HolderElection with these names.
  auto SetHasStrongerPeer(bool exists) -> void {
    election_.SetHasStrongerPeer(exists, BootTime());
    ApplyDecisions();
  }
  auto SetMayCompete(bool may_compete) -> void {
    election_.SetMayCompete(may_compete);
    ApplyDecisions();
  }
  auto SetStoreConnected(bool connected) -> void {
    election_.SetStoreConnected(connected, BootTime());
  }
  auto OnPeerNotHolder(const HandoverReport& report) -> void {
    election_.OnPeerNotHolder(report, BootTime());
    ApplyDecisions();
  }
  auto OnPeerHolder(std::int64_t token) -> void {
    election_.OnPeerHolder(token);
    ApplyDecisions();
  }
  auto OnStoreEra(std::int64_t era) -> void {
    election_.OnStoreEra(era, BootTime());
    ApplyDecisions();
  }
  auto OnStoreOutage(Duration from, Duration until) -> void {
    election_.OnStoreOutage(from, until);
  }
  auto OnStoreEntry(const StoreEntry& item) -> void {
    election_.OnStoreEntry(item, BootTime());
    ApplyDecisions();
  }
  [[nodiscard]] auto MakeHandoverReport() const -> HandoverReport {
    return election_.MakeHandoverReport(BootTime());
  }

  /// Runs the planner and sends the orders and report requests that it returns.
  /// Called on each tick and also between ticks, for example when a peer
  /// reports a missing adapter. Sends nothing unless this instance may send
  /// orders.
  auto RunPlanner() -> void {
    const auto boot_now = BootTime();
    const bool may_send = election_.MaySendOrders(boot_now);
    LogEvents();
    if (!may_send) {
      return;
    }
    for (auto& action : planner_.Next(Now())) {
      if (action.kind_ == PlannerAction::Kind::kOrder) {
        SendOrder(std::move(action.order_));
      } else {
        RequestReport(action.target_);
      }
    }
    if (boot_now >= next_placement_log_) {
      next_placement_log_ = boot_now + kPlacementLogInterval;
      LogPlacement();
    }
    if (planner_.TakeModelsChanged()) {
      handlers_.on_models_changed_();
    }
  }

  /// Records that `target` wants no request of this instance for `time`. It
  /// gets no orders meanwhile and is not asked for its state.
  auto OnRetryAfter(const std::string& target, Duration time) -> void {
    const auto now = BootTime();
    std::erase_if(paused_until_,
                  [now](const auto& entry) { return entry.second <= now; });
    auto& until = paused_until_[target];
    until = std::max(until, now + time);
  }

  /// Returns the planner, to pass in the manifest and reports of peers.
  [[nodiscard]] auto planner() -> OrderPlanner& { return planner_; }
  /// Returns the fencing token of the lease; 0 if this instance is not the
  /// holder.
  [[nodiscard]] auto fencing_token() const -> std::int64_t {
    return election_.fencing_token();
  }
  /// Returns true if no other instance can have acquired the lease.
  [[nodiscard]] auto IsLeaseValid() const -> bool {
    return election_.IsValid(BootTime());
  }
  /// Sets the known targets. `registry` must outlive this object or the next
  /// call.
  auto SetRegistry(const TargetRegistry& registry) -> void {
    registry_ = &registry;
    if (election_.is_held()) {
      planner_.SetTargets(registry, Now());
    }
  }

 private:
  [[nodiscard]] static auto Now() -> TimePoint {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }

  auto LogPlacement() const -> void {
    const auto summary = planner_.Summary(kMaxLoggedModels);
    std::string busiest;
    for (const auto& model : summary.busiest_) {
      busiest += (busiest.empty() ? "" : " ") + model.name_ + ":" +
                 std::to_string(std::lround(model.weight_ * 100)) +
                 "%:" + std::to_string(model.copies_);
    }
    LogEvent(LogLevel::kInfo, "placement")
        .With("demand_percent", std::lround(summary.demand_ * 100))
        .With("targets", summary.servers_)
        .With("ordering", summary.ordering_)
        .With("store_loads", summary.store_loads_)
        .With("busiest", busiest);
  }

  /// Handles the events of the election and makes the calls to the store that
  /// it asks for.
  auto ApplyDecisions() -> void {
    LogEvents();
    for (auto& call : election_.Next(BootTime())) {
      CallStore(std::move(call));
    }
    if (const auto at = election_.NextCompetition();
        at && competition_timer_at_ != at) {
      competition_timer_at_ = at;
      acquire_delay_timer_.expires_after(*at - BootTime());
      acquire_delay_timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
          ApplyDecisions();
        }
      });
    }
  }

  auto CallStore(HolderStoreCall call) -> void {
    const auto sent = BootTime();
    switch (call.kind_) {
      case HolderStoreCall::Kind::kGrantLease:
        store_.GrantLease(
            HolderLease::kStoreLeaseTtl, [this, sent](auto result) {
              const auto* lease = std::get_if<StoreLease>(&result);
              election_.OnLeaseGranted(
                  lease == nullptr ? std::nullopt : std::optional(lease->id_),
                  sent, BootTime());
              ApplyDecisions();
            });
        break;
      case HolderStoreCall::Kind::kAcquire:
        store_.Commit(call.change_, [this](auto result) {
          election_.OnAcquireResult(result, BootTime());
          ApplyDecisions();
        });
        break;
      case HolderStoreCall::Kind::kRenewLease:
        store_.RenewLease(call.lease_id_,
                          [this, sent, id = call.lease_id_](auto result) {
                            election_.OnRenewResult(id, sent, result);
                            ApplyDecisions();
                          });
        break;
      case HolderStoreCall::Kind::kRecordHandoverEnd:
        store_.Commit(call.change_, [this, id = call.lease_id_](auto result) {
          election_.OnHandoverEndRecorded(
              id, std::holds_alternative<std::int64_t>(result));
        });
        break;
      case HolderStoreCall::Kind::kRelease:
        store_.Commit(call.change_, [](const auto&) {});
        break;
      case HolderStoreCall::Kind::kRevokeLease:
        store_.RevokeLease(call.lease_id_, [](const auto&) {});
        break;
    }
  }

  auto LogEvents() -> void {
    for (const auto& event : election_.TakeEvents()) {
      switch (event.kind_) {
        case HolderEvent::Kind::kAcquired:
          OnAcquired(event);
          break;
        case HolderEvent::Kind::kNotAcquired:
          LogEvent(LogLevel::kInfo, "holder_not_acquired")
              .With("reason", event.reason_);
          break;
        case HolderEvent::Kind::kLost:
          LogEvent(LogLevel::kWarning, "holder_lost")
              .With("fence", event.fencing_token_)
              .With("reason", event.reason_);
          break;
        case HolderEvent::Kind::kReleased:
          LogEvent(LogLevel::kInfo, "holder_released")
              .With("fence", event.fencing_token_)
              .With("reason", event.reason_);
          break;
        case HolderEvent::Kind::kWaitEnded:
          LogEvent(LogLevel::kInfo, "holder_wait_ended")
              .With("former", event.last_holder_)
              .With("blocked_targets", event.blocked_targets_);
          break;
        case HolderEvent::Kind::kExpired:
          LogLeaseState(event, "lapsed");
          break;
        case HolderEvent::Kind::kRenewed:
          LogLeaseState(event, "renewed");
          break;
        case HolderEvent::Kind::kMayHaveEnded:
          LogLeaseState(event, "ended");
          break;
      }
    }
  }

  static auto LogLeaseState(const HolderEvent& event, const char* state)
      -> void {
    LogEvent(LogLevel::kWarning, "holder_right")
        .With("fence", event.fencing_token_)
        .With("state", state)
        .With("renewed_by", event.reason_);
  }

  auto OnAcquired(const HolderEvent& event) -> void {
    if (registry_ != nullptr) {
      planner_.SetTargets(*registry_, Now());
    }
    planner_.StartTerm(/*may_have_loaded=*/true, Now());
    LogEvent(LogLevel::kInfo, "holder_acquired")
        .With("fence", event.fencing_token_)
        .With("store_era", store_.era().value())
        .With("last_holder", event.last_holder_)
        .With("last_revision", event.last_revision_);
  }

  auto Tick() -> void {
    tick_timer_.expires_after(election_.is_held() ? kTickInterval
                                                  : 4 * kTickInterval);
    tick_timer_.async_wait([this](boost::system::error_code error) {
      if (error) {
        return;
      }
      Tick();  // first, so that an exception does not end the ticks
      ApplyDecisions();
      RunPlanner();
    });
  }

  auto SendOrder(EngineOrder order) -> void {
    const auto now = BootTime();
    if (election_.IsBlocked(order.target_, now) ||
        IsPaused(order.target_, now)) {
      planner_.OnNotSent(order, Now());
      return;
    }
    election_.OnOrderSent(order.target_, now);
    order.holder_ = instance_;
    order.fencing_token_ = election_.fencing_token();
    auto request = Codec::EncodeOrder(order);
    SetTimeouts(request,
                order.adapter_.empty() ? kCallTimeout : kAdapterCallTimeout);
    metrics_.Add(
        "gateway_orders_total",
        Label("kind", order.kind_ == OrderKind::kLoad ? "load" : "unload"));
    const auto finish = [this, order](OrderResult result, unsigned status) {
      LogEvent(LogLevel::kInfo, "order_given")
          .With("target", order.target_)
          .With("kind", order.kind_ == OrderKind::kLoad ? "load" : "unload")
          .With("model", order.model_)
          .With("adapter", order.adapter_)
          .With("expected_orders", order.expected_sequence_.value_or(-1))
          .With("fence", order.fencing_token_)
          .With("status", status);
      planner_.OnOrderResult(order, result, Now());
      handlers_.on_order_result_();
    };
    StartWholeExchange(
        pool_, std::move(request), kMaxReportBytes,
        {[this, order, finish](const TargetResponse& response) {
           finish(Codec::DecodeOrderStatus(response.head_.status_),
                  response.head_.status_);
           OnResponseHead(order.target_, order.endpoint_, response.head_);
         },
         [finish](const AttemptFailure& failure) {
           finish(failure.outcome_ == Outcome::kNotRun ? OrderResult::kRejected
                                                       : OrderResult::kUnknown,
                  0);
         }});
  }

  auto RequestReport(const std::string& target) -> void {
    const auto* entry =
        registry_ == nullptr ? nullptr : registry_->Find(target);
    if (entry == nullptr || IsPaused(target, BootTime())) {
      planner_.OnReportFailed(target, Now());
      return;
    }
    auto request =
        Codec::EncodeReportRequest(target, entry->registration_.endpoint_);
    SetTimeouts(request, kCallTimeout);
    const auto endpoint = request.endpoint_;
    StartWholeExchange(
        pool_, std::move(request), kMaxReportBytes,
        {[this, target, endpoint](const TargetResponse& response) {
           try {
             if (response.head_.status_ != 200) {
               throw StepError(
                   "report", target,
                   "status " + std::to_string(response.head_.status_));
             }
             planner_.OnReport(
                 target, Codec::DecodeReport(target, response.body_), Now());
           } catch (const StepError& error) {
             LogEvent(LogLevel::kWarning, "report_unreadable")
                 .With("target", target)
                 .With("reason", error.what());
             planner_.OnReportFailed(target, Now());
           }
           OnResponseHead(target, endpoint, response.head_);
         },
         [this, target](const AttemptFailure& failure) {
           LogEvent(LogLevel::kInfo, "report_failed")
               .With("target", target)
               .With("reason", failure.reason_);
           planner_.OnReportFailed(target, Now());
         }});
  }

  [[nodiscard]] auto IsPaused(const std::string& target, Duration now) const
      -> bool {
    const auto found = paused_until_.find(target);
    return found != paused_until_.end() && now < found->second;
  }

  /// Handles what any response states of the target itself.
  auto OnResponseHead(const std::string& target, const TargetEndpoint& endpoint,
                      const TargetResponseHead& head) -> void {
    if (const auto time = Codec::DecodeRetryAfter(head)) {
      OnRetryAfter(target, *time);
    }
    if (Codec::IsLeaving(head) && handlers_.on_leaving_) {
      handlers_.on_leaving_({target, endpoint,
                             std::chrono::time_point_cast<WallTime::duration>(
                                 std::chrono::system_clock::now())});
    }
  }

  static auto SetTimeouts(TargetRequest& request, Duration time) -> void {
    request.timeouts_ = {time, time, time, time};
  }

  Store& store_;
  std::string instance_;
  HolderElection election_;
  std::map<std::string, Duration> paused_until_;  // asked for by the target
  std::shared_ptr<ConnectionPool> pool_;
  MetricsRegistry& metrics_;
  Handlers handlers_;
  OrderPlanner planner_;
  const TargetRegistry* registry_ = nullptr;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer acquire_delay_timer_;
  // Time for which acquire_delay_timer_ is set.
  std::optional<Duration> competition_timer_at_;
  Duration next_placement_log_{};
  bool started_ = false;
};

}  // namespace baobab::gateway
