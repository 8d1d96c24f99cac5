#include "baobab_gateway/prefix_cache_estimate.h"

#include <cstring>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::gateway {

auto PrefixHashes(const Generation& generation) -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> prefix_hashes;
  prefix_hashes.reserve(generation.parts_.size());
  auto hash = HashKey(generation.adapter_, HashKey(generation.model_));
  for (const auto& part : generation.parts_) {
    std::string_view bytes(reinterpret_cast<const char*>(&part.id_),
                           sizeof(part.id_));
    hash = HashKey(bytes, hash);
    prefix_hashes.push_back(hash);
  }
  return prefix_hashes;
}

auto PrefixCacheEstimate::Record(
    const std::vector<std::uint64_t>& prefix_hashes,
    const std::vector<PromptPart>& parts) -> void {
  // Iterates from the last part to the first, so that the most widely shared
  // part becomes the most recently used one.
  for (std::size_t i = prefix_hashes.size(); i-- > 0;) {
    const auto found = part_by_prefix_hash_.find(prefix_hashes[i]);
    if (found != part_by_prefix_hash_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    order_.push_front({prefix_hashes[i], parts[i].tokens_});
    part_by_prefix_hash_[prefix_hashes[i]] = order_.begin();
    tokens_ += parts[i].tokens_;
  }
  while (tokens_ > capacity_ && !order_.empty()) {
    tokens_ -= order_.back().tokens_;
    part_by_prefix_hash_.erase(order_.back().hash_);
    order_.pop_back();
  }
}

auto PrefixCacheEstimate::CachedTokens(
    const std::vector<std::uint64_t>& prefix_hashes,
    const std::vector<PromptPart>& parts) const -> std::uint32_t {
  std::uint32_t cached = 0;
  for (std::size_t i = 0; i < prefix_hashes.size() &&
                          part_by_prefix_hash_.count(prefix_hashes[i]) > 0;
       ++i) {
    cached += parts[i].tokens_;
  }
  return cached;
}

auto PrefixCacheEstimate::Clear() -> void {
  order_.clear();
  part_by_prefix_hash_.clear();
  tokens_ = 0;
}

}  // namespace baobab::gateway
