#include "baobab_gateway/prefix_cache_estimate.h"

#include <catch2/catch.hpp>

namespace baobab::gateway {
namespace {

auto Prompt(const std::string& model, std::vector<PromptPart> parts)
    -> Generation {
  Generation generation;
  generation.model_ = model;
  generation.parts_ = std::move(parts);
  return generation;
}

// Guards against counting a part as cached if it was cached for another model
// or after different preceding parts: the engine has to prefill it again.
TEST_CASE("A part counts as cached only after the same parts", "[gateway]") {
  const auto first = Prompt("m", {{1, 100}, {2, 50}, {3, 10}});
  PrefixCacheEstimate memory(1000);
  memory.Record(PrefixHashes(first), first.parts_);
  struct Case {
    std::string model_;
    std::vector<PromptPart> parts_;
    std::uint32_t kept_;
  };
  const auto test = GENERATE(values<Case>({
      {"m", {{1, 100}, {2, 50}, {3, 10}}, 160},
      {"m", {{1, 100}, {2, 50}, {4, 10}}, 150},
      {"m", {{1, 100}, {5, 50}, {3, 10}}, 100},
      {"m", {{2, 50}, {3, 10}}, 0},
      {"n", {{1, 100}, {2, 50}}, 0},
      {"m", {}, 0},
  }));
  const auto prompt = Prompt(test.model_, test.parts_);
  CHECK(memory.CachedTokens(PrefixHashes(prompt), prompt.parts_) == test.kept_);
}

TEST_CASE("The least recently used part is evicted first", "[gateway]") {
  PrefixCacheEstimate memory(200);
  const auto first = Prompt("m", {{1, 100}, {2, 60}});
  const auto second = Prompt("m", {{1, 100}, {3, 60}});
  memory.Record(PrefixHashes(first), first.parts_);
  memory.Record(PrefixHashes(second), second.parts_);
  CHECK(memory.CachedTokens(PrefixHashes(second), second.parts_) == 160);
  CHECK(memory.CachedTokens(PrefixHashes(first), first.parts_) == 100);
}

}  // namespace
}  // namespace baobab::gateway
