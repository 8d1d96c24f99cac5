#include "baobab_gateway/fleet_digest.h"

#include <catch2/catch.hpp>
#include <string>

#include "baobab_gateway/leaving_target_log.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto SampleDigest(int members) -> FleetDigest {
  FleetDigest digest;
  digest.coordinator_.instance_ = "front-chaguaramas-1";
  digest.coordinator_.incarnation_ = 123456789012345;
  digest.coordinator_.sequence_ = 7;
  digest.coordinator_.manifest_version_ = 12;
  digest.coordinator_.store_read_age_ = milliseconds(40);
  digest.settled_ = true;
  digest.instance_count_ = 295;
  for (int i = 0; i < members; ++i) {
    digest.members_.push_back({"front-cedros-" + std::to_string(i),
                               "10.1.0." + std::to_string(i) + ":8149",
                               i % 2 == 0 ? "cedros" : "pt-lisas", 500, true,
                               i == 0, i == 1});
  }
  digest.leaving_complete_after_ = 55;
  digest.leaving_targets_ = {{"i-7f3a91c2", 60}, {"i-55c3961924", 61}};
  return digest;
}

TEST_CASE("A decoded digest equals the encoded one", "[gateway]") {
  const auto digest = SampleDigest(3);
  const auto bytes = EncodeFleetDigest(digest);
  const auto decoded = DecodeFleetDigest(bytes);
  REQUIRE(decoded);
  CHECK(decoded->coordinator_.instance_ == digest.coordinator_.instance_);
  CHECK(decoded->coordinator_.store_read_age_ == milliseconds(40));
  CHECK(decoded->settled_);
  CHECK(decoded->instance_count_ == 295);
  CHECK(decoded->members_ == digest.members_);
  CHECK(decoded->leaving_complete_after_ == 55);
  CHECK(decoded->leaving_targets_ == digest.leaving_targets_);
  CHECK_FALSE(DecodePeerReport(bytes).has_value());
  CHECK_FALSE(DecodeLoadUpdate(bytes).has_value());
  CHECK_FALSE(DecodeFleetDigest(EncodePeerReport({})).has_value());
}

// Guards against truncated or corrupted datagrams that terminate the process or
// make it reserve memory for entries that the datagram does not contain.
TEST_CASE("Truncated and corrupted digests do no harm", "[gateway]") {
  const auto bytes = EncodeFleetDigest(SampleDigest(3));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    INFO("truncated after " << length << " bytes");
    CHECK_FALSE(DecodeFleetDigest(bytes.substr(0, length)).has_value());
  }
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    for (const char value : {'\x00', '\x7f', '\xff'}) {
      auto changed = bytes;
      changed[at] = value;
      const auto decoded = DecodeFleetDigest(changed);
      CHECK((!decoded || decoded->members_.size() <= bytes.size()));
    }
  }
}

// Guards against digests that saturate the links of the coordinators: each
// sends 700 per second in a fleet of 295.
TEST_CASE("A digest of 24 members takes less than 1,200 bytes", "[gateway]") {
  CHECK(EncodeFleetDigest(SampleDigest(24)).size() < 1200);
}

// Guards against a standby that keeps sending requests to a target that left:
// it relies on digests that list every target that left since its last read.
TEST_CASE(
    "The log of leaving targets states from which revision on it is "
    "complete",
    "[gateway]") {
  struct Case {
    const char* what_;
    std::size_t added_;
    Duration interval_;
    std::size_t recent_;
    std::int64_t complete_after_;
  };
  const auto test = GENERATE(values<Case>({
      {"few", 3, milliseconds(10), 3, 1},
      {"more than fit", LeavingTargetLog::kMaxEntries + 5, milliseconds(1),
       LeavingTargetLog::kMaxEntries, 14},
      {"some are too old", 4, seconds(6), 3, 10},
  }));
  INFO(test.what_);
  LeavingTargetLog log;
  log.OnListing(1);
  auto now = TimePoint{} + seconds(100);
  for (std::size_t i = 0; i < test.added_; ++i) {
    log.Add("t" + std::to_string(i), static_cast<std::int64_t>(10 + i), now);
    now += test.interval_;
  }
  now -= test.interval_;
  CHECK(log.Recent(now).size() == test.recent_);
  CHECK(log.CompleteAfter(now) == test.complete_after_);
}

}  // namespace
}  // namespace baobab::gateway
