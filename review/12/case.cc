// A request crashes each worker that runs it, while the worker writes the answer. It comes again
// and again. Counts how often it reaches workers after it has crashed the third.
#include "../harness_3.h"

namespace {

using namespace review3;

constexpr int kMachines = 7;
constexpr int kCoreMachines = 3;
constexpr int kObservers = 3;
constexpr int kWorkers = 9;
constexpr double kLagS = 0.8;  // LagMs
constexpr double kContactS = 3.0;
constexpr int kAllowed = 3;
constexpr double kEventGapS = 0.1;
constexpr int kEvents = 20;
/// The answer to the request that crashes workers would be longer.
constexpr int kDeadlyEvents = 60;
/// The events that a worker writes before it crashes under the request.
constexpr int kEventsBeforeCrash = 8;
constexpr double kDownS = 3.0;
constexpr double kStaysListedS = 2.0;
constexpr double kDeadlyEveryS = 2.0;
constexpr double kFirstDeadlyAt = 3.0;
constexpr double kSoundPerMachine = 2;
constexpr double kEnd = 35.0;
constexpr std::string_view kDeadlyBody = "portrait brief 4711";

const char* const kConfiguration =
    R"({"Version":7,"Routes":[{"Name":"r-brief","Host":"a.example","PathPrefix":"/brief/","Kind":"streaming",)"
    R"("TimeoutMs":20000,"TargetLatencyMs":2000,"Priority":1,"Service":"model","MaxAttempts":3,)"
    R"("Public":false,"Sticky":true,"Resumable":true,"TargetGapMs":1200}],"Services":[{"Name":"model",)"
    R"("HealthPath":"/health","MaxConnections":390,"Protocol":"h1","Tls":false,"ColdStartS":0.0,)"
    R"("ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
    R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"office","ApiKeys":["key-1"],"Priority":1}]})";

/// The crashes and the arrivals of the request that causes them.
struct DeadlyLog {
  std::mutex mutex;
  std::vector<double> crashes;
  std::vector<double> arrivals;
};

/// A place at which one worker after the other runs, each under an Id of its own.
class Place {
 public:
  Place(int number, bool is_deadly, DeadlyLog& log, Record& record)
      : number(number), is_deadly(is_deadly), log(log), record(record) {
    this->Start();
    const std::string& address = this->listener->Address();
    this->port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    this->lives.front().started_at = -100;
    this->keeper = std::thread([this] { this->Run(); });
  }
  ~Place() {
    this->ended = true;
    this->keeper.join();
  }

  /// The workers of this place that the list shows at that time.
  std::vector<Instance> Listed(double as_of) const {
    const std::scoped_lock lock(this->mutex);
    std::vector<Instance> list;
    for (const Life& life : this->lives) {
      if (life.started_at <= as_of && as_of < life.crashed_at + kStaysListedS) {
        Instance instance;
        instance.id = life.id;
        instance.service = "model";
        instance.address = this->Ip() + ":" + std::to_string(this->port);
        list.push_back(instance);
      }
    }
    return list;
  }

 private:
  struct Life {
    std::string id;
    double started_at = 0;
    double crashed_at = 1e9;
  };

  std::string Ip() const { return "127.0.0." + std::to_string(100 + this->number); }

  void Start() {
    {
      const std::scoped_lock lock(this->mutex);
      this->lives.push_back(
          {"i-" + std::to_string(this->number) + "-" + std::to_string(this->lives.size()), Now()});
      this->is_down = false;
    }
    this->listener = std::make_unique<Listener>(
        this->Ip(), this->port, [this](Connection& connection, const Request& request) {
          this->Serve(connection, request);
          return false;
        });
  }

  /// Starts the next worker some seconds after a crash.
  void Run() {
    while (!this->ended) {
      Sleep(0.02);
      if (this->is_down) {
        this->listener->Stop();
        const double until = Now() + kDownS;
        while (Now() < until && !this->ended) {
          Sleep(0.02);
        }
        this->Start();
      }
    }
  }

  void Crash(const std::string& id) {
    {
      const std::scoped_lock lock(this->mutex);
      if (this->is_down) {
        return;
      }
      this->is_down = true;
      this->lives.back().crashed_at = Now();
    }
    const std::scoped_lock lock(this->log.mutex);
    this->log.crashes.push_back(Now());
    this->record.Line("worker " + id + " crashes");
  }

  void Serve(Connection& connection, const Request& request) {
    std::string id;
    {
      const std::scoped_lock lock(this->mutex);
      id = this->lives.back().id;
    }
    if (this->is_down) {
      connection.Reset();
      return;
    }
    if (request.target == "/health") {
      connection.Write(WholeAnswer(200, "", "X-Instance-Id: " + id + "\r\nConnection: close\r\n"));
      return;
    }
    if (request.Field("X-Target-Instance") != id) {
      connection.Write(WholeAnswer(421, "", "X-Not-Executed: 1\r\nConnection: close\r\n"));
      return;
    }
    const bool crashes = this->is_deadly && request.body == kDeadlyBody;
    const std::string request_id = request.Field("X-Request-Id");
    this->record.Line("worker " + id + " runs " + request_id +
                      (crashes ? ", which crashes it" : ""));
    if (crashes) {
      const std::scoped_lock lock(this->log.mutex);
      this->log.arrivals.push_back(Now());
    }
    const std::string last = request.Field("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    connection.Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " +
                     request_id + "\r\nX-Response-Signature: s-" + id +
                     "\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
    const int events = request.body == kDeadlyBody ? kDeadlyEvents : kEvents;
    for (int event = first; event <= events; ++event) {
      Sleep(kEventGapS);
      if (crashes && event == first + kEventsBeforeCrash) {
        this->Crash(id);
      }
      if (this->is_down) {
        connection.Reset();
        return;
      }
      const std::string text =
          "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (!connection.Write(size + text + "\r\n")) {
        return;
      }
    }
    connection.Write("0\r\n\r\n");
  }

  int number;
  bool is_deadly;
  DeadlyLog& log;
  Record& record;
  std::uint16_t port = 0;
  mutable std::mutex mutex;
  std::vector<Life> lives;
  std::atomic<bool> is_down = false;
  std::atomic<bool> ended = false;
  std::unique_ptr<Listener> listener;
  std::thread keeper;
};

Call Brief(const std::string& body) {
  return {"POST",
          "/brief/1",
          {{"Host", "a.example"}, {"X-Deadline-Ms", "20000"}, {"Authorization", "Bearer key-1"}},
          body};
}

int Run(const std::string& folder, const std::string& record_path, bool with_trouble) {
  Record record(record_path);
  DeadlyLog log;
  std::vector<std::unique_ptr<Place>> places;
  for (int number = 1; number <= kWorkers; ++number) {
    places.push_back(std::make_unique<Place>(number, with_trouble, log, record));
  }
  Listener platform("127.0.0.1", 0, [&](Connection& connection, const Request&) {
    std::vector<Instance> list;
    for (const auto& place : places) {
      for (const Instance& instance : place->Listed(Now() - kLagS)) {
        list.push_back(instance);
      }
    }
    connection.Write(WholeAnswer(200, ListBody(list), "Content-Type: application/json\r\n"));
    return true;
  });
  Deployment deployment(folder, kMachines, kCoreMachines, kObservers, platform.Address());
  deployment.StartAll();
  if (!deployment.Configure(kConfiguration)) {
    record.Say("the configuration was not acknowledged");
    return 2;
  }
  for (int machine = 0; machine < kMachines; ++machine) {
    if (!deployment.AwaitReady(machine)) {
      record.Say("machine " + std::to_string(machine) + " does not get ready");
      return 2;
    }
  }
  Sleep(2);
  record.Say("traffic starts");
  Traffic sound(deployment, kMachines, kSoundPerMachine, kEnd, Brief("a sound brief"), record, 25);
  std::vector<std::thread> deadly;
  int number = 0;
  for (double at = kFirstDeadlyAt; at < kEnd - 3; at += kDeadlyEveryS, ++number) {
    Sleep(sound.Start() + at - Now());
    deadly.emplace_back([&, number] {
      Call call = Brief(std::string(kDeadlyBody));
      const std::string id = "deadly-" + std::to_string(number);
      call.fields.emplace_back("X-Request-Id", id);
      record.Line("client sends " + id);
      const Answer answer = Ask(deployment.Front(number % kMachines), call, 22);
      record.Line("client gets " + std::to_string(answer.status) +
                  (answer.complete ? "" : ", cut off,") + " for " + id);
    });
  }
  for (std::thread& thread : deadly) {
    thread.join();
  }
  const std::map<int, int> statuses = sound.Finish();
  for (const auto& [status, count] : statuses) {
    record.Say("sound requests, " +
               (status == 0 ? "cut off or without an answer" : "answer " + std::to_string(status)) +
               ": " + std::to_string(count));
  }
  const std::scoped_lock lock(log.mutex);
  record.Say("the request came " + std::to_string(number) + " times, reached workers " +
             std::to_string(log.arrivals.size()) + " times and crashed " +
             std::to_string(log.crashes.size()));
  if (!with_trouble) {
    return 0;
  }
  if (log.crashes.size() < 3) {
    record.Say("fewer than three crashes: the rule holds");
    return 0;
  }
  const double from = log.crashes[2] + kContactS;
  const auto late =
      std::count_if(log.arrivals.begin(), log.arrivals.end(), [&](double at) { return at > from; });
  record.Say("later than 3 s after the third crash it reached workers " + std::to_string(late) +
             " times; allowed " + std::to_string(kAllowed));
  record.Say(late > kAllowed ? "BUDGET is broken" : "BUDGET holds");
  return late > kAllowed ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: case FOLDER RECORD TROUBLE\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const int result = Run(argv[1], argv[2], std::string(argv[3]) != "0");
  std::fflush(stdout);
  return result;
}
