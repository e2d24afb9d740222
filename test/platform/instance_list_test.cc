#include "platform/instance_list.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/raw_upstream.h"

namespace masticrill::platform {
namespace {

using Json = nlohmann::json;

Json GoodEntry(const std::string& id = "i-1") {
  return {{"Id", id},         {"Service", "s"},       {"Address", "10.0.0.1:8080"},
          {"Zone", "north"},  {"Version", "v1"},      {"Slots", 64},
          {"State", "ready"}, {"ColdRemainingMs", 5}, {"born", 1790000000000}};
}

InstancePage Parse(const Json& entries, const Json& next = nullptr) {
  const Json page = {{"Instances", entries}, {"Next", next}};
  return HandleErrors([&] { return ParseInstancePage(page.dump()); },
                      [](const Error&) { return InstancePage(); });
}

TEST_CASE("an entry is read into an upstream") {
  const InstancePage page = Parse(Json::array({GoodEntry()}), "p-50");
  REQUIRE(page.upstreams.size() == 1);
  const gateway::ListedUpstream& upstream = page.upstreams[0];
  CHECK(upstream.id == UpstreamId("i-1"));
  CHECK(upstream.failure_domain == FailureDomainId("north"));
  CHECK_FALSE(upstream.leaving);
  CHECK(upstream.cold_left == milliseconds(5));
  CHECK(upstream.started_at == 1790000000000);
  CHECK(page.next_page == "p-50");
  Json leaving = GoodEntry();
  leaving["State"] = "draining";
  CHECK(Parse(Json::array({leaving})).upstreams.at(0).leaving);
}

TEST_CASE("an entry of another writer names no upstream, and the others hold") {
  std::vector<Json> unusable = {Json(), Json(5), Json("text"), Json::array()};
  for (const char* field : {"Id", "Service", "Address", "Zone", "Version", "State"}) {
    for (const Json& value : {Json(), Json(5), Json(""), Json::object()}) {
      unusable.push_back(GoodEntry());
      unusable.back()[field] = value;
    }
    unusable.push_back(GoodEntry());
    unusable.back().erase(field);
  }
  unusable.push_back(GoodEntry());
  unusable.back()["State"] = "resting";
  for (const Json& value : {Json("x"), Json(-1), Json::array()}) {
    unusable.push_back(GoodEntry());
    unusable.back()["Slots"] = value;
    unusable.push_back(GoodEntry());
    unusable.back()["born"] = value;
  }
  for (const Json& entry : unusable) {
    CAPTURE(entry.dump());
    const InstancePage page = Parse(Json::array({GoodEntry("a"), entry, GoodEntry("b")}));
    CHECK(page.upstreams.size() == 2);
    CHECK(page.unusable == 1);
  }
}

TEST_CASE("all pages are read, and a page that is none fails the reading") {
  const auto respond = [](const fakes::RawCall& call, const std::string& body) {
    call.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\nConnection: close\r\n\r\n" + body);
  };
  fakes::RawUpstream list([&](const fakes::RawCall& call) {
    const bool second = call.Has("PageToken=p%26 ");
    const Json page = {{"Instances", Json::array({GoodEntry(second ? "b" : "a")})},
                       {"Next", second ? Json() : Json("p&")}};
    respond(call, page.dump());
  });
  InstanceListClient client(list.Address());
  const gateway::UpstreamList all = HandleErrors(
      [&] { return client.Read(); }, [](const Error&) { return gateway::UpstreamList(); });
  REQUIRE(all.size() == 2);
  CHECK(all[1].id == UpstreamId("b"));

  for (const std::string body : {"not json", "[]", "{\"Instances\": 5}"}) {
    fakes::RawUpstream broken([&](const fakes::RawCall& call) { respond(call, body); });
    InstanceListClient other(broken.Address());
    const bool failed = HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(other.Read());
          return false;
        },
        [](const Error&) { return true; });
    CHECK(failed);
  }
}

}  // namespace
}  // namespace masticrill::platform
