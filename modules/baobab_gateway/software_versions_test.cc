#include "baobab_gateway/software_versions.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace baobab::gateway {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

auto MakeRegistry(const std::vector<std::string>& versions) -> TargetRegistry {
  TargetRegistry registry;
  for (std::size_t i = 0; i < versions.size(); ++i) {
    TargetRegistration registration;
    registration.id_ = "t" + std::to_string(i);
    registration.service_ = "s";
    registration.software_version_ = versions[i];
    registry.Put(std::move(registration), 1);
  }
  return registry;
}

// Guards against a stream that goes on at the only version that is left
// although another one may have begun it.
TEST_CASE("A version counts for a time after its last target has left",
          "[gateway]") {
  SoftwareVersions versions;
  CHECK_FALSE(versions.OnlyVersion("s", kStart));
  versions.SetTargets(MakeRegistry({"v1", "v1"}), kStart);
  CHECK(versions.OnlyVersion("s", kStart) == "v1");
  CHECK(versions.MixedServices(kStart).empty());
  versions.SetTargets(MakeRegistry({"v1", "v2"}), kStart);
  CHECK_FALSE(versions.OnlyVersion("s", kStart));
  CHECK(versions.MixedServices(kStart) == std::set<std::string>{"s"});
  versions.SetTargets(MakeRegistry({"v2", "v2"}), kStart);
  const auto later = kStart + SoftwareVersions::kMemory;
  CHECK_FALSE(versions.OnlyVersion("s", later));
  CHECK(versions.OnlyVersion("s", later + seconds(1)) == "v2");
}

// Guards against a version that an instance never sees: its target registered
// and left while the instance did not read the store.
TEST_CASE("A version counts although its target has left in the same read",
          "[gateway]") {
  SoftwareVersions versions;
  versions.SetTargets(MakeRegistry({"v1"}), kStart);
  versions.OnRegistration({"s", "v1"}, kStart);
  versions.OnRegistration({"s", "v2"}, kStart);
  versions.SetTargets(MakeRegistry({"v1"}), kStart);
  const auto later = kStart + SoftwareVersions::kMemory;
  CHECK_FALSE(versions.OnlyVersion("s", later));
  CHECK(versions.OnlyVersion("s", later + seconds(1)) == "v1");
}

// Guards against an instance that starts after the last target of a version has
// left and does not know of that version, and against records that end too soon
// or are written without need.
TEST_CASE("Versions of a service with several have a record that is kept",
          "[gateway]") {
  using Versions = std::vector<SoftwareVersion>;
  const SoftwareVersion first{"s", "v1"};
  const SoftwareVersion second{"s", "v2"};
  SoftwareVersions versions;
  versions.SetTargets(MakeRegistry({"v1", "v1"}), kStart);
  CHECK(versions.MissingRecords(kStart).empty());
  versions.SetTargets(MakeRegistry({"v1", "v2"}), kStart);
  CHECK(versions.MissingRecords(kStart) == Versions{first, second});
  SoftwareVersions started_later;
  for (const auto& version : {first, second}) {
    const auto name = SoftwareVersions::RecordName(version);
    const auto text = SoftwareVersions::RecordText(version);
    versions.OnRecord(name, text, kStart);
    started_later.OnRecord(name, text, kStart);
  }
  CHECK(versions.MissingRecords(kStart).empty());
  CHECK(versions.MissingRecords(kStart + SoftwareVersions::kRecordInterval) ==
        Versions{first, second});
  // A version without targets needs no new record.
  versions.SetTargets(MakeRegistry({"v2"}), kStart);
  CHECK(versions.MissingRecords(kStart + SoftwareVersions::kRecordInterval) ==
        Versions{second});
  started_later.SetTargets(MakeRegistry({"v2"}), kStart);
  CHECK_FALSE(started_later.OnlyVersion("s", kStart));
  started_later.OnRecordGone(SoftwareVersions::RecordName(first));
  CHECK(started_later.OnlyVersion("s", kStart) == "v2");
  CHECK(SoftwareVersions::kRecordTtl - SoftwareVersions::kRecordInterval >
        SoftwareVersions::kMemory);
}

// Guards against an entry of another writer that ends the process or counts as
// a version.
TEST_CASE("An odd record of a version is ignored", "[gateway]") {
  const auto text = GENERATE(as<std::string>{}, "", "s", "v1 s");
  SoftwareVersions versions;
  versions.SetTargets(MakeRegistry({"v1"}), kStart);
  versions.OnRecord("x", text, kStart);
  CHECK(versions.OnlyVersion("s", kStart) == "v1");
}

}  // namespace
}  // namespace baobab::gateway
