#include "baobab_gateway/holder_election.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace baobab::gateway {
namespace {

constexpr std::string_view kReleasedPrefix = "released";
constexpr std::string_view kWaitingPrefix = "waiting";
/// Separates the owner id from the era.
constexpr char kEraSeparator = '#';

/// Removes `prefix` from the start of `text`. Returns false if it is missing.
auto TakePrefix(std::string_view& text, std::string_view prefix) -> bool {
  if (!text.starts_with(prefix)) {
    return false;
  }
  text.remove_prefix(prefix.size());
  return true;
}

}  // namespace

auto LastHolder::Encode() const -> std::string {
  std::string text;
  if (has_released_) {
    text += kReleasedPrefix;
  }
  if (is_waiting_) {
    text += kWaitingPrefix;
  }
  text += owner_id_;
  if (era_ != 0) {
    text += kEraSeparator + std::to_string(era_);
  }
  return text;
}

auto LastHolder::Decode(std::string_view text) -> LastHolder {
  LastHolder holder;
  holder.has_released_ = TakePrefix(text, kReleasedPrefix);
  holder.is_waiting_ = TakePrefix(text, kWaitingPrefix);
  if (const auto separator = text.rfind(kEraSeparator);
      separator != std::string_view::npos) {
    const auto era = text.substr(separator + 1);
    (void)std::from_chars(era.data(), era.data() + era.size(), holder.era_);
    text = text.substr(0, separator);
  }
  holder.owner_id_ = text;
  return holder;
}

auto HolderElection::AddEvent(HolderEvent::Kind kind, const char* reason)
    -> void {
  HolderEvent event;
  event.kind_ = kind;
  event.fencing_token_ = lease_.fencing_token();
  event.reason_ = reason;
  events_.push_back(std::move(event));
}

auto HolderElection::Stop() -> void {
  stopping_ = true;
  if (lease_.is_held()) {
    Release("stopping");
  }
}

auto HolderElection::SetHasStrongerPeer(bool exists, Duration now) -> void {
  stronger_peer_ = exists;
  if (exists && lease_.is_held() && store_connected_ &&
      now - acquired_at_ >= kMinHoldTime) {
    Release("stronger_peer");
  }
}

auto HolderElection::SetStoreConnected(bool connected, Duration now) -> void {
  if (connected && !store_connected_) {
    store_reconnected_at_ = now;
  }
  store_connected_ = connected;
}

auto HolderElection::OnStoreEra(std::int64_t era, Duration now) -> void {
  store_era_ = era;
  store_reconnected_at_ = now;
  if (lease_.is_held()) {
    held_before_era_ = IsValid(now) ? std::optional(era) : std::nullopt;
    AddEvent(HolderEvent::Kind::kLost, "store_restored");
    lease_.Release();
  }
  // Not revoked: the id may be that of another lease now.
  lease_id_ = 0;
}

auto HolderElection::OnStoreEntry(const StoreEntry& item, Duration now)
    -> void {
  if (item.key_ == last_holder_key_) {
    last_holder_ = LastHolder::Decode(item.value_);
    last_revision_ = item.removed_ ? 0 : item.revision_;
  }
  if (item.key_ != settings_.key_) {
    return;
  }
  const bool own = !item.removed_ && item.value_ == settings_.owner_id_;
  lease_is_free_ = item.removed_;
  lease_entry_revision_ = item.revision_;
  if (own && !lease_.is_held() && !stopping_ && lease_id_ != 0 &&
      item.lease_ == lease_id_) {
    // The response to the transaction was lost, but it was applied. An entry of
    // an earlier attempt ends with the lease of that attempt.
    OnAcquired(item.revision_, now);
  } else if (!own && lease_.is_held() &&
             item.revision_ > lease_.fencing_token()) {
    OnLost("taken_or_removed");
  }
}

auto HolderElection::OnPeerNotHolder(const HandoverReport& report, Duration now)
    -> void {
  if (!lease_.is_held() || former_.owner_id_.empty() ||
      report.owner_id_ != former_.owner_id_) {
    return;
  }
  if (former_.is_waiting_ && !former_.has_released_ &&
      report.last_token_ != former_revision_) {
    // The response to its acquisition was lost: it does not know that it was
    // the holder, nor for whom it would have had to wait.
    return;
  }
  AddEvent(HolderEvent::Kind::kWaitEnded, "");
  events_.back().last_holder_ = std::exchange(former_, {}).owner_id_;
  events_.back().blocked_targets_ = report.recent_orders_.size();
  for (const auto& [target, age] : report.recent_orders_) {
    auto& until = blocked_until_[target];
    until = std::max(until, now - age + settings_.handover_interval_ +
                                settings_.handover_margin_);
  }
  lease_.EndHandoverWait(now + report.wait_);
}

auto HolderElection::OnPeerHolder(std::int64_t token) -> void {
  if (lease_.is_held() && token > lease_.fencing_token()) {
    OnLost("replaced");
  }
}

auto HolderElection::OnStoreOutage(Duration from, Duration until) -> void {
  if (!lease_.is_held()) {
    return;
  }
  if (lease_.ExtendInOutage(from, until)) {
    last_renewed_by_ = "peer_reports";
  } else if (!std::exchange(may_have_ended_, true)) {
    AddEvent(HolderEvent::Kind::kMayHaveEnded, last_renewed_by_);
  }
}

auto HolderElection::OnLeaseGranted(std::optional<std::int64_t> lease_id,
                                    Duration sent, Duration now) -> void {
  if (!lease_id || stopping_) {
    is_acquiring_ = false;
    return;
  }
  if (!KnowsLastHolder()) {
    is_acquiring_ = false;
    return;
  }
  lease_id_ = *lease_id;
  lease_era_ = store_era_;
  grant_sent_ = sent;
  prior_holder_ = PriorHolder(now);
  former_ = IsLastHolderOutdated() ? LastHolder() : last_holder_;
  former_revision_ = last_revision_;
  handover_end_recorded_ =
      prior_holder_ == HolderLease::PriorHolder::kOwn && IsHandoverOver(now);
  calls_.push_back(
      {HolderStoreCall::Kind::kAcquire, lease_id_, AcquireTransaction()});
}

auto HolderElection::IsHandoverOver(Duration now) const -> bool {
  return lease_.RemainingWait(now) == Duration::zero() &&
         std::none_of(
             blocked_until_.begin(), blocked_until_.end(),
             [now](const auto& blocked) { return now < blocked.second; });
}

auto HolderElection::AcquireTransaction() const -> StoreTransaction {
  StoreTransaction change;
  change.preconditions_.push_back({settings_.key_, 0});
  // The transaction fails unless the last holder's entry still has the revision
  // from which the former holder was read.
  change.preconditions_.push_back({last_holder_key_, last_revision_});
  change.writes_.push_back({settings_.key_, settings_.owner_id_, lease_id_});
  const LastHolder self{settings_.owner_id_, false, !handover_end_recorded_,
                        store_era_};
  change.writes_.push_back({last_holder_key_, self.Encode(), 0});
  return change;
}

auto HolderElection::OnAcquireResult(
    const std::variant<std::int64_t, StoreFailure>& result, Duration now)
    -> void {
  is_acquiring_ = false;
  if (const auto* revision = std::get_if<std::int64_t>(&result)) {
    if (*revision < lease_entry_revision_) {
      return;  // the entry has changed since
    }
    if (StorePosition::Era(*revision) != lease_era_) {
      // The store returned from a copy after it had granted the lease. The one
      // with its id is that of another entry.
      StoreTransaction change;
      change.preconditions_.push_back({settings_.key_, *revision});
      change.removals_.push_back(settings_.key_);
      calls_.push_back({HolderStoreCall::Kind::kRelease, 0, std::move(change)});
      return;
    }
    lease_is_free_ = false;
    if (!lease_.is_held()) {
      OnAcquired(*revision, now);
    }
    if (stopping_) {
      Release("stopping");
    }
  } else if (std::get<StoreFailure>(result) == StoreFailure::kConflict) {
    AddEvent(HolderEvent::Kind::kNotAcquired, "taken_or_changed");
  }
}

auto HolderElection::OnHandoverEndRecorded(std::int64_t lease_id,
                                           bool succeeded) -> void {
  if (succeeded && lease_.is_held() && lease_id == lease_id_) {
    handover_end_recorded_ = true;
  }
}

auto HolderElection::OnRenewResult(
    std::int64_t lease_id, Duration sent,
    const std::variant<StoreLease, StoreFailure>& result) -> void {
  if (lease_id != lease_id_ || !lease_.is_held()) {
    return;
  }
  if (std::holds_alternative<StoreLease>(result)) {
    lease_.Renew(sent);
    may_have_ended_ = false;
    last_renewed_by_ = "store";
  } else if (std::get<StoreFailure>(result) == StoreFailure::kNoLease) {
    OnLost("lease_ended");
  }
}

auto HolderElection::OnAcquired(std::int64_t revision, Duration now) -> void {
  lease_.Acquire(revision, prior_holder_, grant_sent_, now);
  last_token_ = revision;
  acquired_at_ = now;
  if (prior_holder_ == HolderLease::PriorHolder::kOwn &&
      former_.owner_id_ != settings_.owner_id_) {
    predecessor_orders_until_ =
        now + settings_.handover_interval_ + settings_.handover_margin_;
  }
  std::erase_if(blocked_until_,
                [now](const auto& blocked) { return blocked.second <= now; });
  was_expired_ = false;
  may_have_ended_ = false;
  last_renewed_by_ = "store";
  next_renewal_ = now + HolderLease::kRenewInterval;
  AddEvent(HolderEvent::Kind::kAcquired, "");
  events_.back().last_holder_ = former_.Encode();
  events_.back().last_revision_ = former_revision_;
}

auto HolderElection::OnLost(const char* reason) -> void {
  AddEvent(HolderEvent::Kind::kLost, reason);
  lease_.Release();
  // Lets other instances acquire the lease before it expires at the store.
  calls_.push_back(
      {HolderStoreCall::Kind::kRevokeLease, std::exchange(lease_id_, 0), {}});
}

auto HolderElection::Release(const char* reason) -> void {
  AddEvent(HolderEvent::Kind::kReleased, reason);
  const auto token = lease_.fencing_token();
  lease_.Release();
  lease_id_ = 0;
  StoreTransaction change;
  change.preconditions_.push_back({settings_.key_, token});
  const LastHolder self{settings_.owner_id_, true, !handover_end_recorded_,
                        store_era_};
  change.writes_.push_back({last_holder_key_, self.Encode(), 0});
  change.removals_.push_back(settings_.key_);
  calls_.push_back({HolderStoreCall::Kind::kRelease, 0, std::move(change)});
}

auto HolderElection::Next(Duration now) -> std::vector<HolderStoreCall> {
  auto calls = std::exchange(calls_, {});
  if (lease_.is_held() && now >= next_renewal_) {
    next_renewal_ = now + HolderLease::kRenewInterval;
    calls.push_back({HolderStoreCall::Kind::kRenewLease, lease_id_, {}});
  }
  if (lease_.MaySendOrders(now) && !handover_end_recorded_ &&
      now >= next_record_ && IsHandoverOver(now)) {
    next_record_ = now + kRecordInterval;
    StoreTransaction change;
    change.preconditions_.push_back({settings_.key_, lease_.fencing_token()});
    const LastHolder self{settings_.owner_id_, false, false, store_era_};
    change.writes_.push_back({last_holder_key_, self.Encode(), 0});
    calls.push_back({HolderStoreCall::Kind::kRecordHandoverEnd, lease_id_,
                     std::move(change)});
  }
  if (acquire_at_ && now >= *acquire_at_) {
    acquire_at_.reset();
    if (lease_is_free_ && !stopping_ && !lease_.is_held() &&
        KnowsLastHolder()) {
      is_acquiring_ = true;
      calls.push_back({HolderStoreCall::Kind::kGrantLease, 0, {}});
    }
  }
  ScheduleCompetition(now);
  return calls;
}

auto HolderElection::ScheduleCompetition(Duration now) -> void {
  if (!started_ || stopping_ || !may_compete_ || lease_.is_held() ||
      is_acquiring_ || acquire_at_ || !lease_is_free_) {
    return;
  }
  std::uniform_int_distribution<Duration::rep> contention(
      0, kMaxContentionDelay.count());
  const bool known_other = !last_holder_.owner_id_.empty() &&
                           !last_holder_.has_released_ &&
                           !IsOwn(last_holder_.owner_id_);
  acquire_at_ = now + (known_other ? kOtherHolderDelay : Duration::zero()) +
                (stronger_peer_ ? kWeakerInstanceDelay : Duration::zero()) +
                Duration(contention(random_));
}

auto HolderElection::PriorHolder(Duration now) const
    -> HolderLease::PriorHolder {
  if (IsLastHolderOutdated()) {
    // Without an entry of this era, no instance has held the lease in it.
    return held_before_era_ == store_era_
               ? HolderLease::PriorHolder::kOwn
               : HolderLease::PriorHolder::kUnknownAfterOutage;
  }
  // The wait of a term that this process knows of is kept in `lease_`.
  const bool is_known_term = last_holder_.owner_id_ == settings_.owner_id_ &&
                             last_token_ == last_revision_;
  if (is_known_term ||
      (IsOwn(last_holder_.owner_id_) && !last_holder_.has_released_ &&
       !last_holder_.is_waiting_)) {
    return HolderLease::PriorHolder::kOwn;
  }
  if (last_holder_.has_released_ && !last_holder_.is_waiting_) {
    return HolderLease::PriorHolder::kReleased;
  }
  return now - store_reconnected_at_ < kPostOutagePeriod
             ? HolderLease::PriorHolder::kUnknownAfterOutage
             : HolderLease::PriorHolder::kUnknown;
}

auto HolderElection::MaySendOrders(Duration now) -> bool {
  if (lease_.is_held() && lease_.IsExpired(now) != was_expired_) {
    // The instance stays the holder until the store reports that the lease has
    // ended: a successful renewal, or reports of all instances that the store
    // is unreachable, make the lease valid again.
    was_expired_ = !was_expired_;
    AddEvent(was_expired_ ? HolderEvent::Kind::kExpired
                          : HolderEvent::Kind::kRenewed,
             last_renewed_by_);
  }
  return lease_.MaySendOrders(now);
}

auto HolderElection::IsBlocked(const std::string& target, Duration now) const
    -> bool {
  const auto blocked = blocked_until_.find(target);
  return blocked != blocked_until_.end() && now < blocked->second;
}

auto HolderElection::MakeHandoverReport(Duration now) const -> HandoverReport {
  const auto blocking_time =
      settings_.handover_interval_ + settings_.handover_margin_;
  std::map<std::string, Duration> latest = last_order_at_;
  for (const auto& [target, until] : blocked_until_) {
    auto& at = latest[target];
    at = std::max(at, until - blocking_time);
  }
  HandoverReport report{
      settings_.owner_id_,
      last_token_,
      std::max(lease_.RemainingWait(now), predecessor_orders_until_ - now),
      {}};
  for (const auto& [target, at] : latest) {
    if (now - at < blocking_time) {
      report.recent_orders_.emplace_back(target, now - at);
    }
  }
  return report;
}

}  // namespace baobab::gateway
