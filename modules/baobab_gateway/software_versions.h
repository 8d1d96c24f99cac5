#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/target_registry.h"

namespace baobab::gateway {

/// A version of the software of a service.
struct SoftwareVersion {
  std::string service_;
  std::string version_;
  auto operator<=>(const SoftwareVersion&) const = default;
};

/// Knows which software versions of each service may have streams that callers
/// still resume: those of registered targets, those that were registered
/// recently, and those that the store has a record of.
///
/// While a service has several versions, the store gets a record of each. It
/// outlasts the targets, so that an instance that starts later knows of a
/// version that has just left.
class SoftwareVersions {
 public:
  /// Time for which callers may resume a stream after its targets have left:
  /// twice the longest time that callers of the sites leave for a request.
  static constexpr Duration kMemory = std::chrono::seconds(30);
  /// Age of a record at which it is written again, and its time to live. A
  /// record lasts for kMemory after the last target of its version.
  static constexpr Duration kRecordInterval = std::chrono::seconds(20);
  static constexpr Duration kRecordTtl = std::chrono::seconds(60);
  /// Maximum number of records that are written at once.
  static constexpr std::size_t kMaxRecordsAtOnce = 16;

  auto SetTargets(const TargetRegistry& registry, TimePoint now) -> void;

  /// Handles a registration as it is read. Its target may be gone when
  /// SetTargets() is called next, after the batch of changes that contains
  /// both.
  auto OnRegistration(const SoftwareVersion& version, TimePoint now) -> void {
    if (registered_.count(version) == 0) {
      left_at_[version] = now;
    }
  }

  /// Handles the record with the key `name` in the store, and its removal.
  auto OnRecord(const std::string& name, std::string_view text, TimePoint now)
      -> void;
  auto OnRecordGone(const std::string& name) -> void { records_.erase(name); }

  /// Returns true if streams of several versions of `service` may be resumed.
  [[nodiscard]] auto IsMixed(const std::string& service, TimePoint now) const
      -> bool {
    return VersionsOf(service, now).size() > 1;
  }
  /// Returns the version of `service` if there is exactly one.
  [[nodiscard]] auto OnlyVersion(const std::string& service,
                                 TimePoint now) const
      -> std::optional<std::string>;
  /// Returns the services of which several versions are known.
  [[nodiscard]] auto MixedServices(TimePoint now) const
      -> std::set<std::string>;
  /// Returns the versions that need a record and have none or an old one: all
  /// registered ones of services with several.
  [[nodiscard]] auto MissingRecords(TimePoint now) const
      -> std::vector<SoftwareVersion>;

  /// Returns the name and the text of the record of `version`. The name
  /// consists of digits and letters.
  [[nodiscard]] static auto RecordName(const SoftwareVersion& version)
      -> std::string;
  [[nodiscard]] static auto RecordText(const SoftwareVersion& version)
      -> std::string;

 private:
  struct Record {
    SoftwareVersion version_;
    TimePoint written_at_{};  // or read first
  };

  [[nodiscard]] auto VersionsOf(const std::string& service, TimePoint now) const
      -> std::set<std::string>;

  std::set<SoftwareVersion> registered_;
  std::map<SoftwareVersion, TimePoint> left_at_;
  std::map<std::string, Record> records_;  // by name
};

}  // namespace baobab::gateway
