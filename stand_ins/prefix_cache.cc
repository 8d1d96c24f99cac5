#include "stand_ins/prefix_cache.h"

#include "baobab_base/rendezvous_hash.h"

namespace baobab::stand_in {
namespace {

/// Events kept for readers that fall behind.
constexpr std::size_t kEventHistory = 4096;

}  // namespace

auto BlockHashes(std::string_view model, std::string_view prompt)
    -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> hashes;
  std::uint64_t chain = HashKey(model);
  for (std::size_t at = 0; at + kBlockBytes <= prompt.size();
       at += kBlockBytes) {
    chain = HashKey(prompt.substr(at, kBlockBytes), chain);
    hashes.push_back(chain);
  }
  return hashes;
}

auto PrefixCache::Use(const std::string& model, std::string_view prompt,
                      TimePoint now) -> std::size_t {
  std::size_t hits = 0;
  bool missed = false;
  for (const auto block : BlockHashes(model, prompt)) {
    missed = missed || present_.count(block) == 0;
    hits += missed ? 0 : 1;
    Insert(model, block, now);
  }
  return hits;
}

auto PrefixCache::Insert(const std::string& model, std::uint64_t block,
                         TimePoint now) -> void {
  if (const auto found = present_.find(block); found != present_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return;
  }
  order_.push_front({model, block});
  present_[block] = order_.begin();
  Record(order_.front(), /*removed=*/false, now);
  if (present_.size() > settings_.blocks_) {
    Record(order_.back(), /*removed=*/true, now);
    present_.erase(order_.back().block_);
    order_.pop_back();
  }
}

auto PrefixCache::RemoveModel(const std::string& model, TimePoint now) -> void {
  for (auto it = order_.begin(); it != order_.end();) {
    if (it->model_ == model) {
      Record(*it, /*removed=*/true, now);
      present_.erase(it->block_);
      it = order_.erase(it);
    } else {
      ++it;
    }
  }
}

auto PrefixCache::Record(const Entry& entry, bool removed, TimePoint now)
    -> void {
  const CacheEvent event{next_sequence_++, removed, entry.model_, entry.block_};
  std::bernoulli_distribution lost(settings_.event_loss_);
  if (settings_.event_loss_ > 0 && lost(random_)) {
    return;
  }
  events_.push_back({event, now + settings_.event_delay_});
  if (events_.size() > kEventHistory) {
    events_.pop_front();
  }
}

auto PrefixCache::EventsAfter(std::uint64_t sequence, TimePoint now) const
    -> std::vector<CacheEvent> {
  std::vector<CacheEvent> found;
  for (const auto& pending : events_) {
    if (pending.event_.sequence_ > sequence && pending.published_ <= now) {
      found.push_back(pending.event_);
    }
  }
  return found;
}

}  // namespace baobab::stand_in
