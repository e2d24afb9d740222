// An order to take a zone back reaches a machine that stands still. The operator sends it again to
// another machine, then has the zone emptied once more. The first machine wakes.
#include <atomic>
#include <optional>

#include "../harness.h"

namespace review {
namespace {

constexpr double kEvacuateS = 5;  // Bounds.EvacuateMs
constexpr double kFreezeS = 6;
/// How long the zone is watched after the bound.
constexpr double kWatchS = 6;
constexpr int kRounds = 4;
constexpr const char* kOrder = "/v1/evacuations/zone-a";
constexpr const char* kConfiguration =
    R"({"Version":1,"Routes":[{"Name":"look","Host":"a.example","PathPrefix":"/look/",)"
    R"("Kind":"safe","TimeoutMs":1000,"TargetLatencyMs":150,"Priority":2,"Service":"s",)"
    R"("MaxAttempts":3,"Public":true}],"Services":[{"Name":"s","HealthPath":"/health",)"
    R"("MaxConnections":120,"Protocol":"h1","Tls":false,"ColdStartS":0,"ColdPerS":0}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
    R"("IdleTimeoutMs":15000}})";

/// A sound worker of the service.
void ServeWorker(int descriptor, const Listed& self, Runs& runs) {
  Reader reader(descriptor);
  Message request;
  while (reader.ReadHead(request, Now() + 20) && reader.ReadBody(request, Now() + 5, false)) {
    const std::string id = request.Header("x-request-id");
    const std::string target = request.Header("x-target-instance");
    const bool is_meant = target.empty() || target == self.id;
    std::string text;
    if (is_meant) {
      runs.Add({Now(), self.id, self.zone, id});
      SleepFor(0.03);
      text = "HTTP/1.1 200 OK\r\nX-Response-Signature: s-" + id + "\r\nContent-Length: 4\r\n";
    } else {
      text = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n";
    }
    if (!SendAll(descriptor, text + "X-Request-Id: " + id + "\r\n\r\nbody")) {
      return;
    }
  }
}

/// The zone is emptied, taken back while a machine stands still, and emptied again. Returns the
/// time after which nothing may reach the zone, once it has passed by some seconds.
std::optional<double> PlayRound(Fleet& fleet, const Operator& operators, int frozen) {
  constexpr int kOther = 1;
  SleepFor(1);
  if (!operators.Order("POST", kOrder, "", frozen, 4)) {
    return std::nullopt;
  }
  SleepFor(2);
  std::thread waker;
  if (HasTrouble()) {
    fleet.Freeze(frozen);
    const double woken_at = Now() + kFreezeS;
    waker = std::thread([&fleet, frozen, woken_at] {
      SleepUntil(woken_at);
      fleet.Wake(frozen);
    });
    SleepFor(0.2);
  }
  const bool withdrawn = operators.Order("DELETE", kOrder, "", frozen, 4);
  SleepFor(1);
  const bool ordered = withdrawn && operators.Order("POST", kOrder, "", kOther, 4);
  const double bound = Now() + kEvacuateS;
  if (waker.joinable()) {
    waker.join();
  }
  if (!ordered) {
    return std::nullopt;
  }
  Record::Line("the evacuation was acknowledged; nothing may reach zone-a after %.3f", bound);
  SleepUntil(bound + kWatchS);
  return bound;
}

/// Runs in the evacuated zone that began between the two times.
int CountLate(const Runs& runs, double from, double until) {
  int late = 0;
  for (const Run& run : runs.All()) {
    late += run.zone == "zone-a" && run.at > from && run.at < until ? 1 : 0;
  }
  return late;
}

void WriteRuns(const Runs& runs) {
  for (const Run& run : runs.All()) {
    Record::Line("ran %.3f %s %s", run.at, run.worker.c_str(), run.id.c_str());
  }
}

int Main() {
  Runs runs;
  ListServer list;
  std::vector<Listed> workers;
  std::vector<std::unique_ptr<Server>> servers;
  for (int zone = 1; zone <= 3; ++zone) {
    Listed self{"i-" + Fleet::Zone(zone),
                "s",
                {"127.0.0." + std::to_string(30 + zone), 0},
                Fleet::Zone(zone)};
    auto shared = std::make_shared<Listed>(self);
    servers.push_back(std::make_unique<Server>(
        self.address, [shared, &runs](int descriptor) { ServeWorker(descriptor, *shared, runs); }));
    self.address = servers.back()->At();
    workers.push_back(self);
  }
  list.Set(workers);
  Fleet fleet(list.At());
  fleet.StartAll();
  const Operator operators(fleet);
  if (!operators.Order("PUT", "/v1/config", kConfiguration, 1, 20, 4) || !fleet.AwaitReady(20)) {
    return kCannotRun;
  }
  const int frozen = 4;
  Record::Line("all machines are ready");

  // Clients of the two machines that run all the time.
  std::atomic<bool> stopped = false;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int machine = 1; machine <= Fleet::kMachines; ++machine) {
    if (machine == frozen) {
      continue;
    }
    clients.emplace_back([&, machine] {
      while (!stopped) {
        const std::string id = "m" + std::to_string(machine) + "-" + std::to_string(++sent);
        const Answer answer =
            Call(fleet.Front(machine), "GET", "/look/1",
                 {{"Host", "a.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "1000"}}, "", 1.2);
        served += answer.Status() == 200 ? 1 : 0;
        Record::Line("client sent %s to machine %d, answer %d", id.c_str(), machine,
                     answer.Status());
        SleepFor(0.05);
      }
    });
  }
  const auto finish = [&](int code) {
    stopped = true;
    for (std::thread& client : clients) {
      client.join();
    }
    return code;
  };
  for (int round = 1; round <= kRounds; ++round) {
    const std::optional<double> bound = PlayRound(fleet, operators, frozen);
    if (!bound) {
      return finish(kCannotRun);
    }
    const int late = CountLate(runs, *bound, Now());
    Record::Line("round %d: runs in the evacuated zone after the bound: %d", round, late);
    if (late > 0) {
      finish(kBroken);
      WriteRuns(runs);
      printf("EVAC: round %d, %d runs in the evacuated zone after the bound\n", round, late);
      return kBroken;
    }
    // Takes the zone back before the next round.
    if (!operators.Order("DELETE", kOrder, "", 1, 4)) {
      return finish(kCannotRun);
    }
  }
  finish(kHeld);
  WriteRuns(runs);
  Record::Line("sent %d, served %d", sent.load(), served.load());
  printf("EVAC: held in %d rounds\n", kRounds);
  return served > 0 ? kHeld : kCannotRun;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  review::CaseFolder(count, words);
  const int code = review::Main();
  fflush(stdout);
  _exit(code);
}
