#include "baobab_http/body_decoder.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

/// Digits of a chunk size; more than this cannot be a size below the limit.
constexpr std::size_t kMaxSizeDigits = 16;
constexpr std::size_t kFirstCapacity = 4096;

auto HexDigit(char byte) -> int {
  if (byte >= '0' && byte <= '9') {
    return byte - '0';
  }
  if (byte >= 'a' && byte <= 'f') {
    return byte - 'a' + 10;
  }
  if (byte >= 'A' && byte <= 'F') {
    return byte - 'A' + 10;
  }
  return -1;
}

}  // namespace

BodyDecoder::BodyDecoder(RequestFraming framing, std::size_t body_limit,
                         std::size_t overhead_limit)
    : framing_(framing),
      body_limit_(body_limit),
      overhead_left_(overhead_limit),
      left_(framing.chunked_ ? 0 : framing.length_) {
  if (!framing.chunked_) {
    state_ = left_ > body_limit ? State::kTooLarge
             : left_ == 0       ? State::kDone
                                : State::kMore;
  }
}

auto BodyDecoder::Feed(std::string_view bytes) -> std::size_t {
  std::size_t used = 0;
  while (used < bytes.size() && state_ == State::kMore) {
    if (!framing_.chunked_ || part_ == Part::kData) {
      const auto size = static_cast<std::size_t>(
          std::min<std::uint64_t>(left_, bytes.size() - used));
      Append(bytes.substr(used, size));
      used += size;
      left_ -= size;
      if (left_ == 0) {
        if (framing_.chunked_) {
          part_ = Part::kDataReturn;
        } else {
          state_ = State::kDone;
        }
      }
    } else {
      FeedLine(bytes[used]);
      ++used;
    }
  }
  return used;
}

auto BodyDecoder::FeedLine(char byte) -> void {
  switch (part_) {
    case Part::kSize:
      OnSizeByte(byte);
      break;
    case Part::kExtension:
      if (byte == '\r') {
        part_ = Part::kSizeLineFeed;
      } else {
        CountOverhead();
        if (byte == '\n' || byte == '\0') {
          state_ = State::kMalformed;
        }
      }
      break;
    case Part::kSizeLineFeed:
      Expect(byte, '\n', Part::kData);
      if (state_ == State::kMore) {
        OnSizeEnd();
      }
      break;
    case Part::kDataReturn:
      Expect(byte, '\r', Part::kDataLineFeed);
      break;
    case Part::kDataLineFeed:
      Expect(byte, '\n', Part::kSize);
      size_digits_ = 0;
      left_ = 0;
      break;
    case Part::kTrailerStart:
    case Part::kTrailer:
      if (byte == '\r') {
        part_ = part_ == Part::kTrailerStart ? Part::kLastLineFeed
                                             : Part::kTrailerLineFeed;
      } else {
        part_ = Part::kTrailer;
        CountOverhead();
        if (byte == '\n' || byte == '\0') {
          state_ = State::kMalformed;
        }
      }
      break;
    case Part::kTrailerLineFeed:
      Expect(byte, '\n', Part::kTrailerStart);
      break;
    case Part::kLastLineFeed:
      Expect(byte, '\n', Part::kLastLineFeed);
      if (state_ == State::kMore) {
        state_ = State::kDone;
      }
      break;
    case Part::kData:
      break;
  }
}

auto BodyDecoder::OnSizeByte(char byte) -> void {
  const auto digit = HexDigit(byte);
  if (digit >= 0 && size_digits_ < kMaxSizeDigits) {
    ++size_digits_;
    left_ = left_ * 16 + static_cast<std::uint64_t>(digit);
  } else if (size_digits_ > 0 && byte == '\r') {
    part_ = Part::kSizeLineFeed;
  } else if (size_digits_ > 0 && (byte == ';' || byte == ' ' || byte == '\t')) {
    part_ = Part::kExtension;
    CountOverhead();
  } else {
    state_ = State::kMalformed;
  }
}

auto BodyDecoder::OnSizeEnd() -> void {
  if (left_ == 0) {
    part_ = Part::kTrailerStart;
  } else if (left_ > body_limit_ - body_.size()) {
    state_ = State::kTooLarge;
  }
}

auto BodyDecoder::CountOverhead() -> void {
  if (overhead_left_ == 0) {
    state_ = State::kOverheadTooLarge;
  } else {
    --overhead_left_;
  }
}

auto BodyDecoder::Expect(char byte, char expected, Part next) -> void {
  if (byte == expected) {
    part_ = next;
  } else {
    state_ = State::kMalformed;
  }
}

auto BodyDecoder::CapacityFor(std::size_t bytes) const -> std::size_t {
  const auto most =
      framing_.chunked_
          ? body_limit_
          : std::min(static_cast<std::size_t>(framing_.length_), body_limit_);
  const auto needed = std::min(body_.size() + bytes, most);
  if (needed <= body_.capacity()) {
    return body_.capacity();
  }
  return std::min(most,
                  std::max({needed, 2 * body_.capacity(), kFirstCapacity}));
}

auto BodyDecoder::GrowthFor(std::size_t bytes) const -> std::size_t {
  return CapacityFor(bytes) - body_.capacity();
}

auto BodyDecoder::Append(std::string_view content) -> void {
  const auto capacity = CapacityFor(content.size());
  if (capacity > body_.capacity()) {
    // reserve() may double the capacity beyond what was asked for.
    std::string grown;
    grown.reserve(capacity);
    grown += body_;
    body_ = std::move(grown);
  }
  body_ += content;
}

}  // namespace baobab
