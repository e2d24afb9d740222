#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "process/answering_workers.h"
#include "process/platform_hosts.h"

namespace masticrill::process {
namespace {

constexpr int kHosts = 3;
constexpr double kLimit = 2;
/// The users' bound: in any span of this length, one and a half times the limit, and a few more.
constexpr seconds kWindow{4};
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;
/// From then on, after the limit was first named.
constexpr seconds kContact{3};

class LimitedFleet : private AnsweringWorkers, public PlatformHosts {
 public:
  LimitedFleet()
      : AnsweringWorkers(3, [] { return SoundHead() + "Server-Limit: 2.0\r\n"; }),
        PlatformHosts(AnsweringWorkers::ListAddress(), kHosts) {
    this->Configure(1);
    for (int host = 1; host <= kHosts; ++host) {
      this->AwaitReady(host);
    }
  }
  using AnsweringWorkers::Arrivals;
};

// Guards against an upstream in need that gets as many requests as before: no entry read the limit
// that it states, and entries that keep it each for itself exceed it together.
TEST_CASE("an upstream gets no more requests from all entries together than it states") {
  LimitedFleet fleet;
  std::atomic<bool> stopped = false;
  std::vector<std::thread> callers;
  for (int host = 1; host <= kHosts; ++host) {
    callers.emplace_back([&, host] {
      while (!stopped) {
        fleet.Ask(host, "/once/1", "key-1");
      }
    });
  }
  Await("requests at the limited upstream", [&] { return !fleet.Arrivals().empty(); });
  const TimePoint first = fleet.Arrivals().front().at;
  Await("the end of the span",
        [&] { return SystemClock().Now() > first + kContact + Duration(kWindow) + seconds(3); });
  stopped = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::vector<TimePoint> counted;
  for (const Arrival& arrival : fleet.Arrivals()) {
    if (arrival.at >= first + kContact) {
      counted.push_back(arrival.at);
    }
  }
  CHECK_FALSE(counted.empty());
  for (auto begin = counted.begin(); begin != counted.end(); ++begin) {
    const auto end = std::lower_bound(begin, counted.end(), *begin + Duration(kWindow));
    const double allowed = kTolerance * kLimit * static_cast<double>(kWindow.count()) + kSlack;
    CHECK(static_cast<double>(end - begin) <= allowed);
  }
}

}  // namespace
}  // namespace masticrill::process
