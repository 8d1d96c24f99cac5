#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "baobab_base/log.h"
#include "baobab_base/metrics_registry.h"
#include "baobab_base/random_source.h"
#include "baobab_base/step_error.h"
#include "baobab_gateway/boot_clock.h"
#include "baobab_gateway/gateway_metrics.h"
#include "baobab_gateway/holder_lease.h"
#include "baobab_gateway/order_planner.h"
#include "baobab_gateway/store_types.h"
#include "baobab_targets/connection_pool.h"
#include "baobab_targets/whole_exchange.h"

namespace baobab::gateway {

/// Competes for the order lease and, while this instance holds it, sends the
/// orders that OrderPlanner decides on to the engines.
///
/// The lease is an entry of the store that names the current holder; a second
/// entry names the last holder and stays when the lease ends. Call Start() once
/// and pass in store entries, reports of peers and the registry of targets as
/// they arrive. Runs on the thread of its io_context.
///
/// `Store` provides GrantLease, RenewLease, RevokeLease and Commit. `Codec`
/// encodes orders and requests for reports, and decodes the responses.
template <class Store, class Codec>
class OrderHolder {
 public:
  /// Prefix of the owner id in the last holder's entry after it released the
  /// lease.
  static constexpr const char* kReleasedPrefix = "released";
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
  /// Maximum random delay before an instance tries to acquire a free lease, so
  /// that most instances see that another one has acquired it.
  static constexpr Duration kMaxContentionDelay =
      std::chrono::milliseconds(250);

  /// Additional delay of instances that were not the last holder, unless that
  /// holder released the lease: the last holder can send orders without waiting
  /// for the handover interval.
  static constexpr Duration kOtherHolderDelay = std::chrono::milliseconds(350);
  /// Additional delay while an instance with a larger CPU share may compete. An
  /// instance with 0.12 cores and 10 Mbit/s could not send the orders for 90
  /// targets at the start of traffic: its calls timed out and its lease
  /// expired.
  static constexpr Duration kWeakerInstanceDelay =
      std::chrono::milliseconds(500);
  /// Minimum time for which a holder keeps the lease before it releases it to
  /// an instance with a larger CPU share, so that the lease does not alternate
  /// between instances.
  static constexpr Duration kMinHoldTime = std::chrono::seconds(5);
  /// Interval of the "placement" log event.
  static constexpr Duration kPlacementLogInterval = std::chrono::seconds(1);
  /// Maximum number of models in the "placement" log event, in descending order
  /// of demand.
  static constexpr std::size_t kMaxLoggedModels = 6;
  /// Time after the reconnection to the store during which a new holder assumes
  /// that the store had an outage
  /// (HolderLease::PriorHolder::kUnknownAfterOutage).
  static constexpr Duration kPostOutagePeriod = std::chrono::seconds(3);

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
        key_(std::move(key)),
        last_holder_key_(key_ + "/last"),
        instance_(std::move(instance)),
        owner_id_(std::move(owner_id)),
        handover_interval_(handover_interval),
        pool_(std::move(pool)),
        metrics_(metrics),
        handlers_(std::move(handlers)),
        lease_(handover_interval),
        planner_(planner),
        tick_timer_(io),
        acquire_delay_timer_(io),
        random_(std::random_device{}()) {}

  /// Starts to compete for the lease. Call when the state of the store is
  /// known; further calls have no effect.
  auto Start() -> void {
    if (!std::exchange(started_, true)) {
      Compete();
      Tick();
    }
  }

  /// Releases the lease and no longer competes for it.
  auto Stop() -> void {
    stopping_ = true;
    if (lease_.is_held()) {
      ReleaseLease("stopping");
    }
  }

  /// Sets whether a healthy instance with a larger CPU share exists. If so,
  /// this instance releases the lease once it has held it for kMinHoldTime,
  /// unless the store is unreachable.
  auto SetHasStrongerPeer(bool exists) -> void {
    stronger_peer_ = exists;
    if (exists && lease_.is_held() && store_connected_ &&
        BootTime() - acquired_at_ >= kMinHoldTime) {
      ReleaseLease("stronger_peer");
    }
  }

  /// Sets whether this instance may acquire the lease. In a large fleet only a
  /// few instances compete for it.
  auto SetMayCompete(bool may_compete) -> void {
    if (may_compete && !std::exchange(may_compete_, may_compete)) {
      Compete();
    }
    may_compete_ = may_compete;
  }

  /// Sets whether this instance has a connection to the store.
  auto SetStoreConnected(bool connected) -> void {
    if (connected && !store_connected_) {
      store_reconnected_at_ = BootTime();
    }
    store_connected_ = connected;
  }

  /// Handles the report of the process `owner_id` that it does not hold the
  /// lease. Ignored unless that process was the holder before this instance;
  /// otherwise ends the wait for the former holder. `recent` lists the targets
  /// to which the former holder recently sent orders (see RecentOrders()), each
  /// with the time since its last order. These targets get no order until the
  /// handover interval and kHandoverMargin have passed since that order.
  auto OnPeerNotHolder(
      const std::string& owner_id,
      const std::vector<std::pair<std::string, Duration>>& recent) -> void {
    if (!lease_.is_held() || owner_id != former_owner_id_) {
      return;
    }
    former_owner_id_.clear();
    const auto now = BootTime();
    for (const auto& [target, age] : recent) {
      blocked_until_[target] = now - age + handover_interval_ + kHandoverMargin;
    }
    lease_.EndHandoverWait(now);
    LogEvent(LogLevel::kInfo, "holder_wait_ended")
        .With("former", owner_id)
        .With("blocked_targets", blocked_until_.size());
  }

  /// Handles a report of another process with the fencing token `token`. This
  /// instance stops being the holder if the token is higher than its own.
  auto OnPeerHolder(std::int64_t token) -> void {
    if (lease_.is_held() && token > lease_.fencing_token()) {
      OnLost("replaced");
    }
  }

  /// Returns the targets to which this process sent orders within the handover
  /// interval and its margin, each with the time since its last order.
  [[nodiscard]] auto RecentOrders() const
      -> std::vector<std::pair<std::string, Duration>> {
    std::vector<std::pair<std::string, Duration>> recent;
    const auto now = BootTime();
    for (const auto& [target, at] : last_order_at_) {
      if (now - at < handover_interval_ + kHandoverMargin) {
        recent.emplace_back(target, now - at);
      }
    }
    return recent;
  }

  /// Extends the lease locally because no instance reached the store at `at`:
  /// the lease could not be renewed, but no other instance can have acquired it
  /// before `at`.
  auto OnStoreUnreachableForAll(Duration at) -> void {
    if (lease_.is_held()) {
      lease_.Renew(at);
      last_renewed_by_ = "peer_reports";
    }
  }

  /// Handles a change of a store entry. Entries other than those of the current
  /// and the last holder are ignored.
  auto OnStoreEntry(const StoreEntry& item) -> void {
    if (item.key_ == last_holder_key_) {
      last_holder_ = item.value_;
      last_revision_ = item.removed_ ? 0 : item.revision_;
    }
    if (item.key_ != key_) {
      return;
    }
    const bool own = !item.removed_ && item.value_ == owner_id_;
    lease_is_free_ = item.removed_;
    if (own && !lease_.is_held() && !stopping_ && lease_id_ != 0) {
      // The response to the transaction was lost, but it was applied.
      OnAcquired(item.revision_, grant_sent_);
    } else if (!own && lease_.is_held() &&
               item.revision_ > lease_.fencing_token()) {
      OnLost("taken_or_removed");
    }
    if (lease_is_free_) {
      Compete();
    }
  }

  /// Runs the planner and sends the orders and report requests that it returns.
  /// Called on each tick and also between ticks, for example when a peer
  /// reports a missing adapter. Sends nothing unless this instance may send
  /// orders.
  auto RunPlanner() -> void {
    const auto boot_now = BootTime();
    if (lease_.is_held() && lease_.IsExpired(boot_now) != expiry_logged_) {
      // Stays the holder until the store reports that the lease has ended: a
      // successful renewal, or reports of all instances that the store is
      // unreachable, make the lease valid again.
      expiry_logged_ = !expiry_logged_;
      LogEvent(LogLevel::kWarning, "holder_right")
          .With("fence", lease_.fencing_token())
          .With("state", expiry_logged_ ? "lapsed" : "renewed")
          .With("renewed_by", last_renewed_by_);
    }
    if (!lease_.MaySendOrders(boot_now)) {
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
    return lease_.fencing_token();
  }
  /// Sets the known targets. `registry` must outlive this object or the next
  /// call.
  auto SetRegistry(const TargetRegistry& registry) -> void {
    registry_ = &registry;
    if (lease_.is_held()) {
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

  auto ReleaseLease(const char* reason) -> void {
    LogEvent(LogLevel::kInfo, "holder_released")
        .With("fence", lease_.fencing_token())
        .With("reason", reason);
    const auto token = lease_.fencing_token();
    lease_.Release();
    lease_id_ = 0;
    StoreTransaction change;
    change.preconditions_.push_back({key_, token});
    change.writes_.push_back(
        {last_holder_key_, kReleasedPrefix + owner_id_, 0});
    change.removals_.push_back(key_);
    store_.Commit(change, [](const auto&) {});
  }

  auto Compete() -> void {
    if (!started_ || stopping_ || !may_compete_ || lease_.is_held() ||
        competing_ || !lease_is_free_) {
      return;
    }
    competing_ = true;
    std::uniform_int_distribution<Duration::rep> draw(
        0, kMaxContentionDelay.count());
    const bool known_other =
        !last_holder_.empty() && !IsReleased() && !IsOwn(last_holder_);
    const Duration contention{draw(random_)};
    acquire_delay_timer_.expires_after(
        (known_other ? kOtherHolderDelay : Duration::zero()) +
        (stronger_peer_ ? kWeakerInstanceDelay : Duration::zero()) +
        contention);
    acquire_delay_timer_.async_wait([this](boost::system::error_code error) {
      competing_ = false;
      if (!error && lease_is_free_ && !stopping_) {
        competing_ = true;
        AcquireLease();
      }
    });
  }

  auto AcquireLease() -> void {
    store_.GrantLease(HolderLease::kStoreLeaseTtl, [this](auto result) {
      if (std::holds_alternative<StoreFailure>(result) || stopping_) {
        competing_ = false;
        return;
      }
      lease_id_ = std::get<StoreLease>(result).id_;
      grant_sent_ = BootTime();
      StoreTransaction change;
      change.preconditions_.push_back({key_, 0});
      // The transaction fails unless the last holder's entry still has the
      // revision from which the former holder was read.
      change.preconditions_.push_back({last_holder_key_, last_revision_});
      change.writes_.push_back({key_, owner_id_, lease_id_});
      change.writes_.push_back({last_holder_key_, owner_id_, 0});
      prior_holder_ = PriorHolder();
      former_owner_id_ = LastOwnerId();
      store_.Commit(change, [this](auto committed) {
        competing_ = false;
        if (const auto* revision = std::get_if<std::int64_t>(&committed)) {
          lease_is_free_ = false;
          if (!lease_.is_held()) {
            OnAcquired(*revision, grant_sent_);
          }
        } else if (std::get<StoreFailure>(committed) ==
                   StoreFailure::kConflict) {
          LogEvent(LogLevel::kInfo, "holder_not_acquired")
              .With("reason", "taken_or_changed");
        }
      });
    });
  }

  /// Returns true if the last holder released the lease.
  [[nodiscard]] auto IsReleased() const -> bool {
    return last_holder_.starts_with(kReleasedPrefix);
  }

  /// Returns the owner id of the last holder.
  [[nodiscard]] auto LastOwnerId() const -> std::string {
    return IsReleased() ? last_holder_.substr(std::strlen(kReleasedPrefix))
                        : last_holder_;
  }

  /// Returns what is known of the last holder.
  [[nodiscard]] auto PriorHolder() const -> HolderLease::PriorHolder {
    if (IsOwn(last_holder_)) {
      return HolderLease::PriorHolder::kOwn;
    }
    if (IsReleased()) {
      return HolderLease::PriorHolder::kReleased;
    }
    return BootTime() - store_reconnected_at_ < kPostOutagePeriod
               ? HolderLease::PriorHolder::kUnknownAfterOutage
               : HolderLease::PriorHolder::kUnknown;
  }

  /// Returns true if `owner_id` names a process of this instance.
  [[nodiscard]] auto IsOwn(const std::string& owner_id) const -> bool {
    return owner_id.substr(0, owner_id.find('/')) == instance_;
  }

  auto OnAcquired(std::int64_t revision, Duration sent) -> void {
    lease_.Acquire(revision, prior_holder_, sent, BootTime());
    last_renewed_by_ = "store";
    acquired_at_ = BootTime();
    blocked_until_.clear();
    expiry_logged_ = false;
    if (registry_ != nullptr) {
      planner_.SetTargets(*registry_, Now());
    }
    planner_.StartTerm(/*may_have_loaded=*/true, Now());
    LogEvent(LogLevel::kInfo, "holder_acquired")
        .With("fence", revision)
        .With("last_holder", last_holder_)
        .With("last_revision", last_revision_);
    next_renewal_ = BootTime() + HolderLease::kRenewInterval;
  }

  auto OnLost(const char* reason) -> void {
    LogEvent(LogLevel::kWarning, "holder_lost")
        .With("fence", lease_.fencing_token())
        .With("reason", reason);
    lease_.Release();
    // Lets other instances acquire the lease before it expires at the store.
    store_.RevokeLease(lease_id_, [](const auto&) {});
    lease_id_ = 0;
  }

  auto Renew() -> void {
    const auto sent = BootTime();
    next_renewal_ = sent + HolderLease::kRenewInterval;
    const auto lease_id = lease_id_;
    store_.RenewLease(lease_id, [this, sent, lease_id](auto result) {
      if (lease_id != lease_id_ || !lease_.is_held()) {
        return;
      }
      if (std::holds_alternative<StoreLease>(result)) {
        lease_.Renew(sent);
        last_renewed_by_ = "store";
      } else if (std::get<StoreFailure>(result) == StoreFailure::kNoLease) {
        OnLost("lease_ended");
      }
    });
  }

  auto Tick() -> void {
    tick_timer_.expires_after(lease_.is_held() ? kTickInterval
                                               : 4 * kTickInterval);
    tick_timer_.async_wait([this](boost::system::error_code error) {
      if (error) {
        return;
      }
      Tick();  // first, so that an exception does not end the ticks
      if (lease_.is_held() && BootTime() >= next_renewal_) {
        Renew();
      }
      RunPlanner();
      if (lease_is_free_) {
        Compete();
      }
    });
  }

  auto SendOrder(EngineOrder order) -> void {
    const auto now = BootTime();
    if (const auto blocked = blocked_until_.find(order.target_);
        blocked != blocked_until_.end() && now < blocked->second) {
      planner_.OnNotSent(order, Now());
      return;
    }
    if (IsPaused(order.target_, now)) {
      planner_.OnNotSent(order, Now());
      return;
    }
    last_order_at_[order.target_] = now;
    order.holder_ = instance_;
    order.fencing_token_ = lease_.fencing_token();
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
  std::string key_;
  // Key of the entry with the last holder's owner id, prefixed by
  // kReleasedPrefix if it released the lease.
  std::string last_holder_key_;
  std::string last_holder_;
  std::int64_t last_revision_ = 0;
  bool store_connected_ = false;
  Duration store_reconnected_at_ = -kPostOutagePeriod;
  std::string instance_;
  std::string former_owner_id_;  // of the holder before this instance
  // Distinguishes this process from earlier ones of the instance.
  std::string owner_id_;
  Duration handover_interval_;
  // Boot time of this process's last order to each target.
  std::map<std::string, Duration> last_order_at_;
  // Boot time until which a target gets no order, since the former holder sent
  // it one recently.
  std::map<std::string, Duration> blocked_until_;
  std::map<std::string, Duration> paused_until_;  // asked for by the target
  std::shared_ptr<ConnectionPool> pool_;
  MetricsRegistry& metrics_;
  Handlers handlers_;
  HolderLease lease_;
  OrderPlanner planner_;
  const TargetRegistry* registry_ = nullptr;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer acquire_delay_timer_;
  Random random_;
  HolderLease::PriorHolder prior_holder_ = HolderLease::PriorHolder::kUnknown;
  std::int64_t lease_id_ = 0;
  Duration grant_sent_{};
  Duration acquired_at_{};
  Duration next_placement_log_{};
  bool stronger_peer_ = false;
  Duration next_renewal_{};
  bool expiry_logged_ = false;
  const char* last_renewed_by_ = "store";  // or "peer_reports", for the log
  bool started_ = false;
  bool stopping_ = false;
  bool may_compete_ = false;
  bool competing_ = false;
  bool lease_is_free_ = true;
};

}  // namespace baobab::gateway
