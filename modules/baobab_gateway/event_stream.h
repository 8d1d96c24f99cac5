#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobab::gateway {

/// Splits a server-sent event stream into complete events.
///
/// Incomplete events are not passed on, so that another target can resume the
/// stream after the last complete event if the first target fails.
class EventStream {
 public:
  /// Expects events after the one with id `last_event_id`; -1: all events.
  explicit EventStream(std::int64_t last_event_id = -1)
      : last_event_id_(last_event_id) {}

  /// Appends received bytes and returns the events that they complete, as one
  /// string. Drops events whose id is not above the last one, because a target
  /// that resumes a stream may send them again.
  [[nodiscard]] auto Feed(std::string_view bytes) -> std::string;

  /// Discards an incomplete event. Called before another target resumes the
  /// stream.
  auto DiscardPartialEvent() -> void {
    partial_.clear();
    searched_ = 0;
  }

  /// Returns the id of the last complete event. Before the first one, returns
  /// the id that was passed to the constructor (-1: none).
  [[nodiscard]] auto last_event_id() const -> std::int64_t {
    return last_event_id_;
  }

  /// Returns true if part of an event has been received.
  [[nodiscard]] auto HasPartialEvent() const -> bool {
    return !partial_.empty();
  }
  /// Returns the size of that part in bytes.
  [[nodiscard]] auto partial_bytes() const -> std::size_t {
    return partial_.size();
  }

 private:
  std::string partial_;
  // Number of leading bytes of partial_ that contain no end of an event. They
  // are not searched again, so that the work for each byte is bounded.
  std::size_t searched_ = 0;
  std::int64_t last_event_id_;
};

}  // namespace baobab::gateway
