#include "baobab_gateway/adapter_requesters.h"

#include <catch2/catch.hpp>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using Addresses = std::set<std::string>;

// Guards against instances that wait for the next report although the adapter
// that they need is there (a quarter of such requests of a quiet day on a grown
// site waited for over 0.4 s), and against telling all 82.
TEST_CASE("Those who wait for an adapter are told, each once", "[gateway]") {
  const TimePoint now{std::chrono::seconds(100)};
  AdapterRequesters requesters;
  requesters.OnNeed("m", "a1", "10.0.0.1", now);
  requesters.OnNeed("m", "a1", "10.0.0.2", now);
  requesters.OnNeed("m", "a2", "10.0.0.3", now);
  requesters.OnNeed("m", "a3", "10.0.0.4",
                    now - AdapterRequesters::kMaxNeedAge - milliseconds(1));
  struct Case {
    const char* what_;
    std::vector<HoldingChange> changes_;
    Addresses told_;
  };
  const auto test = GENERATE(values<Case>({
      {"nothing changed", {}, {}},
      {"loaded", {{"t", "m", "a1", false}}, {"10.0.0.1", "10.0.0.2"}},
      {"two loaded",
       {{"t", "m", "a1", false}, {"t", "m", "a2", false}},
       {"10.0.0.1", "10.0.0.2", "10.0.0.3"}},
      {"removed", {{"t", "m", "a1", true}}, {}},
      {"of another model", {{"t", "n", "a1", false}}, {}},
      {"asked for too long ago", {{"t", "m", "a3", false}}, {}},
  }));
  INFO(test.what_);
  CHECK(requesters.Take(test.changes_, now) == test.told_);
  CHECK(requesters.Take(test.changes_, now).empty());
}

}  // namespace
}  // namespace baobab::gateway
