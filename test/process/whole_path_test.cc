#include <doctest/doctest.h>

#include <atomic>
#include <set>
#include <thread>

#include "process/fleet.h"

namespace masticrill::process {
namespace {

std::string TextOfTokens(int count) {
  std::string text;
  for (int token = 0; token < count; ++token) {
    text += "t" + std::to_string(token) + " ";
  }
  return text;
}

/// The content of the events of a stream; marks its end by a bar.
std::string TextOfStream(const std::string& body) {
  std::istringstream lines(body);
  std::string line;
  std::string text;
  while (std::getline(lines, line)) {
    if (!line.starts_with("data: ")) {
      continue;
    }
    if (line == "data: [DONE]") {
      return text + "|";
    }
    const Json event = Json::parse(line.substr(6), nullptr, false);
    if (event.is_object() && event.contains("choices")) {
      text += event["choices"][0]["delta"]["content"].get<std::string>();
    }
  }
  return text;
}

TEST_CASE("requests are answered whole, streamed and by a service through both entries") {
  Fleet fleet;
  for (const std::size_t entry : {std::size_t{0}, std::size_t{1}}) {
    const net::HttpAnswer whole = fleet.Chat(entry, "small", false);
    CHECK(whole.status == 200);
    CHECK(Json::parse(whole.body)["choices"][0]["message"]["content"] == TextOfTokens(5));
    const net::HttpAnswer streamed = fleet.Chat(entry, "small", true);
    CHECK(streamed.status == 200);
    CHECK(TextOfStream(streamed.body) == TextOfTokens(5) + "|");
    CHECK(fleet.AtEntry(entry, {"GET", "/v1/services/booking/list"}).status == 200);
  }
  Await("six billed requests", [&] { return fleet.BilledRequests() == 6; });
  const Json ledger = fleet.ControlJson("/v1/ledger");
  CHECK(ledger["verification"]["intact"] == true);
  CHECK(ledger["charge_discrepancies"] == 0);
}

TEST_CASE("a withdrawn version and an out failure domain get no new work") {
  Fleet fleet;
  fleet.PatchEverywhere(Json::parse(
      R"({"models":{"small":{"default_version":"v2","versions":{"v1":{"state":"withdrawn"}}}}})"));
  for (const std::size_t entry : {std::size_t{0}, std::size_t{1}}) {
    const net::HttpAnswer refused = fleet.Chat(entry, "small@v1", false);
    CHECK(refused.status == 410);
    CHECK(Json::parse(refused.body)["not_run"] == true);
    CHECK(fleet.Chat(entry, "small", false).status == 200);
  }
  fleet.PatchEverywhere(Json::parse(R"({"failure_domains":{"north-a":{"state":"out"}}})"));
  const int calls_before = fleet.engines[0].Calls();
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.Chat(static_cast<std::size_t>(i % 2), "small", false).status == 200);
  }
  CHECK(fleet.engines[0].Calls() == calls_before);
  const net::HttpAnswer booking = fleet.Book(0, "k", "{}");
  CHECK(booking.status == 503);
  CHECK(Json::parse(booking.body)["not_run"] == true);
}

std::string VersionOf(const net::HttpAnswer& answer) {
  for (const net::HeaderField& field : answer.headers) {
    if (field.name == "X-Model-Version") {
      return field.value;
    }
  }
  return "";
}

TEST_CASE("a session keeps its version at both entries while a roll-out moves") {
  constexpr int kSessions = 8;
  Fleet fleet;
  fleet.PatchEverywhere(
      Json::parse(R"({"models":{"small":{"rollout":{"candidate":"v2","share_per_10k":5000}}}})"));
  std::vector<std::string> versions;
  for (int session = 0; session < kSessions; ++session) {
    const Headers headers = {{"X-Session-Id", "session-" + std::to_string(session)}};
    net::HttpAnswer other;
    std::thread racer([&] { other = fleet.Chat(1, "small", false, headers); });
    const net::HttpAnswer first = fleet.Chat(0, "small", false, headers);
    racer.join();
    CHECK(first.status == 200);
    CHECK(VersionOf(first) == VersionOf(other));
    versions.push_back(VersionOf(first));
  }
  CHECK(std::set<std::string>(versions.begin(), versions.end()).size() == 2);
  for (const char* share : {"0", "10000"}) {
    fleet.PatchEverywhere(Json::parse(R"({"models":{"small":{"rollout":{"share_per_10k":)" +
                                      std::string(share) + "}}}}"));
    for (int session = 0; session < kSessions; ++session) {
      const Headers headers = {{"X-Session-Id", "session-" + std::to_string(session)}};
      const auto entry = static_cast<std::size_t>(session % 2);
      CHECK(VersionOf(fleet.Chat(entry, "small", false, headers)) ==
            versions[static_cast<std::size_t>(session)]);
    }
  }
}

TEST_CASE("a leaving upstream gets no new work and finishes what it has") {
  Fleet fleet;
  fleet.engines[0].SetFault(fakes::EngineFault::kHold);
  fleet.PatchEverywhere(Json::parse(R"({"failure_domains":{"north-b":{"state":"out"}}})"));
  net::HttpAnswer held;
  std::thread caller([&] { held = fleet.Chat(0, "small", true); });
  fleet.engines[0].AwaitHeld();
  fleet.PatchEverywhere(Json::parse(
      R"({"failure_domains":{"north-b":{"state":"in"}},"upstreams":{"engine-1":{"state":"leaving"}}})"));
  const int calls_before = fleet.engines[0].Calls();
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.Chat(static_cast<std::size_t>(i % 2), "small", false).status == 200);
  }
  CHECK(fleet.engines[0].Calls() == calls_before);
  fleet.engines[0].Release();
  caller.join();
  CHECK(TextOfStream(held.body) == TextOfTokens(5) + "|");
}

TEST_CASE("a stream that breaks goes on at its token on another upstream") {
  Fleet fleet;
  fleet.engines[0].SetFault(fakes::EngineFault::kBreakAfterTokens);
  // The retry budget pays for one resumption in ten requests.
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet.Chat(0, "small", false).status == 200);
  }
  for (int i = 0; i < 4; ++i) {
    const std::string text = TextOfStream(fleet.Chat(0, "small", true).body);
    // Whole, or an explicit error: never an end mark behind a part.
    const bool whole = text == TextOfTokens(5) + "|";
    const bool cut_openly = TextOfTokens(5).starts_with(text) && !text.ends_with("|");
    CHECK((whole || cut_openly));
  }
}

TEST_CASE("a bad candidate is halted by a numbered change and its callers go on with the default") {
  constexpr int kMostRequests = 2000;
  Fleet fleet;
  fleet.engines[0].SetBadVersion("small@v2");
  fleet.engines[1].SetBadVersion("small@v2");
  fleet.PatchEverywhere(
      Json::parse(R"({"models":{"small":{"rollout":{"candidate":"v2","share_per_10k":3000}}}})"));
  const Json::json_pointer place("/models/small/versions/v2/state");
  const auto state = [&] {
    const Json document = fleet.ControlJson("/v1/config");
    return document.contains(place) ? document[place].get<std::string>() : std::string();
  };
  int requests = 0;
  while (state() != "withdrawn" && requests < kMostRequests) {
    fleet.Chat(static_cast<std::size_t>(requests % 2), "small", false);
    ++requests;
  }
  REQUIRE(state() == "withdrawn");
  const Json history = fleet.ControlJson("/v1/config/history");
  CHECK(history["history"].back()["author"] == "rollout-guard");
  CHECK_FALSE(history["history"].back()["reason"].get<std::string>().empty());
  CHECK(fleet.Chat(0, "small", false).status == 200);
}

TEST_CASE("every role stops by SIGTERM under load without cutting a request") {
  Fleet fleet;
  fleet.engines[0].SetFault(fakes::EngineFault::kHold);
  fleet.engines[1].SetFault(fakes::EngineFault::kHold);
  net::HttpAnswer first;
  std::atomic<bool> ended = false;
  std::thread caller([&] {
    first = fleet.Chat(0, "small", true);
    ended = true;
  });
  Await(
      "a held call",
      [&] { return ended || fleet.engines[0].Calls() + fleet.engines[1].Calls() == 1; },
      [&] {
        return ", calls: " + std::to_string(fleet.engines[0].Calls()) + " and " +
               std::to_string(fleet.engines[1].Calls()) + fleet.Describe();
      });
  if (ended) {
    caller.join();
    FAIL("the call was not held but answered " << first.status << ": " << first.body);
  }
  fleet.entries[0].process->Signal(SIGTERM);
  fleet.sidecars["engine-1"].process->Signal(SIGTERM);
  fleet.sidecars["engine-2"].process->Signal(SIGTERM);
  Await("a refusal while stopping", [&] { return fleet.Chat(1, "small", false).status == 503; });
  fleet.engines[0].Release();
  fleet.engines[1].Release();
  caller.join();
  CHECK(first.status == 200);
  CHECK(TextOfStream(first.body) == TextOfTokens(5) + "|");
  CHECK(fleet.entries[0].process->Wait() == 0);
  CHECK(fleet.sidecars["engine-1"].process->Wait() == 0);
  CHECK(fleet.sidecars["engine-2"].process->Wait() == 0);
  CHECK(fleet.BilledRequests() == 1);
  fleet.control.process->Signal(SIGTERM);
  CHECK(fleet.control.process->Wait() == 0);
}

}  // namespace
}  // namespace masticrill::process
