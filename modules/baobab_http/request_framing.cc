#include "baobab_http/request_framing.h"

#include "baobab_base/http_syntax.h"

namespace baobab {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

auto DecideFraming(std::string_view head) -> FramingDecision {
  if (!HasSoundLineEnds(head)) {
    return {{}, "a line of the head does not end with CR LF"};
  }
  auto line_end = head.find(kLineEnd);
  const auto request_line = head.substr(0, line_end);
  std::optional<std::string_view> encoding;
  std::optional<std::string_view> length;
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + kLineEnd.size());
    line_end = head.find(kLineEnd);
    const auto line = head.substr(0, line_end);
    if (line.empty()) {
      break;
    }
    const auto colon = line.find(':');
    if (line.front() == ' ' || line.front() == '\t') {
      return {{}, "a header field is folded"};
    }
    if (colon == std::string_view::npos || colon == 0 ||
        line.substr(0, colon).find_first_of(" \t") != std::string_view::npos) {
      return {{}, "a header field has no valid name"};
    }
    const auto name = line.substr(0, colon);
    const auto value = TrimBlanks(line.substr(colon + 1));
    if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
      if (encoding) {
        return {{}, "Transfer-Encoding is repeated"};
      }
      encoding = value;
    } else if (EqualsIgnoringCase(name, "Content-Length")) {
      if (length) {
        return {{}, "Content-Length is repeated"};
      }
      length = value;
    }
  }
  if (encoding) {
    if (length) {
      return {{}, "Transfer-Encoding and Content-Length are both present"};
    }
    if (!request_line.ends_with(" HTTP/1.1")) {
      return {{}, "Transfer-Encoding needs HTTP/1.1"};
    }
    if (!EqualsIgnoringCase(*encoding, "chunked")) {
      return {{}, "Transfer-Encoding is not chunked"};
    }
    return {{true, 0}, {}};
  }
  if (length) {
    const auto bytes = ParseDecimal(*length);
    if (!bytes) {
      return {{}, "Content-Length is not a number"};
    }
    return {{false, *bytes}, {}};
  }
  return {};
}

}  // namespace baobab
