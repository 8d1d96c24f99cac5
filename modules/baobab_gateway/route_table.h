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
/// Routes are shared, so that a request keeps the route under which it was
/// accepted while the manifest changes.
class RouteTable {
 public:
  RouteTable() = default;

  /// Indexes the routes of `manifest`.
  explicit RouteTable(const Manifest& manifest);

  /// Returns the route with the longest prefix of `path` among those of `host`
  /// (any case, a port is ignored), or nullptr.
  [[nodiscard]] auto Find(std::string_view host, std::string_view path) const
      -> std::shared_ptr<const Route>;

 private:
  using Routes = std::vector<std::shared_ptr<const Route>>;
  std::unordered_map<std::string, Routes> by_host_;  // longest prefix first
};

/// Returns the service that a share `draw` (0 to 1) of a route's requests goes
/// to, by weight; an empty name if the route has none.
[[nodiscard]] auto PickService(const Route& route, double draw)
    -> const std::string&;

}  // namespace baobab::gateway
