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
constexpr seconds kPause{3};
/// The users' bounds: requests from one entry in the part of a pause that begins so much after the
/// answer which asked for it.
constexpr milliseconds kSlack{500};
constexpr int kAllowed = 2;

/// Three hosts before three workers, of which the first turns requests away for a while.
class PausingFleet : private AnsweringWorkers, public PlatformHosts {
 public:
  PausingFleet()
      : AnsweringWorkers(3, [this] { return this->HeadOfFirst(); }),
        PlatformHosts(AnsweringWorkers::ListAddress(), kHosts) {
    this->Configure(1);
    for (int host = 1; host <= kHosts; ++host) {
      this->AwaitReady(host);
    }
  }
  using AnsweringWorkers::Arrivals;

  void SetPausing(bool next) { this->is_pausing = next; }

 private:
  std::string HeadOfFirst() const {
    return this->is_pausing
               ? "503 Full\r\nX-Not-Executed: 1\r\nRetry-After: " + std::to_string(kPause.count()) +
                     "\r\n"
               : SoundHead();
  }

  std::atomic<bool> is_pausing = true;
};

/// The requests of one host that reached the first worker.
std::vector<TimePoint> ArrivalsFrom(int host, const PausingFleet& fleet) {
  std::vector<TimePoint> times;
  const std::string path = " /stream/" + std::to_string(host) + " ";
  for (const Arrival& arrival : fleet.Arrivals()) {
    if (arrival.line.find(path) != std::string::npos) {
      times.push_back(arrival.at);
    }
  }
  return times;
}

// Guards against requests that reach a worker which has asked for a pause: no entry read it.
TEST_CASE(
    "a worker that asks for a pause gets no more from the entry until its end, and then again") {
  PausingFleet fleet;
  std::atomic<bool> stopped = false;
  std::atomic<int> refused = 0;
  std::vector<std::thread> callers;
  for (int host = 1; host <= kHosts; ++host) {
    callers.emplace_back([&, host] {
      while (!stopped) {
        // Streams may be tried at a second worker.
        const int status = fleet.Ask(host, "/stream/" + std::to_string(host), "key-1").status;
        refused += status == 503 ? 1 : 0;
      }
    });
  }
  Await("requests at the pausing worker", [&] { return !fleet.Arrivals().empty(); });
  const TimePoint first = fleet.Arrivals().front().at;
  Await("the end of two pauses",
        [&] { return SystemClock().Now() > first + 2 * Duration(kPause); });
  for (int host = 1; host <= kHosts; ++host) {
    CAPTURE(host);
    const std::vector<TimePoint> times = ArrivalsFrom(host, fleet);
    for (const TimePoint asked : times) {
      const auto in_pause = std::count_if(times.begin(), times.end(), [&](TimePoint at) {
        return at > asked + kSlack && at < asked + kPause;
      });
      CHECK(in_pause <= kAllowed);
    }
  }
  CHECK(refused == 0);

  fleet.SetPausing(false);
  const std::size_t before = fleet.Arrivals().size();
  Await("the return to the worker", [&] { return fleet.Arrivals().size() > before + 50; });
  stopped = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
}

}  // namespace
}  // namespace masticrill::process
