// Starts a small deployment of the project's programs on loopback addresses, with stand-ins for the
// platform's list, the workers, the operator and the clients..
#ifndef REVIEW_STAND_INS_2_H_
#define REVIEW_STAND_INS_2_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

inline const Time kBegin = Clock::now();
inline double Seconds(Time at = Clock::now()) {
  return std::chrono::duration<double>(at - kBegin).count();
}
inline void Sleep(int ms) { std::this_thread::sleep_for(Ms(ms)); }

/// Writes record.txt, one line an event.
class Record {
 public:
  explicit Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file != nullptr) std::fclose(file);
  }
  void Line(const char* format, ...) {
    const std::scoped_lock lock(mutex);
    if (file == nullptr) return;
    std::fprintf(file, "%8.3f ", Seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
  }

 private:
  std::mutex mutex;
  std::FILE* file;
};

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  bool whole = false;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int Status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline bool SendAll(int socket, const std::string& bytes, Time until = Clock::now() + Ms(5000)) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count > 0) {
      done += static_cast<std::size_t>(count);
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
      pollfd waited{socket, POLLOUT, 0};
      if (Clock::now() >= until) return false;
      ::poll(&waited, 1, 50);
      continue;
    }
    return false;
  }
  return true;
}

/// Reads from one connection, message after message.
class Reader {
 public:
  explicit Reader(int socket) : socket(socket) {}

  bool Fill(Time until) {
    while (true) {
      const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
      if (left <= 0) return false;
      pollfd waited{socket, POLLIN, 0};
      if (::poll(&waited, 1, static_cast<int>(std::min<long>(left, 200))) <= 0) continue;
      char block[8192];
      const ssize_t count = ::recv(socket, block, sizeof block, 0);
      if (count > 0) {
        buffer.append(block, static_cast<std::size_t>(count));
        return true;
      }
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      ended = true;
      return false;
    }
  }

  bool ReadHead(Message& message, Time until) {
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t begin = 0;
    bool is_first = true;
    while (begin < head.size()) {
      const std::size_t stop = head.find("\r\n", begin);
      const std::string line = head.substr(begin, stop - begin);
      begin = stop + 2;
      if (is_first) {
        message.first_line = line;
        is_first = false;
        continue;
      }
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      for (char& byte : name) byte = static_cast<char>(std::tolower(byte));
      std::size_t value = colon == std::string::npos ? line.size() : colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers[name] = line.substr(value);
    }
    return true;
  }

  bool ReadBody(Message& message, Time until) {
    if (message.Header("transfer-encoding") == "chunked") {
      while (true) {
        std::size_t end;
        while ((end = buffer.find("\r\n")) == std::string::npos) {
          if (!Fill(until)) return false;
        }
        const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        buffer.erase(0, end + 2);
        while (buffer.size() < size + 2) {
          if (!Fill(until)) return false;
        }
        message.body += buffer.substr(0, size);
        buffer.erase(0, size + 2);
        if (size == 0) break;
      }
    } else if (const std::string length = message.Header("content-length"); !length.empty()) {
      const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
      while (buffer.size() < size) {
        if (!Fill(until)) {
          message.body = buffer;
          return false;
        }
      }
      message.body = buffer.substr(0, size);
      buffer.erase(0, size);
    }
    message.whole = true;
    return true;
  }

  bool Ended() const { return ended; }
  std::string buffer;

 private:
  int socket;
  bool ended = false;
};

/// An HTTP server of a stand-in: one thread a connection. The handler may write to the connection
/// itself; it returns whether the connection is kept.
class Server {
 public:
  using Handler = std::function<bool(int socket, Message& request)>;

  Server(const std::string& ip, int port, Handler handler) : handler(std::move(handler)) {
    listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = Address(ip, port);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener, 512) != 0) {
      std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
      std::exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }

  /// Ends the listener and all connections, as a process that ends does.
  void End() {
    const std::scoped_lock lock(mutex);
    ended = true;
    ::shutdown(listener, SHUT_RDWR);
    ::close(listener);
    for (const auto& [socket, unused] : open) ::shutdown(socket, SHUT_RDWR);
  }

 private:
  void Accept() {
    while (!ended) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (ended) return;
        Sleep(5);
        continue;
      }
      const int one = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        const std::scoped_lock lock(mutex);
        open[socket] = true;
      }
      std::thread([this, socket] {
        Reader reader(socket);
        while (!ended) {
          Message request;
          const Time until = Clock::now() + Ms(60000);
          if (!reader.ReadHead(request, until) || !reader.ReadBody(request, until)) break;
          if (!handler(socket, request)) break;
        }
        const std::scoped_lock lock(mutex);
        open.erase(socket);
        ::close(socket);
      }).detach();
    }
  }

  Handler handler;
  int listener = -1;
  std::atomic<bool> ended = false;
  std::mutex mutex;
  std::map<int, bool> open;
};

inline std::string Answer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int Connect(const std::string& ip, int port, int timeout_ms) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Address(ip, port);
  ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  pollfd waited{socket, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&waited, 1, timeout_ms) <= 0 ||
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    ::close(socket);
    return -1;
  }
  const int one = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return socket;
}

/// One call on a connection of its own. Status 0 when no whole answer came.
inline Message Call(const std::string& ip, int port, const std::string& method,
                    const std::string& target, const std::string& headers, const std::string& body,
                    int timeout_ms) {
  Message answer;
  const Time until = Clock::now() + Ms(timeout_ms);
  const int socket = Connect(ip, port, std::min(timeout_ms, 1000));
  if (socket < 0) return answer;
  std::string bytes = method + " " + target + " HTTP/1.1\r\n" + headers;
  if (!body.empty() || method == "PUT" || method == "POST") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  bytes += "Connection: close\r\n\r\n" + body;
  Reader reader(socket);
  if (SendAll(socket, bytes, until) && reader.ReadHead(answer, until)) {
    reader.ReadBody(answer, until);
  }
  ::close(socket);
  if (!answer.whole) answer.first_line.clear();
  return answer;
}

/// A port that is free on all loopback addresses for TCP and UDP.
inline int FreePort() {
  static int next = 21000 + static_cast<int>(::getpid() * 37 % 9000);
  for (int tries = 0; tries < 2000; ++tries) {
    const int port = next++;
    bool is_free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
      const int one = 1;
      if (type == SOCK_STREAM) {
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      }
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(port));
      is_free = is_free &&
                ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
      ::close(socket);
    }
    if (is_free) return port;
  }
  std::exit(2);
}

/// One process of the system, restarted on demand.
struct Process {
  std::string name;
  std::vector<std::string> command;
  std::string settings;
  std::string log;
  std::string temporary;
  pid_t pid = -1;

  void Start() {
    pid = ::fork();
    if (pid != 0) return;
    // It ends with the script, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("MASTICRILL_SETTINGS", settings.c_str(), 1);
    ::setenv("TMPDIR", temporary.c_str(), 1);
    std::vector<char*> arguments;
    for (std::string& word : command) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  void Signal(int number) const {
    if (pid > 0) ::kill(pid, number);
  }
  void Kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    int status = 0;
    ::waitpid(pid, &status, 0);
    pid = -1;
  }
  /// Whether it has ended by itself.
  bool HasEnded() {
    int status = 0;
    if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) {
      pid = -1;
      return true;
    }
    return false;
  }
};

struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  bool has_disk = false;
  std::unique_ptr<Process> control;
  std::unique_ptr<Process> entry;
};

struct Shape {
  /// For each zone: machines with a disk, without one that run control, and other ones.
  int with_disk = 1;
  int observers = 0;
  int others = 0;
  int zones = 3;
};

class Deployment {
 public:
  explicit Deployment(const std::string& folder) : folder(folder) {}
  ~Deployment() { EndAll(); }

  void Make(const Shape& shape) {
    front_port = FreePort();
    ready_port = FreePort();
    control_port = FreePort();
    internal_port = FreePort();
    cloud_port = FreePort();
    worker_port = FreePort();
    is_large = shape.with_disk > 1;
    for (int zone = 0; zone < shape.zones; ++zone) {
      const int count = shape.with_disk + shape.observers + shape.others;
      for (int number = 0; number < count; ++number) {
        Machine machine;
        machine.zone = std::string("zone-") + static_cast<char>('a' + zone);
        machine.name = "front-" + machine.zone + "-" + std::to_string(number + 1);
        machine.ip = "127.77." + std::to_string(zone + 1) + "." + std::to_string(number + 1);
        machine.has_disk = number < shape.with_disk;
        if (number < shape.with_disk + shape.observers) machine.control = Make(machine, "control");
        machine.entry = Make(machine, "entry");
        machines.push_back(std::move(machine));
      }
    }
  }

  void Start() {
    for (Machine& machine : machines) {
      WriteSettings(machine, true);
      if (machine.control) machine.control->Start();
      machine.entry->Start();
    }
    // Later starts are no first starts.
    Sleep(500);
    for (Machine& machine : machines) WriteSettings(machine, false);
  }

  void EndAll() {
    for (Machine& machine : machines) {
      if (machine.control) machine.control->Kill();
      if (machine.entry) machine.entry->Kill();
    }
  }

  void KillCore() {
    for (Machine& machine : machines) {
      if (!machine.has_disk) continue;
      machine.control->Kill();
      machine.entry->Kill();
    }
  }
  void RestartCore() {
    for (Machine& machine : machines) {
      if (!machine.has_disk) continue;
      machine.control->Start();
      machine.entry->Start();
    }
  }

  /// Sends an order as the operator does: to a machine that serves control, and to the next one
  /// after a failure, until it gets a clear answer.
  int Order(const std::string& method, const std::string& path, const std::string& body,
            int within_ms) {
    const Time until = Clock::now() + Ms(within_ms);
    int last = 0;
    std::size_t next = 0;
    std::vector<Machine*> serving;
    for (Machine& machine : machines) {
      if (machine.control) serving.push_back(&machine);
    }
    while (Clock::now() < until) {
      const Machine& machine = *serving[next++ % serving.size()];
      const Message answer =
          Call(machine.ip, control_port, method, path,
               "Host: control\r\nContent-Type: application/json\r\n", body, 4000);
      last = answer.Status();
      if (last == 200 || (last >= 400 && last < 500 && last != 408 && last != 429)) return last;
      Sleep(100);
    }
    return last;
  }

  bool AwaitReady(int within_ms) {
    const Time until = Clock::now() + Ms(within_ms);
    while (Clock::now() < until) {
      bool all = true;
      for (const Machine& machine : machines) {
        all = all &&
              Call(machine.ip, ready_port, "GET", "/v1/ready", "Host: x\r\n", "", 500).Status() ==
                  200;
      }
      if (all) return true;
      Sleep(100);
    }
    return false;
  }

  std::string folder;
  std::vector<Machine> machines;
  int front_port = 0, ready_port = 0, control_port = 0, internal_port = 0, cloud_port = 0,
      worker_port = 0;
  std::string cloud_ip = "127.77.100.1";
  double list_calls = 42;
  /// Whether each zone has two machines with a disk, as on the larger sites.
  bool is_large = false;

 private:
  std::unique_ptr<Process> Make(const Machine& machine, const std::string& role) const {
    auto process = std::make_unique<Process>();
    process->name = machine.name + " " + role;
    process->command = {"target/masticrill", "platform", role};
    process->settings = folder + "/" + machine.name + "-" + role + ".conf";
    process->log = folder + "/" + machine.name + "-" + role + ".log";
    process->temporary = folder + "/tmp-" + machine.name + "-" + role;
    std::filesystem::create_directories(process->temporary);
    return process;
  }

  void WriteSettings(const Machine& machine, bool is_first_start) const {
    // One machine of each zone.
    std::string seeds;
    for (const Machine& other : machines) {
      if (other.ip.ends_with(".1")) {
        seeds += (seeds.empty() ? "" : ",") + other.ip + ":" + std::to_string(control_port);
      }
    }
    for (const bool is_control : {true, false}) {
      const Process* process = is_control ? machine.control.get() : machine.entry.get();
      if (process == nullptr) continue;
      const auto port = [](int number) { return std::to_string(number); };
      std::string text = "NodeName=" + machine.name +
                         "\nRole=" + (is_control ? "control" : "entry") +
                         "\nMachineClass=front\nServes=" + (is_control ? "control" : "front") +
                         "\nIp=" + machine.ip + "\nZone=" + machine.zone + "\nRegion=region-1\n";
      for (const Machine& other : machines) text += "Zones." + other.zone + "=region-1\n";
      if (is_control) {
        text += "Listen.Control=" + machine.ip + ":" + port(control_port) + "\n";
      } else {
        text += "Listen.Front=" + machine.ip + ":" + port(front_port) +
                "\nListen.Ready=" + machine.ip + ":" + port(ready_port) + "\n";
      }
      text += "InternalPorts=" + port(internal_port) + "," + port(internal_port) +
              "\nSeeds=" + seeds + "\nBootstrap=" + (is_first_start ? "true" : "false") +
              "\nInTolerance=" + (machine.has_disk ? "true" : "false") +
              "\nLimits.CpuShare=0.45\nLimits.Cores=1\nLimits.MemoryMb=110\nLimits.MaxFds=4100\n"
              "Limits.LinkMbps=1000.0\n";
      if (is_control && machine.has_disk) {
        text += "Limits.DiskMb=64\nDataDir=" + folder + "/data-" + machine.name + "\n";
      }
      text +=
          "Discovery=cloud\nEntry=vip\nHeartbeatMs=1200\n"
          "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,rollout\n" +
          std::string(is_large
                          ? "FaultTolerance.Machines=2\nFaultTolerance.Zones=1\n"
                            "FaultTolerance.Regions=0\nBounds.ContactMs=4000\nBounds.AckMs=5000\n"
                            "Bounds.CatchUpS=6\nBounds.DrainMs=4000\nBounds.ConfigApplyMs=2500\n"
                            "Bounds.MaxStretchMs=6000\nBounds.RecoveryS=15\nBounds.PassMs=200\n"
                          : "FaultTolerance.Machines=1\nFaultTolerance.Zones=1\n"
                            "FaultTolerance.Regions=0\nBounds.ContactMs=3000\nBounds.AckMs=4000\n"
                            "Bounds.CatchUpS=4\nBounds.DrainMs=3000\nBounds.ConfigApplyMs=2000\n"
                            "Bounds.MaxStretchMs=5000\nBounds.RecoveryS=12\nBounds.PassMs=120\n") +
          "Bounds.SeedLagS=3\nBounds.AddrReuseS=2\nBounds.GraceS=8\nBounds.LossSlackMs=200\n"
          "Bounds.RollbackSlackMs=250\nBounds.StrictRevoke=true\nBounds.RevokeMs=5000\n"
          "Bounds.RetryBudgetRatio=0.9\nBounds.BudgetWindowS=10\nBounds.RetryBudgetSlack=60\n"
          "Bounds.ExposeShare=0.15\nBounds.ExposeSlack=30\nBounds.RollbackMs=5000\n"
          "Bounds.ColdMultiplier=1.5\nBounds.ColdSlack=5\nBounds.EvacuateMs=5000\n"
          "Bounds.ReuseWindowS=7.4\nBounds.SessionS=5\nConfigMode=highest\nCloudApi.Address=" +
          cloud_ip + ":" + port(cloud_port) + "\nCloudApi.RatePerS=" + std::to_string(list_calls) +
          "\nCloudApi.Duties=\nCloudApi.LagMs=800\n";
      const std::string temporary = process->settings + ".new";
      std::FILE* file = std::fopen(temporary.c_str(), "w");
      std::fwrite(text.data(), 1, text.size(), file);
      std::fclose(file);
      std::filesystem::rename(temporary, process->settings);
    }
  }
};

inline bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string TemporaryFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "masticrill-review-XXXXXX").string();
  return ::mkdtemp(name.data());
}

/// A worker of a plain service. It runs the requests that name it and answers others with 421.
struct Arrival {
  std::string request;
  double at = 0;
};

class Worker {
 public:
  Worker(std::string id, std::string service, std::string ip, int port, std::string zone,
         int work_ms)
      : id(std::move(id)),
        service(std::move(service)),
        ip(std::move(ip)),
        port(port),
        zone(std::move(zone)),
        work_ms(work_ms) {}

  void Start() {
    server = std::make_unique<Server>(
        ip, port, [this](int socket, Message& request) { return Serve(socket, request); });
  }
  void End() { server->End(); }

  std::vector<Arrival> Arrivals() {
    const std::scoped_lock lock(mutex);
    return arrivals;
  }
  void ForgetArrivals() {
    const std::scoped_lock lock(mutex);
    arrivals.clear();
  }

  std::string id;
  const std::string service;
  const std::string ip;
  const int port;
  const std::string zone;

  // What the platform's list says of it; changed under the list's lock.
  std::string state = "ready";
  bool is_listed = true;
  Time cold_until{};

 private:
  bool Serve(int socket, const Message& request) {
    if (request.first_line.starts_with("GET /health ")) {
      return SendAll(socket, Answer(200, "X-Instance-Id: " + id + "\r\n", ""));
    }
    if (request.Header("x-target-instance") != id) {
      return SendAll(socket, Answer(421, "", ""));
    }
    const std::string number = request.Header("x-request-id");
    {
      const std::scoped_lock lock(mutex);
      arrivals.push_back({number, Seconds()});
    }
    Sleep(work_ms);
    SendAll(socket, Answer(200,
                           "X-Request-Id: " + number + "\r\nX-Response-Signature: s." + id + "." +
                               number + "\r\n",
                           "done " + number));
    return request.Header("connection") != "close";
  }

  const int work_ms;
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::unique_ptr<Server> server;
};

/// The platform's list of workers. It shows what was true LagMs ago.
class WorkerList {
 public:
  WorkerList(const Deployment& fleet, std::vector<Worker*> workers)
      : workers(std::move(workers)),
        server(fleet.cloud_ip, fleet.cloud_port,
               [this](int socket, Message&) {
                 return SendAll(socket, Answer(200, "Content-Type: application/json\r\n", Shown()));
               }),
        writer([this] { Run(); }) {}
  ~WorkerList() {
    is_stopping = true;
    writer.join();
  }

  /// Changes what is true, and returns when the list shows it.
  double Change(const std::function<void()>& change) {
    const std::scoped_lock lock(mutex);
    change();
    return Seconds() + kLagMs / 1000.0;
  }

  /// An entry of another writer, which stands behind the others.
  std::string foreign_entry;

  static std::string Entry(const Worker& worker, const std::string& slots,
                           const std::string& state) {
    const auto cold = std::chrono::duration_cast<Ms>(worker.cold_until - Clock::now()).count();
    return "{\"Service\":\"" + worker.service + "\",\"Address\":\"" + worker.ip + ":" +
           std::to_string(worker.port) + "\",\"Zone\":\"" + worker.zone + "\",\"Version\":\"v1\"," +
           slots + "\"State\":\"" + state +
           "\",\"ColdRemainingMs\":" + std::to_string(std::max<long>(cold, 0)) + ",\"Id\":\"" +
           worker.id + "\"}";
  }

 private:
  static constexpr int kLagMs = 800;

  std::string Shown() {
    const std::scoped_lock lock(mutex);
    return states.empty() ? "{\"Instances\":[],\"Next\":null}" : states.front().second;
  }

  void Run() {
    while (!is_stopping) {
      {
        const std::scoped_lock lock(mutex);
        std::string entries;
        for (const Worker* worker : workers) {
          if (worker->is_listed) {
            entries +=
                (entries.empty() ? "" : ",") + Entry(*worker, "\"Slots\":64,", worker->state);
          }
        }
        entries += foreign_entry.empty() ? "" : "," + foreign_entry;
        states.emplace_back(Clock::now(), "{\"Instances\":[" + entries + "],\"Next\":null}");
        while (states.size() > 1 && states[1].first <= Clock::now() - Ms(kLagMs)) {
          states.erase(states.begin());
        }
      }
      Sleep(20);
    }
  }

  std::vector<Worker*> workers;
  std::mutex mutex;
  std::vector<std::pair<Time, std::string>> states;
  std::atomic<bool> is_stopping = false;
  Server server;
  std::thread writer;
};

/// The way of one request as its client saw it.
struct Sent {
  std::string request;
  double at = 0;
  double answered_at = 0;
  int status = 0;
};

/// Clients that send requests at a steady rate, in turn to all machines, each on a connection of
/// its own.
class Clients {
 public:
  Clients(const Deployment& fleet, int count, int per_second, std::string method)
      : method(std::move(method)) {
    for (int number = 0; number < count; ++number) {
      threads.emplace_back(
          [this, &fleet, number, count, per_second] { Run(fleet, number, count, per_second); });
    }
  }

  std::vector<Sent> Stop() {
    is_stopping = true;
    for (std::thread& thread : threads) thread.join();
    threads.clear();
    const std::scoped_lock lock(mutex);
    return sent;
  }
  ~Clients() { Stop(); }

 private:
  void Run(const Deployment& fleet, int number, int count, int per_second) {
    const std::chrono::microseconds gap(1'000'000L * count / per_second);
    Time next = Clock::now() + gap * number / count;
    for (int turn = 0; !is_stopping; ++turn) {
      std::this_thread::sleep_until(next);
      next += gap;
      const Machine& machine = fleet.machines[(number + turn) % fleet.machines.size()];
      Sent one{std::to_string(number) + "-" + std::to_string(turn), Seconds()};
      one.status =
          Call(machine.ip, fleet.front_port, method, "/a/x",
               "Host: h.example\r\nX-Request-Id: " + one.request + "\r\nX-Deadline-Ms: 2000\r\n",
               "", 2500)
              .Status();
      one.answered_at = Seconds();
      const std::scoped_lock lock(mutex);
      sent.push_back(one);
    }
  }

  const std::string method;
  std::atomic<bool> is_stopping = false;
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> threads;
};

/// A configuration with one route to one service.
inline std::string Configuration(const std::string& kind, const std::string& service,
                                 const std::string& cold) {
  return "{\"Version\":3,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"h.example\",\"PathPrefix\":"
         "\"/a/\",\"Kind\":\"" +
         kind + "\",\"TimeoutMs\":2000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"" +
         service + "\",\"MaxAttempts\":2,\"Public\":true}],\"Services\":[{\"Name\":\"" + service +
         "\",\"HealthPath\":\"/health\",\"MaxConnections\":640,\"Protocol\":\"h1\",\"Tls\":"
         "false," +
         cold +
         "}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":"
         "3000,\"IdleTimeoutMs\":15000}}";
}

/// Ends a script: all processes of the system, then this one.
[[noreturn]] inline void Finish(Deployment& fleet, int code) {
  fleet.EndAll();
  std::error_code error;
  std::filesystem::remove_all(fleet.folder, error);
  std::fflush(stdout);
  std::_Exit(code);
}

}  // namespace review

#endif  // REVIEW_STAND_INS_2_H_
