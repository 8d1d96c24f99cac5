#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "baobab_gateway/manifest.h"

namespace baobab::gateway {

/// Finds the route of a request by host and longest path prefix.
///
/// Routes are shared pointers, so that a request keeps its route when the
/// manifest changes.
class RouteTable {
 public:
  RouteTable() = default;

  /// Copies and indexes the routes of `manifest`.
  explicit RouteTable(const Manifest& manifest);

  /// Returns the route of `host` with the longest prefix of `path`, or nullptr
  /// if none matches. The comparison of hosts ignores case and port.
  [[nodiscard]] auto Find(std::string_view host, std::string_view path) const
      -> std::shared_ptr<const Route>;

 private:
  using Routes = std::vector<std::shared_ptr<const Route>>;
  std::unordered_map<std::string, Routes>
      routes_by_host_;  // longest prefixes first
};

/// Returns a service of `route`, selected by weight. `draw` is a random number
/// from 0 to 1. Returns an empty name if the route has no services.
[[nodiscard]] auto PickService(const Route& route, double draw)
    -> const std::string&;

}  // namespace baobab::gateway
