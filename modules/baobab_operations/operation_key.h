#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "baobab_base/strong_id.h"

namespace baobab {

/// The process that may send an operation to a target: one run of one instance.
struct OperationOwner {
  InstanceId instance_;
  Incarnation incarnation_ = 0;
  auto operator==(const OperationOwner&) const -> bool = default;
};

/// An idempotency key. An issued key names its owner and a sequence number:
/// `op1.<instance>.<incarnation, hex>.<sequence, decimal>`. Any other text is
/// a caller-chosen key, whose owner is found in the configuration service.
class OperationKey {
 public:
  /// Longest accepted key in bytes.
  static constexpr std::size_t kMaxLength = 200;

  /// Returns the key `sequence` issued by `owner`.
  [[nodiscard]] static auto Issued(const OperationOwner& owner,
                                   std::uint64_t sequence) -> OperationKey;

  /// Reads a key as sent by a caller. Returns nothing if it is empty, longer
  /// than kMaxLength, holds characters other than letters, digits and "-_.:",
  /// or starts like an issued key without being one.
  [[nodiscard]] static auto Parse(std::string_view text)
      -> std::optional<OperationKey>;

  /// Returns the key as text.
  [[nodiscard]] auto text() const -> const std::string& { return text_; }

  /// Returns true for a key that names its owner.
  [[nodiscard]] auto issued() const -> bool { return owner_.has_value(); }

  /// Owner of an issued key; nothing for a caller-chosen key.
  [[nodiscard]] auto owner() const -> const std::optional<OperationOwner>& {
    return owner_;
  }

  /// Sequence number of an issued key, zero otherwise.
  [[nodiscard]] auto sequence() const -> std::uint64_t { return sequence_; }

 private:
  OperationKey() = default;

  std::string text_;
  std::optional<OperationOwner> owner_;
  std::uint64_t sequence_ = 0;
};

}  // namespace baobab
