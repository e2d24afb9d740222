#include "masticrill/gateway/route_table.h"

#include <doctest/doctest.h>

namespace masticrill::gateway {
namespace {

RouteTable TableOf(const std::vector<std::pair<std::string, std::string>>& places) {
  RouteTable table;
  int next = 0;
  for (const auto& [host, prefix] : places) {
    Route route;
    route.id = RouteId("r" + std::to_string(next++));
    route.host = host;
    route.path_prefix = prefix;
    table.routes.emplace(route.id, route);
  }
  IndexRoutes(table);
  return table;
}

TEST_CASE("the longest prefix of the host's routes wins") {
  const RouteTable table = TableOf(
      {{"a.example", "/"}, {"a.example", "/x/"}, {"a.example", "/x/y/"}, {"b.example", "/z/"}});
  CHECK(table.FindRoute("a.example", "/x/y/1")->id == RouteId("r2"));
  CHECK(table.FindRoute("a.example", "/x/1")->id == RouteId("r1"));
  CHECK(table.FindRoute("a.example", "/x")->id == RouteId("r0"));
  CHECK(table.FindRoute("b.example", "/z/")->id == RouteId("r3"));
  CHECK(table.FindRoute("b.example", "/x/") == nullptr);
  CHECK(table.FindRoute("c.example", "/") == nullptr);
}

TEST_CASE("a route is found among many of one host, by its own prefix and no other's") {
  constexpr int kRoutes = 10'000;
  std::vector<std::pair<std::string, std::string>> places;
  for (int index = 0; index < kRoutes; ++index) {
    places.emplace_back("a.example", "/p" + std::to_string(index) + "/");
  }
  const RouteTable table = TableOf(places);
  for (int index = 0; index < kRoutes; ++index) {
    const std::string prefix = "/p" + std::to_string(index);
    const Route* const route = table.FindRoute("a.example", prefix + "/x/y");
    REQUIRE(route != nullptr);
    CHECK(route->path_prefix == prefix + "/");
    CHECK(table.FindRoute("a.example", prefix) == nullptr);
  }
  CHECK(table.FindRoute("a.example", "") == nullptr);
  CHECK(table.FindRoute("a.example", "p1/") == nullptr);
}

TEST_CASE("a host matches regardless of letter case and port") {
  const RouteTable table = TableOf({{"A.example", "/"}});
  CHECK(table.FindRoute("a.EXAMPLE:8080", "/") != nullptr);
}

}  // namespace
}  // namespace masticrill::gateway
