#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// One header field.
struct HttpHeader {
  std::string name_;
  std::string value_;
};

/// Returns the first value of `name` (compared without case), or an empty view.
[[nodiscard]] auto FindHeader(const std::vector<HttpHeader>& headers,
                              std::string_view name) -> std::string_view;

/// One whole request of a caller.
struct HttpRequest {
  std::string method_;  ///< Upper case, for example "POST".
  std::string path_;    ///< Without the query.
  std::string query_;   ///< After '?', still percent-encoded.
  std::string target_;  ///< Path and query exactly as received.
  std::vector<HttpHeader> headers_;
  std::string body_;
  std::string caller_address_;  ///< IP address without port.

  /// Returns the value of header `name`, or an empty view.
  [[nodiscard]] auto Header(std::string_view name) const -> std::string_view {
    return FindHeader(headers_, name);
  }
};

/// One whole response, or the head of a streamed one.
struct HttpResponse {
  unsigned status_ = 200;
  std::string content_type_ = "application/json";
  std::vector<HttpHeader> headers_;
  std::string body_;
};

/// Number of one request within one HttpServer; never reused.
using ExchangeId = std::uint64_t;

}  // namespace baobab
