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
/// Routes are shared pointers: a request keeps the route under which it was
/// accepted when the manifest changes.
class RouteTable {
 public:
  RouteTable() = default;

  /// Indexes the routes of `manifest`.
  explicit RouteTable(const Manifest& manifest);

  /// Returns the route of `host` with the longest prefix of `path`, or nullptr
  /// if none matches. `host` is compared without case and without port.
  [[nodiscard]] auto Find(std::string_view host, std::string_view path) const
      -> std::shared_ptr<const Route>;

 private:
  using Routes = std::vector<std::shared_ptr<const Route>>;
  std::unordered_map<std::string, Routes>
      routes_by_host_;  // longest prefixes first
};

/// Picks a service of `route` by weight. `draw` is a random number from 0 to 1.
/// Returns an empty name if the route has no services.
[[nodiscard]] auto PickService(const Route& route, double draw)
    -> const std::string&;

}  // namespace baobab::gateway
