#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// Selects the coordinators of the fleet: the instances that read the store for
/// their peers, receive the reports of all instances and send digests to them.
///
/// Each instance selects them by itself: the first `kCoordinatorCount` in the
/// order of CPU share and name hash that are alive as far as it knows. An
/// instance that is not expected to send anything to this one counts as alive.
/// It becomes a suspect only once it has been selected and has stayed silent
/// for the timeout. After the loss of all coordinators, successors therefore
/// take over in order, and not all remaining instances at once.
class CoordinatorElection {
 public:
  /// With three, one still serves if two fail at once, even before their
  /// failure is detected.
  static constexpr std::size_t kCoordinatorCount = 3;

  /// An instance as known to the one that selects.
  struct Candidate {
    std::string_view instance_;
    /// CPU share of the instance in thousandths of a core.
    std::uint32_t cpu_permille_ = 0;
    std::uint64_t name_hash_ = 0;  ///< HashKey(instance_).
    /// Time of the last datagram from the instance; the epoch if none arrived.
    TimePoint last_received_at_{};
    /// Accepts requests and is not stopping, as it stated last. Ignored if its
    /// last datagram is older than the timeout. Whether it reaches the store
    /// does not matter: in an outage digests must still be sent, and without
    /// a coordinator that reaches the store its peers read by themselves.
    bool is_ready_ = false;
    bool is_self_ = false;
  };

  /// Returns the coordinators, in rank order. A candidate that was selected and
  /// from which nothing arrived for `timeout` is passed over.
  [[nodiscard]] auto Select(std::vector<Candidate> candidates, Duration timeout,
                            TimePoint now) -> std::vector<std::string> {
    // A heap instead of a sorted list: of hundreds of candidates, the first few
    // are usually enough.
    const auto by_rank = [](const Candidate& left, const Candidate& right) {
      return Rank(left) < Rank(right);
    };
    std::make_heap(candidates.begin(), candidates.end(), by_rank);
    std::vector<std::string> coordinators;
    std::map<std::string, TimePoint, std::less<>> expected_since;
    while (!candidates.empty() && coordinators.size() < kCoordinatorCount) {
      std::pop_heap(candidates.begin(), candidates.end(), by_rank);
      const auto candidate = candidates.back();
      candidates.pop_back();
      if (candidate.is_self_) {
        if (candidate.is_ready_) {
          coordinators.emplace_back(candidate.instance_);
        }
        continue;
      }
      const auto known = expected_since_.find(candidate.instance_);
      const auto expected =
          known == expected_since_.end() ? now : known->second;
      expected_since.emplace(candidate.instance_, expected);
      const bool has_reported = candidate.last_received_at_ != TimePoint{} &&
                                now - candidate.last_received_at_ <= timeout;
      if (has_reported
              ? candidate.is_ready_
              : now - std::max(expected, candidate.last_received_at_) <=
                    timeout) {
        coordinators.emplace_back(candidate.instance_);
      }
    }
    expected_since_ = std::move(expected_since);
    return coordinators;
  }

 private:
  [[nodiscard]] static auto Rank(const Candidate& candidate)
      -> std::tuple<std::uint32_t, std::uint64_t> {
    return {candidate.cpu_permille_, candidate.name_hash_};
  }

  // Time since which each instance has been selected or passed over.
  std::map<std::string, TimePoint, std::less<>> expected_since_;
};

}  // namespace baobab::gateway
