#include "baobab_gateway/event_stream.h"

#include <charconv>
#include <optional>

namespace baobab::gateway {
namespace {

/// Returns the position after the blank line that ends the first event in
/// `text`, or npos if no event is complete.
auto FindEventEnd(std::string_view text) -> std::size_t {
  const auto lf_end = text.find("\n\n");
  const auto crlf_end = text.find("\r\n\r\n");
  if (crlf_end < lf_end) {
    return crlf_end + 4;
  }
  return lf_end == std::string_view::npos ? lf_end : lf_end + 2;
}

/// Returns the value of the first "id:" line of `event`, or nullopt if there is
/// none or it does not begin with a number.
auto ParseEventId(std::string_view event) -> std::optional<std::int64_t> {
  while (!event.empty()) {
    const auto line_end = event.find('\n');
    auto line = event.substr(0, line_end);
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      std::int64_t id = 0;
      const auto [stop, error] =
          std::from_chars(line.data(), line.data() + line.size(), id);
      return error == std::errc() ? std::optional(id) : std::nullopt;
    }
    event.remove_prefix(line_end == std::string_view::npos ? event.size()
                                                           : line_end + 1);
  }
  return std::nullopt;
}

}  // namespace

auto EventStream::Feed(std::string_view bytes) -> std::string {
  std::string complete;
  partial_ += bytes;
  std::string_view rest = partial_;
  for (auto end = FindEventEnd(rest); end != std::string_view::npos;
       end = FindEventEnd(rest)) {
    const auto event = rest.substr(0, end);
    rest.remove_prefix(end);
    const auto id = ParseEventId(event);
    if (id && *id <= last_event_id_) {
      continue;
    }
    if (id) {
      last_event_id_ = *id;
    }
    complete += event;
  }
  partial_ = std::string(rest);
  return complete;
}

}  // namespace baobab::gateway
