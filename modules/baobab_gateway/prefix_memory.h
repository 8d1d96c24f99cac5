#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "baobab_gateway/work_item.h"

namespace baobab::gateway {

/// Hashes of the growing prefixes of a prompt: entry i covers parts 0 to i of
/// one model and adapter.
[[nodiscard]] auto PrefixChain(const Generation& generation)
    -> std::vector<std::uint64_t>;

/// What one target probably still keeps of the prompts sent to it, least
/// recently used first out. An estimate: the target evicts by its own rules.
class PrefixMemory {
 public:
  /// Remembers parts up to `capacity` tokens in total.
  explicit PrefixMemory(std::uint64_t capacity = 0) : capacity_(capacity) {}

  auto set_capacity(std::uint64_t capacity) -> void { capacity_ = capacity; }

  /// Records that a prompt with `parts` and their `chain` was read.
  auto Record(const std::vector<std::uint64_t>& chain,
              const std::vector<PromptPart>& parts) -> void;

  /// Returns how many leading tokens of the prompt are probably kept.
  [[nodiscard]] auto KeptTokens(const std::vector<std::uint64_t>& chain,
                                const std::vector<PromptPart>& parts) const
      -> std::uint32_t;

  /// Forgets everything, for example when the target restarted.
  auto Clear() -> void;

 private:
  struct Part {
    std::uint64_t hash_;
    std::uint32_t tokens_;
  };
  std::uint64_t capacity_;
  std::uint64_t tokens_ = 0;
  std::list<Part> order_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> parts_;
};

}  // namespace baobab::gateway
