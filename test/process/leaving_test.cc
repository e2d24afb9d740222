#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "process/answering_workers.h"
#include "process/platform_hosts.h"

namespace masticrill::process {
namespace {

constexpr int kHosts = 3;
/// Requests that were sent before the first answer of the worker was read may arrive so much later.
constexpr milliseconds kSlack{500};

/// Three hosts before three workers, of which the first says that it leaves while the list shows
/// it as ready.
class LeavingFleet : private AnsweringWorkers, public PlatformHosts {
 public:
  LeavingFleet()
      : AnsweringWorkers(3, [] { return SoundHead() + "Server-Leaving: 1\r\n"; }),
        PlatformHosts(AnsweringWorkers::ListAddress(), kHosts) {
    this->Configure(1);
    for (int host = 1; host <= kHosts; ++host) {
      this->AwaitReady(host);
    }
  }
  using AnsweringWorkers::Arrivals;
};

// Guards against requests that reach a worker which has said that it leaves: no entry read it, and
// the list lags.
TEST_CASE("a worker that says it is leaving gets nothing new, though the list shows it as ready") {
  LeavingFleet fleet;
  std::atomic<bool> stopped = false;
  std::atomic<int> unserved = 0;
  std::vector<std::thread> callers;
  for (int host = 1; host <= kHosts; ++host) {
    callers.emplace_back([&, host] {
      while (!stopped) {
        unserved += fleet.Ask(host, "/once/" + std::to_string(host), "key-1").status == 200 ? 0 : 1;
      }
    });
  }
  Await("a request at the leaving worker", [&] { return !fleet.Arrivals().empty(); });
  const TimePoint begun = SystemClock().Now();
  Await("the end of the span", [&] { return SystemClock().Now() > begun + seconds(4); });
  stopped = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (int host = 1; host <= kHosts; ++host) {
    CAPTURE(host);
    std::string path = " /once/";
    path += std::to_string(host) + " ";
    std::vector<TimePoint> times;
    for (const Arrival& arrival : fleet.Arrivals()) {
      if (arrival.line.find(path) != std::string::npos) {
        times.push_back(arrival.at);
      }
    }
    for (const TimePoint at : times) {
      CHECK(at <= times.front() + kSlack);
    }
  }
  CHECK(unserved == 0);
}

}  // namespace
}  // namespace masticrill::process
