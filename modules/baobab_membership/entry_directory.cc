#include "baobab_membership/entry_directory.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

#include "baobab_base/rendezvous_hash.h"

namespace baobab::membership {
namespace {

// Keeps a full instance reachable when all are full.
constexpr double kLeastWeight = 0.05;

// Rendezvous score with weight: larger is better. The hash becomes a uniform
// number in (0, 1), whose logarithm makes the choice proportional to weight.
auto Score(const std::string& key, const EntryCandidate& candidate) -> double {
  const auto hash = HashKey(candidate.address_, HashKey(key));
  const auto uniform = (static_cast<double>(hash >> 11U) + 0.5) / 0x1.0p53;
  const auto weight = std::max(kLeastWeight, 1 - candidate.load_);
  return -weight / std::log(uniform);
}

}  // namespace

auto EntryDirectory::Answer(const std::vector<EntryCandidate>& candidates,
                            const std::string& caller,
                            const FailureDomain& domain, WallTime now) const
    -> EntryAnswer {
  const auto any_fresh = std::ranges::any_of(
      candidates, [](const auto& c) { return c.ready_ && !c.stale_; });
  const auto bucket =
      now.time_since_epoch() /
      std::chrono::duration_cast<std::chrono::milliseconds>(settings_.bucket_);
  const auto key = caller + "/" + std::to_string(bucket);
  std::vector<std::tuple<bool, double, std::string>> ranked;
  for (const auto& candidate : candidates) {
    if (!candidate.ready_ || (any_fresh && candidate.stale_)) {
      continue;
    }
    const auto preferred =
        candidate.domain_ == domain && candidate.load_ <= settings_.loaded_;
    ranked.emplace_back(preferred, Score(key, candidate), candidate.address_);
  }
  std::ranges::sort(ranked, std::greater<>());
  EntryAnswer answer{{}, settings_.max_age_};
  for (const auto& [preferred, score, address] : ranked) {
    if (answer.addresses_.size() == settings_.addresses_) {
      break;
    }
    answer.addresses_.push_back(address);
  }
  return answer;
}

}  // namespace baobab::membership
