#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "baobab_gateway/work_item.h"

namespace baobab::gateway {

/// Returns the hashes of all prefixes of a prompt: entry i covers the model,
/// the adapter and the parts 0 to i.
[[nodiscard]] auto PrefixHashes(const Generation& generation)
    -> std::vector<std::uint64_t>;

/// Estimate of which prompt parts are in the prefix cache of one target.
/// Assumes that the least recently used part is evicted first; the target
/// itself may use another eviction policy.
class PrefixCacheEstimate {
 public:
  /// Creates an estimate for a cache of `capacity` tokens.
  explicit PrefixCacheEstimate(std::uint64_t capacity = 0)
      : capacity_(capacity) {}

  auto set_capacity(std::uint64_t capacity) -> void { capacity_ = capacity; }

  /// Records that a prompt with `parts` and their prefix hashes `prefix_hashes`
  /// was sent. Evicts the parts that exceed the capacity.
  auto Record(const std::vector<std::uint64_t>& prefix_hashes,
              const std::vector<PromptPart>& parts) -> void;

  /// Returns how many leading tokens of the prompt are probably cached.
  [[nodiscard]] auto CachedTokens(
      const std::vector<std::uint64_t>& prefix_hashes,
      const std::vector<PromptPart>& parts) const -> std::uint32_t;

  /// Removes all parts, for example because the target restarted.
  auto Clear() -> void;

 private:
  struct Part {
    std::uint64_t hash_;
    std::uint32_t tokens_;
  };
  std::uint64_t capacity_;
  std::uint64_t tokens_ = 0;
  std::list<Part> order_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<Part>::iterator>
      part_by_prefix_hash_;
};

}  // namespace baobab::gateway
