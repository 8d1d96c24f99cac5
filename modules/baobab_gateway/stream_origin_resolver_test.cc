#include "baobab_gateway/stream_origin_resolver.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Resolver = StreamOriginResolver;
using Verdict = Resolver::Verdict;

const TimePoint kStart{seconds(1000)};
constexpr Duration kReceivedAt = seconds(500);  // boot clock

// Guards against a stream that joins two versions because the registrations of
// the instance were older than the stream, and against one that is refused
// while a peer or the store may still tell, or waits when nothing can.
TEST_CASE("A resumed stream goes on only with evidence of its version",
          "[gateway]") {
  struct Case {
    const char* what_;
    bool recorded_;
    bool two_versions_;
    Duration confirmed_;  // after the arrival of the request
    bool store_connected_;
    Duration waited_;
    Verdict verdict_;
  };
  constexpr Duration kNever = -kReceivedAt;
  const auto test = GENERATE_REF(values<Case>({
      {"recorded", true, true, kNever, false, {}, Verdict::kRecorded},
      {"recorded, one version", true, false, {}, true, {}, Verdict::kRecorded},
      {"confirmed", false, false, {}, true, {}, Verdict::kOnlyVersion},
      {"confirmed, store lost since",
       false,
       false,
       {},
       false,
       seconds(1),
       Verdict::kOnlyVersion},
      {"confirmed before",
       false,
       false,
       -milliseconds(1),
       true,
       {},
       Verdict::kUndecided},
      {"never confirmed", false, false, kNever, true, {}, Verdict::kUndecided},
      {"store slow", false, false, kNever, true, milliseconds(300),
       Verdict::kUndecided},
      {"store too slow", false, false, kNever, true, Resolver::kStoreWait,
       Verdict::kUnknown},
      {"no store, peers may tell", false, false, kNever, false,
       milliseconds(50), Verdict::kUndecided},
      {"no store, no peer told", false, false, kNever, false,
       Resolver::kPeerWait, Verdict::kUnknown},
      {"two versions, peers may tell",
       false,
       true,
       {},
       true,
       milliseconds(50),
       Verdict::kUndecided},
      {"two versions, the store has not been read", false, true, kNever, true,
       Resolver::kPeerWait, Verdict::kUndecided},
      {"two versions, no peer told",
       false,
       true,
       {},
       true,
       Resolver::kPeerWait,
       Verdict::kUnknown},
  }));
  INFO(test.what_);
  Resolver resolver;
  resolver.versions().OnRegistration({"s", "v1"}, kStart);
  if (test.two_versions_) {
    resolver.versions().OnRegistration({"s", "v2"}, kStart);
  }
  if (test.recorded_) {
    resolver.origins().Record("x", {"s", "v2"}, kStart);
  }
  if (test.confirmed_ != kNever) {
    resolver.OnRegistrationsConfirmed(kReceivedAt + test.confirmed_);
    // An older confirmation takes nothing back.
    resolver.OnRegistrationsConfirmed(kReceivedAt - seconds(1));
  }
  const auto decision =
      resolver.Decide({"x", "s", kReceivedAt, test.waited_,
                       Resolver::MaxWait(seconds(5)), test.store_connected_},
                      kStart);
  CHECK(decision.verdict_ == test.verdict_);
  if (decision.verdict_ == Verdict::kRecorded) {
    CHECK(decision.origin_ == SoftwareVersion{"s", "v2"});
  } else if (decision.verdict_ == Verdict::kOnlyVersion) {
    CHECK(decision.origin_ == SoftwareVersion{"s", "v1"});
  }
}

// Guards against waits that use up the time of a caller, and for peers that
// cannot know a stream without a name.
TEST_CASE("The wait for the origin of a stream is bounded", "[gateway]") {
  CHECK(Resolver::MaxWait(seconds(15)) == Resolver::kStoreWait);
  CHECK(Resolver::MaxWait(milliseconds(150)) == milliseconds(50));
  const Resolver resolver;
  const auto decide = [&](const std::string& stream, Duration waited) {
    return resolver
        .Decide({stream, "s", kReceivedAt, waited, milliseconds(50), false},
                kStart)
        .verdict_;
  };
  CHECK(decide("x", milliseconds(49)) == Verdict::kUndecided);
  CHECK(decide("x", milliseconds(50)) == Verdict::kUnknown);
  CHECK(decide("", {}) == Verdict::kUnknown);
}

}  // namespace
}  // namespace baobab::gateway
