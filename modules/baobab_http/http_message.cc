#include "baobab_http/http_message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace baobab {

auto FindHeader(const std::vector<HttpHeader>& headers, std::string_view name)
    -> std::string_view {
  const auto found = std::find_if(
      headers.begin(), headers.end(), [name](const HttpHeader& header) {
        return boost::beast::iequals(header.name_, {name.data(), name.size()});
      });
  return found == headers.end() ? std::string_view() : found->value_;
}

}  // namespace baobab
