#include "baobab_gateway/instance_directory.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace baobab::gateway {
namespace {

constexpr Duration kExpiredSilence =
    InstanceDirectory::kSilenceTimeout + Duration(1);

auto Report(const std::string& name, std::int64_t incarnation = 1,
            std::int64_t sequence = 1) -> PeerReport {
  PeerReport report;
  report.instance_ = name;
  report.incarnation_ = incarnation;
  report.sequence_ = sequence;
  report.address_ = "10.0.0.1";
  report.caller_address_ = name + ":80";
  report.ready_ = true;
  report.store_connected_ = true;
  return report;
}

// Guards against answers that name a stopped or silent instance, and against an
// instance that is cut off from its peers and sends every caller to itself.
TEST_CASE("Which instances callers are told of", "[gateway]") {
  struct Case {
    int registered_;
    int recently_heard_;
    int stopping_;  // of those heard lately
    std::size_t expected_;
  };
  const auto test = GENERATE(values<Case>({
      {6, 6, 0, 6},
      {6, 5, 0, 5},
      {6, 6, 2, 4},
      {6, 3, 0, 3},
      {6, 2, 0, 6},  // fewer than half are heard: this one is cut off
      {6, 0, 0, 6},
      {0, 2, 0, 2},
      {70, 70, 0, InstanceDirectory::kMaxAddresses},
  }));
  InstanceDirectory directory;
  const TimePoint now = TimePoint{} + std::chrono::seconds(10);
  for (int i = 0; i < std::max(test.registered_, test.recently_heard_); ++i) {
    const auto name = "i" + std::to_string(i);
    if (i < test.registered_) {
      directory.Register(name, "10.0.0.1", name + ":80");
    }
    auto report = Report(name);
    report.stopping_ = i < test.stopping_;
    report.ready_ = !report.stopping_;
    REQUIRE(directory.RecordReport(
        report, i < test.recently_heard_ ? now : now - kExpiredSilence));
  }
  CHECK(directory.CallerAddresses("", now).size() == test.expected_);
}

// Guards against late reports of an ended process that replace those of the
// process that followed it.
TEST_CASE("Reports of an earlier process are ignored", "[gateway]") {
  InstanceDirectory directory;
  const TimePoint now{};
  CHECK(directory.RecordReport(Report("a", 5, 10), now));
  CHECK_FALSE(directory.RecordReport(Report("a", 5, 10), now));
  CHECK_FALSE(directory.RecordReport(Report("a", 5, 9), now));
  CHECK(directory.RecordReport(Report("a", 3, 1), now));
  CHECK_FALSE(directory.RecordReport(Report("a", 5, 11), now));
  CHECK(directory.RecordReport(Report("a", 3, 2), now));
}

// Guards against a holder that goes on although one instance may have made
// another one the holder.
TEST_CASE("The store is away for all only if every instance says so lately",
          "[gateway]") {
  const auto [connected, silent, unreachable] =
      GENERATE(table<bool, bool, bool>(
          {{false, false, true}, {true, false, false}, {false, true, false}}));
  InstanceDirectory directory;
  const TimePoint now = TimePoint{} + std::chrono::seconds(10);
  CHECK_FALSE(directory.StoreUnreachableForAllSince(now).has_value());
  for (const auto* name : {"a", "b", "c"}) {
    auto report = Report(name);
    report.store_connected_ = std::string(name) == "b" && connected;
    REQUIRE(directory.RecordReport(report, std::string(name) == "c" && silent
                                               ? now - kExpiredSilence
                                               : now));
  }
  CHECK(directory.StoreUnreachableForAllSince(now).has_value() == unreachable);
}

TEST_CASE("A few instances read the store for all", "[gateway]") {
  const auto count = GENERATE(2, 7, 83);
  std::size_t readers = 0;
  for (int own = 0; own < count; ++own) {
    InstanceDirectory directory;
    for (int i = 0; i < count; ++i) {
      if (i != own) {
        REQUIRE(directory.RecordReport(Report("i" + std::to_string(i)),
                                       TimePoint{}));
      }
    }
    readers +=
        directory.IsWatchingInstance("i" + std::to_string(own), 0, TimePoint{});
  }
  CHECK(readers == std::min<std::size_t>(
                       count, InstanceDirectory::kWatchingInstanceCount));
}

// Guards against work of an earlier moment, or of a process that has ended,
// that replaces what a later datagram said.
TEST_CASE("An update of work counts only in its order", "[gateway]") {
  struct Case {
    const char* description_;
    std::int64_t incarnation_;
    std::int64_t sequence_;
    bool taken_;
  };
  const auto test = GENERATE(values<Case>({
      {"next", 1, 6, true},
      {"the same again", 1, 5, false},
      {"earlier", 1, 4, false},
      {"of another process", 2, 6, false},
  }));
  INFO(test.description_);
  InstanceDirectory directory;
  WorkUpdate update{"a", test.incarnation_, test.sequence_, "t1", {}};
  CHECK_FALSE(directory.RecordLoadUpdate(update, TimePoint{}));
  auto report = Report("a", 1);
  report.sequence_ = 5;
  REQUIRE(directory.RecordReport(report, TimePoint{}));
  CHECK(directory.RecordLoadUpdate(update, TimePoint{}) == test.taken_);
}

// Guards against duties at an instance that is too small for them while a
// larger one is idle: the calls to 90 engines timed out at 0.12 cores.
TEST_CASE("A stronger instance is preferred once it is settled", "[gateway]") {
  struct Case {
    const char* description_;
    std::uint32_t other_permille_;
    bool ready_;
    bool store_connected_;
    Duration heard_for_;
    bool expected_;
  };
  const auto test = GENERATE(values<Case>({
      {"stronger and settled", 500, true, true, std::chrono::seconds(3), true},
      {"stronger, just started", 500, true, true, std::chrono::seconds(1),
       false},
      {"as strong", 120, true, true, std::chrono::seconds(3), false},
      {"stronger, not ready", 500, false, true, std::chrono::seconds(3), false},
      {"stronger, cut off from the store", 500, true, false,
       std::chrono::seconds(3), false},
  }));
  INFO(test.description_);
  InstanceDirectory directory;
  TimePoint now{};
  const auto end = now + test.heard_for_;
  for (std::int64_t sequence = 1; now <= end; ++sequence) {
    auto report = Report("other");
    report.sequence_ = sequence;
    report.ready_ = test.ready_;
    report.store_connected_ = test.store_connected_;
    report.processor_permille_ = test.other_permille_;
    REQUIRE(directory.RecordReport(report, now));
    now += std::chrono::milliseconds(500);
  }
  CHECK(directory.HasStrongerPeer(120, now) == test.expected_);
  CHECK_FALSE(directory.HasStrongerPeer(120, now + std::chrono::seconds(5)));
}

}  // namespace
}  // namespace baobab::gateway
