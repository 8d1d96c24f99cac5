#include "baobab_gateway/entry_selection.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::gateway {
namespace {

struct Zone {
  std::uint64_t cpu_permille_ = 0;  // of all instances
  std::vector<const EntryCandidate*> available_;
};

/// Returns how many of the first entries of `available`, which is sorted by
/// rank, are needed.
auto CountNeeded(const std::vector<const EntryCandidate*>& available,
                 double needed_permille, std::size_t min_count) -> std::size_t {
  for (std::size_t count = min_count; count <= available.size(); ++count) {
    if (count > 0 &&
        static_cast<double>(count) * available[count - 1]->cpu_permille_ >=
            needed_permille) {
      return count;
    }
  }
  return available.size();
}

}  // namespace

auto SelectEntries(const std::vector<EntryCandidate>& candidates,
                   const EntrySelectionSettings& settings)
    -> std::set<std::string> {
  std::map<std::string, Zone> zones;
  for (const auto& candidate : candidates) {
    auto& zone = zones[candidate.zone_];
    zone.cpu_permille_ += candidate.cpu_permille_;
    if (candidate.is_available_) {
      zone.available_.push_back(&candidate);
    }
  }
  std::set<std::string> selected;
  for (auto& [name, zone] : zones) {
    auto& available = zone.available_;
    std::sort(available.begin(), available.end(),
              [](const EntryCandidate* left, const EntryCandidate* right) {
                const auto rank = [](const EntryCandidate& candidate) {
                  return std::tuple(!candidate.holds_order_lease_,
                                    candidate.cpu_permille_,
                                    HashKey(candidate.instance_));
                };
                return rank(*left) > rank(*right);
              });
    // The lease holder is last and is only needed if it is the only one left.
    const bool has_holder =
        !available.empty() && available.back()->holds_order_lease_;
    if (has_holder && available.size() > settings.min_per_zone_) {
      available.pop_back();
    }
    const auto count = CountNeeded(
        available,
        settings.min_cpu_share_ * static_cast<double>(zone.cpu_permille_),
        std::min(settings.min_per_zone_, available.size()));
    for (std::size_t i = 0; i < count; ++i) {
      selected.insert(available[i]->instance_);
    }
  }
  return selected;
}

}  // namespace baobab::gateway
