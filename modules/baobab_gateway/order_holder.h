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

/// Competes for the right to give orders and, as its holder, carries out what
/// OrderPlanner decides. Runs on the thread of its io_context.
template <class Store, class Calls>
class OrderHolder {
 public:
  /// Before the mark in the last holder's item after it gave the right back.
  static constexpr const char* kReleasedPrefix = "released";
  /// Interval of planning while this instance is the holder.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  /// Time limit of a call to an engine.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(600);
  /// Time limit of an order for an adapter, which engines answer at once: the
  /// sooner it is given up, the sooner another engine gets it.
  static constexpr Duration kAdapterCallTimeout =
      std::chrono::milliseconds(200);
  /// Largest report of an engine that is read.
  static constexpr std::size_t kMaxReportBytes = std::size_t{1} << 20;
  /// Instances that see the right become free compete after a random time up
  /// to this one, so that most of them see that another has it.
  static constexpr Duration kMaxContentionDelay =
      std::chrono::milliseconds(250);

  /// Instances that were not the last holder wait this much longer, since the
  /// last one can give orders at once.
  static constexpr Duration kOtherHolderDelay = std::chrono::milliseconds(350);
  /// An instance waits this much longer while a stronger one may compete. One
  /// of 0.12 cores and 10 Mbit/s could not give the orders for 90 targets at
  /// the start of traffic: its calls timed out and its right lapsed.
  static constexpr Duration kWeakerInstanceDelay =
      std::chrono::milliseconds(500);
  /// A holder keeps the right at least this long before it leaves it to a
  /// stronger instance, so that the right does not pass back and forth.
  static constexpr Duration kMinHoldTime = std::chrono::seconds(5);
  /// Interval of the log line on the placement, and the models that it names.
  static constexpr Duration kSummaryInterval = std::chrono::seconds(1);
  static constexpr std::size_t kMaxSummaryModels = 6;
  /// How long after its return the store counts as having been away.
  static constexpr Duration kPostOutagePeriod = std::chrono::seconds(3);

  /// Margin on the time between the orders of two holders: an order may reach
  /// its target as late as its call is given up.
  static constexpr Duration kHandoverMargin =
      kCallTimeout + std::chrono::milliseconds(100);

  /// What its owner hears of.
  struct Handlers {
    /// An order was answered or given up.
    std::function<void()> on_order_result_;
    /// What targets hold of models has changed or is about to.
    std::function<void()> on_models_changed_;
  };

  /// `mark` names the process; `turn` is the time that must lie between orders
  /// of two holders to one target; `planner` bounds what is ordered.
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
        contention_timer_(io),
        random_(std::random_device{}()) {}

  /// Starts to compete. Call once the state of the store is known.
  auto Start() -> void {
    if (!std::exchange(started_, true)) {
      Compete();
      Tick();
    }
  }

  /// Gives the right back and competes no more.
  auto Stop() -> void {
    stopping_ = true;
    if (lease_.is_held()) {
      ReleaseLease("stopping");
    }
  }

  /// Tells whether a stronger instance is fit to give orders.
  auto SetStrongerPeer(bool exists) -> void {
    stronger_peer_ = exists;
    if (exists && lease_.is_held() && store_connected_ &&
        BootTime() - acquired_at_ >= kMinHoldTime) {
      ReleaseLease("stronger_peer");
    }
  }

  /// Tells whether this instance reaches the store.
  auto SetStoreConnected(bool connected) -> void {
    if (connected && !store_connected_) {
      store_reconnected_at_ = BootTime();
    }
    store_connected_ = connected;
  }

  /// The process `mark` says that it is not the holder, and when it gave its
  /// last orders. If it was the holder before this one, the targets that it
  /// gave none to need not wait.
  auto OnOtherIsNoHolder(
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

  /// Another process is the holder under `token`, or gave orders of late.
  auto OnOtherHolder(std::int64_t token) -> void {
    if (lease_.is_held() && token > lease_.fencing_token()) {
      OnLost("replaced");
    }
  }

  /// Targets to which this process gave orders of late.
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

  /// No instance reached the store at `at`: the right cannot have passed to
  /// another one before, although it could not be renewed.
  auto OnStoreAwayForAll(Duration at) -> void {
    if (lease_.is_held()) {
      lease_.Renew(at);
    }
  }

  /// Takes an item of the store with the holder's key.
  auto OnItem(const StoreItem& item) -> void {
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
      // The response to the change was lost, and the change took effect.
      OnAcquired(item.revision_, grant_sent_);
    } else if (!own && lease_.is_held() &&
               item.revision_ > lease_.fencing_token()) {
      OnLost("taken_or_removed");
    }
    if (lease_is_free_) {
      Compete();
    }
  }

  /// Plans at once, for example because a need was reported.
  auto Pump() -> void {
    const auto boot_now = BootTime();
    if (lease_.is_held() && lease_.HasLapsed(boot_now) != lapse_logged_) {
      // It stays the holder until it hears that the lease has ended: a renewal,
      // or all instances reporting that the store is away, lets it go on.
      lapse_logged_ = !lapse_logged_;
      LogEvent(LogLevel::kWarning, "holder_right")
          .With("fence", lease_.fencing_token())
          .With("state", lapse_logged_ ? "lapsed" : "renewed");
    }
    if (!lease_.MayIssueOrders(boot_now)) {
      return;
    }
    for (auto& action : planner_.Next(Now())) {
      if (action.kind_ == PlannerAction::Kind::kOrder) {
        SendOrder(std::move(action.order_));
      } else {
        RequestReport(action.target_);
      }
    }
    if (boot_now >= next_summary_) {
      next_summary_ = boot_now + kSummaryInterval;
      LogPlacement();
    }
    if (planner_.TakeModelsChanged()) {
      handlers_.on_models_changed_();
    }
  }

  [[nodiscard]] auto planner() -> OrderPlanner& { return planner_; }
  [[nodiscard]] auto fencing_token() const -> std::int64_t {
    return lease_.fencing_token();
  }
  auto SetRegistry(const TargetRegistry& registry) -> void {
    registry_ = &registry;
    planner_.SetTargets(registry, Now());
  }

 private:
  [[nodiscard]] static auto Now() -> TimePoint {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }

  auto LogPlacement() const -> void {
    const auto summary = planner_.Summary(kMaxSummaryModels);
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
    StoreChange change;
    change.expected_.push_back({key_, token});
    change.writes_.push_back(
        {last_holder_key_, kReleasedPrefix + owner_id_, 0});
    change.removals_.push_back(key_);
    store_.Commit(change, [](const auto&) {});
  }

  auto Compete() -> void {
    if (!started_ || stopping_ || lease_.is_held() || competing_ ||
        !lease_is_free_) {
      return;
    }
    competing_ = true;
    std::uniform_int_distribution<Duration::rep> draw(
        0, kMaxContentionDelay.count());
    const bool known_other =
        !last_holder_.empty() && !IsReleased() && !IsOwn(last_holder_);
    const Duration contention{draw(random_)};
    contention_timer_.expires_after(
        (known_other ? kOtherHolderDelay : Duration::zero()) +
        (stronger_peer_ ? kWeakerInstanceDelay : Duration::zero()) +
        contention);
    contention_timer_.async_wait([this](boost::system::error_code error) {
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
      StoreChange change;
      change.expected_.push_back({key_, 0});
      // The former holder is the one of this revision, or the change fails.
      change.expected_.push_back({last_holder_key_, last_revision_});
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

  /// Returns true if the last holder gave the right back.
  [[nodiscard]] auto IsReleased() const -> bool {
    return last_holder_.starts_with(kReleasedPrefix);
  }

  /// Returns the mark of the last holder.
  [[nodiscard]] auto LastOwnerId() const -> std::string {
    return IsReleased() ? last_holder_.substr(std::strlen(kReleasedPrefix))
                        : last_holder_;
  }

  [[nodiscard]] auto PriorHolder() const -> HolderLease::PriorHolder {
    if (IsOwn(last_holder_)) {
      return HolderLease::PriorHolder::kOwn;
    }
    if (IsReleased()) {
      return HolderLease::PriorHolder::kReleased;
    }
    return BootTime() - store_reconnected_at_ < kPostOutagePeriod
               ? HolderLease::PriorHolder::kAfterOutage
               : HolderLease::PriorHolder::kUnknown;
  }

  /// Returns true if `mark` names a process of this instance.
  [[nodiscard]] auto IsOwn(const std::string& owner_id) const -> bool {
    return owner_id.substr(0, owner_id.find('/')) == instance_;
  }

  auto OnAcquired(std::int64_t revision, Duration sent) -> void {
    lease_.Acquire(revision, prior_holder_, sent, BootTime());
    acquired_at_ = BootTime();
    blocked_until_.clear();
    lapse_logged_ = false;
    planner_.Begin(/*may_have_loaded=*/true, Now());
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
    // Others need not wait for the lease to run out.
    store_.EndLease(lease_id_, [](const auto&) {});
    lease_id_ = 0;
  }

  auto Renew() -> void {
    const auto sent = BootTime();
    next_renewal_ = sent + HolderLease::kRenewInterval;
    const auto lease_id = lease_id_;
    store_.KeepLease(lease_id, [this, sent, lease_id](auto result) {
      if (lease_id != lease_id_ || !lease_.is_held()) {
        return;
      }
      if (std::holds_alternative<StoreLease>(result)) {
        lease_.Renew(sent);
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
      if (lease_.is_held() && BootTime() >= next_renewal_) {
        Renew();
      }
      Pump();
      if (lease_is_free_) {
        Compete();
      }
      Tick();
    });
  }

  auto SendOrder(EngineOrder order) -> void {
    const auto now = BootTime();
    if (const auto blocked = blocked_until_.find(order.target_);
        blocked != blocked_until_.end() && now < blocked->second) {
      planner_.OnNotSent(order, Now());
      return;
    }
    last_order_at_[order.target_] = now;
    order.holder_ = instance_;
    order.fencing_token_ = lease_.fencing_token();
    auto request = Calls::Encode(order);
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
    StartWholeExchange(pool_, std::move(request), kMaxReportBytes,
                       {[finish](const TargetResponse& response) {
                          finish(Calls::Result(response.head_.status_),
                                 response.head_.status_);
                        },
                        [finish](const AttemptFailure& failure) {
                          finish(failure.outcome_ == Outcome::kNotRun
                                     ? OrderResult::kRejected
                                     : OrderResult::kUnknown,
                                 0);
                        }});
  }

  auto RequestReport(const std::string& target) -> void {
    const auto* entry =
        registry_ == nullptr ? nullptr : registry_->Find(target);
    if (entry == nullptr) {
      planner_.OnReportFailed(target, Now());
      return;
    }
    auto request = Calls::ReportRequest(target, entry->registration_.endpoint_);
    SetTimeouts(request, kCallTimeout);
    StartWholeExchange(
        pool_, std::move(request), kMaxReportBytes,
        {[this, target](const TargetResponse& response) {
           try {
             if (response.head_.status_ != 200) {
               throw StepError(
                   "report", target,
                   "status " + std::to_string(response.head_.status_));
             }
             planner_.OnReport(
                 target, Calls::DecodeReport(target, response.body_), Now());
           } catch (const StepError& error) {
             LogEvent(LogLevel::kWarning, "report_unreadable")
                 .With("target", target)
                 .With("reason", error.what());
             planner_.OnReportFailed(target, Now());
           }
         },
         [this, target](const AttemptFailure& failure) {
           LogEvent(LogLevel::kInfo, "report_failed")
               .With("target", target)
               .With("reason", failure.reason_);
           planner_.OnReportFailed(target, Now());
         }});
  }

  static auto SetTimeouts(TargetRequest& request, Duration time) -> void {
    request.timeouts_ = {time, time, time, time};
  }

  Store& store_;
  std::string key_;
  std::string
      last_holder_key_;  // names the last holder, and whether it gave back
  std::string last_holder_;
  std::int64_t last_revision_ = 0;
  bool store_connected_ = false;
  Duration store_reconnected_at_ = -kPostOutagePeriod;
  std::string instance_;
  std::string former_owner_id_;  // mark of the holder before this one
  std::string
      owner_id_;  // tells this process from earlier ones of the instance
  Duration handover_interval_;
  std::map<std::string, Duration> last_order_at_;  // own last order by target
  std::map<std::string, Duration> blocked_until_;
  std::shared_ptr<ConnectionPool> pool_;
  MetricsRegistry& metrics_;
  Handlers handlers_;
  HolderLease lease_;
  OrderPlanner planner_;
  const TargetRegistry* registry_ = nullptr;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer contention_timer_;
  Random random_;
  HolderLease::PriorHolder prior_holder_ = HolderLease::PriorHolder::kUnknown;
  std::int64_t lease_id_ = 0;
  Duration grant_sent_{};
  Duration acquired_at_{};
  Duration next_summary_{};
  bool stronger_peer_ = false;
  Duration next_renewal_{};
  bool lapse_logged_ = false;
  bool started_ = false;
  bool stopping_ = false;
  bool competing_ = false;
  bool lease_is_free_ = true;
};

}  // namespace baobab::gateway
