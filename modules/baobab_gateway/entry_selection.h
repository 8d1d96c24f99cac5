#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace baobab::gateway {

/// An instance that callers could be directed to.
struct EntryCandidate {
  std::string instance_;
  std::string zone_;  ///< Failure domain.
  /// CPU share of the instance in thousandths of a core.
  std::uint32_t cpu_permille_ = 0;
  bool is_available_ = false;  ///< Alive, ready and not stopping.
  bool holds_order_lease_ = false;
};

/// Bounds of SelectEntries.
struct EntrySelectionSettings {
  /// Share of the CPU of all instances of a zone that its entry instances must
  /// have, if each counts with the smallest share among them: callers choose an
  /// address at random. Three instances of 0.5 cores suffice in a zone of 59;
  /// the busiest instance used 0.075 cores on a calm day.
  double min_cpu_share_ = 0.16;
  /// Minimum number of entry instances of a zone. With two, one remains after a
  /// failure until all directories list a replacement.
  std::size_t min_per_zone_ = 2;
};

/// Returns the entry instances: those that directories list for callers.
///
/// With few entry instances, the load facts that they exchange are recent, and
/// connections to targets are reused. In each zone, the available instances
/// with the largest CPU shares are selected; a hash of the name decides between
/// equal shares, so that all coordinators select the same ones. The holder of
/// the order lease is avoided while its zone has enough others, so that a
/// failure of one instance does not interrupt both orders and requests.
[[nodiscard]] auto SelectEntries(const std::vector<EntryCandidate>& candidates,
                                 const EntrySelectionSettings& settings = {})
    -> std::set<std::string>;

}  // namespace baobab::gateway
