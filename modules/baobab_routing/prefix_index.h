#pragma once

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_routing/target_table.h"

namespace baobab {

/// Hash of a prompt from its start to the end of one block.
using PrefixHash = std::uint64_t;

/// Splits `prompt` into blocks of `block_bytes` and returns the hash of each
/// prefix that ends with a full block, shortest first. Prompts that share the
/// first n blocks share the first n hashes. Engines publish block hashes of
/// their own over tokens; the daemon maps them by request.
[[nodiscard]] auto HashPrefixes(std::string_view scope, std::string_view prompt,
                                std::size_t block_bytes)
    -> std::vector<PrefixHash>;

/// A change of a target's prefix cache.
struct CacheEvent {
  enum class Kind : std::uint8_t { kStored, kRemoved, kCleared };
  Kind kind_ = Kind::kStored;
  std::uint64_t sequence_ = 0;  ///< Consecutive per target.
  PrefixHash prefix_ = 0;
};

/// Settings of a PrefixIndex.
struct PrefixIndexSettings {
  std::size_t max_prefixes_ = 65'536;
  Duration life_ = std::chrono::minutes(5);
  /// Life of entries older than a gap in a target's events, since the missing
  /// events may have removed them.
  Duration life_after_gap_ = std::chrono::seconds(15);
};

/// Which targets probably have which prompt prefixes cached: what this
/// instance sent them, corrected by their late and incomplete cache events.
class PrefixIndex {
 public:
  /// A target and how many leading blocks of a prompt it has.
  struct Match {
    TargetIndex target_ = 0;
    std::size_t blocks_ = 0;
  };

  explicit PrefixIndex(PrefixIndexSettings settings);

  /// Records that a prompt with these prefixes was sent to `target`.
  auto OnSent(TargetIndex target, std::span<const PrefixHash> prefixes,
              TimePoint now) -> void;

  /// Takes a cache event. Repeated events are ignored; a gap in the sequence
  /// shortens the life of older entries.
  auto OnCacheEvent(TargetIndex target, const CacheEvent& event, TimePoint now)
      -> void;

  /// Forgets everything about a target that restarted.
  auto Clear(TargetIndex target, TimePoint now) -> void;

  /// Returns up to four targets with the longest match, longest first.
  [[nodiscard]] auto Find(std::span<const PrefixHash> prefixes,
                          TimePoint now) const -> std::vector<Match>;

  /// Number of leading blocks of a prompt that `target` probably has.
  [[nodiscard]] auto BlocksAt(TargetIndex target,
                              std::span<const PrefixHash> prefixes,
                              TimePoint now) const -> std::size_t;

  /// Number of prefixes kept.
  [[nodiscard]] auto size() const -> std::size_t {
    return young_.size() + old_.size();
  }

 private:
  static constexpr std::size_t kHoldersPerPrefix = 4;
  struct Holder {
    TargetIndex target_ = 0;
    TimePoint seen_;
    bool set_ = false;
  };
  using Holders = std::array<Holder, kHoldersPerPrefix>;
  using Map = boost::unordered_flat_map<PrefixHash, Holders>;
  struct TargetState {
    std::uint64_t last_event_ = 0;
    TimePoint cleared_at_;
    TimePoint gap_at_;
    bool cleared_ = false;
    bool gap_ = false;
  };

  auto Add(TargetIndex target, PrefixHash prefix, TimePoint now) -> void;
  auto Remove(TargetIndex target, PrefixHash prefix) -> void;
  auto At(TargetIndex target) -> TargetState&;
  [[nodiscard]] auto IsLive(const Holder& holder, TimePoint now) const -> bool;
  [[nodiscard]] auto Lookup(PrefixHash prefix) const -> const Holders*;

  PrefixIndexSettings settings_;
  // Two generations: a full young one becomes the old one. Together they hold
  // at most max_prefixes_, and used prefixes move to the young one.
  Map young_;
  Map old_;
  std::vector<TargetState> targets_;
};

}  // namespace baobab
