#include "masticrill/gateway/route_table_review.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace masticrill::gateway {
namespace {

const ServiceId kEngines("engines");
const ServiceId kPlain("plain");
const RouteId kStream("stream");
const RouteId kOnce("once");

RouteTable Sound() {
  RouteTable table;
  table.services[kEngines] = {kEngines, 0, {seconds(3), 12}, true, 5, {{ModelId("m"), 1}}};
  table.services[kPlain] = {kPlain, 0, {}, false, 1, {}};
  Route stream;
  stream.id = kStream;
  stream.host = "a.example";
  stream.path_prefix = "/s/";
  stream.kind = RouteKind::kStream;
  stream.timeout = seconds(20);
  stream.latency_target = seconds(2);
  stream.gap_target = seconds(1);
  stream.targets = {{kEngines, 1}};
  stream.max_attempts = 3;
  stream.resumable = true;
  stream.models = {ModelId("m")};
  table.routes[kStream] = stream;
  Route once;
  once.id = kOnce;
  once.host = "a.example";
  once.path_prefix = "/o/";
  once.timeout = seconds(1);
  once.latency_target = milliseconds(150);
  once.targets = {{kPlain, 1}};
  table.routes[kOnce] = once;
  table.key_owners["k1"] = {TeamId("t1"), std::nullopt};
  table.requires_keys = true;
  IndexRoutes(table);
  return table;
}

std::string Text(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += finding.place + ": " + finding.message + "\n";
  }
  return text;
}

TEST_CASE("a sound table has no findings") {
  CHECK(Text(ReviewTable(Sound(), {std::size_t{32} << 20U})).empty());
}

TEST_CASE("entries that can never match and limits that contradict each other are all found") {
  struct Case {
    std::function<void(RouteTable&)> change;
    std::string place;
    std::string message;
  };
  const Case cases[] = {
      {[](RouteTable& table) {
         table.routes[kOnce].targets.push_back({kEngines, 0});
       },
       "route once", "weight 0"},
      {[](RouteTable& table) {
         table.routes[kOnce].targets.push_back({kPlain, 2});
       },
       "route once", "twice"},
      {[](RouteTable& table) { table.routes[kOnce].latency_target = seconds(2); }, "route once",
       "over the timeout"},
      {[](RouteTable& table) { table.routes[kStream].gap_target = seconds(30); }, "route stream",
       "pauses"},
      {[](RouteTable& table) { table.routes[kOnce].max_attempts = 3; }, "route once",
       "at most once"},
      {[](RouteTable& table) { table.routes[kOnce].resumable = true; }, "route once", "no streams"},
      {[](RouteTable& table) { table.routes[kOnce].rank = 12; }, "route once", "as 9"},
      {[](RouteTable& table) { table.routes[kOnce].models = {ModelId("m")}; }, "route once",
       "no model engines"},
      {[](RouteTable& table) { table.routes[kStream].models.push_back(ModelId("n")); },
       "route stream", "no cost"},
      {[](RouteTable& table) { table.routes.erase(kOnce); }, "service plain", "No route"},
      {[](RouteTable& table) { table.services[kEngines].cold_start.requests_per_second = 0; },
       "service engines", "without a rate"},
      {[](RouteTable& table) { table.key_owners.clear(); }, "teams", "no team has one"},
      {[](RouteTable& table) { table.limits.header_timeout = seconds(60); }, "limits",
       "than a connection may be idle"},
      {[](RouteTable& table) { table.limits.max_body_bytes = std::size_t{30} << 20U; }, "limits",
       "always refused"},
  };
  for (const Case& one : cases) {
    CAPTURE(one.message);
    RouteTable table = Sound();
    one.change(table);
    const std::string text = Text(ReviewTable(table, {std::size_t{32} << 20U}));
    CHECK(text.find(one.place + ": ") != std::string::npos);
    CHECK(text.find(one.message) != std::string::npos);
  }
}

TEST_CASE("what differs from the version in force is told by entry, without keys") {
  RouteTable next = Sound();
  next.routes[kOnce].timeout = seconds(3);
  next.routes.erase(kStream);
  next.services[ServiceId("new")] = {ServiceId("new"), 0, {}, false, 1, {}};
  next.key_owners["k2"] = {TeamId("t1"), std::nullopt};
  next.limits.max_body_bytes = 100;
  const std::vector<TableChange> changes = CompareTables(Sound(), next);
  const std::vector<TableChange> expected = {
      {"limits, body bytes", std::to_string(CallerLimits().max_body_bytes), "100"},
      {"route once, timeout", "1000 ms", "3000 ms"},
      {"route stream", "there", ""},
      {"service new", "", "there"},
      {"team t1, keys", "1", "2"},
  };
  CHECK(changes == expected);
  CHECK(CompareTables(Sound(), Sound()).empty());
  RouteTable replaced = Sound();
  replaced.key_owners.erase("k1");
  replaced.key_owners["k3"] = {TeamId("t1"), std::nullopt};
  CHECK(CompareTables(Sound(), replaced) ==
        std::vector<TableChange>{{"team t1, keys", "1", "1, some replaced"}});
}

}  // namespace
}  // namespace masticrill::gateway
