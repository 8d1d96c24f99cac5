#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "baobab_base/step_error.h"

namespace baobab::gateway {

/// Encodes the fields of a datagram.
///
/// Fields carry no names or types: ByteReader must read them in the same order.
/// Integers are encoded with a variable length (LEB128), because most fields of
/// a report are small and traffic between failure domains is charged by the
/// byte.
class ByteWriter {
 public:
  /// Writes an unsigned integer in LEB128, seven bits to a byte.
  auto WriteUnsigned(std::uint64_t value) -> void {
    constexpr std::uint64_t kContinuationBit = 0x80;
    while (value >= kContinuationBit) {
      bytes_.push_back(static_cast<char>((value & (kContinuationBit - 1)) |
                                         kContinuationBit));
      value >>= 7U;
    }
    bytes_.push_back(static_cast<char>(value));
  }
  /// Writes a signed integer in zigzag encoding, so that small magnitudes of
  /// either sign take few bytes.
  auto WriteSigned(std::int64_t value) -> void {
    const auto sign = static_cast<std::uint64_t>(value >> 63);
    WriteUnsigned((static_cast<std::uint64_t>(value) << 1U) ^ sign);
  }
  /// Writes the length of `text` in bytes, then its bytes.
  auto WriteString(std::string_view text) -> void {
    WriteUnsigned(text.size());
    bytes_.append(text);
  }
  /// Returns the encoded bytes and leaves the writer empty.
  [[nodiscard]] auto Take() -> std::string { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// Decodes the fields that ByteWriter encoded.
///
/// Does not copy the bytes: they must outlive the reader. Every Read function
/// throws StepError if the bytes end before the field does or if an integer
/// takes more than ten bytes.
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
    Fail("contains an integer of more than ten bytes");
  }
  /// Reads an unsigned integer. Values beyond 32 bits become the largest 32-bit
  /// value.
  auto ReadUint32() -> std::uint32_t {
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(ReadUnsigned(), UINT32_MAX));
  }
  auto ReadSigned() -> std::int64_t {
    const auto value = ReadUnsigned();
    return static_cast<std::int64_t>((value >> 1U) ^ (~(value & 1U) + 1));
  }
  auto ReadString() -> std::string {
    const auto size = ReadUnsigned();
    if (size > bytes_.size()) {
      Fail("ends inside a string");
    }
    std::string text(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return text;
  }
  /// Reads the number of entries that follow. Every entry takes at least one
  /// byte, so a count above the number of remaining bytes is invalid and throws
  /// before a caller reserves memory for it.
  auto ReadCount() -> std::uint64_t {
    const auto count = ReadUnsigned();
    if (count > bytes_.size()) {
      Fail("ends before the announced number of entries");
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
