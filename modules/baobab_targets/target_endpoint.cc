#include "baobab_targets/target_endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace baobab {

auto ParseEndpoint(std::string_view text, bool allow_zero)
    -> std::optional<TargetEndpoint> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto host = text.substr(0, colon);
  const auto digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(host), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end ||
      (port == 0 && !allow_zero)) {
    return std::nullopt;
  }
  return TargetEndpoint{std::string(host), port};
}

}  // namespace baobab
