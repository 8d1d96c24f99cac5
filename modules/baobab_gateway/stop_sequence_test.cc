#include "baobab_gateway/stop_sequence.h"

#include <catch2/catch.hpp>
#include <vector>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Action = StopSequence::Action;

// Guards against a process that exits in the check in which it stops accepting:
// requests that had arrived and were not read yet were cut off.
TEST_CASE("A stopping process answers what has arrived before it exits",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::vector<std::size_t> active_;  // at checks 100 ms apart, from 2.4 s on
    std::vector<Action> actions_;
  };
  const auto test = GENERATE(values<Case>({
      {"idle",
       {0, 0, 0},
       {Action::kWait, Action::kStopAccepting, Action::kExit}},
      {"a request was read after the listener closed",
       {0, 0, 1, 0},
       {Action::kWait, Action::kStopAccepting, Action::kWait, Action::kExit}},
      {"busy until the end of the grace period",
       {3, 3, 3, 3, 3},
       {Action::kWait, Action::kStopAccepting, Action::kWait,
        Action::kAnswerRest, Action::kExit}},
      {"the rest is answered before the end",
       {3, 3, 3, 3, 0},
       {Action::kWait, Action::kStopAccepting, Action::kWait,
        Action::kAnswerRest, Action::kExit}},
  }));
  INFO(test.what_);
  StopSequence sequence(
      {milliseconds(2500), milliseconds(2700), milliseconds(2800)});
  Duration elapsed = milliseconds(2400);
  std::vector<Action> actions;
  for (const auto active : test.active_) {
    actions.push_back(sequence.Next(elapsed, active));
    elapsed += milliseconds(100);
  }
  CHECK(actions == test.actions_);
}

// Guards against a process that takes requests until shortly before the end of
// a short grace period, and against one without time for its last answers.
TEST_CASE("The times of a planned stop follow from the grace period",
          "[gateway]") {
  struct Case {
    Duration grace_period_;
    StopSequence::Schedule expected_;
  };
  const auto test = GENERATE(values<Case>({
      {seconds(8),
       {milliseconds(2500), milliseconds(7000), milliseconds(7300)}},
      {seconds(30),
       {milliseconds(2500), milliseconds(29'000), milliseconds(29'300)}},
      {seconds(2), {milliseconds(600), milliseconds(1200), milliseconds(1500)}},
      {milliseconds(400),
       {milliseconds(120), milliseconds(225), milliseconds(300)}},
      {seconds(0), {}},
  }));
  CHECK(StopSequence::ForGracePeriod(test.grace_period_) == test.expected_);
}

}  // namespace
}  // namespace baobab::gateway
