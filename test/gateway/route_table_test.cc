#include "masticrill/gateway/route_table.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

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

/// A table with one engine service and streams of the given ranks and latency targets in ms.
RouteTable StreamsOf(const std::vector<std::pair<std::uint32_t, int>>& streams, bool is_engine) {
  const ServiceId service("s");
  RouteTable table;
  table.services[service] = {service, 0, {}, is_engine, 1, {}};
  for (const auto& [rank, target_ms] : streams) {
    Route route;
    route.id = RouteId("r" + std::to_string(table.routes.size()));
    route.kind = RouteKind::kStream;
    route.rank = rank;
    route.latency_target = milliseconds(target_ms);
    route.targets = {{service, 1}};
    table.routes.emplace(route.id, route);
  }
  IndexRoutes(table);
  return table;
}

TEST_CASE("requests of a service are told apart where urgent ones stand beside patient ones") {
  const RouteTable table = StreamsOf({{0, 1000}, {1, 1000}, {2, 4000}}, true);
  const DeclaredService& service = *table.FindService(ServiceId("s"));
  REQUIRE(service.urgent);
  CHECK(service.urgent == UrgentRequests{0, milliseconds(1000)});
  CHECK(service.IsUrgent(table.routes.at(RouteId("r0"))));
  CHECK_FALSE(service.IsUrgent(table.routes.at(RouteId("r1"))));
  CHECK_FALSE(service.IsPatient(table.routes.at(RouteId("r1"))));
  CHECK(service.IsPatient(table.routes.at(RouteId("r2"))));
}

TEST_CASE("requests of a service are not told apart where none can wait for longer") {
  const std::vector<std::pair<std::uint32_t, int>> cases[] = {{},
                                                              {{0, 1000}},
                                                              {{0, 1500}, {1, 2000}},
                                                              {{0, 1000}, {1, 2000}},
                                                              {{0, 1500}, {1, 3000}},
                                                              {{0, 4000}, {1, 1000}},
                                                              {{1, 1000}, {1, 4000}}};
  for (const auto& streams : cases) {
    CHECK_FALSE(StreamsOf(streams, true).FindService(ServiceId("s"))->urgent);
  }
  CHECK_FALSE(StreamsOf({{0, 1000}, {1, 4000}}, false).FindService(ServiceId("s"))->urgent);
}

}  // namespace
}  // namespace masticrill::gateway
