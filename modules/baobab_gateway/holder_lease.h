#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Tracks the order lease of this instance: only the instance that holds the
/// lease (the holder) may send orders to engines.
///
/// Prevents orders from a holder that is suspended, disconnected from the store
/// or replaced without notice: the lease expires locally a short time after the
/// last successful renewal was sent, by a clock that counts suspension. A new
/// holder waits until the lease of any former holder has expired locally and
/// the minimum interval between the orders of two holders has passed.
///
/// All times are boot times (see BootTime()).
class HolderLease {
 public:
  /// Time for which the lease is valid locally, counted from the moment at
  /// which the last successful renewal was sent.
  static constexpr Duration kValidity = std::chrono::milliseconds(1100);
  /// Interval at which renewals are sent: two of them fit into kValidity even
  /// while the store is slow.
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(400);
  /// Time to live of the lease at the store, after which another instance may
  /// acquire it. Longer than kValidity, so that a live holder stops sending
  /// orders before it is replaced.
  static constexpr Duration kStoreLeaseTtl = std::chrono::milliseconds(1500);

  /// `handover_interval` is the minimum interval between the orders of two
  /// holders.
  explicit HolderLease(Duration handover_interval)
      : handover_interval_(handover_interval) {}

  /// Additional time that a new holder waits after an outage of the store: the
  /// former holder may continue to send orders until its peers know that the
  /// store is reachable again.
  static constexpr Duration kPostOutageWait = std::chrono::milliseconds(1500);

  /// What is known of the former holder when this instance acquires the lease.
  enum class PriorHolder : std::uint8_t {
    kUnknown,             ///< It may still act as the holder.
    kUnknownAfterOutage,  ///< As kUnknown, shortly after a store outage.
    kReleased,            ///< It released the lease and sends no more orders.
    kOwn,                 ///< It was this instance.
  };

  /// Records that the store granted the lease, in response to a call that was
  /// sent at `sent`. `fencing_token` is not 0.
  auto Acquire(std::int64_t fencing_token, PriorHolder prior_holder,
               Duration sent, Duration now) -> void {
    fencing_token_ = fencing_token;
    renewal_sent_at_ = sent;
    no_successor_until_ = sent + kStoreLeaseTtl;
    // A wait of an earlier term that has not ended goes on.
    earlier_wait_ends_at_ = orders_allowed_from_;
    orders_allowed_from_ =
        std::max(orders_allowed_from_, now + HandoverWait(prior_holder));
  }

  /// Ends the wait of a new holder at `at`, except for one from an earlier term
  /// of this process: the former holder has reported that it sends no more
  /// orders, and that nobody before it has sent one later than that permits.
  auto EndHandoverWait(Duration at) -> void {
    orders_allowed_from_ =
        std::max(earlier_wait_ends_at_, std::min(orders_allowed_from_, at));
  }

  /// Returns the rest of the wait of this holder, or of its last term.
  [[nodiscard]] auto RemainingWait(Duration now) const -> Duration {
    return std::max(Duration::zero(), orders_allowed_from_ - now);
  }

  /// Extends the lease after a successful renewal that was sent at `sent`.
  auto Renew(Duration sent) -> void {
    renewal_sent_at_ = std::max(renewal_sent_at_, sent);
    no_successor_until_ = std::max(no_successor_until_, sent + kStoreLeaseTtl);
  }

  /// Extends the lease without the store, which responded to no other instance
  /// between `from` and `until`: none of them acquired the lease in that time.
  /// Returns false, without an effect, if the lease may have ended at the store
  /// before `from`: another instance may have held it since.
  [[nodiscard]] auto ExtendInOutage(Duration from, Duration until) -> bool {
    if (from > no_successor_until_) {
      return false;
    }
    renewal_sent_at_ = std::max(renewal_sent_at_, until);
    no_successor_until_ = std::max(no_successor_until_, until);
    return true;
  }

  /// Records that the lease is lost or released.
  auto Release() -> void { fencing_token_ = 0; }

  /// Returns true if this instance has acquired the lease and has neither lost
  /// nor released it. The lease may have expired locally; see MaySendOrders().
  [[nodiscard]] auto is_held() const -> bool { return fencing_token_ != 0; }

  /// Returns true if the lease has expired locally: no renewal that was sent
  /// within the last kValidity has succeeded.
  [[nodiscard]] auto IsExpired(Duration now) const -> bool {
    return now >= renewal_sent_at_ + kValidity;
  }

  /// Returns true if this instance may send orders at `now`.
  [[nodiscard]] auto MaySendOrders(Duration now) const -> bool {
    return is_held() && now >= orders_allowed_from_ && !IsExpired(now);
  }

  /// Returns the fencing token, which increases with each holder; 0 if this
  /// instance is not the holder.
  [[nodiscard]] auto fencing_token() const -> std::int64_t {
    return fencing_token_;
  }

 private:
  /// Returns the time from the acquisition of the lease to the first order.
  [[nodiscard]] auto HandoverWait(PriorHolder prior_holder) const -> Duration {
    switch (prior_holder) {
      case PriorHolder::kOwn:
        return Duration::zero();
      case PriorHolder::kReleased:
        return handover_interval_;
      case PriorHolder::kUnknownAfterOutage:
        return kValidity + handover_interval_ + kPostOutageWait;
      case PriorHolder::kUnknown:
        break;
    }
    return kValidity + handover_interval_;
  }

  Duration handover_interval_;
  std::int64_t fencing_token_ = 0;
  Duration renewal_sent_at_{};
  // Time until which no other instance can have acquired the lease.
  Duration no_successor_until_{};
  Duration orders_allowed_from_{};
  Duration earlier_wait_ends_at_{};  // of the terms before this one
};

}  // namespace baobab::gateway
