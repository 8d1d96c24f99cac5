#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Whether this instance may give orders to engines now.
///
/// Answers holders that are suspended, cut off from the store, or robbed of
/// their lease without notice: the right lapses a short time after the last
/// renewal was sent, by a clock that counts suspension. A new holder waits
/// until the right of any former one has lapsed and the time that must lie
/// between the orders of two holders has passed. All times are boot times.
class HolderLease {
 public:
  /// The right lapses this long after a renewal that succeeded was sent.
  static constexpr Duration kValidity = std::chrono::milliseconds(1100);
  /// Renewals are sent at this interval: two fit into the validity while the
  /// store is slow.
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(400);
  /// Lease at the store, after which others may take over. Longer than the
  /// validity, so that a live holder is not replaced before it stops.
  static constexpr Duration kStoreLeaseTtl = std::chrono::milliseconds(1500);

  /// `turn`: the time that must lie between the orders of two holders.
  explicit HolderLease(Duration handover_interval)
      : handover_interval_(handover_interval) {}

  /// Time that a new holder waits in addition right after an outage of the
  /// store: a former holder may go on until its peers have heard of the return.
  static constexpr Duration kPostOutageWait = std::chrono::milliseconds(1500);

  /// How the right became free.
  enum class PriorHolder : std::uint8_t {
    kUnknown,      ///< The former holder may still take itself for one.
    kAfterOutage,  ///< The same, right after an outage of the store.
    kReleased,     ///< The former holder gave it back and orders no more.
    kOwn,          ///< This instance was the former holder.
  };

  /// The store granted the right; the call was sent at `sent`.
  auto Acquire(std::int64_t fencing_token, PriorHolder prior_holder,
               Duration sent, Duration now) -> void {
    fencing_token_ = fencing_token;
    renewal_sent_at_ = sent;
    switch (prior_holder) {
      case PriorHolder::kOwn:
        orders_allowed_from_ = now;
        break;
      case PriorHolder::kReleased:
        orders_allowed_from_ = now + handover_interval_;
        break;
      case PriorHolder::kAfterOutage:
        orders_allowed_from_ =
            now + kValidity + handover_interval_ + kPostOutageWait;
        break;
      case PriorHolder::kUnknown:
        orders_allowed_from_ = now + kValidity + handover_interval_;
        break;
    }
  }

  /// The former holder has said that it gives no more orders.
  auto EndHandoverWait(Duration now) -> void {
    orders_allowed_from_ = std::min(orders_allowed_from_, now);
  }

  /// A renewal that was sent at `sent` succeeded.
  auto Renew(Duration sent) -> void {
    renewal_sent_at_ = std::max(renewal_sent_at_, sent);
  }

  /// The right is lost or given back.
  auto Release() -> void { fencing_token_ = 0; }

  /// Returns true if this instance takes itself for the holder.
  [[nodiscard]] auto is_held() const -> bool { return fencing_token_ != 0; }

  /// Returns true if the right has lapsed and must be acquired anew.
  [[nodiscard]] auto HasLapsed(Duration now) const -> bool {
    return now >= renewal_sent_at_ + kValidity;
  }

  /// Returns true if orders may be given.
  [[nodiscard]] auto MayIssueOrders(Duration now) const -> bool {
    return is_held() && now >= orders_allowed_from_ && !HasLapsed(now);
  }

  /// The number that rises with each holder; 0 if this instance is none.
  [[nodiscard]] auto fencing_token() const -> std::int64_t {
    return fencing_token_;
  }

 private:
  Duration handover_interval_;
  std::int64_t fencing_token_ = 0;
  Duration renewal_sent_at_{};
  Duration orders_allowed_from_{};
};

}  // namespace baobab::gateway
