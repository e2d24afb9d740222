#include "platform/declaration.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace masticrill::platform {
namespace {

using Json = nlohmann::json;

Json Good() {
  return Json::parse(R"({
    "Version": 7,
    "Routes": [
      {"Name": "r1", "Host": "a.example", "PathPrefix": "/x/", "Kind": "streaming",
       "TimeoutMs": 25000, "TargetLatencyMs": 3000, "TargetGapMs": 1200, "Priority": 1,
       "Sizes": ["m0", "m1"], "MaxAttempts": 3, "Public": false, "Sticky": true, "Resumable": true,
       "Backends": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}]},
      {"Name": "r2", "Host": "a.example", "PathPrefix": "/y/", "Kind": "unsafe", "TimeoutMs": 1000,
       "Service": "s2", "MaxAttempts": 1}],
    "Services": [
      {"Name": "s1", "HealthPath": "/health", "MaxConnections": 390, "ColdStartS": 3.0,
       "ColdPerS": 12.0, "Engine": {"Slots": 64, "Stride": 5,
       "Models": [{"Name": "m0", "Cost": 0.014}, {"Name": "m1", "Cost": 0.14}]}},
      {"Name": "s2", "HealthPath": "/health", "MaxConnections": 130}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100, "HeaderTimeoutMs": 3000,
               "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "t1", "ApiKeys": ["k1", "k2"], "Priority": 1},
                {"Name": "t2", "ApiKeys": ["k3"]}],
    "NewMember": {"ignored": true}})");
}

/// The message of the error, or "" for a declaration that is read.
std::string FaultOf(const std::string& text) {
  return HandleErrors(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ReadDeclaration(text));
        return std::string();
      },
      [](const Error& error) { return error.message; });
}

gateway::RouteTable Read(const Json& json) {
  return HandleErrors([&] { return ReadDeclaration(json.dump()); },
                      [](const Error&) { return gateway::RouteTable(); });
}

TEST_CASE("a declaration is read into routes, services, limits and key owners") {
  const gateway::RouteTable table = Read(Good());
  CHECK(table.revision == 7);
  const gateway::Route* route = table.FindRoute("a.example", "/x/1");
  REQUIRE(route != nullptr);
  CHECK(route->kind == gateway::RouteKind::kStream);
  CHECK(route->Repeatable());
  CHECK(route->targets.size() == 2);
  CHECK(route->models.size() == 2);
  CHECK(route->gap_target == milliseconds(1200));
  const gateway::Route* plain = table.FindRoute("a.example", "/y/");
  REQUIRE(plain != nullptr);
  CHECK(plain->kind == gateway::RouteKind::kAtMostOnce);
  CHECK_FALSE(plain->Repeatable());
  CHECK(plain->latency_target == plain->timeout);
  const gateway::DeclaredService* engine = table.FindService(ServiceId("s1"));
  REQUIRE(engine != nullptr);
  CHECK(engine->is_engine);
  CHECK(engine->tokens_per_event == 5);
  CHECK(engine->RelativeCost(ModelId("m0")) == doctest::Approx(0.1));
  CHECK(engine->cold_start.duration == seconds(3));
  CHECK(table.limits.max_body_bytes == 100);
  CHECK(table.requires_keys);
  CHECK(table.FindKey("k2")->team == TeamId("t1"));
  CHECK(table.FindKey("k2")->rank == 1U);
  CHECK_FALSE(table.FindKey("k3")->rank);
  CHECK(table.FindKey("k4") == nullptr);
}

TEST_CASE("without teams no key is needed") {
  Json json = Good();
  json.erase("Tenants");
  CHECK_FALSE(Read(json).requires_keys);
}

TEST_CASE("an invalid declaration is refused whole, with its first fault") {
  const auto changed = [](const auto& change) {
    Json json = Good();
    change(json);
    return json.dump();
  };
  const std::vector<std::pair<std::string, std::string>> cases = {
      {Good().dump().substr(0, 300), "JSON"},
      {"[]", "object"},
      {"", "JSON"},
      {changed([](Json& json) { json["Routes"][1]["Service"] = "none"; }), "none"},
      {changed([](Json& json) { json["Routes"][1]["PathPrefix"] = "/x/"; }), "another route"},
      {changed([](Json& json) {
         json["Routes"][0]["Backends"][0]["Weight"] = 0;
         json["Routes"][0]["Backends"][1]["Weight"] = 0;
       }),
       "add up to 0"},
      {changed([](Json& json) { json["Routes"][0]["TimeoutMs"] = 0; }), "TimeoutMs"},
      {changed([](Json& json) { json["Routes"][0].erase("TimeoutMs"); }), "TimeoutMs"},
      {changed([](Json& json) { json["Routes"][0]["TimeoutMs"] = "x"; }), "TimeoutMs"},
      {changed([](Json& json) { json["Routes"][0]["Kind"] = "other"; }), "Kind"},
      {changed([](Json& json) { json["Routes"][0]["PathPrefix"] = "x/"; }), "PathPrefix"},
      {changed([](Json& json) { json["Tenants"][1]["ApiKeys"][0] = "k1"; }), "share a key"},
      {changed([](Json& json) { json.erase("Version"); }), "Version"},
      {changed([](Json& json) { json["Version"] = -1; }), "Version"},
      {changed([](Json& json) { json.erase("Routes"); }), "Routes"},
      {changed([](Json& json) { json["Routes"] = Json::object(); }), "Routes"},
      {changed([](Json& json) { json["Services"][0].erase("Name"); }), "Name"},
  };
  for (const auto& one : cases) {
    const auto& text = one.first;
    const auto& fault = one.second;
    CAPTURE(fault);
    CHECK(FaultOf(text).find(fault) != std::string::npos);
  }
  CHECK(FaultOf(Good().dump()).empty());
}

TEST_CASE("what cannot be read as JSON is refused whole") {
  const std::string good = Good().dump();
  const std::string deep(100'000, '[');
  const std::vector<std::string> cases = {good + "x",
                                          good.substr(0, good.size() - 1),
                                          "{\"Version\":1e999,\"Routes\":[]}",
                                          "{\"Version\":1,\"Routes\":[],\"Other\":\"\xff\"}",
                                          "{\"Version\":1,\"Routes\":[],\"Other\":" + deep,
                                          std::string("\0", 1)};
  for (const std::string& bad : cases) {
    CHECK(FaultOf(bad).find("JSON") != std::string::npos);
  }
}

}  // namespace
}  // namespace masticrill::platform
