#include "baobab_gateway/coordinator_election.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Candidate = CoordinatorElection::Candidate;

constexpr Duration kTimeout = milliseconds(1300);
const TimePoint kStart = TimePoint{} + seconds(100);

/// Returns candidates "i1" to "i<count>" with falling CPU shares, none of which
/// has sent anything.
auto SilentCandidates(std::uint32_t count) -> std::vector<Candidate> {
  static const auto kNames = [] {
    std::vector<std::string> names;
    for (std::uint32_t i = 0; i <= 300; ++i) {
      names.push_back("i" + std::to_string(i));
    }
    return names;
  }();
  std::vector<Candidate> candidates;
  for (std::uint32_t i = 1; i <= count; ++i) {
    candidates.push_back(
        {kNames[i], 1000 - i, 0, {}, /*is_ready_=*/false, false});
  }
  return candidates;
}

// Guards against a fleet without coordinators while the first ones are starting
// or being replaced, and against one that keeps coordinators that are known not
// to serve.
TEST_CASE("The strongest instances that may be alive are coordinators",
          "[gateway]") {
  struct Case {
    const char* what_;
    Duration last_received_before_;  // of "i2"; zero: never
    bool ready_;                     // of "i2"
    std::vector<std::string> expected_;
  };
  const auto test = GENERATE(values<Case>({
      {"nothing received yet", seconds(0), false, {"i1", "i2", "i3"}},
      {"recent report, ready", milliseconds(300), true, {"i1", "i2", "i3"}},
      {"recent report, stopping", milliseconds(300), false, {"i1", "i3", "i4"}},
  }));
  INFO(test.what_);
  auto candidates = SilentCandidates(6);
  candidates[1].is_ready_ = test.ready_;
  if (test.last_received_before_ > Duration::zero()) {
    candidates[1].last_received_at_ = kStart - test.last_received_before_;
  }
  CoordinatorElection election;
  CHECK(election.Select(candidates, kTimeout, kStart) == test.expected_);
}

// Guards against hundreds of instances that all become coordinators at once
// when the first three fail: successors take over in rank order.
TEST_CASE("Silent coordinators are replaced in order of rank", "[gateway]") {
  struct Case {
    Duration after_;
    std::vector<std::string> expected_;
  };
  const auto test = GENERATE(values<Case>({
      {kTimeout, {"i1", "i2", "i3"}},
      {kTimeout + milliseconds(100), {"i4", "i5", "i6"}},
      {2 * kTimeout, {"i4", "i5", "i6"}},
      {2 * kTimeout + milliseconds(200), {"i7", "i8", "i9"}},
  }));
  CoordinatorElection election;
  std::vector<std::string> coordinators;
  for (auto now = kStart; now <= kStart + test.after_;
       now += milliseconds(100)) {
    coordinators = election.Select(SilentCandidates(300), kTimeout, now);
  }
  CHECK(coordinators == test.expected_);
}

// Guards against an instance that keeps passing over a coordinator that is
// alive again.
TEST_CASE("A coordinator that reports again is selected again", "[gateway]") {
  CoordinatorElection election;
  auto now = kStart;
  for (; now <= kStart + kTimeout + milliseconds(200);
       now += milliseconds(100)) {
    (void)election.Select(SilentCandidates(20), kTimeout, now);
  }
  auto candidates = SilentCandidates(20);
  candidates[0].last_received_at_ = now;
  candidates[0].is_ready_ = true;
  CHECK(election.Select(candidates, kTimeout, now).front() == "i1");
}

// Guards against an instance that counts itself as a coordinator before it can
// serve.
TEST_CASE("An instance selects itself only when it is ready", "[gateway]") {
  const auto ready = GENERATE(true, false);
  auto candidates = SilentCandidates(5);
  candidates[2].is_self_ = true;
  candidates[2].is_ready_ = ready;
  CoordinatorElection election;
  const auto coordinators = election.Select(candidates, kTimeout, kStart);
  CHECK(coordinators.back() == (ready ? "i3" : "i4"));
}

}  // namespace
}  // namespace baobab::gateway
