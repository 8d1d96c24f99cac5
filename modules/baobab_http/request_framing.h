#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace baobab {

/// How the end of a request's body is found (RFC 9112, section 6).
struct RequestFraming {
  bool chunked_ = false;
  /// Announced bytes of a body that is not chunked; 0 without a body.
  std::uint64_t length_ = 0;
};

/// The framing of a request, or why its head must not be served.
struct FramingDecision {
  RequestFraming framing_;
  /// A sentence for the caller; empty if the head is sound.
  std::string_view fault_;
};

/// Decides the framing from the bytes of a whole head, from the request line to
/// the empty line.
///
/// A head that two recipients could read in different ways is a fault, since
/// its body could hide a request from one of them: a Transfer-Encoding other
/// than one final `chunked`, one beside a Content-Length or with HTTP/1.0, a
/// length that is repeated or not a plain number, folded lines, a carriage
/// return or a line feed alone, and a blank before a colon.
[[nodiscard]] auto DecideFraming(std::string_view head) -> FramingDecision;

}  // namespace baobab
