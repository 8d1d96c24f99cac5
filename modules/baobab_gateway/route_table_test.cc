#include "baobab_gateway/route_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace baobab::gateway {
namespace {

auto MakeManifest() -> Manifest {
  Manifest manifest;
  for (const auto& [name, host, prefix] :
       {std::tuple("all", "a.example", "/"),
        std::tuple("outer", "a.example", "/x/"),
        std::tuple("inner", "a.example", "/x/y/"),
        std::tuple("other", "b.example", "/x/")}) {
    Route route;
    route.name_ = name;
    route.host_ = host;
    route.prefix_ = prefix;
    manifest.routes_.push_back(route);
  }
  return manifest;
}

// Guards against selecting a route with a shorter prefix than the longest
// match, or a route of another host.
TEST_CASE("The longest prefix of the host selects the route", "[gateway]") {
  const RouteTable table(MakeManifest());
  const auto [host, path, name] =
      GENERATE(Catch::Generators::table<std::string, std::string, std::string>({
          {"a.example", "/x/y/z", "inner"},
          {"a.example", "/x/yz", "outer"},
          {"a.example", "/x", "all"},
          {"A.Example:8080", "/x/y/", "inner"},
          {"b.example", "/x/1", "other"},
          {"b.example", "/", ""},
          {"c.example", "/x/", ""},
          {"", "/", ""},
      }));
  const auto route = table.Find(host, path);
  CHECK((route ? route->name_ : "") == name);
}

TEST_CASE("Requests are split by weight", "[gateway]") {
  Route route;
  route.services_ = {{"a", 90}, {"b", 10}};
  const auto [draw, service] =
      GENERATE(Catch::Generators::table<double, std::string>(
          {{0.0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}, {1.0, "b"}}));
  CHECK(PickService(route, draw) == service);
  CHECK(PickService(Route(), draw).empty());
}

}  // namespace
}  // namespace baobab::gateway
