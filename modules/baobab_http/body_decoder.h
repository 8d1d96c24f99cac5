#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "baobab_http/request_framing.h"

namespace baobab {

/// Collects the body of one request from pieces of any size.
///
/// The content alone is stored, however small the chunks are. Chunk extensions
/// and trailers are counted and dropped; together they may have as many bytes
/// as a head.
class BodyDecoder {
 public:
  enum class State : std::uint8_t {
    kMore,              ///< The body has not ended.
    kDone,              ///< The body is complete.
    kMalformed,         ///< The chunked coding is not valid.
    kTooLarge,          ///< The content exceeds the limit.
    kOverheadTooLarge,  ///< Extensions and trailers exceed their limit.
  };

  BodyDecoder(RequestFraming framing, std::size_t body_limit,
              std::size_t overhead_limit);

  /// Consumes bytes until the body ends or a fault is found. Returns how many
  /// it consumed; the rest belongs to the next request.
  auto Feed(std::string_view bytes) -> std::size_t;

  /// Returns by how much the memory of the content may grow if `bytes` more
  /// arrive.
  [[nodiscard]] auto GrowthFor(std::size_t bytes) const -> std::size_t;

  [[nodiscard]] auto state() const -> State { return state_; }
  /// Memory of the content, in bytes.
  [[nodiscard]] auto held_bytes() const -> std::size_t {
    return body_.capacity();
  }
  [[nodiscard]] auto TakeBody() -> std::string { return std::move(body_); }

 private:
  /// What the next byte of a chunked body belongs to.
  enum class Part : std::uint8_t {
    kSize,
    kExtension,
    kSizeLineFeed,
    kData,
    kDataReturn,
    kDataLineFeed,
    kTrailerStart,
    kTrailer,
    kTrailerLineFeed,
    kLastLineFeed,
  };

  [[nodiscard]] auto CapacityFor(std::size_t bytes) const -> std::size_t;
  auto Append(std::string_view content) -> void;
  auto FeedLine(char byte) -> void;
  auto OnSizeByte(char byte) -> void;
  auto OnSizeEnd() -> void;
  auto CountOverhead() -> void;
  auto Expect(char byte, char expected, Part next) -> void;

  RequestFraming framing_;
  std::size_t body_limit_;
  std::size_t overhead_left_;
  std::string body_;
  std::uint64_t left_;  // of the body, or of the chunk
  std::size_t size_digits_ = 0;
  Part part_ = Part::kSize;
  State state_ = State::kMore;
};

}  // namespace baobab
