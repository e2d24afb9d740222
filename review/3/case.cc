// A request that may run once at most, on a route with sizes: the small model is unsure of its
// answer.
#include "../harness.h"

namespace review {
namespace {

constexpr int kRequests = 20;
/// A stream that may not be resumed, and a request that is no stream.
constexpr const char* kTargets[] = {"/draft/1", "/order/1"};
constexpr const char* kConfiguration =
    R"({"Version":1,"Routes":[)"
    R"({"Name":"draft","Host":"a.example","PathPrefix":"/draft/","Kind":"streaming",)"
    R"("TimeoutMs":20000,"TargetLatencyMs":2000,"Priority":1,"Sizes":["small","large"],)"
    R"("Service":"s","MaxAttempts":3,"Public":true,"Sticky":true,"Resumable":false,)"
    R"("TargetGapMs":1200},)"
    R"({"Name":"order","Host":"a.example","PathPrefix":"/order/","Kind":"unsafe",)"
    R"("TimeoutMs":20000,"TargetLatencyMs":2000,"Priority":1,"Sizes":["small","large"],)"
    R"("Service":"s","MaxAttempts":3,"Public":true,"Sticky":true}],)"
    R"("Services":[{"Name":"s","HealthPath":"/health","MaxConnections":640,"Protocol":"h1",)"
    R"("Tls":false,"ColdStartS":0,"ColdPerS":0,"Engine":{"Slots":128,"KvCapacity":699416,)"
    R"("KvBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":6,"most":12,)"
    R"("PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,"Models":[{"Name":"small","Cost":0.014},)"
    R"({"Name":"large","Cost":0.21}]}}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
    R"("IdleTimeoutMs":15000}})";

/// A sound worker: a stream of four events, with the model's opinion of its answer.
void ServeWorker(int descriptor, const std::string& self, const std::string& zone, Runs& runs) {
  Reader reader(descriptor);
  Message request;
  while (reader.ReadHead(request, Now() + 20) && reader.ReadBody(request, Now() + 5, false)) {
    const std::string id = request.Header("x-request-id");
    const std::string model = request.Header("x-model");
    if (request.Header("x-target-instance") != self) {
      SendAll(descriptor, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id +
                              "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const bool is_unsure = HasTrouble() && model == "small";
    SleepFor(0.02);
    runs.Add({Now(), self, zone, id});
    Record::Line("worker %s runs %s with model %s, confidence %d", self.c_str(), id.c_str(),
                 model.c_str(), is_unsure ? 20 : 95);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id +
                       "\r\nX-Response-Signature: s-" + id +
                       "\r\nX-Confidence: " + (is_unsure ? "20" : "95") +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int event = 1; event <= 4; ++event) {
      const std::string piece = "id: " + std::to_string(event) + "\ndata: x\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", piece.size());
      text += size + piece + "\r\n";
      if (!SendAll(descriptor, text)) {
        return;
      }
      text.clear();
      SleepFor(0.01);
    }
    if (!SendAll(descriptor, "0\r\n\r\n")) {
      return;
    }
  }
}

int Main() {
  Runs runs;
  ListServer list;
  std::vector<Listed> workers;
  std::vector<std::unique_ptr<Server>> servers;
  for (int zone = 1; zone <= 3; ++zone) {
    const std::string id = "i-" + Fleet::Zone(zone);
    servers.push_back(std::make_unique<Server>(
        Address{"127.0.0." + std::to_string(30 + zone), 0}, [id, zone, &runs](int descriptor) {
          ServeWorker(descriptor, id, Fleet::Zone(zone), runs);
        }));
    workers.push_back({id, "s", servers.back()->At(), Fleet::Zone(zone), 128});
  }
  list.Set(workers);
  Fleet fleet(list.At());
  fleet.StartAll();
  const Operator operators(fleet);
  if (!operators.Order("PUT", "/v1/config", kConfiguration, 1, 20, 4) || !fleet.AwaitReady(20)) {
    return kCannotRun;
  }
  int served = 0;
  for (int number = 1; number <= kRequests; ++number) {
    const int machine = 1 + number % Fleet::kMachines;
    const std::string id = "r" + std::to_string(number);
    const Answer answer = Call(fleet.Front(machine), "POST", kTargets[number % 2],
                               {{"Host", "a.example"},
                                {"X-Request-Id", id},
                                {"X-Deadline-Ms", "20000"},
                                {"X-Model", "*"},
                                {"X-Token-Count", "1460,80"},
                                {"X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:660"}},
                               "prompt", 20);
    served += answer.Status() == 200 ? 1 : 0;
    Record::Line("client gets %d for %s %s from machine %d", answer.Status(), kTargets[number % 2],
                 id.c_str(), machine);
    SleepFor(0.1);
  }
  std::map<std::string, int> counts;
  for (const Run& run : runs.All()) {
    ++counts[run.id];
  }
  int twice = 0;
  for (const auto& [id, count] : counts) {
    twice += count > 1 ? 1 : 0;
  }
  Record::Line("sent %d, served %d, run more than once %d", kRequests, served, twice);
  printf("TWICE: %d of %d requests that may run once ran more than once\n", twice, kRequests);
  if (served == 0) {
    return kCannotRun;
  }
  return twice > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  review::CaseFolder(count, words);
  const int code = review::Main();
  fflush(stdout);
  _exit(code);
}
