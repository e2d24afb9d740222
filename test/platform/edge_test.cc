#include "platform/edge.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace masticrill::platform {
namespace {

using net::HeaderField;

std::size_t CountOf(const std::vector<HeaderField>& fields, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(),
      [&](const HeaderField& field) { return net::EqualIgnoringCase(field.name, name); }));
}

TEST_CASE("a caller's fields are read, and nonsense in them is not believed") {
  const gateway::EdgeProtocol edge = PlatformEdge();
  const gateway::CallMetadata facts =
      edge.read_call({"POST",
                      "/",
                      true,
                      {{"x-request-id", "r1"},
                       {"X-Deadline-Ms", "900"},
                       {"Authorization", "Bearer key"},
                       {"X-Model", "*"},
                       {"X-Token-Count", "1460,80"},
                       {"X-Prompt-Prefix", "a:800, b:410,bad,c:250"}}});
  CHECK(facts.request == RequestId("r1"));
  CHECK(facts.time_left == milliseconds(900));
  CHECK(facts.key == "key");
  CHECK(facts.any_model);
  CHECK(facts.prompt_tokens == 1460);
  CHECK(facts.max_output_tokens == 80);
  CHECK(facts.prompt == std::vector<gateway::PromptPart>{{"a", 800}, {"b", 410}, {"c", 250}});

  const gateway::CallMetadata odd =
      edge.read_call({"POST",
                      "/",
                      true,
                      {{"X-Deadline-Ms", "-5"}, {"Authorization", "Basic x"}, {"X-Model", "m"}}});
  CHECK_FALSE(odd.time_left);
  CHECK(odd.key.empty());
  CHECK_FALSE(odd.any_model);
}

// Guards against numbers near the ends of their types, which overflow in what is computed from
// them.
TEST_CASE("numbers beyond what is believed are cut") {
  const gateway::EdgeProtocol edge = PlatformEdge();
  const std::string huge[] = {"9223372036854775807", "9223372036854775808", "18446744073709551615"};
  for (const std::string& number : huge) {
    CAPTURE(number);
    const gateway::CallMetadata call =
        edge.read_call({"POST",
                        "/",
                        true,
                        {{"X-Deadline-Ms", number},
                         {"X-Token-Count", number + "," + number},
                         {"X-Prompt-Prefix", "a:" + number + ",b:" + number}}});
    CHECK(call.time_left == milliseconds(3'600'000));
    CHECK(call.prompt_tokens == 1'000'000'000);
    CHECK(call.max_output_tokens == 1'000'000'000);
    REQUIRE(call.prompt.size() == 2);
    CHECK(call.prompt[1].tokens == 1'000'000'000);
    const gateway::AnswerMetadata answer =
        edge.read_answer({200,
                          true,
                          {{"X-Cold-Ms", number},
                           {"X-Instance-Load", number + "," + number + "," + number},
                           {"Server-Limit", number},
                           {"X-Confidence", number}}});
    CHECK(answer.cold_left == milliseconds(604'800'000));
    REQUIRE(answer.load);
    CHECK(answer.load->running == 1'000'000);
    CHECK(answer.requests_per_second == 1e12);
    CHECK(answer.confidence == 1);
  }
}

TEST_CASE("what only the system may set is never passed on from a caller") {
  const gateway::EdgeProtocol edge = PlatformEdge();
  gateway::AttemptParameters order;
  order.upstream = UpstreamId("i-1");
  order.team = TeamId("team");
  order.time_left = milliseconds(700);
  order.model = ModelId("m2");
  order.rank = 12;
  order.after_event = std::string("5");
  const std::vector<HeaderField> sent = edge.write_attempt({"POST",
                                                            "/",
                                                            true,
                                                            {{"Host", "h"},
                                                             {"X-Request-Id", "r1"},
                                                             {"authorization", "Bearer key"},
                                                             {"X-TENANT", "forged"},
                                                             {"X-Target-Instance", "forged"},
                                                             {"X-Hold", "forged"},
                                                             {"X-Pin-Ms", "forged"},
                                                             {"X-Kv-Backup", "forged"},
                                                             {"Kv-From", "forged"},
                                                             {"Kv-Fetch", "forged"},
                                                             {"X-Request-Priority", "forged"},
                                                             {"X-Deadline-Ms", "9999999"},
                                                             {"X-Model", "*"},
                                                             {"Last-Event-Id", "2"},
                                                             {"Connection", "X-Hop"},
                                                             {"X-Hop", "1"},
                                                             {"X-Own", "kept"}}},
                                                           order);
  for (const HeaderField& field : sent) {
    CAPTURE(field.name);
    CHECK(field.value != "forged");
  }
  for (const char* name : {"authorization", "X-Hold", "X-Hop", "Connection", "Kv-From"}) {
    CHECK(CountOf(sent, name) == 0);
  }
  CHECK(net::FindHeader(sent, "X-Tenant") == "team");
  CHECK(net::FindHeader(sent, "X-Target-Instance") == "i-1");
  CHECK(net::FindHeader(sent, "X-Deadline-Ms") == "700");
  CHECK(net::FindHeader(sent, "X-Model") == "m2");
  CHECK(net::FindHeader(sent, "X-Request-Priority") == "9");
  CHECK(net::FindHeader(sent, "Last-Event-Id") == "5");
  CHECK(net::FindHeader(sent, "X-Own") == "kept");
  for (const char* name : {"X-Tenant", "X-Deadline-Ms", "X-Model", "Last-Event-Id"}) {
    CHECK(CountOf(sent, name) == 1);
  }
}

TEST_CASE("a caller's own model and event stay where the system has no word on them") {
  const gateway::EdgeProtocol edge = PlatformEdge();
  const std::vector<HeaderField> sent =
      edge.write_attempt({"POST", "/", true, {{"X-Model", "m"}, {"Last-Event-Id", "2"}}}, {});
  CHECK(net::FindHeader(sent, "X-Model") == "m");
  CHECK(net::FindHeader(sent, "Last-Event-Id") == "2");
  CHECK(CountOf(sent, "X-Tenant") == 0);
}

TEST_CASE("an upstream says in any answer that it is leaving") {
  const auto is_leaving = [](int status, const std::string& value) {
    return PlatformEdge().read_answer({status, true, {{"Server-Leaving", value}}}).is_leaving;
  };
  for (const int status : {200, 204, 404, 500, 503}) {
    CHECK(is_leaving(status, "1"));
  }
  CHECK(is_leaving(200, " 1 "));
  CHECK_FALSE(is_leaving(200, "0"));
  CHECK_FALSE(is_leaving(200, ""));
  CHECK_FALSE(PlatformEdge().read_answer({200, true, {}}).is_leaving);
}

TEST_CASE("an upstream that turns a request away may ask for a pause") {
  const auto facts = [](int status, const std::string& pause) {
    return PlatformEdge().read_answer({status, true, {{"Retry-After", pause}}});
  };
  CHECK(facts(503, "3").pause == milliseconds(3000));
  CHECK(facts(503, " 0.25 ").pause == milliseconds(250));
  CHECK(facts(503, "0").pause == milliseconds(0));
  // Too long to be meant.
  CHECK(facts(503, "99999999999999999999").pause == std::chrono::hours(1));
  for (const char* unreadable :
       {"", "-1", "soon", "1e3", "nan", "inf", "3 s", "3,5", "Fri, 04 Dec 2026 18:00:00 GMT"}) {
    CAPTURE(unreadable);
    CHECK_FALSE(facts(503, unreadable).pause);
    CHECK(facts(503, unreadable).pause_unreadable);
  }
  CHECK_FALSE(facts(200, "3").pause);
  CHECK_FALSE(facts(429, "3").pause);
  CHECK_FALSE(PlatformEdge().read_answer({503, true, {}}).pause_unreadable);
}

TEST_CASE("an answer says whether it ran, whose it is and how sure its model is") {
  const gateway::EdgeProtocol edge = PlatformEdge();
  const auto facts = [&](int status, std::vector<HeaderField> headers) {
    return edge.read_answer({status, true, std::move(headers)});
  };
  CHECK(facts(503, {{"X-Not-Executed", "1"}}).not_run);
  CHECK_FALSE(facts(503, {}).not_run);
  CHECK(facts(421, {}).other_upstream);
  CHECK(facts(200, {{"X-Response-Signature", "s"}}).is_signed);
  CHECK(facts(200, {{"X-Request-Id", "r"}}).request == RequestId("r"));
  CHECK(facts(200, {{"X-Instance-Load", "3,0,8"}}).load == gateway::LoadReport{3, 0, 8});
  const auto load = [&](const std::string& text) {
    return facts(200, {{"X-Instance-Load", text}}).load;
  };
  CHECK(load("3,0,8,55") == gateway::LoadReport{3, 0, 8, 0.55});
  CHECK(load("3,0,8,300,9")->slowdown == doctest::Approx(3));
  for (const std::string_view absurd :
       {"3,0,8,", "3,0,8,0", "3,0,8,-5", "3,0,8,fast", "3,0,8,1.5"}) {
    CAPTURE(absurd);
    REQUIRE(load(std::string(absurd)));
    CHECK_FALSE(load(std::string(absurd))->slowdown);
  }
  CHECK_FALSE(facts(200, {{"X-Instance-Load", "3,x"}}).load);
  CHECK(facts(200, {{"X-Confidence", "40"}}).confidence == doctest::Approx(0.4));
  CHECK_FALSE(facts(200, {{"X-Confidence", "very"}}).confidence);
  CHECK(facts(200, {{"Server-Limit", "2.25"}}).requests_per_second == doctest::Approx(2.25));
  CHECK(facts(503, {{"Server-Limit", " 12 "}}).requests_per_second == doctest::Approx(12));
  CHECK(facts(200, {{"Server-Limit", "0"}}).requests_per_second == doctest::Approx(0));
  for (const char* nonsense : {"", "-1", "many", "2,5", "1e3", "nan", "inf", "2.5 a second"}) {
    CHECK_FALSE(facts(200, {{"Server-Limit", nonsense}}).requests_per_second);
  }
  CHECK(facts(200, {{"X-Cold-Ms", "900"}}).cold_left == milliseconds(900));
}

}  // namespace
}  // namespace masticrill::platform
