#include <doctest/doctest.h>

#include <atomic>
#include <string>

#include "process/crashing_workers.h"
#include "process/platform_hosts.h"

namespace masticrill::process {
namespace {

constexpr int kHosts = 3;

/// A request that comes again and again, from one caller with one body.
struct Repeated {
  const char* path;
  const char* prompt;
};

/// Three hosts before five workers that one request ends.
class FleetUnderOneRequest : private CrashingWorkers, public PlatformHosts {
 public:
  FleetUnderOneRequest(const Repeated& repeated, bool answers_first)
      : CrashingWorkers(5, std::string("POST ") + repeated.path + " ", answers_first),
        PlatformHosts(CrashingWorkers::ListAddress(), kHosts),
        repeated(repeated) {
    this->Configure(1);
    for (int host = 1; host <= kHosts; ++host) {
      this->AwaitReady(host);
    }
  }
  using CrashingWorkers::BadArrivals;
  using CrashingWorkers::Crashes;

  net::HttpAnswer AskRepeated(int host) {
    return this->Send(host, this->repeated.path, this->repeated.prompt);
  }
  /// A request of the same caller with the same parts of its prompt, but one of its own.
  net::HttpAnswer AskSound(int host) {
    return this->Send(host, "/stream/" + std::to_string(++this->sound), this->repeated.prompt);
  }
  bool IsBlocked(int host) {
    return this->AskRepeated(host).body.find("prompt_blocked") != std::string::npos;
  }

 private:
  net::HttpAnswer Send(int host, const std::string& path, const std::string& prompt) {
    return this->Call(this->At(host, this->ports.callers),
                      {"POST",
                       path,
                       {{"Host", "a.example"},
                        {"X-Request-Id", "r" + std::to_string(++this->requests)},
                        {"X-Deadline-Ms", "5000"},
                        {"X-Prompt-Prefix", prompt},
                        {"Authorization", "Bearer key-1"}},
                       "body"});
  }

  Repeated repeated;
  std::atomic<int> requests = 0;
  std::atomic<int> sound = 0;
};

void CheckBlocked(const Repeated& repeated, bool answers_first) {
  FleetUnderOneRequest fleet(repeated, answers_first);
  CAPTURE(repeated.path);
  for (int host = 1; host <= kHosts; ++host) {
    CHECK(fleet.AskSound(host).status == 200);
  }
  for (int host = 1; host <= kHosts; ++host) {
    Await("the refusal of the request", [&] {
      fleet.AskSound(host);
      return fleet.IsBlocked(host);
    });
  }

  const int arrivals = fleet.BadArrivals();
  const int crashes = fleet.Crashes();
  for (int host = 1; host <= kHosts; ++host) {
    const net::HttpAnswer refused = fleet.AskRepeated(host);
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"not_run\":\"true\"") != std::string::npos);
    Await("a sound request", [&] { return fleet.AskSound(host).status == 200; });
  }
  CHECK(fleet.BadArrivals() == arrivals);
  CHECK(fleet.Crashes() == crashes);

  // The operator sees the verdict, which the refusal names, and lifts it.
  const Json blocks = Json::parse(fleet.Operate({"GET", "/v1/prompt-blocks"}).body);
  REQUIRE(blocks["PromptBlocks"].size() == 1);
  const std::string part = blocks["PromptBlocks"][0]["Part"];
  CHECK(part.starts_with("request."));
  CHECK(fleet.AskRepeated(1).body.find(part) != std::string::npos);
  CHECK(fleet.Operate({"DELETE", "/v1/prompt-blocks/" + part}).status == 200);
  Await("the lift of the block", [&] { return !fleet.IsBlocked(1); });
  CHECK(fleet.BadArrivals() > arrivals);
}

// Guards against a request that ends upstream after upstream: nothing told its next arrival, at
// another entry, from an unrelated request.
TEST_CASE("a stream that ends its upstreams whenever it comes stops reaching any of them") {
  CheckBlocked({"/stream/deadly", "first:10,other:20,own:5"}, true);
}

// The same where nothing tells that the upstream had begun to run it, and there is no prompt.
TEST_CASE("a request without an answer that ends its upstreams stops reaching any of them") {
  CheckBlocked({"/once/deadly", ""}, false);
}

}  // namespace
}  // namespace masticrill::process
