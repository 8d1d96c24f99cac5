#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"

namespace baobab::membership {

/// An instance that callers may be sent to.
struct EntryCandidate {
  std::string address_;  ///< host:port for callers.
  FailureDomain domain_;
  bool ready_ = false;  ///< Neither starting nor draining, and alive.
  bool stale_ = false;  ///< Its contracts are not known to be current.
  double load_ = 0;     ///< Used part of its capacity, 0 to 1.
};

/// Settings of the answer to `GET /v1/entry`.
struct EntrySettings {
  std::size_t addresses_ = 3;
  Duration max_age_ = std::chrono::seconds(10);
  /// Callers are spread anew after this time.
  Duration bucket_ = std::chrono::seconds(60);
  /// Above this load an instance loses the preference for its own domain.
  double loaded_ = 0.8;
};

/// Answer to `GET /v1/entry`.
struct EntryAnswer {
  std::vector<std::string> addresses_;  ///< Most preferred first.
  Duration max_age_{};
};

/// Chooses the addresses given to callers, spread by weighted rendezvous
/// hashing over the caller and the time, so that every instance gives the same
/// caller the same answer.
class EntryDirectory {
 public:
  explicit EntryDirectory(EntrySettings settings = {}) : settings_(settings) {}

  /// Returns the answer for `caller` (its IP address) asked from `domain`.
  /// Stale instances are given only when no fresh one is ready: during an
  /// outage of the configuration service all are stale, and callers must still
  /// get an address.
  [[nodiscard]] auto Answer(const std::vector<EntryCandidate>& candidates,
                            const std::string& caller,
                            const FailureDomain& domain, WallTime now) const
      -> EntryAnswer;

 private:
  EntrySettings settings_;
};

}  // namespace baobab::membership
