#include "baobab_targets/sse_parser.h"

#include <utility>

namespace baobab {

auto SseParser::Feed(std::string_view bytes,
                     const std::function<void(SseEvent)>& on_event) -> bool {
  for (const char c : bytes) {
    if (c == '\n' && std::exchange(after_return_, false)) {
      continue;  // the second half of "\r\n"
    }
    after_return_ = c == '\r';
    if (c == '\n' || c == '\r') {
      TakeLine(line_, on_event);
      line_.clear();
    } else {
      line_ += c;
    }
    if (line_.size() + event_.data_.size() > max_bytes_) {
      return false;
    }
  }
  return true;
}

auto SseParser::TakeLine(std::string_view line,
                         const std::function<void(SseEvent)>& on_event)
    -> void {
  if (line.empty()) {
    if (has_data_) {
      on_event(std::exchange(event_, SseEvent{}));
    }
    event_ = SseEvent{};
    has_data_ = false;
    return;
  }
  const auto colon = line.find(':');
  const auto name = line.substr(0, colon);
  auto value = colon == std::string_view::npos ? std::string_view()
                                               : line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "data") {
    if (has_data_) {
      event_.data_ += '\n';
    }
    event_.data_ += value;
    has_data_ = true;
  } else if (name == "id") {
    event_.id_ = value;
  } else if (name == "event") {
    event_.event_ = value;
  }
}

}  // namespace baobab
