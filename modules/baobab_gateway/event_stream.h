#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace baobab::gateway {

/// Splits a server-sent event stream into complete events.
///
/// A caller never receives part of an event that the target did not finish, so
/// that another target can resume the stream after the last complete event.
class EventStream {
 public:
  /// Starts after the event with id `last_event_id`; -1: with the first event.
  explicit EventStream(std::int64_t last_event_id = -1)
      : last_event_id_(last_event_id) {}

  /// Appends received bytes and returns the events that they complete, as one
  /// string. Drops events whose id is not above the last one: a target that
  /// resumes a stream may repeat them.
  [[nodiscard]] auto Feed(std::string_view bytes) -> std::string;

  /// Discards an incomplete event before the response of another target.
  auto DiscardPartialEvent() -> void { partial_.clear(); }

  /// Returns the id of the last complete event, at first the id given to the
  /// constructor; -1: none.
  [[nodiscard]] auto last_event_id() const -> std::int64_t {
    return last_event_id_;
  }

  /// Returns true if an event has begun and is not complete.
  [[nodiscard]] auto HasPartialEvent() const -> bool {
    return !partial_.empty();
  }

 private:
  std::string partial_;
  std::int64_t last_event_id_;
};

}  // namespace baobab::gateway
