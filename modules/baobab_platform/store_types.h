#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobab_base/strong_id.h"
#include "baobab_base/time_types.h"

namespace baobab::platform {

/// What is known of the effect of a call on the configuration service.
enum class Effect : std::uint8_t {
  kTookEffect,        ///< It took effect, once.
  kDidNotTakeEffect,  ///< It did not and will not.
  kUnknown,           ///< It may have, or may still; read back to find out.
};

/// Returns "took_effect", "did_not_take_effect" or "unknown".
[[nodiscard]] auto ToString(Effect effect) -> std::string_view;

/// Why a call failed.
struct StoreFailure {
  std::string step_;  ///< "connect", "send", "receive", "decode" or "refused".
  std::string peer_;  ///< Address of the configuration service.
  std::string reason_;
};

/// A key with its value.
struct StoredValue {
  std::string key_;
  std::string value_;
  Revision create_revision_ = 0;
  Revision mod_revision_ = 0;
  std::int64_t lease_ = 0;
  auto operator==(const StoredValue&) const -> bool = default;
};

/// A revision that a key is expected to have; zero: it must not exist.
struct KeyRevision {
  std::string key_;
  Revision revision_ = 0;
};

/// Result of a read. A read that failed had no effect and may be repeated.
struct ReadResult {
  std::optional<StoreFailure> failure_;
  Revision revision_ = 0;  ///< Revision of the store that was read.
  std::vector<StoredValue> values_;
};

/// Result of a write.
struct WriteResult {
  Effect effect_ = Effect::kUnknown;
  Revision revision_ = 0;  ///< Revision of the write, if it took effect.
  /// The write did not take effect because the key, or one of the guards, had
  /// another revision.
  bool compare_failed_ = false;
  /// What the key holds, if compare_failed_; nothing if it does not exist.
  std::optional<StoredValue> current_;
  std::optional<StoreFailure> failure_;
};

/// Result of a call about a lease.
struct LeaseResult {
  Effect effect_ = Effect::kUnknown;
  std::int64_t id_ = 0;
  /// Time until the lease expires, counted from when the service answered. Zero
  /// if the lease does not exist.
  std::chrono::seconds ttl_{};
  std::optional<StoreFailure> failure_;
};

/// One change that a watch delivers.
struct WatchEvent {
  bool deleted_ = false;
  StoredValue value_;  ///< For a deletion the key and mod_revision_ alone.
};

/// Returns the key after the last one that begins with `prefix`, as
/// `range_end` of a prefix read.
[[nodiscard]] auto PrefixEnd(std::string_view prefix) -> std::string;

}  // namespace baobab::platform
