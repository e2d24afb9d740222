#include <doctest/doctest.h>

#include <atomic>
#include <string>

#include "process/crashing_workers.h"
#include "process/platform_hosts.h"

namespace masticrill::process {
namespace {

constexpr int kHosts = 3;
constexpr const char* kBadPart = "bad0bad0";

/// Three hosts before five workers that one part of prompts ends.
class CrashingFleet : private CrashingWorkers, public PlatformHosts {
 public:
  CrashingFleet()
      : CrashingWorkers(5, std::string(kBadPart) + ":", true),
        PlatformHosts(CrashingWorkers::ListAddress(), kHosts) {
    this->Configure(1);
    for (int host = 1; host <= kHosts; ++host) {
      this->AwaitReady(host);
    }
  }
  using CrashingWorkers::BadArrivals;
  using CrashingWorkers::Crashes;

  /// A request whose first part is one of four, which the others share.
  net::HttpAnswer AskWith(int host, const std::string& part) {
    const int number = ++this->requests;
    const std::string prompt = "f" + std::to_string(number % 4) + ":10," + part + ":20,own" +
                               std::to_string(number) + ":5";
    return this->Call(this->At(host, this->ports.callers),
                      {"POST",
                       "/stream/" + std::to_string(number),
                       {{"Host", "a.example"},
                        {"X-Request-Id", "r" + std::to_string(number)},
                        {"X-Deadline-Ms", "5000"},
                        {"X-Prompt-Prefix", prompt},
                        {"Authorization", "Bearer key-1"}},
                       "body"});
  }
  net::HttpAnswer AskSound(int host) {
    return this->AskWith(host, "sound" + std::to_string(this->requests % 50));
  }
  bool IsBlocked(int host) {
    return this->AskWith(host, kBadPart).body.find("prompt_blocked") != std::string::npos;
  }

 private:
  std::atomic<int> requests = 0;
};

// Guards against upstreams that end one after another: an entry took a request that ended its
// upstream for a victim of it, and handed it and its like to the next upstream.
TEST_CASE("requests with a prompt part that ends upstreams stop reaching any of them") {
  CrashingFleet fleet;
  constexpr int kSoundForEachBad = 4;
  for (int host = 1; host <= kHosts; ++host) {
    for (int request = 0; request < kSoundForEachBad; ++request) {
      CHECK(fleet.AskSound(host).status == 200);
    }
  }
  for (int host = 1; host <= kHosts; ++host) {
    Await("the refusal of the part", [&] {
      for (int request = 0; request < kSoundForEachBad; ++request) {
        fleet.AskSound(1 + request % kHosts);
      }
      return fleet.IsBlocked(host);
    });
  }

  const int arrivals = fleet.BadArrivals();
  const int crashes = fleet.Crashes();
  for (int host = 1; host <= kHosts; ++host) {
    for (int request = 0; request < 5; ++request) {
      const net::HttpAnswer refused = fleet.AskWith(host, kBadPart);
      CHECK(refused.status == 503);
      CHECK(refused.body.find("\"not_run\":\"true\"") != std::string::npos);
    }
    // Requests that share the key and the first part are served.
    Await("a sound request", [&] { return fleet.AskSound(host).status == 200; });
  }
  CHECK(fleet.BadArrivals() == arrivals);
  CHECK(fleet.Crashes() == crashes);

  // The operator sees the verdict and lifts it; evidence from before does not renew it.
  const std::string blocks = fleet.Operate({"GET", "/v1/prompt-blocks"}).body;
  CHECK(blocks.find(kBadPart) != std::string::npos);
  CHECK(blocks.find("upstreams ended") != std::string::npos);
  CHECK(fleet.Operate({"DELETE", std::string("/v1/prompt-blocks/") + kBadPart}).status == 200);
  Await("the lift of the block", [&] { return !fleet.IsBlocked(1); });
  CHECK(fleet.BadArrivals() > arrivals);
}

}  // namespace
}  // namespace masticrill::process
