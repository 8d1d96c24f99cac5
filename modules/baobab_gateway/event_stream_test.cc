#include "baobab_gateway/event_stream.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace baobab::gateway {
namespace {

auto Event(int id) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

// Guards against partial, duplicate or missing events at the caller when
// another target resumes a stream.
TEST_CASE("Complete events are passed on once and in order", "[gateway]") {
  struct Case {
    std::int64_t resume_after_event_id_;
    std::vector<std::string> chunks_;
    std::string received_;
    std::int64_t last_event_id_;
    bool partial_;
  };
  const auto test = GENERATE(values<Case>({
      {-1, {Event(0), Event(1)}, Event(0) + Event(1), 1, false},
      {-1,
       {Event(0) + "id: 1\nda", "ta: x\n\n"},
       Event(0) + Event(1),
       1,
       false},
      {-1, {Event(0) + "id: 1\nda"}, Event(0), 0, true},
      {3, {Event(2) + Event(3) + Event(4)}, Event(4), 4, false},
      {-1, {"id:7\r\ndata: y\r\n\r\n"}, "id:7\r\ndata: y\r\n\r\n", 7, false},
      {-1, {": ping\n\n"}, ": ping\n\n", -1, false},
  }));
  EventStream stream(test.resume_after_event_id_);
  std::string received;
  for (const auto& chunk : test.chunks_) {
    received += stream.Feed(chunk);
  }
  CHECK(received == test.received_);
  CHECK(stream.last_event_id() == test.last_event_id_);
  CHECK(stream.HasPartialEvent() == test.partial_);
}

// Guards against work that grows with the square of an event's size, and
// against an end that is missed because it arrives in two pieces.
TEST_CASE("An event may arrive byte by byte", "[gateway]") {
  const auto* end = GENERATE("\n\n", "\r\n\r\n");
  const auto event = "id: 4\ndata: " + std::string(300'000, 'x') + end;
  EventStream stream;
  std::string received;
  for (const char byte : event) {
    received += stream.Feed({&byte, 1});
  }
  CHECK(received == event);
  CHECK(stream.last_event_id() == 4);
  CHECK(stream.partial_bytes() == 0);
}

TEST_CASE("A resumed stream discards the incomplete event", "[gateway]") {
  EventStream stream;
  CHECK(stream.Feed(Event(0) + "id: 1\nda") == Event(0));
  stream.DiscardPartialEvent();
  CHECK(stream.Feed(Event(1)) == Event(1));
}

}  // namespace
}  // namespace baobab::gateway
