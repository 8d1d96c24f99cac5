#include "baobab_gateway/event_stream.h"

#include <charconv>
#include <optional>

namespace baobab::gateway {
namespace {

/// Returns the end of the first event in `text`, after its blank line.
auto EventEnd(std::string_view text) -> std::size_t {
  const auto plain = text.find("\n\n");
  const auto with_return = text.find("\r\n\r\n");
  if (with_return < plain) {
    return with_return + 4;
  }
  return plain == std::string_view::npos ? plain : plain + 2;
}

auto EventId(std::string_view event) -> std::optional<std::int64_t> {
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

auto EventStream::Take(std::string_view bytes) -> std::string {
  std::string whole;
  partial_ += bytes;
  std::string_view rest = partial_;
  for (auto end = EventEnd(rest); end != std::string_view::npos;
       end = EventEnd(rest)) {
    const auto event = rest.substr(0, end);
    rest.remove_prefix(end);
    const auto id = EventId(event);
    if (id && *id <= last_) {
      continue;
    }
    if (id) {
      last_ = *id;
    }
    whole += event;
  }
  partial_ = std::string(rest);
  return whole;
}

}  // namespace baobab::gateway
