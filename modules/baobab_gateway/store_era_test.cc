#include "baobab_gateway/store_era.h"

#include <catch2/catch.hpp>
#include <string>

namespace baobab::gateway {
namespace {

// Guards against a malformed era that makes an instance forget what it knows,
// and against a late response that counts as one of the present era.
TEST_CASE("Only a sound later era replaces the known one", "[gateway]") {
  using Observation = StoreEra::Observation;
  struct Case {
    std::string known_;
    std::string stated_;
    Observation expected_;
    std::int64_t era_;
  };
  const auto test = GENERATE(values<Case>({
      {"", "", Observation::kKnown, 0},
      {"", "1", Observation::kLater, 1},
      {"", "131071", Observation::kLater, 131071},
      {"", "131072", Observation::kInvalid, 0},
      {"", "99999999999999999999", Observation::kInvalid, 0},
      {"4", "", Observation::kKnown, 4},
      {"4", "4", Observation::kKnown, 4},
      {"4", "5", Observation::kLater, 5},
      {"4", "1004", Observation::kLater, 1004},
      {"4", "1005", Observation::kInvalid, 4},
      {"4", "3", Observation::kEarlier, 4},
      {"4", "0", Observation::kEarlier, 4},
      {"4", "-5", Observation::kInvalid, 4},
      {"4", "+5", Observation::kInvalid, 4},
      {"4", "5, 6", Observation::kInvalid, 4},
      {"4", "5.0", Observation::kInvalid, 4},
      {"4", "five", Observation::kInvalid, 4},
  }));
  INFO("known '" << test.known_ << "', stated '" << test.stated_ << "'");
  StoreEra era;
  (void)era.Observe(test.known_);
  CHECK(era.Observe(test.stated_) == test.expected_);
  CHECK(era.value() == test.era_);
}

}  // namespace
}  // namespace baobab::gateway
