#include "baobab_gateway/entry_selection.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace baobab::gateway {
namespace {

struct ZoneSize {
  int strong_ = 0;  // instances of 500 thousandths of a core
  int weak_ = 0;    // instances of 120 thousandths of a core
};

/// Returns the instances of a zone, named "<zone>-s<n>" and "<zone>-w<n>".
auto ZoneCandidates(const std::string& zone, const ZoneSize& size)
    -> std::vector<EntryCandidate> {
  std::vector<EntryCandidate> candidates;
  candidates.reserve(static_cast<std::size_t>(size.strong_) +
                     static_cast<std::size_t>(size.weak_));
  for (int i = 0; i < size.strong_; ++i) {
    candidates.push_back(
        {zone + "-s" + std::to_string(i), zone, 500, true, false});
  }
  for (int i = 0; i < size.weak_; ++i) {
    candidates.push_back(
        {zone + "-w" + std::to_string(i), zone, 120, true, false});
  }
  return candidates;
}

// Guards against traffic on instances that are too weak for their share of it:
// callers choose an address at random, so each entry instance of a zone gets
// the same part of its requests.
TEST_CASE("Entry instances have CPU in proportion to their zone", "[gateway]") {
  struct Case {
    const char* what_;
    ZoneSize size_;
    int unavailable_;   // of the strongest instances
    int lease_holder_;  // index; -1: elsewhere
    std::size_t strong_;
    std::size_t weak_;
  };
  const auto test = GENERATE(values<Case>({
      {"strong instances suffice", {3, 56}, 0, -1, 3, 0},
      {"one of them is lost", {3, 56}, 1, -1, 2, 11},
      {"one of them holds the order lease", {3, 56}, 0, 0, 2, 11},
      {"two strong of a smaller zone", {2, 25}, 0, -1, 2, 0},
      {"weak instances only", {0, 28}, 0, -1, 0, 6},
      {"a single instance, which holds the lease", {1, 0}, 0, 0, 1, 0},
      {"two instances, one holds the lease", {0, 2}, 0, 0, 0, 2},
      {"none available", {2, 0}, 2, -1, 0, 0},
  }));
  INFO(test.what_);
  auto candidates = ZoneCandidates("z", test.size_);
  for (int i = 0; i < test.unavailable_; ++i) {
    candidates[static_cast<std::size_t>(i)].is_available_ = false;
  }
  if (test.lease_holder_ >= 0) {
    candidates[static_cast<std::size_t>(test.lease_holder_)]
        .holds_order_lease_ = true;
  }
  std::size_t strong = 0;
  std::size_t weak = 0;
  for (const auto& name : SelectEntries(candidates, {0.18, 2})) {
    (name.starts_with("z-s") ? strong : weak) += 1;
  }
  CHECK(strong == test.strong_);
  CHECK(weak == test.weak_);
}

// Guards against coordinators that direct callers to different instances, and
// against a selection that changes when an instance that is not selected fails.
TEST_CASE("The selection depends only on the available instances",
          "[gateway]") {
  std::vector<EntryCandidate> candidates;
  for (const auto* zone : {"a", "b", "c"}) {
    for (auto& candidate : ZoneCandidates(zone, {3, 40})) {
      candidates.push_back(std::move(candidate));
    }
  }
  const auto selected = SelectEntries(candidates);
  auto reversed = candidates;
  std::reverse(reversed.begin(), reversed.end());
  CHECK(SelectEntries(reversed) == selected);
  for (auto& candidate : candidates) {
    if (selected.count(candidate.instance_) == 0) {
      candidate.is_available_ = false;
      break;
    }
  }
  CHECK(SelectEntries(candidates) == selected);
}

}  // namespace
}  // namespace baobab::gateway
