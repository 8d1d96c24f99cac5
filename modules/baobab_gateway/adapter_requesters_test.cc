#include "baobab_gateway/adapter_requesters.h"

#include <catch2/catch.hpp>

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using Addresses = std::set<std::string>;

// Guards against instances that wait for the next periodic report although the
// adapter they need has been loaded, and against notifying all 82 peers. At a
// large site with low load, a quarter of the requests for such adapters wait
// for over 0.4 s without the notification.
TEST_CASE("Instances waiting for an adapter are notified once", "[gateway]") {
  const TimePoint now{std::chrono::seconds(100)};
  AdapterRequesters requesters;
  requesters.OnAdapterRequested("m", "a1", "10.0.0.1", now);
  requesters.OnAdapterRequested("m", "a1", "10.0.0.2", now);
  requesters.OnAdapterRequested("m", "a2", "10.0.0.3", now);
  requesters.OnAdapterRequested(
      "m", "a3", "10.0.0.4",
      now - AdapterRequesters::kMaxEntryAge - milliseconds(1));
  struct Case {
    const char* description_;
    std::vector<LoadedModelChange> changes_;
    Addresses notified_;
  };
  const auto test = GENERATE(values<Case>({
      {"nothing changed", {}, {}},
      {"loaded", {{"t", "m", "a1", false}}, {"10.0.0.1", "10.0.0.2"}},
      {"two loaded",
       {{"t", "m", "a1", false}, {"t", "m", "a2", false}},
       {"10.0.0.1", "10.0.0.2", "10.0.0.3"}},
      {"removed", {{"t", "m", "a1", true}}, {}},
      {"adapter of another model", {{"t", "n", "a1", false}}, {}},
      {"the entry is too old", {{"t", "m", "a3", false}}, {}},
  }));
  INFO(test.description_);
  CHECK(requesters.Take(test.changes_, now) == test.notified_);
  CHECK(requesters.Take(test.changes_, now).empty());
}

}  // namespace
}  // namespace baobab::gateway
