#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "baobab_base/step_error.h"

namespace baobab::gateway {

/// Appends fields to a datagram. Integers take as few bytes as they need
/// (LEB128): most fields of a report are small, and bytes between failure
/// domains are priced.
class ByteWriter {
 public:
  auto WriteUnsigned(std::uint64_t value) -> void {
    constexpr std::uint64_t kContinuationBit = 0x80;
    while (value >= kContinuationBit) {
      bytes_.push_back(static_cast<char>((value & (kContinuationBit - 1)) |
                                         kContinuationBit));
      value >>= 7U;
    }
    bytes_.push_back(static_cast<char>(value));
  }
  /// Writes an integer of either sign; small magnitudes stay short.
  auto WriteSigned(std::int64_t value) -> void {
    const auto sign = static_cast<std::uint64_t>(value >> 63);
    WriteUnsigned((static_cast<std::uint64_t>(value) << 1U) ^ sign);
  }
  auto WriteString(std::string_view text) -> void {
    WriteUnsigned(text.size());
    bytes_.append(text);
  }
  [[nodiscard]] auto Take() -> std::string { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// Reads what ByteWriter wrote. Throws StepError where the bytes end early or
/// hold no integer.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  auto ReadUnsigned() -> std::uint64_t {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      if (bytes_.empty()) {
        Fail("ends inside an integer");
      }
      const auto byte = static_cast<unsigned char>(bytes_.front());
      bytes_.remove_prefix(1);
      value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
      if ((byte & 0x80U) == 0) {
        return value;
      }
    }
    Fail("holds an integer that is too long");
  }
  auto ReadSigned() -> std::int64_t {
    const auto value = ReadUnsigned();
    return static_cast<std::int64_t>((value >> 1U) ^ (~(value & 1U) + 1));
  }
  auto ReadString() -> std::string {
    const auto size = ReadUnsigned();
    if (size > bytes_.size()) {
      Fail("ends inside a text");
    }
    std::string text(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return text;
  }
  /// Reads the number of entries that follow. Each takes a byte at least, so a
  /// larger number cannot be true and must not reserve memory.
  auto ReadCount() -> std::uint64_t {
    const auto count = ReadUnsigned();
    if (count > bytes_.size()) {
      Fail("holds fewer entries than it says");
    }
    return count;
  }
  [[nodiscard]] auto is_at_end() const -> bool { return bytes_.empty(); }

 private:
  [[noreturn]] static auto Fail(const char* reason) -> void {
    throw StepError("datagram.decode", "peer", reason);
  }

  std::string_view bytes_;
};

}  // namespace baobab::gateway
