#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace baobab {

/// One server-sent event.
struct SseEvent {
  std::string id_;
  std::string event_;
  std::string data_;  ///< Lines joined by '\n'.
};

/// Incremental parser of a server-sent event stream (HTML standard, section
/// 9.2.6) with bounded memory.
class SseParser {
 public:
  /// An event longer than `max_bytes` is an error.
  explicit SseParser(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Consumes `bytes` and passes each complete event on. Returns false once an
  /// event exceeds the bound.
  [[nodiscard]] auto Feed(std::string_view bytes,
                          const std::function<void(SseEvent)>& on_event)
      -> bool;

 private:
  auto TakeLine(std::string_view line,
                const std::function<void(SseEvent)>& on_event) -> void;

  std::size_t max_bytes_;
  std::string line_;
  SseEvent event_;
  bool has_data_ = false;
  bool after_return_ = false;
};

}  // namespace baobab
