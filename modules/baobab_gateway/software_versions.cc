#include "baobab_gateway/software_versions.h"

#include <algorithm>

#include "baobab_base/rendezvous_hash.h"
#include "baobab_gateway/work_item.h"

namespace baobab::gateway {
namespace {

constexpr char kFieldSeparator = '\n';

}  // namespace

auto SoftwareVersions::SetTargets(const TargetRegistry& registry, TimePoint now)
    -> void {
  std::set<SoftwareVersion> registered;
  for (const auto& [id, entry] : registry.entries()) {
    const auto& registration = entry.registration_;
    registered.insert({registration.service_, registration.software_version_});
  }
  for (const auto& version : registered_) {
    if (registered.count(version) == 0) {
      left_at_[version] = now;
    }
  }
  registered_ = std::move(registered);
  std::erase_if(left_at_, [this, now](const auto& left) {
    return now - left.second > kMemory || registered_.count(left.first) > 0;
  });
}

auto SoftwareVersions::OnRecord(const std::string& name, std::string_view text,
                                TimePoint now) -> void {
  const auto separator = text.find(kFieldSeparator);
  if (separator != std::string_view::npos) {
    records_[name] = {{std::string(text.substr(0, separator)),
                       std::string(text.substr(separator + 1))},
                      now};
  }
}

auto SoftwareVersions::VersionsOf(const std::string& service,
                                  TimePoint now) const
    -> std::set<std::string> {
  std::set<std::string> versions;
  for (const auto& known : registered_) {
    if (known.service_ == service) {
      versions.insert(known.version_);
    }
  }
  for (const auto& [known, left_at] : left_at_) {
    if (known.service_ == service && now - left_at <= kMemory) {
      versions.insert(known.version_);
    }
  }
  for (const auto& [name, record] : records_) {
    if (record.version_.service_ == service) {
      versions.insert(record.version_.version_);
    }
  }
  return versions;
}

auto SoftwareVersions::OnlyVersion(const std::string& service,
                                   TimePoint now) const
    -> std::optional<std::string> {
  const auto versions = VersionsOf(service, now);
  return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

auto SoftwareVersions::MixedServices(TimePoint now) const
    -> std::set<std::string> {
  std::set<std::string> mixed;
  for (const auto& known : registered_) {
    if (mixed.count(known.service_) == 0 && IsMixed(known.service_, now)) {
      mixed.insert(known.service_);
    }
  }
  return mixed;
}

auto SoftwareVersions::MissingRecords(TimePoint now) const
    -> std::vector<SoftwareVersion> {
  std::vector<SoftwareVersion> missing;
  const auto mixed = MixedServices(now);
  for (const auto& version : registered_) {
    const auto record = records_.find(RecordName(version));
    if (missing.size() < kMaxRecordsAtOnce &&
        mixed.count(version.service_) > 0 &&
        (record == records_.end() ||
         now - record->second.written_at_ >= kRecordInterval)) {
      missing.push_back(version);
    }
  }
  return missing;
}

auto SoftwareVersions::RecordName(const SoftwareVersion& version)
    -> std::string {
  return ToHex(HashKey(version.service_)) + "-" +
         ToHex(HashKey(version.version_));
}

auto SoftwareVersions::RecordText(const SoftwareVersion& version)
    -> std::string {
  return version.service_ + kFieldSeparator + version.version_;
}

}  // namespace baobab::gateway
