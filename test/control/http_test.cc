#include <doctest/doctest.h>

#include "fakes/control_cluster.h"
#include "masticrill/config/permission.h"

namespace masticrill::control {
namespace {

constexpr const char* kReader = "reader-key";

struct HttpCase {
  const char* name;
  net::HttpCall call;
  int status;
  const char* body_part;
};

net::HttpCall Without(net::HttpCall call, const std::string& header) {
  std::erase_if(call.headers, [&](const net::HeaderField& field) { return field.name == header; });
  return call;
}

net::HttpCall With(net::HttpCall call, const std::string& header, const std::string& value) {
  call = Without(std::move(call), header);
  call.headers.push_back({header, value});
  return call;
}

net::HttpCall Post(const std::string& path, std::uint64_t number, const std::string& id,
                   const std::string& body) {
  net::HttpCall call = PatchCall(number, id, body);
  call.method = "POST";
  call.path = path;
  return call;
}

/// A patch that adds an operator who may only read.
std::string ReaderPatch() {
  return R"({"operators":{"reader":{"role":"read","salt":"5a5a5a5a","hash":")" +
         config::HashKey("5a5a5a5a", kReader).hash + R"("}}})";
}

std::vector<HttpCase> Cases() {
  const std::string patch = TeamPatch("x");
  return {
      {"no key", Without(GetCall("/v1/config"), "Authorization"), 401, "unauthenticated"},
      {"unknown key", GetCall("/v1/config", "guess"), 401, "Bearer"},
      {"the bootstrap key once operators exist", GetCall("/v1/config", kBootstrapKey), 401,
       "unauthenticated"},
      {"a reader reads", GetCall("/v1/config", kReader), 200, "teams"},
      {"a reader may not patch", PatchCall(2, "r-1", patch, kReader), 403, "may only read"},
      {"a reader may not change members",
       With(Post("/v1/members", 2, "r-2", "{}"), "Authorization", std::string("Bearer ") + kReader),
       403, "may only read"},
      {"If-Match is missing", Without(PatchCall(2, "a-1", patch), "If-Match"), 428, "If-Match"},
      {"If-Match has no quotation marks", With(PatchCall(2, "a-2", patch), "If-Match", "2"), 400,
       "quotation marks"},
      {"If-Match is a star", With(PatchCall(2, "a-3", patch), "If-Match", "*"), 400, "If-Match"},
      {"Idempotency-Key is missing", Without(PatchCall(2, "a-4", patch), "Idempotency-Key"), 400,
       "Idempotency-Key"},
      {"the body is no JSON", PatchCall(2, "a-5", "{\"teams\":"), 400, "JSON"},
      {"the number is stale", PatchCall(1, "a-6", patch), 412, "\"number\":2"},
      {"the number is in the future", PatchCall(7, "a-7", patch), 412, "\"number\":2"},
      {"an unknown member of the document", PatchCall(2, "a-8", R"({"temas":{}})"), 422, "temas"},
      {"a reference to an unknown model",
       PatchCall(2, "a-9", R"({"teams":{"x":{"models":{"nix":[]}}}})"), 422, "nix"},
      {"a rollback without a number", Post("/v1/config/rollback", 2, "b-1", "{}"), 400, "to"},
      {"a rollback to a number that does not exist",
       Post("/v1/config/rollback", 2, "b-2", R"({"to":9})"), 422, "number"},
      {"members: no action", Post("/v1/members", 2, "c-1", R"({"id":"c1"})"), 400, "action"},
      {"members: an unknown node",
       Post("/v1/members", 2, "c-2", R"({"action":"remove","id":"c7"})"), 404, "c7"},
      {"an unknown path", GetCall("/v1/confg"), 404, "no such path"},
      {"a method that the path does not support", Post("/v1/status", 2, "d-1", "{}"), 405,
       "method"},
      {"an unknown request", GetCall("/v1/requests/none"), 404, "request"},
      {"records without the parameter after", GetCall("/v1/ledger/records"), 400, "after"},
      {"records", GetCall("/v1/ledger/records?after=0"), 200, "\"records\":[]"},
      {"ledger", GetCall("/v1/ledger"), 200, "\"intact\":true"},
      {"history", GetCall("/v1/config/history"), 200, "\"author\":\"bootstrap\""},
      {"history by a parameter", GetCall("/v1/config?history=1"), 200, "for the audit"},
      {"healthz", GetCall("/healthz", ""), 200, "ok"},
      {"readyz", GetCall("/readyz", ""), 200, "ok"},
      {"metrics", GetCall("/metrics", ""), 200, "masticrill_control_refusals_total"},
  };
}

TEST_CASE("the operators' interface answers each case as documented") {
  ControlCluster cluster(1);
  cluster.StartAll();
  REQUIRE(WaitUntil([&] { return cluster.Call(0, GetCall("/v1/config")).status == 200; }));
  const net::HttpAnswer added = cluster.Call(
      0, With(PatchCall(1, "p-reader", ReaderPatch()), "X-Change-Reason", "for the audit"));
  REQUIRE_MESSAGE(added.status == 200, added.body);
  for (const HttpCase& row : Cases()) {
    CAPTURE(row.name);
    const net::HttpAnswer answer = cluster.Call(0, row.call);
    CAPTURE(answer.body);
    CHECK(answer.status == row.status);
    CHECK(answer.body.find(row.body_part) != std::string::npos);
  }
  CHECK(HeaderOf(cluster.Call(0, GetCall("/v1/config")), "ETag") == "\"2\"");
}

TEST_CASE("the metrics tell the members of the group and the voters that the leader hears") {
  ControlCluster cluster(3);
  cluster.StartAll();
  const auto has = [&](std::size_t index, const std::string& line) {
    return cluster.Call(index, GetCall("/metrics", "")).body.find("\n" + line + "\n") !=
           std::string::npos;
  };
  const auto leader_tells = [&](const std::string& heard, const std::string& to_spare) {
    return WaitUntil([&] {
      const std::string body = cluster.Call(cluster.WaitForLeader(), GetCall("/metrics", "")).body;
      return body.find("\nmasticrill_control_voters_heard " + heard + "\n") != std::string::npos &&
             body.find("\nmasticrill_control_voters_to_spare " + to_spare + "\n") !=
                 std::string::npos;
    });
  };
  CHECK(leader_tells("3", "1"));
  const std::size_t follower = cluster.Follower();
  CHECK(has(follower, "masticrill_control_voters 3"));
  CHECK(has(follower, "masticrill_control_learners 0"));
  CHECK(has(follower, "masticrill_control_part{part=\"voter\"} 1"));
  CHECK(has(follower, "masticrill_control_part{part=\"none\"} 0"));
  CHECK(has(follower, "masticrill_control_join_requests_total{result=\"not_leader\"} 0"));
  cluster.Crash(follower);
  CHECK(leader_tells("2", "0"));
}

TEST_CASE("a rollback puts the old document in force under a new number") {
  ControlCluster cluster(1);
  cluster.StartAll();
  REQUIRE(WaitUntil([&] { return cluster.Call(0, GetCall("/v1/config")).status == 200; }));
  const std::string before = cluster.Call(0, GetCall("/v1/config")).body;
  REQUIRE(cluster.Call(0, PatchCall(1, "p-1", TeamPatch("gone"))).status == 200);
  const net::HttpAnswer back =
      cluster.Call(0, Post("/v1/config/rollback", 2, "p-2", R"({"to":1})"));
  CHECK(back.status == 200);
  CHECK(HeaderOf(back, "ETag") == "\"3\"");
  CHECK(cluster.Call(0, GetCall("/v1/config")).body == before);
}

TEST_CASE("the bootstrap key makes only the first change, when nothing is configured") {
  ControlCluster cluster(1, {}, "");
  cluster.StartAll();
  REQUIRE(WaitUntil(
      [&] { return cluster.Call(0, GetCall("/v1/config", kBootstrapKey)).status == 200; }));
  CHECK(cluster.Call(0, GetCall("/v1/config")).status == 401);
  const net::HttpAnswer first =
      cluster.Call(0, PatchCall(0, "p-first", config::ExampleDocument(), kBootstrapKey));
  CHECK(first.status == 200);
  CHECK(cluster.Call(0, PatchCall(1, "p-next", TeamPatch("x"), kBootstrapKey)).status == 401);
  CHECK(cluster.Call(0, PatchCall(1, "p-next", TeamPatch("x"))).status == 200);
}

}  // namespace
}  // namespace masticrill::control
