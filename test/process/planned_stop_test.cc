// Planned stops of entries under requests of all kinds, on all kinds of connections.
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/raw_upstream.h"
#include "process/platform_hosts.h"

namespace masticrill::process {
namespace {

using fakes::RawCall;
using fakes::RawUpstream;

constexpr seconds kGrace{3};
/// How much later than the grace period a process on a busy machine is killed.
constexpr seconds kKillSlack{2};

std::string GraceSetting() { return "Bounds.GraceS=" + std::to_string(kGrace.count()) + "\n"; }

/// Sends SIGTERM, and SIGKILL after the grace period, as the platform does. Returns the exit
/// code.
int StopAsPlatform(fakes::ChildProcess& process) {
  std::atomic<bool> ended = false;
  int code = -1;
  process.Signal(SIGTERM);
  const TimePoint kill_at = SystemClock().Now() + kGrace + kKillSlack;
  std::thread waiter([&] {
    code = process.Wait();
    ended = true;
  });
  while (!ended && SystemClock().Now() < kill_at) {
    std::this_thread::yield();
  }
  if (!ended) {
    process.Signal(SIGKILL);
  }
  waiter.join();
  return code;
}

/// A worker of the service "s" that works as long as a request's path says, and the list of it.
class TimedWorker {
 public:
  std::string ListAddress() const { return this->list.Address(); }
  bool HasRun(const std::string& id) const {
    const std::scoped_lock lock(this->mutex);
    return this->runs.contains(id);
  }

 private:
  /// The text between two others.
  static std::string Between(const std::string& text, const std::string& begin, char end) {
    const std::size_t place = text.find(begin);
    if (place == std::string::npos) {
      return "";
    }
    const std::size_t first = place + begin.size();
    return text.substr(first, text.find(end, first) - first);
  }

  void Serve(const RawCall& call) {
    const std::string id = Between(call.head, "X-Request-Id: ", '\r');
    {
      const std::scoped_lock lock(this->mutex);
      this->runs.insert(id);
    }
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: " + id + "\r\n";
    const milliseconds work(std::stol("0" + Between(call.head, "/work-", '/')));
    if (call.Has("POST /stream/")) {
      call.Write(head + "Transfer-Encoding: chunked\r\n\r\n9\r\nid: 1\na:\n\r\n1\r\n\n\r\n");
      call.socket.Fill(SystemClock().Now() + work);
      call.Write("0\r\n\r\n");
      return;
    }
    call.socket.Fill(SystemClock().Now() + work);
    call.Write(head + "Content-Length: 4\r\n\r\ndone");
  }

  void ServeList(const RawCall& call) const {
    const std::string page = Json{
        {"Instances",
         {{{"Id", "i-1"},
           {"Service", "s"},
           {"Address", this->worker.Address()},
           {"Zone", "north"},
           {"Version", "v1"},
           {"Slots", 200},
           {"State", "ready"},
           {"ColdRemainingMs", 0}}}},
        {"Next", nullptr}}.dump();
    call.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
               std::to_string(page.size()) + "\r\n\r\n" + page);
  }

  mutable std::mutex mutex;
  std::set<std::string> runs;
  RawUpstream worker{[this](const RawCall& call) { this->Serve(call); }};
  RawUpstream list{[this](const RawCall& call) { this->ServeList(call); }};
};

/// How a request ended for its caller.
struct Ending {
  std::string id;
  /// 0 where no status came.
  int status = 0;
  bool is_whole = false;
  bool is_stream = false;
  net::IoEnd end = net::IoEnd::kDone;
  bool closes = false;
};

enum class ConnectionUse { kKept, kNew, kSlow };
constexpr std::array kAllConnectionUses = {ConnectionUse::kKept, ConnectionUse::kNew,
                                           ConnectionUse::kSlow};
const std::vector<std::string> kKinds = {"safe", "once", "stream"};

bool IsWhole(std::string_view bytes) {
  const std::size_t head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string_view::npos) {
    return false;
  }
  const std::string head(bytes.substr(0, head_end));
  if (const std::size_t place = head.find("Content-Length: "); place != std::string::npos) {
    return bytes.size() == head_end + 4 + std::stoul(head.substr(place + 16));
  }
  return bytes.ends_with("\r\n0\r\n\r\n");
}

/// Reads the answer to one request.
Ending ReadEnding(net::SocketStream& socket, std::string id, bool is_stream) {
  Ending ending{std::move(id), 0, false, is_stream, net::IoEnd::kDone, false};
  while (ending.end == net::IoEnd::kDone && !(ending.is_whole = IsWhole(socket.Buffered()))) {
    ending.end = socket.Fill(SystemClock().Now() + kGenerous);
  }
  const std::string bytes(socket.Buffered());
  socket.Consume(bytes.size());
  ending.status = bytes.size() < 12 ? 0 : std::stoi(bytes.substr(9, 3));
  ending.closes = bytes.find("Connection: close") != std::string::npos;
  return ending;
}

/// Two entries with a short grace period before one worker.
class StoppingFleet : private TimedWorker, public PlatformHosts {
 public:
  StoppingFleet() : PlatformHosts(TimedWorker::ListAddress(), 2, GraceSetting()) {}
  using TimedWorker::HasRun;

  void ConfigureAll() const {
    Json document = Json::parse(this->Configuration(1, {"key-1"}));
    document["Routes"].push_back({{"Name", "safe"},
                                  {"Host", "a.example"},
                                  {"PathPrefix", "/safe/"},
                                  {"Kind", "safe"},
                                  {"TimeoutMs", 20'000},
                                  {"TargetLatencyMs", 300},
                                  {"Service", "s"},
                                  {"MaxAttempts", 1}});
    Await("the configuration", [&] {
      return this->Operate({"PUT", "/v1/config", {}, document.dump()}).status == 200;
    });
    this->AwaitReady(1);
    this->AwaitReady(2);
  }

  std::unique_ptr<net::SocketStream> Connect(int host) const {
    net::IoEnd end = net::IoEnd::kDone;
    return net::SocketStream::Connect(this->At(host, this->ports.callers),
                                      SystemClock().Now() + seconds(10), nullptr, end);
  }

  static std::string RequestText(const std::string& kind, const std::string& id, milliseconds work,
                                 milliseconds deadline) {
    return "POST /" + kind + "/work-" + std::to_string(work.count()) + "/ HTTP/1.1\r\n" +
           "Host: a.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) +
           "\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody";
  }

  /// Whether nobody listens for callers any more.
  bool IsClosed(int host) const { return this->Connect(host) == nullptr; }
};

/// Callers of all kinds, each of which sends one request after the other until its entry listens no
/// more.
class Callers {
 public:
  explicit Callers(const StoppingFleet& fleet) : fleet(fleet) {
    for (const int host : {1, 2}) {
      for (const std::string& kind : kKinds) {
        for (const ConnectionUse use : kAllConnectionUses) {
          this->threads.emplace_back([this, host, kind, use] { this->Run(host, kind, use); });
        }
        // Longer than what is left of any stop.
        this->threads.emplace_back([this, host, kind] { this->SendLong(host, kind); });
      }
    }
  }
  ~Callers() { this->Join(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Join() {
    for (std::thread& thread : this->threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  /// Whether every caller has had so many answers.
  bool AllHave(int count) const {
    const std::scoped_lock lock(this->mutex);
    std::size_t enough = 0;
    for (const auto& [caller, ended] : this->counts) {
      enough += ended >= count ? 1 : 0;
    }
    return enough == 2 * kKinds.size() * kAllConnectionUses.size();
  }
  std::vector<Ending> Endings() const {
    const std::scoped_lock lock(this->mutex);
    return this->endings;
  }

 private:
  void Run(int host, const std::string& kind, ConnectionUse use) {
    const std::string caller =
        std::to_string(host) + "-" + kind + "-" + std::to_string(static_cast<int>(use));
    std::unique_ptr<net::SocketStream> socket;
    for (int number = 0;; ++number) {
      if (socket == nullptr && (socket = this->fleet.Connect(host)) == nullptr) {
        return;
      }
      // Every third has more time than is left of a stop.
      const milliseconds work(number % 2 == 0 ? 100 : 5);
      const milliseconds deadline(number % 3 == 0 ? 20'000 : 400);
      const std::string id = caller + "-" + std::to_string(number);
      const std::string text = StoppingFleet::RequestText(kind, id, work, deadline);
      const std::size_t first = use == ConnectionUse::kSlow ? text.size() - 2 : text.size();
      socket->Write(text.substr(0, first), SystemClock().Now() + kGenerous);
      if (use == ConnectionUse::kSlow) {
        socket->Fill(SystemClock().Now() + milliseconds(150));
        socket->Write(text.substr(first), SystemClock().Now() + kGenerous);
      }
      const Ending ending = ReadEnding(*socket, id, kind == "stream");
      this->Record(caller, ending);
      if (use != ConnectionUse::kKept || !ending.is_whole || ending.closes) {
        socket = nullptr;
      }
      if (ending.status == 503) {
        this->PauseAfterRefusal();
      }
    }
  }

  /// Waits as long as the refusals of a stopping entry ask for.
  void PauseAfterRefusal() {
    std::unique_lock lock(this->mutex);
    this->never.wait_for(lock, milliseconds(20));
  }

  void SendLong(int host, const std::string& kind) {
    const std::string id = std::to_string(host) + "-" + kind + "-long";
    if (const auto socket = this->fleet.Connect(host); socket != nullptr) {
      socket->Write(
          StoppingFleet::RequestText(kind, id, milliseconds(20'000), milliseconds(20'000)),
          SystemClock().Now() + kGenerous);
      this->Record("", ReadEnding(*socket, id, kind == "stream"));
    }
  }

  void Record(const std::string& caller, const Ending& ending) {
    const std::scoped_lock lock(this->mutex);
    this->endings.push_back(ending);
    if (!caller.empty()) {
      ++this->counts[caller];
    }
  }

  const StoppingFleet& fleet;
  mutable std::mutex mutex;
  std::condition_variable never;
  std::vector<Ending> endings;
  std::map<std::string, int> counts;
  std::vector<std::thread> threads;
};

/// Checks that each request has an end which tells its caller what became of it.
void CheckEndings(const std::vector<Ending>& endings, const StoppingFleet& fleet) {
  const std::set<int> not_run = {408, 421, 429, 503};
  std::map<int, int> by_status;
  for (const Ending& ending : endings) {
    CAPTURE(ending.id);
    CAPTURE(ending.status);
    CAPTURE(static_cast<int>(ending.end));
    ++by_status[ending.status];
    CHECK(ending.end != net::IoEnd::kTimeout);
    if (ending.status == 0 || not_run.contains(ending.status)) {
      CHECK_FALSE(fleet.HasRun(ending.id));
    }
    if (ending.status != 0 && !ending.is_whole) {
      CHECK(ending.is_stream);
      CHECK(ending.end == net::IoEnd::kReset);
    }
  }
  for (const auto& [status, count] : by_status) {
    MESSAGE("requests that ended with status " << status << ": " << count);
  }
}

// Guards against requests that a planned stop leaves without an answer, or that it refuses as not
// run after it has handed them over.
TEST_CASE("every request gets its end while two entries stop at once under load") {
  StoppingFleet fleet;
  fleet.ConfigureAll();
  Callers callers(fleet);
  Await("answers to all callers", [&] { return callers.AllHave(2); });
  int code = -1;
  std::thread other([&] { code = StopAsPlatform(*fleet.entries[0]); });
  CHECK(StopAsPlatform(*fleet.entries[1]) == 0);
  other.join();
  CHECK(code == 0);
  callers.Join();
  CheckEndings(callers.Endings(), fleet);
}

// Guards against a stop that further signals shorten.
TEST_CASE("every request gets its end while reloads and second stops come during a stop") {
  StoppingFleet fleet;
  fleet.ConfigureAll();
  Callers callers(fleet);
  Await("answers to all callers", [&] { return callers.AllHave(2); });
  for (const auto& entry : fleet.entries) {
    entry->Signal(SIGHUP);
    entry->Signal(SIGTERM);
    entry->Signal(SIGHUP);
  }
  fleet.AwaitUnready(1);
  fleet.AwaitUnready(2);
  int code = -1;
  std::thread other([&] { code = StopAsPlatform(*fleet.entries[0]); });
  CHECK(StopAsPlatform(*fleet.entries[1]) == 0);
  other.join();
  CHECK(code == 0);
  callers.Join();
  CheckEndings(callers.Endings(), fleet);
}

// Guards against a stop of a young process that drops what it has read.
TEST_CASE("a request that waits for the first lease gets its end when its entry is stopped") {
  StoppingFleet fleet;  // Nothing is configured, so no entry has a lease.
  std::unique_ptr<net::SocketStream> caller;
  Await("a connection", [&] { return (caller = fleet.Connect(2)) != nullptr; });
  caller->Write(StoppingFleet::RequestText("safe", "waits", milliseconds(0), milliseconds(20'000)),
                SystemClock().Now() + kGenerous);
  Await("the request in progress", [&] {
    return fleet.Call(fleet.At(2, fleet.ports.ready), {"GET", "/metrics"})
               .body.find("masticrill_gateway_in_flight 1\n") != std::string::npos;
  });
  CHECK(StopAsPlatform(*fleet.entries[1]) == 0);
  CHECK(ReadEnding(*caller, "waits", false).status == 503);
}

// Guards against an end of the process that waits for the reader of its log.
TEST_CASE("an entry ends within its grace period while nobody reads its log") {
  // The lines about so many requests do not fit in the pipe.
  constexpr int kRequests = 600;
  StoppingFleet fleet;
  fleet.ConfigureAll();
  for (int number = 0; number < kRequests; ++number) {
    CHECK(fleet.Ask(2, "/nowhere/", "key-1").status == 404);
  }
  CHECK(StopAsPlatform(*fleet.entries[1]) == 0);
}

// Guards against a stop that waits for a call to another server until the process is killed.
TEST_CASE("processes end within their grace period while the list of upstreams comes slowly") {
  RawUpstream list([](const RawCall& call) {
    const std::string page = Json{{"Instances", Json::array()}, {"Next", "more"}}.dump();
    call.socket.Fill(SystemClock().Now() + milliseconds(500));
    call.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
               std::to_string(page.size()) + "\r\n\r\n" + page);
  });
  PlatformHosts fleet(list.Address(), 1, GraceSetting());
  Await("a page of the list", [&] { return list.Calls() > 2; });
  CHECK(StopAsPlatform(*fleet.entries[0]) == 0);
  CHECK(StopAsPlatform(*fleet.control) == 0);
}

}  // namespace
}  // namespace masticrill::process
