#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "baobab_base/time_types.h"

namespace baobab::gateway {

/// An item of the store, or the removal of one.
struct StoreItem {
  std::string key_;
  std::string value_;
  std::int64_t revision_ = 0;  ///< Of its last change.
  std::int64_t lease_ = 0;     ///< 0: none.
  bool removed_ = false;
};

/// One page of items, or the changes after a revision.
struct StoreListing {
  std::vector<StoreItem> items_;
  bool has_more_ = false;
  std::int64_t revision_ = 0;  ///< Of the store when it answered.
};

/// A lease and how long it runs from the arrival of the call.
struct StoreLease {
  std::int64_t id_ = 0;
  Duration ttl_{};
};

/// An all-or-nothing change.
struct StoreChange {
  struct Expectation {
    std::string key_;
    std::int64_t revision_ = 0;  ///< 0: the key does not exist.
  };
  struct Write {
    std::string key_;
    std::string value_;
    std::int64_t lease_ = 0;
  };
  std::vector<Expectation> expected_;
  std::vector<Write> writes_;
  std::vector<std::string> removals_;
};

/// Why a store call gave no result.
enum class StoreFailure : std::uint8_t {
  kNotDone,      ///< Refused; nothing was done.
  kUnknown,      ///< No response; it may have been done, or may be done later.
  kHistoryGone,  ///< The changes after that revision are no longer kept.
  kConflict,     ///< An expectation does not hold.
  kNoLease,      ///< The lease has ended.
};

/// Returns the name of `failure` for logs.
[[nodiscard]] constexpr auto ToString(StoreFailure failure)
    -> std::string_view {
  switch (failure) {
    case StoreFailure::kNotDone:
      return "not_done";
    case StoreFailure::kUnknown:
      return "unknown";
    case StoreFailure::kHistoryGone:
      return "history_gone";
    case StoreFailure::kConflict:
      return "conflict";
    case StoreFailure::kNoLease:
      break;
  }
  return "no_lease";
}

/// Receives the result of a store call.
template <class Result>
using StoreReply = std::function<void(std::variant<Result, StoreFailure>)>;

}  // namespace baobab::gateway
