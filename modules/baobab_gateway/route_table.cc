#include "baobab_gateway/route_table.h"

#include <algorithm>
#include <cctype>

namespace baobab::gateway {
namespace {

auto NormalizeHost(std::string_view host) -> std::string {
  std::string result(host.substr(0, host.find(':')));
  std::transform(
      result.begin(), result.end(), result.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return result;
}

}  // namespace

RouteTable::RouteTable(const Manifest& manifest) {
  for (const auto& route : manifest.routes_) {
    routes_by_host_[NormalizeHost(route.host_)].push_back(
        std::make_shared<Route>(route));
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const auto& left, const auto& right) {
                       return left->prefix_.size() > right->prefix_.size();
                     });
  }
}

auto RouteTable::Find(std::string_view host, std::string_view path) const
    -> std::shared_ptr<const Route> {
  const auto found = routes_by_host_.find(NormalizeHost(host));
  if (found == routes_by_host_.end()) {
    return nullptr;
  }
  for (const auto& route : found->second) {
    if (path.starts_with(route->prefix_)) {
      return route;
    }
  }
  return nullptr;
}

auto PickService(const Route& route, double draw) -> const std::string& {
  static const std::string kNone;
  double total = 0;
  for (const auto& weighted : route.services_) {
    total += weighted.weight_;
  }
  double remaining = draw * total;
  for (const auto& weighted : route.services_) {
    remaining -= weighted.weight_;
    if (remaining < 0) {
      return weighted.service_;
    }
  }
  return route.services_.empty() ? kNone : route.services_.back().service_;
}

}  // namespace baobab::gateway
