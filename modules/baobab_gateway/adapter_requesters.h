#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobab_base/time_types.h"
#include "baobab_gateway/peer_report.h"

namespace baobab::gateway {

/// Which instances wait for which adapters, as the holder of orders knows it.
///
/// Answers many instances that need adapters at the same time: a change of what
/// a target holds is told at once to those that wait for it and to no others.
class AdapterRequesters {
 public:
  /// An instance that still waits repeats its need within this time.
  static constexpr Duration kMaxNeedAge = std::chrono::seconds(2);

  /// The instance at `address` needs an adapter of `model`.
  auto OnNeed(const std::string& model, const std::string& adapter,
              const std::string& address, TimePoint now) -> void {
    waiting_[{model, adapter}][address] = now;
  }

  /// Returns the addresses of the instances that wait for an adapter that
  /// `changes` say is loaded. They are forgotten; they ask again if needed.
  [[nodiscard]] auto Take(const std::vector<HoldingChange>& changes,
                          TimePoint now) -> std::set<std::string> {
    std::set<std::string> addresses;
    for (const auto& change : changes) {
      const auto found = waiting_.find({change.model_, change.adapter_});
      if (change.removed_ || found == waiting_.end()) {
        continue;
      }
      for (const auto& [address, at] : found->second) {
        if (now - at <= kMaxNeedAge) {
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
