#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_platform/store_types.h"

namespace baobab::platform {

/// Returns the body of `/v3/kv/range` for the keys from `key` to `range_end`.
[[nodiscard]] auto BuildRange(std::string_view key, std::string_view range_end)
    -> std::string;

/// A write that happens only if the key, and all guards, have given revisions.
struct Swap {
  std::string key_;
  Revision expected_ = 0;  ///< Zero: the key must not exist.
  std::string value_;
  bool delete_ = false;  ///< Deletes the key instead.
  std::int64_t lease_ = 0;
  std::vector<KeyRevision> guards_;
};

/// Returns the body of `/v3/kv/txn` for `swap`; if the comparison fails, the
/// transaction reads the key.
[[nodiscard]] auto BuildSwap(const Swap& swap) -> std::string;

/// Returns the body of `/v3/watch` for the keys with `prefix`.
[[nodiscard]] auto BuildWatch(std::string_view prefix, Revision from)
    -> std::string;

/// Returns the body of the calls about leases; zero fields are left out.
[[nodiscard]] auto BuildLease(std::int64_t id, std::chrono::seconds ttl)
    -> std::string;

/// Reads the answer of `/v3/kv/range`; nothing if it is malformed.
[[nodiscard]] auto ParseRange(std::string_view body)
    -> std::optional<ReadResult>;

/// Reads the answer of `/v3/kv/txn`; nothing if it is malformed.
[[nodiscard]] auto ParseSwap(std::string_view body)
    -> std::optional<WriteResult>;

/// Reads the answer of a lease call; nothing if it is malformed.
[[nodiscard]] auto ParseLease(std::string_view body)
    -> std::optional<LeaseResult>;

/// One message of a watch.
struct WatchMessage {
  Revision revision_ = 0;
  bool created_ = false;
  bool cancelled_ = false;
  Revision compact_revision_ = 0;  ///< Non-zero: earlier events are lost.
  std::vector<WatchEvent> events_;
};

/// Reads one line of a watch; nothing if it is malformed.
[[nodiscard]] auto ParseWatchMessage(std::string_view line)
    -> std::optional<WatchMessage>;

/// Returns the `message` of an error answer, or the start of `body`.
[[nodiscard]] auto ParseErrorText(std::string_view body) -> std::string;

}  // namespace baobab::platform
