#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/peer_report.h"

namespace baobab::gateway {

/// Instances that wait for missing adapters. Used by the holder of the order
/// lease: the one instance that may send load and unload commands to the
/// engines.
///
/// Handles many instances that need adapters at the same time: when an adapter
/// has been loaded, only the instances that wait for it are notified, and
/// immediately.
class AdapterRequesters {
 public:
  /// Age above which an entry is ignored; an instance that still waits reports
  /// the missing adapter again within this time.
  static constexpr Duration kMaxEntryAge = std::chrono::seconds(2);

  /// Records that the instance at `address` waits for `adapter` of `model`.
  auto OnAdapterRequested(const std::string& model, const std::string& adapter,
                          const std::string& address, TimePoint now) -> void {
    waiting_[{model, adapter}][address] = now;
  }

  /// Removes and returns the addresses of the instances that wait for an
  /// adapter that was loaded according to `changes`. An instance that still
  /// waits reports the missing adapter again.
  [[nodiscard]] auto Take(const std::vector<LoadedModelChange>& changes,
                          TimePoint now) -> std::set<std::string> {
    std::set<std::string> addresses;
    for (const auto& change : changes) {
      const auto found = waiting_.find({change.model_, change.adapter_});
      if (change.removed_ || found == waiting_.end()) {
        continue;
      }
      for (const auto& [address, at] : found->second) {
        if (now - at <= kMaxEntryAge) {
          addresses.insert(address);
        }
      }
      waiting_.erase(found);
    }
    return addresses;
  }

  auto Clear() -> void { waiting_.clear(); }

 private:
  std::map<std::pair<std::string, std::string>,
           std::map<std::string, TimePoint>>
      waiting_;
};

}  // namespace baobab::gateway
