#include "baobab_gateway/stream_origins.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>

#include "baobab_gateway/stream_journal.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::set<std::string> kMixed{"s"};
const TimePoint kStart{seconds(1000)};

// Guards against damaged datagrams or entries that end a process or name a
// version that was not stated.
TEST_CASE("Damaged origins of streams do no harm", "[gateway]") {
  const StreamOriginUpdate update{
      "a", {{"s", "v1"}, {"s", "v2"}}, {{7, 0, {}}, {8, 1, milliseconds(900)}}};
  const auto bytes = EncodeStreamOrigins(update);
  const auto decoded = DecodeStreamOrigins(bytes);
  REQUIRE(decoded);
  CHECK(decoded->instance_ == "a");
  CHECK(decoded->origins_ == update.origins_);
  CHECK(decoded->streams_ == update.streams_);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeStreamOrigins(bytes.substr(0, size)));
  }
  auto beyond = update;
  beyond.streams_.push_back({9, 2, {}});
  CHECK_FALSE(DecodeStreamOrigins(EncodeStreamOrigins(beyond)));
}

// Guards against memory that grows with the number of streams, and against an
// origin that a later statement replaces.
TEST_CASE("Origins of streams are bounded and stand", "[gateway]") {
  StreamOrigins origins;
  origins.Record("x", {"s", "v1"}, kStart);
  origins.Record("x", {"s", "v2"}, kStart);
  CHECK(origins.Find("x", kStart)->version_ == "v1");
  CHECK(origins.Find("y", kStart) == nullptr);
  CHECK(origins.Find("x", kStart + StreamOrigins::kMaxAge + seconds(1)) ==
        nullptr);
  for (std::size_t i = 0; i < StreamOrigins::kMaxStreams; ++i) {
    origins.Record(std::to_string(i), {"s", "v1"}, kStart);
  }
  CHECK(origins.Find("x", kStart) == nullptr);
  CHECK(origins.Find("0", kStart) != nullptr);
}

// Guards against damaged queries of peers that end a process.
TEST_CASE("Damaged queries for origins of streams do no harm", "[gateway]") {
  const StreamOriginQuery query{"a", "10.0.0.1", {7, UINT64_MAX}};
  const auto bytes = EncodeStreamOriginQuery(query);
  const auto decoded = DecodeStreamOriginQuery(bytes);
  REQUIRE(decoded);
  CHECK(decoded->instance_ == query.instance_);
  CHECK(decoded->address_ == query.address_);
  CHECK(decoded->ids_ == query.ids_);
  CHECK_FALSE(DecodeStreamOrigins(bytes));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeStreamOriginQuery(bytes.substr(0, size)));
  }
}

// Guards against streams that nobody knows once the instance that began them is
// lost, although it had time to tell.
TEST_CASE("Keepers learn streams of services with one version", "[gateway]") {
  StreamOrigins origins;
  origins.Record("one", {"s", "v1"}, kStart);
  origins.Record("other", {"t", "v1"}, kStart);
  StreamOrigins keeper;
  for (int i = 0; i < StreamOrigins::kKeeperRepetitions; ++i) {
    // All peers are told of the streams of a service with several versions.
    const auto update = origins.TakeKeeperUpdate({"t"}, kStart);
    REQUIRE(update.streams_.size() == 1);
    keeper.Learn(update, kStart);
  }
  CHECK(origins.TakeKeeperUpdate({}, kStart).streams_.empty());
  CHECK(origins.TakeUpdate(kMixed, kStart).streams_.size() == 1);
  // A keeper answers for the instance that began the stream.
  const auto now = kStart + seconds(5);
  const auto answer = keeper.Lookup(
      {StreamOrigins::IdOf("one"), StreamOrigins::IdOf("other")}, now);
  REQUIRE(answer.streams_.size() == 1);
  CHECK(answer.streams_.front().id_ == StreamOrigins::IdOf("one"));
  CHECK(answer.streams_.front().age_ == seconds(5));
  CHECK(answer.origins_ == std::vector<SoftwareVersion>{{"s", "v1"}});
  CHECK(keeper
            .Lookup({StreamOrigins::IdOf("one")},
                    kStart + StreamOrigins::kMaxAge + seconds(1))
            .streams_.empty());
}

// Guards against a peer that does not know a stream: it began before its
// service had several versions, an update was lost, or the peer started later.
TEST_CASE("Peers learn the streams of services with several versions",
          "[gateway]") {
  StreamOrigins origins;
  origins.Record("before", {"s", "v1"}, kStart);
  origins.Record("other", {"t", "v1"}, kStart);
  CHECK(origins.TakeUpdate({}, kStart).streams_.empty());
  const auto now = kStart + seconds(5);
  for (int i = 0; i < StreamOrigins::kRepetitions; ++i) {
    const auto update = origins.TakeUpdate(kMixed, now);
    REQUIRE(update.streams_.size() == 1);
    CHECK(update.streams_.front().age_ == seconds(5));
    StreamOrigins peer;
    peer.Learn(*DecodeStreamOrigins(EncodeStreamOrigins(update)), now);
    CHECK(peer.Find("before", now)->version_ == "v1");
    CHECK(peer.Find("other", now) == nullptr);
    // Updates name only streams of the instance itself.
    CHECK(peer.TakeUpdate(kMixed, now).streams_.empty());
  }
  CHECK(origins.TakeUpdate(kMixed, now).streams_.empty());
  origins.RepeatAll(now);
  CHECK(origins.TakeUpdate(kMixed, now).streams_.size() == 1);
}

// Guards against streams that are unknown after the loss of all processes
// although they began longer ago than the interval of the writes.
TEST_CASE("A store entry has the origin of each recent stream", "[gateway]") {
  const bool loses_writes = GENERATE(false, true);
  StreamOrigins origins;
  StreamJournal journal;
  std::map<int, std::string> entries;  // in the store, by slot
  int writes = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 600; ++i) {  // a minute
    now += milliseconds(100);
    origins.Record(std::to_string(i), {"s", i % 2 == 0 ? "v1" : "v2"}, now);
    if (const auto write = journal.Next(origins, kMixed, 7, now)) {
      const bool succeeds = !loses_writes || ++writes % 3 != 0;
      CHECK(write->slot_ < StreamJournal::kSlots);
      if (succeeds) {
        entries[write->slot_] = EncodeStreamOrigins(write->update_);
      }
      journal.OnWritten(succeeds);
    }
  }
  StreamOrigins next;  // of a process that starts now
  for (const auto& [slot, text] : entries) {
    next.Learn(*DecodeStreamOrigins(text), now);
  }
  constexpr int kKept = 280;  // streams of 28 s
  constexpr int kUnwritten = 10;
  for (int i = 600 - kKept; i < 600 - kUnwritten; ++i) {
    INFO(i);
    const auto* origin = next.Find(std::to_string(i), now);
    REQUIRE(origin != nullptr);
    CHECK(origin->version_ == (i % 2 == 0 ? "v1" : "v2"));
  }
}

// Guards against calls to the store while each service has one version, and
// against more writes than a site allows for a large fleet.
TEST_CASE("Origins are written only while a service has several versions",
          "[gateway]") {
  StreamOrigins origins;
  StreamJournal journal;
  origins.Record("x", {"s", "v1"}, kStart);
  CHECK_FALSE(journal.Next(origins, {}, 7, kStart));
  CHECK_FALSE(journal.Next(origins, {"t"}, 7, kStart));
  int writes = 0;
  for (int i = 0; i < 100; ++i) {
    const auto now = kStart + i * milliseconds(100);
    origins.Record(std::to_string(i), {"s", "v1"}, now);
    if (journal.Next(origins, kMixed, 360, now)) {
      ++writes;
      journal.OnWritten(true);
    }
  }
  CHECK(writes >= 1);
  CHECK(writes <= 6);  // 360 instances, 10 s: 216 writes per second
}

}  // namespace
}  // namespace baobab::gateway
