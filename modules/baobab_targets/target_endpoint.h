#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobab {

/// IP address and port of a target.
struct TargetEndpoint {
  std::string host_;
  std::uint16_t port_ = 0;

  auto operator<=>(const TargetEndpoint&) const = default;

  /// Returns "host:port".
  [[nodiscard]] auto ToString() const -> std::string {
    return host_ + ":" + std::to_string(port_);
  }
};

/// Parses "host:port", for example "127.0.0.1:8080" or "[::1]:8080". Returns
/// nothing unless the host is an IP address and the port 1 to 65535 (or 0 if
/// `allow_zero`).
[[nodiscard]] auto ParseEndpoint(std::string_view text, bool allow_zero = false)
    -> std::optional<TargetEndpoint>;

}  // namespace baobab
