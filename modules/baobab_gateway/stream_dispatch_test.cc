// Requests that only targets of one software version may serve.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "baobab_gateway/dispatcher.h"
#include "baobab_gateway/test_fleet.h"

namespace baobab::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow = TimePoint{} + seconds(100);

struct EngineState {
  std::string version_;
  std::vector<std::string> adapters_;  // of model "m0"
  bool has_model_ = true;
};

auto MakeDispatcher(const std::vector<EngineState>& engines) -> Dispatcher {
  TargetRegistry registry;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    TargetRegistration registration;
    registration.id_ = "t" + std::to_string(i);
    registration.service_ = "engines";
    registration.slots_ = 64;
    registration.software_version_ = engines[i].version_;
    if (engines[i].has_model_) {
      registration.models_ = {{"m0", engines[i].adapters_}};
    }
    registry.Put(std::move(registration), 1);
  }
  Dispatcher dispatcher({}, "z");
  dispatcher.SetManifest(test::MakeTestManifest({"m0"}));
  dispatcher.SetTargets(registry, kNow);
  return dispatcher;
}

auto ResumedStream(const std::string& version, const std::string& adapter = "")
    -> WorkItem {
  WorkItem item;
  item.id_ = 1;
  item.service_ = "engines";
  item.generation_ = {"m0", adapter, 1000, 5000, 0, {}};
  item.version_ = version;
  item.resumed_by_caller_ = true;
  item.arrived_ = kNow;
  item.objective_at_ = kNow + seconds(1);
  item.deadline_ = kNow + seconds(5);
  return item;
}

// Guards against a stream that goes on at another version, against one that is
// held although nobody will load its model at its version, and against one that
// is refused although its model is about to be loaded.
TEST_CASE("A stream is sent, held or refused by what its version can serve",
          "[gateway]") {
  struct Case {
    const char* what_;
    std::vector<EngineState> engines_;
    std::string adapter_;
    std::string target_;     // empty: not sent
    std::string rejection_;  // empty: held
  };
  const auto test = GENERATE(values<Case>({
      {"both versions serve", {{"v2", {}}, {"v1", {}}}, "", "t1", ""},
      {"no target of the version", {{"v2", {}}}, "", "", "version_gone"},
      {"the model is loaded at the other version only",
       {{"v2", {}}, {"v1", {}, false}},
       "",
       "",
       "version_lacks_model"},
      {"the adapter is loaded at the other version only",
       {{"v2", {"a"}}, {"v1", {}}},
       "a",
       "",
       "version_lacks_model"},
      {"nobody has loaded the adapter", {{"v2", {}}, {"v1", {}}}, "a", "", ""},
      {"one version, nobody has loaded the adapter",
       {{"v1", {}}, {"v1", {}}},
       "a",
       "",
       ""},
  }));
  INFO(test.what_);
  auto dispatcher = MakeDispatcher(test.engines_);
  const auto rejection =
      dispatcher.Submit(ResumedStream("v1", test.adapter_), kNow);
  CHECK((rejection ? rejection->reason_ : "") == test.rejection_);
  const auto assignments = dispatcher.Assign(kNow);
  CHECK((assignments.empty() ? "" : assignments[0].target_) == test.target_);
  CHECK(dispatcher.MissingAdapters().size() ==
        (test.rejection_.empty() && test.target_.empty() ? 1 : 0));
}

// Guards against a stream that is refused because an estimate of its whole
// length exceeds the time that its caller has left.
TEST_CASE("A resumed stream is not held to the estimate of its length",
          "[gateway]") {
  const bool is_resumed = GENERATE(false, true);
  auto dispatcher = MakeDispatcher({{"v1", {}}});
  auto item = ResumedStream("v1");
  item.resumed_by_caller_ = is_resumed;
  item.deadline_ = kNow + milliseconds(600);
  CHECK(dispatcher.Submit(item, kNow).has_value() != is_resumed);
}

// Guards against placement that does not see requests of callers that resume.
TEST_CASE("A resumed stream counts as demand for its model", "[gateway]") {
  auto dispatcher = MakeDispatcher({{"v1", {}}});
  REQUIRE_FALSE(dispatcher.Submit(ResumedStream("v1"), kNow));
  CHECK_FALSE(dispatcher.DemandByModel(kNow + seconds(1)).empty());
}

}  // namespace
}  // namespace baobab::gateway
