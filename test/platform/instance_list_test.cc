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

// Guards against one odd entry that ends the processes which read the list, or stops them from
// following it.
TEST_CASE("an entry that cannot be read or used is left out alone") {
  const std::string good = GoodEntry().dump();
  const auto with = [&](const std::string& member, const std::string& value) {
    const std::size_t begin = good.find("\"" + member + "\":") + member.size() + 3;
    return good.substr(0, begin) + value + good.substr(good.find_first_of(",}", begin));
  };
  const std::string deep(200'000, '[');
  const std::string closed(200'000, ']');
  std::vector<std::string> odd = {deep + closed,
                                  "{\"Id\":" + deep + closed + "}",
                                  "{\"Id\":\"\xff\xfe\"}",
                                  "{\"Id\":\"a\nb\"}",
                                  "{\"Id\":}",
                                  "nul"};
  for (const char* member : {"Slots", "ColdRemainingMs", "born"}) {
    for (const char* value :
         {"1e999", "1e300", "18446744073709551616", "99999999999999999999999", "-1", "1e19"}) {
      odd.push_back(with(member, value));
    }
  }
  odd.push_back(with("Slots", "4294967296"));
  for (const char* address :
       {"10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1",
        "10.0.0.1:", ":8080", "10.0.0.999:8080", "name:8080", "10.0.0.1:8080x", "10.0.0.1: 80"}) {
    odd.push_back(with("Address", "\"" + std::string(address) + "\""));
  }
  for (const std::string& entry : odd) {
    CAPTURE(entry.substr(0, 80));
    const std::string page = "{\"Other\":[{}],\"Instances\":[" + GoodEntry("i-1").dump() + ", " +
                             entry + " ," + GoodEntry("i-2").dump() + "],\"Next\":\"p-2\"}";
    const InstancePage read = HandleErrors([&] { return ParseInstancePage(page); },
                                           [](const Error&) { return InstancePage(); });
    CHECK(read.upstreams.size() == 2);
    CHECK(read.unusable == 1);
    CHECK(read.next_page == "p-2");
  }
}

TEST_CASE("a page that is not whole is no list") {
  const std::string page = R"({"Instances":[)" + GoodEntry().dump() + R"(],"Next":null})";
  for (std::size_t size = 0; size < page.size(); ++size) {
    const bool refused = HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(ParseInstancePage(page.substr(0, size)));
          return false;
        },
        [](const Error&) { return true; });
    CHECK(refused);
  }
  CHECK(Parse(Json::array()).upstreams.empty());
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
