#include "baobab_gateway/event_stream.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace baobab::gateway {
namespace {

/// Length of the longer of the two ends of an event.
constexpr std::size_t kMaxEndBytes = 4;

/// Returns the position after the blank line that ends the first event in
/// `text`, or npos if no event is complete. The end is searched from `from` on.
auto FindEventEnd(std::string_view text, std::size_t from) -> std::size_t {
  for (auto lf = text.find('\n', from); lf != std::string_view::npos;
       lf = text.find('\n', lf + 1)) {
    if (text.substr(lf).starts_with("\n\n")) {
      return lf + 2;
    }
    if (lf > 0 && text.substr(lf - 1).starts_with("\r\n\r\n")) {
      return lf + 3;
    }
  }
  return std::string_view::npos;
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
  for (auto end = FindEventEnd(rest, searched_); end != std::string_view::npos;
       end = FindEventEnd(rest, 0)) {
    const auto event = rest.substr(0, end);
    rest.remove_prefix(end);
    searched_ = 0;
    const auto id = ParseEventId(event);
    if (id && *id <= last_event_id_) {
      continue;
    }
    if (id) {
      last_event_id_ = *id;
    }
    complete += event;
  }
  partial_.erase(0, partial_.size() - rest.size());
  searched_ = partial_.size() - std::min(partial_.size(), kMaxEndBytes);
  return complete;
}

}  // namespace baobab::gateway
