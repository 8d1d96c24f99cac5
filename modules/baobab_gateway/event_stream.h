#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace baobab::gateway {

/// Cuts a server-sent event stream into whole events, so that a caller never
/// receives a part of an event that its target did not finish.
class EventStream {
 public:
  /// Continues after the event with id `last`; -1: from the start.
  explicit EventStream(std::int64_t last_event_id = -1)
      : last_event_id_(last_event_id) {}

  /// Adds bytes of the target and returns the whole events in them that come
  /// after the last one. Events with lower ids, which a resumed target may
  /// repeat, are left out.
  [[nodiscard]] auto Feed(std::string_view bytes) -> std::string;

  /// Starts with the response of another target.
  auto DiscardPartialEvent() -> void { partial_.clear(); }

  /// Id of the last whole event; -1: none.
  [[nodiscard]] auto last_event_id() const -> std::int64_t {
    return last_event_id_;
  }

  /// Returns true if an event has begun and not ended.
  [[nodiscard]] auto HasPartialEvent() const -> bool {
    return !partial_.empty();
  }

 private:
  std::string partial_;
  std::int64_t last_event_id_;
};

}  // namespace baobab::gateway
