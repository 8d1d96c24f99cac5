#include "baobab_http/connection_budget.h"

#include <utility>

namespace baobab {

auto ConnectionBudget::Open(Key key, TimePoint now) -> void {
  Entry entry;
  entry.progress_at_ = now;
  if (entries_.emplace(key, entry).second) {
    used_ += kConnectionBytes;
  }
}

auto ConnectionBudget::Close(Key key) -> void {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  used_ -= kConnectionBytes + found->second.bytes_;
  paused_ -= found->second.is_paused_ ? 1 : 0;
  entries_.erase(found);
}

auto ConnectionBudget::Hold(Key key, std::size_t bytes) -> void {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    used_ = used_ - found->second.bytes_ + bytes;
    found->second.bytes_ = bytes;
  }
}

auto ConnectionBudget::SetPhase(Key key, Phase phase, TimePoint now) -> void {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    found->second.phase_ = phase;
    found->second.progress_at_ = now;
  }
}

auto ConnectionBudget::OnProgress(Key key, TimePoint now) -> void {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    found->second.progress_at_ = now;
  }
}

auto ConnectionBudget::SetPaused(Key key, bool paused, TimePoint now) -> void {
  const auto found = entries_.find(key);
  if (found == entries_.end() ||
      std::exchange(found->second.is_paused_, paused) == paused) {
    return;
  }
  found->second.paused_at_ = now;
  paused_ = paused ? paused_ + 1 : paused_ - 1;
}

auto ConnectionBudget::IsLong(Key key, std::size_t growth) const -> bool {
  const auto found = entries_.find(key);
  return found != entries_.end() && found->second.bytes_ + growth > kShortBytes;
}

auto ConnectionBudget::MayGrow(Key key, std::size_t growth) const -> bool {
  const auto bound =
      IsLong(key, growth) ? total_ - total_ / kReserveDivisor : total_;
  return growth == 0 || used_ + growth <= bound;
}

auto ConnectionBudget::FindReading(Key except) const -> std::optional<Key> {
  return FindOldest(
      [except](Key key, const Entry& entry) {
        return key != except && entry.phase_ == Phase::kReading &&
               entry.bytes_ > 0;
      },
      [](const Entry& entry) { return entry.progress_at_; });
}

auto ConnectionBudget::FindPaused(bool any, TimePoint now) const
    -> std::optional<Key> {
  return FindOldest(
      [any, now](Key, const Entry& entry) {
        return entry.is_paused_ && (any || now - entry.paused_at_ >= kMaxPause);
      },
      [](const Entry& entry) { return entry.paused_at_; });
}

auto ConnectionBudget::FindUnreadResponse(TimePoint now) const
    -> std::optional<Key> {
  return FindOldest(
      [now](Key, const Entry& entry) {
        return (entry.phase_ == Phase::kSending ||
                entry.phase_ == Phase::kEnding) &&
               now - entry.progress_at_ >= kMinWriteStall;
      },
      [](const Entry& entry) { return entry.progress_at_; });
}

auto ConnectionBudget::Paused() const -> std::vector<Key> {
  std::vector<Key> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.is_paused_) {
      keys.push_back(key);
    }
  }
  return keys;
}

auto ConnectionBudget::FindToReplace() const -> std::optional<Key> {
  for (const auto phase :
       {Phase::kFresh, Phase::kIdle, Phase::kEnding, Phase::kReading}) {
    const auto found = FindOldest(
        [phase](Key, const Entry& entry) { return entry.phase_ == phase; },
        [](const Entry& entry) { return entry.progress_at_; });
    if (found) {
      return found;
    }
  }
  return std::nullopt;
}

}  // namespace baobab
