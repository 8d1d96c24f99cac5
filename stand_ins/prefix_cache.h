#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "baobab_base/random_source.h"
#include "baobab_base/time_types.h"

namespace baobab::stand_in {

/// Bytes of prompt text in one cached block.
inline constexpr std::size_t kBlockBytes = 256;

/// Returns the hash of each whole block of `prompt`; each hash covers the
/// model and all blocks before it.
[[nodiscard]] auto BlockHashes(std::string_view model, std::string_view prompt)
    -> std::vector<std::uint64_t>;

/// A published change of the cache.
struct CacheEvent {
  std::uint64_t sequence_ = 0;
  bool removed_ = false;
  std::string model_;
  std::uint64_t block_ = 0;
};

/// Size and faults of the prefix cache.
struct PrefixCacheSettings {
  std::size_t blocks_ = 2048;
  Duration event_delay_ = std::chrono::milliseconds(200);
  double event_loss_ = 0;  ///< Part of the events that are never published.
};

/// A cache of prompt prefixes that evicts the least recently used block, and
/// publishes its changes late and with gaps.
class PrefixCache {
 public:
  PrefixCache(PrefixCacheSettings settings, std::uint64_t seed)
      : settings_(settings), random_(seed) {}

  /// Adds the blocks of a prompt and returns how many were present before the
  /// first that was missing.
  auto Use(const std::string& model, std::string_view prompt, TimePoint now)
      -> std::size_t;

  /// Adds one block, for example from another engine.
  auto Insert(const std::string& model, std::uint64_t block, TimePoint now)
      -> void;

  /// Removes all blocks of `model`.
  auto RemoveModel(const std::string& model, TimePoint now) -> void;

  /// Returns the events after `sequence` that are published at `now`.
  [[nodiscard]] auto EventsAfter(std::uint64_t sequence, TimePoint now) const
      -> std::vector<CacheEvent>;

  /// Number of blocks present.
  [[nodiscard]] auto size() const -> std::size_t { return present_.size(); }

 private:
  struct Entry {
    std::string model_;
    std::uint64_t block_ = 0;
  };
  struct Pending {
    CacheEvent event_;
    TimePoint published_{};
  };

  auto Record(const Entry& entry, bool removed, TimePoint now) -> void;

  PrefixCacheSettings settings_;
  Random random_;
  std::list<Entry> order_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> present_;
  std::deque<Pending> events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace baobab::stand_in
