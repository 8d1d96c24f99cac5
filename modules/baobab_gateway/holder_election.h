#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_base/time_types.h"
#include "baobab_gateway/holder_lease.h"
#include "baobab_gateway/store_position.h"
#include "baobab_gateway/store_types.h"

namespace baobab::gateway {

/// A call to the store that HolderElection asks for.
struct HolderStoreCall {
  enum class Kind : std::uint8_t {
    kGrantLease,  ///< Report the result with OnLeaseGranted().
    kAcquire,     ///< Commit `change_`; report it with OnAcquireResult().
    kRenewLease,  ///< Renew `lease_id_`; report it with OnRenewResult().
    kRecordHandoverEnd,  ///< Commit `change_`; report it with
                         ///< OnHandoverEndRecorded().
    kRelease,            ///< Commit `change_`; the result does not matter.
    kRevokeLease,        ///< Revoke `lease_id_`; the result does not matter.
  };
  Kind kind_ = Kind::kGrantLease;
  std::int64_t lease_id_ = 0;
  StoreTransaction change_;
};

/// A change of the role of this instance, for the log.
struct HolderEvent {
  enum class Kind : std::uint8_t {
    kAcquired,
    kNotAcquired,  ///< Another instance was faster.
    kLost,
    kReleased,
    kWaitEnded,  ///< The former holder reported that it sends no more orders.
    kExpired,    ///< The lease has expired locally.
    kRenewed,    ///< The lease is valid again after it had expired locally.
    /// The lease may have ended before an outage; only the store can renew it.
    kMayHaveEnded,
  };
  Kind kind_ = Kind::kAcquired;
  std::int64_t fencing_token_ = 0;
  /// Reason in the log; of kExpired and kRenewed, what renewed the lease last:
  /// "store" or "peer_reports".
  const char* reason_ = "";
  /// Of kAcquired and kWaitEnded: owner id of the holder before this one.
  std::string last_holder_;
  std::int64_t last_revision_ = 0;   ///< Of kAcquired: of the entry naming it.
  std::size_t blocked_targets_ = 0;  ///< Of kWaitEnded: see IsBlocked().
};

/// What a process that does not hold the order lease reports for a successor.
struct HandoverReport {
  std::string owner_id_;
  /// Fencing token of the last term that the process knows of; 0: none.
  std::int64_t last_token_ = 0;
  /// Rest of the time for which a successor has to wait for the holders before
  /// this process, including earlier processes of its instance.
  Duration wait_{};
  /// Targets to which the process or one before it recently sent orders, each
  /// with the time since then.
  std::vector<std::pair<std::string, Duration>> recent_orders_;
};

/// The last holder, as its entry in the store names it.
struct LastHolder {
  std::string owner_id_;
  bool has_released_ = false;  ///< It released the lease.
  /// It has not recorded that its wait for the holders before it is over. It
  /// may have sent no order so far, and theirs may be recent.
  bool is_waiting_ = false;
  /// Era of the store in which it wrote the entry (see StoreEra). In a later
  /// one, others may have held the lease since.
  std::int64_t era_ = 0;

  [[nodiscard]] auto Encode() const -> std::string;
  [[nodiscard]] static auto Decode(std::string_view text) -> LastHolder;
};

/// Decides when this instance competes for the order lease, renews it, releases
/// it and counts it as lost, and when and to which targets it may send orders.
///
/// The lease is an entry of the store that names the current holder; a second
/// entry names the last holder and stays when the lease ends. It also states
/// whether the last holder still had to wait for the one before it: a third
/// holder then waits as if it knew neither.
///
/// If the store returns from an older copy, that entry may be older than the
/// last holder; it counts only in the era in which it was written.
///
/// Pass in the entries, the results of store calls and the reports of peers as
/// they arrive. After each of them, and at the time that NextCompetition()
/// returns, make the calls that Next() returns. All times are boot times (see
/// BootTime()).
class HolderElection {
 public:
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
  /// Time after the reconnection to the store during which a new holder assumes
  /// that the store had an outage
  /// (HolderLease::PriorHolder::kUnknownAfterOutage).
  static constexpr Duration kPostOutagePeriod = std::chrono::seconds(3);

  /// Interval at which a holder tries again to record that its wait is over.
  /// Until then, a successor waits longer than necessary.
  static constexpr Duration kRecordInterval = std::chrono::seconds(1);

  struct Settings {
    std::string key_;       ///< Of the lease entry; `key_`/last: last holder.
    std::string instance_;  ///< Name of this instance.
    /// Identifies this process: the instance, a slash and a part that differs
    /// with each process.
    std::string owner_id_;
    /// Minimum interval between the orders of two holders to one target.
    Duration handover_interval_{};
    /// Time after its sending within which an order may reach its target.
    Duration handover_margin_{};
  };

  HolderElection(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        last_holder_key_(settings_.key_ + "/last"),
        lease_(settings_.handover_interval_),
        random_(seed) {}

  /// Starts to compete for the lease. Call when the state of the store is
  /// known.
  auto Start() -> void { started_ = true; }
  /// Releases the lease and no longer competes for it.
  auto Stop() -> void;

  /// Sets whether a healthy instance with a larger CPU share exists. If so,
  /// this instance releases the lease once it has held it for kMinHoldTime,
  /// unless the store is unreachable.
  auto SetHasStrongerPeer(bool exists, Duration now) -> void;
  /// Sets whether this instance may acquire the lease. In a large fleet only a
  /// few instances compete for it.
  auto SetMayCompete(bool may_compete) -> void { may_compete_ = may_compete; }
  /// Sets whether this instance has a connection to the store.
  auto SetStoreConnected(bool connected, Duration now) -> void;

  /// Handles the first response of the store in the era `era`. The store has
  /// returned from a copy: the lease is gone, and its id may be given out
  /// again.
  auto OnStoreEra(std::int64_t era, Duration now) -> void;
  /// Handles a change of a store entry. Entries other than those of the current
  /// and the last holder are ignored.
  auto OnStoreEntry(const StoreEntry& item, Duration now) -> void;
  /// Handles the report of a process that it does not hold the lease. Ignored
  /// unless that process was the holder before this instance and knows that;
  /// otherwise ends the wait for the former holder. The targets with recent
  /// orders get none until the handover interval and its margin have passed
  /// since those.
  auto OnPeerNotHolder(const HandoverReport& report, Duration now) -> void;
  /// Handles a report of another process with the fencing token `token`. This
  /// instance stops being the holder if the token is higher than its own.
  auto OnPeerHolder(std::int64_t token) -> void;
  /// Handles an outage in which the store responded to no instance from `from`
  /// to `until`. The lease cannot be renewed, but no other instance can have
  /// acquired it in that time: extends the lease locally, unless it may have
  /// ended before `from`.
  auto OnStoreOutage(Duration from, Duration until) -> void;

  /// Handles the result of kGrantLease: the id of the lease, or nothing if the
  /// call that was sent at `sent` failed.
  auto OnLeaseGranted(std::optional<std::int64_t> lease_id, Duration sent,
                      Duration now) -> void;
  /// Handles the result of kAcquire: the revision of the lease entry.
  auto OnAcquireResult(const std::variant<std::int64_t, StoreFailure>& result,
                       Duration now) -> void;
  /// Handles the result of kRecordHandoverEnd in the term with `lease_id`.
  auto OnHandoverEndRecorded(std::int64_t lease_id, bool succeeded) -> void;
  /// Handles the result of the renewal of `lease_id` that was sent at `sent`.
  auto OnRenewResult(std::int64_t lease_id, Duration sent,
                     const std::variant<StoreLease, StoreFailure>& result)
      -> void;

  /// Returns the calls to the store that are to be made now.
  [[nodiscard]] auto Next(Duration now) -> std::vector<HolderStoreCall>;
  /// Returns when this instance next tries to acquire the lease, or nothing if
  /// it is not about to.
  [[nodiscard]] auto NextCompetition() const -> std::optional<Duration> {
    return acquire_at_;
  }
  /// Returns the events since the last call.
  [[nodiscard]] auto TakeEvents() -> std::vector<HolderEvent> {
    return std::exchange(events_, {});
  }

  /// Returns true if this instance may send orders now.
  [[nodiscard]] auto MaySendOrders(Duration now) -> bool;
  /// Returns true if `target` gets no order of this holder for now, since the
  /// former one sent it an order recently.
  [[nodiscard]] auto IsBlocked(const std::string& target, Duration now) const
      -> bool;
  /// Records that an order is sent to `target`.
  auto OnOrderSent(const std::string& target, Duration now) -> void {
    last_order_at_[target] = now;
  }
  /// Returns what a successor must know if this process is not the holder.
  [[nodiscard]] auto MakeHandoverReport(Duration now) const -> HandoverReport;

  /// Returns true if this instance holds the lease, even if that has expired
  /// locally.
  [[nodiscard]] auto is_held() const -> bool { return lease_.is_held(); }
  /// Returns true if this instance holds the lease and it has not expired
  /// locally: no other instance can have acquired it.
  [[nodiscard]] auto IsValid(Duration now) const -> bool {
    return lease_.is_held() && !lease_.IsExpired(now);
  }
  /// Returns the fencing token of the lease; 0 if this instance is not the
  /// holder.
  [[nodiscard]] auto fencing_token() const -> std::int64_t {
    return lease_.fencing_token();
  }

 private:
  auto Release(const char* reason) -> void;
  auto OnAcquired(std::int64_t revision, Duration now) -> void;
  auto OnLost(const char* reason) -> void;
  auto AddEvent(HolderEvent::Kind kind, const char* reason) -> void;
  /// Sets the time of the next attempt to acquire the lease, if this instance
  /// may compete for it.
  auto ScheduleCompetition(Duration now) -> void;
  /// Returns the transaction that acquires the lease.
  [[nodiscard]] auto AcquireTransaction() const -> StoreTransaction;
  /// Returns true if the entry of the last holder was read, or found missing,
  /// in the present era.
  [[nodiscard]] auto KnowsLastHolder() const -> bool {
    return last_revision_ == 0 ||
           StorePosition::Era(last_revision_) == store_era_;
  }
  /// Returns true if the last holder's entry does not name the last holder,
  /// since the store returned from a copy.
  [[nodiscard]] auto IsLastHolderOutdated() const -> bool {
    return last_holder_.era_ != store_era_;
  }
  /// Returns what is known of the last holder.
  [[nodiscard]] auto PriorHolder(Duration now) const
      -> HolderLease::PriorHolder;
  /// Returns true if this holder has neither to wait for the former one nor to
  /// leave out any target.
  [[nodiscard]] auto IsHandoverOver(Duration now) const -> bool;
  /// Returns true if `owner_id` names a process of this instance.
  [[nodiscard]] auto IsOwn(const std::string& owner_id) const -> bool {
    return owner_id.substr(0, owner_id.find('/')) == settings_.instance_;
  }

  Settings settings_;
  std::string last_holder_key_;
  // As last read from the store.
  LastHolder last_holder_;
  std::int64_t last_revision_ = 0;  // of the entry of last_holder_
  std::int64_t lease_entry_revision_ = 0;
  // The holder before this instance, as of the last attempt to acquire the
  // lease. Empty once it has reported.
  LastHolder former_;
  std::int64_t former_revision_ = 0;
  HolderLease lease_;
  Random random_;
  std::vector<HolderStoreCall> calls_;
  std::vector<HolderEvent> events_;
  // Time of this process's last order to each target.
  std::map<std::string, Duration> last_order_at_;
  // Time until which a target gets no order, since the former holder sent it
  // one recently.
  std::map<std::string, Duration> blocked_until_;
  // Time until which orders of an earlier process of this instance may be
  // recent.
  Duration predecessor_orders_until_{};
  std::optional<Duration> acquire_at_;
  HolderLease::PriorHolder prior_holder_ = HolderLease::PriorHolder::kUnknown;
  std::int64_t store_era_ = 0;
  std::int64_t lease_id_ = 0;
  std::int64_t lease_era_ = 0;   // in which lease_id_ was granted
  std::int64_t last_token_ = 0;  // of the last term of this process
  // Era at whose beginning this process held a valid lease: no other instance
  // held one in the era before.
  std::optional<std::int64_t> held_before_era_;
  Duration grant_sent_{};
  Duration acquired_at_{};
  Duration next_renewal_{};
  Duration next_record_{};
  Duration store_reconnected_at_ = -kPostOutagePeriod;
  const char* last_renewed_by_ = "store";
  bool store_connected_ = false;
  bool stronger_peer_ = false;
  bool handover_end_recorded_ = false;  // see LastHolder::is_waiting_
  bool was_expired_ = false;
  bool may_have_ended_ = false;  // kMayHaveEnded was added since the renewal
  bool started_ = false;
  bool stopping_ = false;
  bool may_compete_ = false;
  bool is_acquiring_ = false;  // a call of an acquisition is in progress
  bool lease_is_free_ = true;
};

}  // namespace baobab::gateway
