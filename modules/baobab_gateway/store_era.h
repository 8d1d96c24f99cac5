#pragma once

#include <charconv>
#include <cstdint>
#include <string_view>

namespace baobab::gateway {

/// Tracks the era of the store, which each of its responses states.
///
/// The store may return from a copy that is some seconds old. What was written
/// since the copy is gone, and its revisions and lease ids are given out again.
/// The era rises by one each time; revisions compare only within one era.
class StoreEra {
 public:
  /// Largest era that counts.
  static constexpr std::int64_t kMax = (std::int64_t{1} << 17) - 1;
  /// Largest number of returns from a copy between two responses to this
  /// process. A larger step is an error in the response.
  static constexpr std::int64_t kMaxStep = 1000;

  /// What a response says of the era.
  enum class Observation : std::uint8_t {
    kKnown,    ///< It is of the known era, or states none.
    kLater,    ///< It is the first one of a later era, which is known now.
    kEarlier,  ///< It is of an earlier era: its content may be gone.
    kInvalid,  ///< It states no era that can be; the known one stands.
  };

  /// Handles a response that states the era `text`; empty: it states none.
  auto Observe(std::string_view text) -> Observation {
    if (text.empty()) {
      return Observation::kKnown;
    }
    std::int64_t era = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, era);
    if (parsed.ec != std::errc{} || parsed.ptr != end || era < 0 ||
        era > kMax || (era_ != 0 && era - era_ > kMaxStep)) {
      return Observation::kInvalid;
    }
    if (era < era_) {
      return Observation::kEarlier;
    }
    if (era == era_) {
      return Observation::kKnown;
    }
    era_ = era;
    return Observation::kLater;
  }

  /// Returns the last known era; 0 if no response has stated one.
  [[nodiscard]] auto value() const -> std::int64_t { return era_; }

 private:
  std::int64_t era_ = 0;
};

}  // namespace baobab::gateway
