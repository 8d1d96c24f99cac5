#include "baobab_routing/prefix_index.h"

#include <algorithm>
#include <utility>

#include "baobab_base/rendezvous_hash.h"

namespace baobab {

auto HashPrefixes(std::string_view scope, std::string_view prompt,
                  std::size_t block_bytes) -> std::vector<PrefixHash> {
  std::vector<PrefixHash> hashes;
  auto previous = HashKey(scope);
  for (std::size_t end = block_bytes; end <= prompt.size();
       end += block_bytes) {
    previous = HashKey(prompt.substr(end - block_bytes, block_bytes), previous);
    hashes.push_back(previous);
  }
  return hashes;
}

PrefixIndex::PrefixIndex(PrefixIndexSettings settings) : settings_(settings) {}

auto PrefixIndex::At(TargetIndex target) -> TargetState& {
  if (targets_.size() <= target) {
    targets_.resize(target + 1);
  }
  return targets_[target];
}

auto PrefixIndex::OnSent(TargetIndex target,
                         std::span<const PrefixHash> prefixes, TimePoint now)
    -> void {
  At(target);
  for (const auto prefix : prefixes) {
    Add(target, prefix, now);
  }
}

auto PrefixIndex::Add(TargetIndex target, PrefixHash prefix, TimePoint now)
    -> void {
  auto found = young_.find(prefix);
  if (found == young_.end()) {
    if (young_.size() >= settings_.max_prefixes_ / 2) {
      old_ = std::exchange(young_, Map{});
    }
    found = young_.emplace(prefix, Holders{}).first;
    if (const auto older = old_.find(prefix); older != old_.end()) {
      found->second = older->second;
      old_.erase(older);
    }
  }
  auto& holders = found->second;
  auto place = std::find_if(holders.begin(), holders.end(), [&](const auto& h) {
    return h.set_ && h.target_ == target;
  });
  if (place == holders.end()) {
    place = std::min_element(
        holders.begin(), holders.end(), [](const Holder& a, const Holder& b) {
          return a.set_ != b.set_ ? !a.set_ : a.seen_ < b.seen_;
        });
  }
  *place = Holder{target, now, true};
}

auto PrefixIndex::Remove(TargetIndex target, PrefixHash prefix) -> void {
  for (auto* map : {&young_, &old_}) {
    if (const auto found = map->find(prefix); found != map->end()) {
      for (auto& holder : found->second) {
        holder.set_ = holder.set_ && holder.target_ != target;
      }
    }
  }
}

auto PrefixIndex::OnCacheEvent(TargetIndex target, const CacheEvent& event,
                               TimePoint now) -> void {
  auto& state = At(target);
  if (event.sequence_ <= state.last_event_) {
    return;
  }
  if (state.last_event_ != 0 && event.sequence_ > state.last_event_ + 1) {
    state.gap_ = true;
    state.gap_at_ = now;
  }
  state.last_event_ = event.sequence_;
  switch (event.kind_) {
    case CacheEvent::Kind::kStored:
      Add(target, event.prefix_, now);
      break;
    case CacheEvent::Kind::kRemoved:
      Remove(target, event.prefix_);
      break;
    case CacheEvent::Kind::kCleared:
      state.cleared_ = true;
      state.cleared_at_ = now;
      break;
  }
}

auto PrefixIndex::Clear(TargetIndex target, TimePoint now) -> void {
  auto& state = At(target);
  state = TargetState{};
  state.cleared_ = true;
  state.cleared_at_ = now;
}

auto PrefixIndex::IsLive(const Holder& holder, TimePoint now) const -> bool {
  if (!holder.set_) {
    return false;
  }
  const auto& state = targets_[holder.target_];
  if (state.cleared_ && holder.seen_ <= state.cleared_at_) {
    return false;
  }
  const bool before_gap = state.gap_ && holder.seen_ < state.gap_at_;
  return now - holder.seen_ <
         (before_gap ? settings_.life_after_gap_ : settings_.life_);
}

auto PrefixIndex::Lookup(PrefixHash prefix) const -> const Holders* {
  if (const auto found = young_.find(prefix); found != young_.end()) {
    return &found->second;
  }
  const auto found = old_.find(prefix);
  return found == old_.end() ? nullptr : &found->second;
}

auto PrefixIndex::BlocksAt(TargetIndex target,
                           std::span<const PrefixHash> prefixes,
                           TimePoint now) const -> std::size_t {
  for (std::size_t blocks = prefixes.size(); blocks > 0; --blocks) {
    const auto* holders = Lookup(prefixes[blocks - 1]);
    if (holders != nullptr &&
        std::any_of(holders->begin(), holders->end(), [&](const auto& holder) {
          return holder.target_ == target && IsLive(holder, now);
        })) {
      return blocks;
    }
  }
  return 0;
}

auto PrefixIndex::Find(std::span<const PrefixHash> prefixes,
                       TimePoint now) const -> std::vector<Match> {
  std::vector<Match> matches;
  for (std::size_t blocks = prefixes.size(); blocks > 0; --blocks) {
    const auto* holders = Lookup(prefixes[blocks - 1]);
    if (holders == nullptr) {
      continue;
    }
    for (const auto& holder : *holders) {
      const bool known = std::any_of(
          matches.begin(), matches.end(),
          [&](const Match& match) { return match.target_ == holder.target_; });
      if (!known && IsLive(holder, now)) {
        matches.push_back({holder.target_, blocks});
      }
      if (matches.size() == kHoldersPerPrefix) {
        return matches;
      }
    }
  }
  return matches;
}

}  // namespace baobab
