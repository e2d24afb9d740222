// What the scripts of the review share: the system's programs as child processes, and small
// stand-ins for the platform, its operator, the workers and the clients. Loopback addresses and the
// real clock.
#ifndef REVIEW_HARNESS_H_
#define REVIEW_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

using SteadyClock = std::chrono::steady_clock;
inline const SteadyClock::time_point kStart = SteadyClock::now();

/// Seconds since the start of the case.
inline double Now() { return std::chrono::duration<double>(SteadyClock::now() - kStart).count(); }

inline void SleepUntil(double at) {
  std::this_thread::sleep_until(kStart + std::chrono::duration_cast<SteadyClock::duration>(
                                             std::chrono::duration<double>(at)));
}
inline void SleepFor(double seconds) { SleepUntil(Now() + seconds); }

/// The file record.txt: one line an event, with its time.
class Record {
 public:
  static void Open(const std::string& path) { Stream().open(path, std::ios::trunc); }
  static void Line(const char* format, ...) __attribute__((format(printf, 1, 2))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    char time[32];
    snprintf(time, sizeof(time), "%9.3f  ", Now());
    const std::lock_guard<std::mutex> lock(Mutex());
    Stream() << time << text << "\n" << std::flush;
  }

 private:
  static std::ofstream& Stream() {
    static std::ofstream stream;
    return stream;
  }
  static std::mutex& Mutex() {
    static std::mutex mutex;
    return mutex;
  }
};

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return this->ip + ":" + std::to_string(this->port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/// A port that is free on all loopback addresses at the moment.
inline std::uint16_t FreePort() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in any = ToSockaddr({"0.0.0.0", 0});
  bind(descriptor, reinterpret_cast<sockaddr*>(&any), sizeof(any));
  socklen_t size = sizeof(any);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&any), &size);
  close(descriptor);
  return ntohs(any.sin_port);
}

/// Waits until the descriptor can be read; false at the deadline.
inline bool AwaitReadable(int descriptor, double until) {
  while (true) {
    const double left = until - Now();
    if (left <= 0) {
      return false;
    }
    pollfd entry{descriptor, POLLIN, 0};
    const int ready = poll(&entry, 1, static_cast<int>(left * 1000) + 1);
    if (ready > 0) {
      return true;
    }
  }
}

inline int Connect(const Address& address, double until) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in target = ToSockaddr(address);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    return -1;
  }
  pollfd entry{descriptor, POLLOUT, 0};
  const int ready = poll(&entry, 1, std::max(0, static_cast<int>((until - Now()) * 1000)));
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (ready <= 0 || error != 0) {
    close(descriptor);
    return -1;
  }
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

inline bool SendAll(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const ssize_t count = send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

/// A start line, header fields with names in lower case, and a body.
struct Message {
  std::string start;
  std::map<std::string, std::string> headers;
  std::string body;
  bool complete = false;

  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
  /// The status of an answer; 0 without one.
  int Status() const { return this->start.size() > 12 ? atoi(this->start.c_str() + 9) : 0; }
  std::string Method() const { return this->start.substr(0, this->start.find(' ')); }
  std::string Target() const {
    const std::size_t first = this->start.find(' ');
    return this->start.substr(first + 1, this->start.rfind(' ') - first - 1);
  }
};

/// Reads HTTP messages from a connection.
class Reader {
 public:
  explicit Reader(int descriptor) : descriptor(descriptor) {}

  /// Reads a head only. False at the end of the connection, at a reset or at the deadline.
  bool ReadHead(Message& message, double until) {
    std::size_t end = std::string::npos;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(until)) {
        return false;
      }
    }
    std::istringstream lines(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    message = {};
    std::string line;
    std::getline(lines, line);
    message.start = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
      line = line.substr(0, line.find('\r'));
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const std::size_t begin = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = begin == std::string::npos ? "" : line.substr(begin);
    }
    return true;
  }

  /// Reads the body behind a head. `is_answer`: without a length, the body ends with the
  /// connection.
  bool ReadBody(Message& message, double until, bool is_answer) {
    if (message.Header("transfer-encoding") == "chunked") {
      message.complete = this->ReadChunks(message.body, until);
    } else if (message.headers.contains("content-length")) {
      const std::size_t length = strtoull(message.Header("content-length").c_str(), nullptr, 10);
      while (this->buffer.size() < length && this->Fill(until)) {
      }
      message.complete = this->buffer.size() >= length;
      message.body = this->buffer.substr(0, length);
      this->buffer.erase(0, message.body.size());
    } else if (is_answer) {
      while (this->Fill(until)) {
      }
      message.complete = this->closed;
      message.body = std::exchange(this->buffer, {});
    } else {
      message.complete = true;
    }
    return message.complete;
  }

  bool Closed() const { return this->closed; }
  bool WasReset() const { return this->reset; }

 private:
  bool ReadChunks(std::string& body, double until) {
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->Fill(until)) {
          return false;
        }
      }
      const std::size_t size = strtoull(this->buffer.c_str(), nullptr, 16);
      while (this->buffer.size() < end + 2 + size + 2) {
        if (!this->Fill(until)) {
          return false;
        }
      }
      body += this->buffer.substr(end + 2, size);
      this->buffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  bool Fill(double until) {
    if (!AwaitReadable(this->descriptor, until)) {
      return false;
    }
    char block[65536];
    const ssize_t count = recv(this->descriptor, block, sizeof(block), 0);
    if (count <= 0) {
      this->closed = count == 0;
      this->reset = count < 0;
      return false;
    }
    this->buffer.append(block, static_cast<std::size_t>(count));
    return true;
  }

  int descriptor;
  std::string buffer;
  bool closed = false;
  bool reset = false;
};

/// Accepts connections and serves each on a thread of its own, until the process ends.
class Server {
 public:
  using Handler = std::function<void(int descriptor)>;

  Server(const Address& address, Handler handler) : address(address), handler(std::move(handler)) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in target = ToSockaddr(address);
    if (bind(this->listener, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0 ||
        listen(this->listener, 1024) != 0) {
      fprintf(stderr, "cannot listen on %s\n", address.Text().c_str());
      _exit(kCannotRun);
    }
    if (address.port == 0) {
      socklen_t size = sizeof(target);
      getsockname(this->listener, reinterpret_cast<sockaddr*>(&target), &size);
      this->address.port = ntohs(target.sin_port);
    }
    std::thread([this] { this->Run(); }).detach();
  }

  const Address& At() const { return this->address; }

 private:
  void Run() {
    while (true) {
      const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, descriptor] {
        this->handler(descriptor);
        close(descriptor);
      }).detach();
    }
  }

  Address address;
  Handler handler;
  int listener = -1;
};

/// The ways in which a call can end without an answer.
struct Answer {
  bool connected = false;
  bool answered = false;  // The whole answer has been read.
  Message message;
  int Status() const { return this->answered ? this->message.Status() : 0; }
};

/// One call on a connection of its own.
inline Answer Call(const Address& address, const std::string& method, const std::string& target,
                   const std::vector<std::pair<std::string, std::string>>& headers,
                   const std::string& body, double timeout) {
  const double until = Now() + timeout;
  Answer answer;
  const int descriptor = Connect(address, until);
  if (descriptor < 0) {
    return answer;
  }
  answer.connected = true;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
    has_host = has_host || name == "Host";
  }
  if (!has_host) {
    text += "Host: " + address.Text() + "\r\n";
  }
  if (!body.empty() || method == "POST" || method == "PUT") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  Reader reader(descriptor);
  answer.answered = SendAll(descriptor, text) && reader.ReadHead(answer.message, until) &&
                    reader.ReadBody(answer.message, until, true);
  close(descriptor);
  return answer;
}

/// A child process whose output goes to a file.
class Process {
 public:
  Process(const std::vector<std::string>& words, const std::string& settings,
          const std::string& temporary, const std::string& output)
      : output(output) {
    std::vector<char*> arguments;
    for (const std::string& word : words) {
      arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const std::string settings_variable = "MASTICRILL_SETTINGS=" + settings;
    const std::string temporary_variable = "TMPDIR=" + temporary;
    const std::string path = std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "/usr/bin");
    std::vector<char*> environment = {const_cast<char*>(settings_variable.c_str()),
                                      const_cast<char*>(temporary_variable.c_str()),
                                      const_cast<char*>(path.c_str()), nullptr};
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    this->id = fork();
    if (this->id == 0) {
      // Ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(file, 1);
      dup2(file, 2);
      execve(arguments[0], arguments.data(), environment.data());
      _exit(127);
    }
    close(file);
  }
  ~Process() { this->Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return this->id; }
  void Signal(int number) const {
    if (this->id > 0) {
      kill(this->id, number);
    }
  }
  /// Whether the process has ended by itself.
  bool Ended() {
    int status = 0;
    if (this->id > 0 && waitpid(this->id, &status, WNOHANG) == this->id) {
      this->id = -1;
    }
    return this->id < 0;
  }
  void Kill() {
    if (!this->Ended()) {
      kill(this->id, SIGCONT);
      kill(this->id, SIGKILL);
      waitpid(this->id, nullptr, 0);
      this->id = -1;
    }
  }
  std::string Output() const {
    std::ifstream file(this->output);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }
  /// The memory that the process uses now, in bytes.
  std::size_t Memory() const {
    std::ifstream file("/proc/" + std::to_string(this->id) + "/statm");
    std::size_t whole = 0;
    std::size_t resident = 0;
    file >> whole >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }

 private:
  std::string output;
  pid_t id = -1;
};

/// The machines of a small deployment: three zones. Machines 1 to 3 stand in one zone each and have
/// a disk; machine 4 is a second one of the first zone and has none. Each runs both roles of the
/// deploy file (`control` has `count = 2` in a zone).
class Fleet {
 public:
  static constexpr int kMachines = 4;
  static constexpr int kDisks = 3;

  explicit Fleet(const Address& list) : list(list) {
    char name[] = "/tmp/masticrill-review-XXXXXX";
    this->folder = mkdtemp(name);
    this->front = FreePort();
    this->ready = FreePort();
    this->control = FreePort();
    this->internal = FreePort();
    this->entries.resize(kMachines + 1);
    this->controls.resize(kMachines + 1);
  }
  ~Fleet() {
    this->entries.clear();
    this->controls.clear();
    // Only files that this case has written.
    if (getenv("KEEP") != nullptr) {
      fprintf(stderr, "%s\n", this->folder.c_str());
      return;
    }
    const std::string command = "rm -rf '" + this->folder + "'";
    if (system(command.c_str()) != 0) {
      fprintf(stderr, "cannot remove %s\n", this->folder.c_str());
    }
  }

  static std::string Ip(int machine) { return "127.0.0." + std::to_string(10 + machine); }
  static std::string Zone(int machine) {
    return std::string("zone-") + "abc"[(machine - 1) % kDisks];
  }
  Address Front(int machine) const { return {Ip(machine), this->front}; }
  Address Ready(int machine) const { return {Ip(machine), this->ready}; }
  Address Control(int machine) const { return {Ip(machine), this->control}; }

  void Start(int machine, const std::string& role, bool is_first = true) {
    const std::string name = role + std::to_string(machine);
    const std::string path = this->folder + "/" + name + ".conf";
    const std::string temporary = this->folder + "/tmp-" + name;
    mkdir(temporary.c_str(), 0755);
    std::ofstream file(path);
    const bool has_disk = machine <= kDisks;
    file << "NodeName=front-" << Zone(machine) << (has_disk ? "-1" : "-2") << "\nRole=" << role
         << "\nMachineClass=front\nServes=" << (role == "entry" ? "front" : "control")
         << "\nIp=" << Ip(machine) << "\nZone=" << Zone(machine)
         << "\nRegion=land\nZones.zone-a=land\nZones.zone-b=land\nZones.zone-c=land\nListen.Front="
         << this->Front(machine).Text() << "\nListen.Ready=" << this->Ready(machine).Text()
         << "\nListen.Control=" << this->Control(machine).Text()
         << "\nInternalPorts=" << this->internal << "," << this->internal
         << "\nSeeds=" << this->Control(1).Text() << "," << this->Control(2).Text() << ","
         << this->Control(3).Text() << "\nBootstrap=" << (is_first ? "true" : "false")
         << "\nInTolerance=" << (has_disk ? "true" : "false") << "\n"
         << "Limits.CpuShare=0.45\nLimits.Cores=1\nLimits.MemoryMb=110\nLimits.MaxFds=4100\n"
         << "Limits.LinkMbps=1000.0\n"
         << (has_disk ? "Limits.DiskMb=64\nDataDir=" + this->folder + "/data-" + name + "\n" : "")
         << "Discovery=cloud\nEntry=vip\nHeartbeatMs=1200\n"
         << "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,rollout\n"
         << "FaultTolerance.Machines=1\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\n"
         << "Bounds.SeedLagS=3\nBounds.AddrReuseS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\n"
         << "Bounds.CatchUpS=4\nBounds.DrainMs=3000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n"
         << "Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.MaxStretchMs=5000\n"
         << "Bounds.StrictRevoke=true\nBounds.RevokeMs=5000\nBounds.RetryBudgetRatio=0.9\n"
         << "Bounds.BudgetWindowS=10\nBounds.RetryBudgetSlack=60\nBounds.ExposeShare=0.15\n"
         << "Bounds.ExposeSlack=30\nBounds.RollbackMs=5000\nBounds.ColdMultiplier=1.5\n"
         << "Bounds.ColdSlack=5\nBounds.EvacuateMs=5000\nBounds.RecoveryS=12\nBounds.PassMs=120\n"
         << "Bounds.ReuseWindowS=7.4\nBounds.SessionS=5\nConfigMode=highest\nCloudApi.Address="
         << this->list.Text() << "\nCloudApi.RatePerS=42.0\nCloudApi.Duties=\nCloudApi.LagMs=800\n";
    file.close();
    auto& place = (role == "entry" ? this->entries : this->controls).at(machine);
    place.reset();
    place =
        std::make_unique<Process>(std::vector<std::string>{"target/masticrill", "platform", role},
                                  path, temporary, this->folder + "/" + name + ".log");
  }

  void StartAll() {
    for (int machine = 1; machine <= kMachines; ++machine) {
      this->Start(machine, "control");
      this->Start(machine, "entry");
    }
  }

  bool AwaitReady(double within) const {
    const double until = Now() + within;
    for (int machine = 1; machine <= kMachines; ++machine) {
      while (Call(this->Ready(machine), "GET", "/v1/ready", {}, "", 1).Status() != 200) {
        if (Now() > until) {
          return false;
        }
        SleepFor(0.1);
      }
    }
    return true;
  }

  /// A machine whose control process leads, by its log; 0 when none says so.
  int Leader() const {
    int leader = 0;
    long best_term = -1;
    for (int machine = 1; machine <= kMachines; ++machine) {
      std::istringstream lines(this->controls.at(machine)->Output());
      std::string line;
      while (std::getline(lines, line)) {
        const std::size_t term = line.find("\"term\":");
        if (line.find("The role changed") == std::string::npos || term == std::string::npos) {
          continue;
        }
        const long number = atol(line.c_str() + term + 7 + (line[term + 7] == '"' ? 1 : 0));
        if (line.find("\"role\":\"leader\"") != std::string::npos && number > best_term) {
          best_term = number;
          leader = machine;
        }
      }
    }
    return leader;
  }

  /// Freezes or wakes a machine: all of its processes.
  void Freeze(int machine) const {
    this->controls.at(machine)->Signal(SIGSTOP);
    this->entries.at(machine)->Signal(SIGSTOP);
    Record::Line("machine %d is frozen", machine);
  }
  void Wake(int machine) const {
    this->controls.at(machine)->Signal(SIGCONT);
    this->entries.at(machine)->Signal(SIGCONT);
    Record::Line("machine %d wakes", machine);
  }

  std::string folder;
  std::vector<std::unique_ptr<Process>> entries;
  std::vector<std::unique_ptr<Process>> controls;

 private:
  Address list;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t internal = 0;
};

/// The operator: sends an order to a machine and, after a failure, a 5xx, a 408, a 429 or a second
/// without an answer, the same order to the next one.
class Operator {
 public:
  explicit Operator(const Fleet& fleet) : fleet(fleet) {}

  /// Returns whether the order was acknowledged.
  bool Order(const std::string& method, const std::string& path, const std::string& body,
             int first_machine, double within, double patience = 1.0) const {
    const double until = Now() + within;
    double pause = 0.05;
    for (int tries = 0; Now() < until; ++tries) {
      const int machine = 1 + (first_machine - 1 + tries) % Fleet::kMachines;
      Record::Line("operator sends %s %s to machine %d", method.c_str(), path.c_str(), machine);
      const Answer answer = Call(this->fleet.Control(machine), method, path,
                                 {{"Content-Type", "application/json"}}, body, patience);
      Record::Line("operator gets %d for %s %s from machine %d", answer.Status(), method.c_str(),
                   path.c_str(), machine);
      if (answer.Status() >= 200 && answer.Status() < 300) {
        return true;
      }
      SleepFor(pause);
      pause = std::min(pause * 2, 0.4);
    }
    return false;
  }

 private:
  const Fleet& fleet;
};

/// An entry of the platform's list.
struct Listed {
  std::string id;
  std::string service;
  Address address;
  std::string zone;
  int slots = 6;
  std::string state = "ready";
  std::int64_t born = 1790000000000;
};

/// The platform's list of workers.
class ListServer {
 public:
  ListServer() : server({"127.0.0.2", 0}, [this](int descriptor) { this->Serve(descriptor); }) {}
  const Address& At() const { return this->server.At(); }
  void Set(std::vector<Listed> next) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->entries = std::move(next);
  }

 private:
  void Serve(int descriptor) {
    Reader reader(descriptor);
    Message request;
    while (reader.ReadHead(request, Now() + 30)) {
      std::string page;
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const Listed& entry : this->entries) {
          page += std::string(page.empty() ? "" : ",") + "{\"Service\":\"" + entry.service +
                  "\",\"Address\":\"" + entry.address.Text() + "\",\"Zone\":\"" + entry.zone +
                  "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(entry.slots) +
                  ",\"State\":\"" + entry.state + "\",\"ColdRemainingMs\":0,\"Id\":\"" + entry.id +
                  "\",\"born\":" + std::to_string(entry.born) + "}";
        }
      }
      page = "{\"Instances\":[" + page + "],\"Next\":null}";
      if (!SendAll(descriptor,
                   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                   "Content-Length: " +
                       std::to_string(page.size()) + "\r\n\r\n" + page)) {
        return;
      }
    }
  }

  std::mutex mutex;
  std::vector<Listed> entries;
  Server server;
};

/// One run of a request at a worker.
struct Run {
  double at = 0;
  std::string worker;
  std::string zone;
  std::string id;
};

/// All runs, in the order in which they began.
class Runs {
 public:
  void Add(const Run& run) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->all.push_back(run);
  }
  std::vector<Run> All() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->all;
  }

 private:
  mutable std::mutex mutex;
  std::vector<Run> all;
};

/// The programs run in the root of the repository; the argument is the folder of the case.
inline std::string CaseFolder(int count, char** words) {
  signal(SIGPIPE, SIG_IGN);
  if (count < 2 || access("target/masticrill", X_OK) != 0) {
    fprintf(stderr, "run in the root of the repository, after the build of the deploy file\n");
    _exit(kCannotRun);
  }
  Record::Open(std::string(words[1]) + "/record.txt");
  return words[1];
}

/// Whether the disruption takes place: not with TROUBLE=0.
inline bool HasTrouble() {
  const char* const text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace review

#endif  // REVIEW_HARNESS_H_
