#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// A key-value pair of the store, or the removal of one. All revisions in these
/// types are positions (see StorePosition).
struct StoreEntry {
  std::string key_;
  std::string value_;
  std::int64_t revision_ = 0;  ///< Revision of the last change of the key.
  std::int64_t lease_ = 0;     ///< Id of the attached lease; 0: none.
  bool removed_ = false;
};

/// One page of a range read, or the changes after a revision.
struct StoreListing {
  std::vector<StoreEntry> entries_;
  bool has_more_ = false;
  std::int64_t revision_ = 0;  ///< Store revision at the time of the response.
};

/// A lease and its time to live, counted from the arrival of the call.
struct StoreLease {
  std::int64_t id_ = 0;
  Duration ttl_{};
};

/// A transaction: all writes and removals are applied if every precondition
/// holds, and none otherwise.
struct StoreTransaction {
  struct Expectation {
    std::string key_;
    /// Revision of the last change of the key; 0: the key does not exist.
    std::int64_t revision_ = 0;
  };
  struct Write {
    std::string key_;
    std::string value_;
    std::int64_t lease_ = 0;  ///< Id of the lease to attach; 0: none.
  };
  std::vector<Expectation> preconditions_;
  std::vector<Write> writes_;
  std::vector<std::string> removals_;
};

/// Reason why a store call returned no result.
enum class StoreFailure : std::uint8_t {
  kNotApplied,  ///< The call failed and had no effect.
  kUnknown,     ///< No response; the call may still take effect.
  kCompacted,   ///< The store has discarded the changes after that revision.
  kConflict,    ///< A precondition of the transaction does not hold.
  kNoLease,     ///< The lease has expired or was revoked.
};

/// Returns the name of `failure` for logs.
[[nodiscard]] constexpr auto ToString(StoreFailure failure)
    -> std::string_view {
  switch (failure) {
    case StoreFailure::kNotApplied:
      return "not_done";
    case StoreFailure::kUnknown:
      return "unknown";
    case StoreFailure::kCompacted:
      return "history_gone";
    case StoreFailure::kConflict:
      return "conflict";
    case StoreFailure::kNoLease:
      break;
  }
  return "no_lease";
}

/// Callback that receives the result of a store call or the reason for its
/// failure.
template <class Result>
using StoreCallback = std::function<void(std::variant<Result, StoreFailure>)>;

}  // namespace baobab::gateway
