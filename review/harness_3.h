// Stand-ins of the third review: a platform's list of workers, workers, clients and an operator,
// all on loopback addresses, and the project's own programs as child processes. Plain POSIX, no
// dependency.
#ifndef REVIEW_HARNESS_3_H_
#define REVIEW_HARNESS_3_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review3 {

inline double Now() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

inline void Sleep(double in_seconds) {
  if (in_seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(in_seconds));
  }
}

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Writes record.txt, one line an event.
class Record {
 public:
  explicit Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {}
  ~Record() { std::fclose(this->file); }
  void Line(const std::string& text) {
    const std::scoped_lock lock(this->mutex);
    std::fprintf(this->file, "%9.3f %s\n", Now(), text.c_str());
    std::fflush(this->file);
  }
  void Say(const std::string& text) {
    this->Line(text);
    std::printf("%9.3f %s\n", Now(), text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex;
  std::FILE* file;
};

inline bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string FieldOf(const Fields& fields, std::string_view name) {
  for (const auto& [key, value] : fields) {
    if (SameName(key, name)) {
      return value;
    }
  }
  return "";
}

/// A connected TCP socket with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> To(const std::string& address, double timeout_s = 1) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
      return nullptr;
    }
    int error = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
      pollfd wait{fd, POLLOUT, 0};
      socklen_t size = sizeof error;
      if (poll(&wait, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
          getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        error = ETIMEDOUT;
      }
    }
    if (error != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    return std::make_unique<Connection>(fd);
  }

  bool Write(std::string_view data) {
    while (!data.empty()) {
      const ssize_t count = send(this->fd, data.data(), data.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      data.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  enum class Got { kBytes, kEnd, kReset, kTimeout };
  /// Waits for more bytes until that time.
  Got Fill(double until) {
    pollfd wait{this->fd, POLLIN, 0};
    const double left = until - Now();
    const int ready = poll(&wait, 1, left <= 0 ? 0 : static_cast<int>(left * 1000) + 1);
    if (ready <= 0) {
      return Got::kTimeout;
    }
    char block[16384];
    const ssize_t count = recv(this->fd, block, sizeof block, 0);
    if (count > 0) {
      this->buffer.append(block, static_cast<std::size_t>(count));
      return Got::kBytes;
    }
    return count == 0 ? Got::kEnd : Got::kReset;
  }

  /// Whether the peer has closed or reset the connection; leaves bytes alone.
  bool PeerLeft() {
    char byte = 0;
    const ssize_t count = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Reset() {
    const linger hard{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    this->Close();
  }
  void Close() {
    if (this->fd >= 0) {
      close(this->fd);
      this->fd = -1;
    }
  }

  std::string buffer;

 private:
  int fd;
};

struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  std::string Field(std::string_view name) const { return FieldOf(this->fields, name); }
};

/// Splits a head at its lines; the first line is returned.
inline std::string ParseHead(const std::string& head, Fields& fields) {
  std::istringstream lines(head);
  std::string first;
  std::getline(lines, first);
  if (!first.empty() && first.back() == '\r') {
    first.pop_back();
  }
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') {
      ++begin;
    }
    fields.emplace_back(line.substr(0, colon), line.substr(begin));
  }
  return first;
}

/// Reads one request with a Content-Length body. False when the connection has ended.
inline bool ReadRequest(Connection& connection, Request& request, double until) {
  std::size_t end = 0;
  while ((end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (connection.Fill(until) != Connection::Got::kBytes) {
      return false;
    }
  }
  const std::string head = connection.buffer.substr(0, end + 2);
  connection.buffer.erase(0, end + 4);
  request = {};
  const std::string line = ParseHead(head, request.fields);
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string::npos || last <= first) {
    return false;
  }
  request.method = line.substr(0, first);
  request.target = line.substr(first + 1, last - first - 1);
  const std::string length = request.Field("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (connection.buffer.size() < size) {
    if (connection.Fill(until) != Connection::Got::kBytes) {
      return false;
    }
  }
  request.body = connection.buffer.substr(0, size);
  connection.buffer.erase(0, size);
  return true;
}

/// Serves HTTP requests at an address, a thread a connection.
class Listener {
 public:
  /// Returns whether the connection goes on.
  using Handler = std::function<bool(Connection&, const Request&)>;

  Listener(const std::string& ip, std::uint16_t wanted, Handler handler)
      : handler(std::move(handler)) {
    this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(wanted);
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    if (bind(this->fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        listen(this->fd, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof at;
    getsockname(this->fd, reinterpret_cast<sockaddr*>(&at), &size);
    this->address = ip + ":" + std::to_string(ntohs(at.sin_port));
    this->thread = std::thread([this] { this->Run(); });
  }
  ~Listener() { this->Stop(); }

  void Stop() {
    if (!this->stopped.exchange(true)) {
      this->thread.join();
      close(this->fd);
      while (this->open > 0) {
        Sleep(0.01);
      }
    }
  }
  const std::string& Address() const { return this->address; }
  bool Stopped() const { return this->stopped; }

 private:
  void Run() {
    while (!this->stopped) {
      pollfd wait{this->fd, POLLIN, 0};
      if (poll(&wait, 1, 50) <= 0) {
        continue;
      }
      const int accepted = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      ++this->open;
      std::thread([this, accepted] {
        {
          Connection connection(accepted);
          Request request;
          while (!this->stopped) {
            const double until = Now() + 0.2;
            if (connection.buffer.empty()) {
              const Connection::Got got = connection.Fill(until);
              if (got == Connection::Got::kTimeout) {
                continue;
              }
              if (got != Connection::Got::kBytes) {
                break;
              }
            }
            if (!ReadRequest(connection, request, Now() + 30) ||
                !this->handler(connection, request)) {
              break;
            }
          }
        }
        --this->open;
      }).detach();
    }
  }

  Handler handler;
  int fd = -1;
  std::string address;
  std::atomic<bool> stopped = false;
  std::atomic<int> open = 0;
  std::thread thread;
};

inline std::string WholeAnswer(int status, const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An entry of the platform's list.
struct Instance {
  std::string id;
  std::string service;
  std::string address;
  std::string zone = "north";
  std::string version = "v1";
  int slots = 64;
  std::string state = "ready";
  std::int64_t cold_ms = 0;
  /// The Unix millisecond of its start; left out if 0.
  std::int64_t born = 0;

  std::string Json() const {
    return "{\"Id\":\"" + this->id + "\",\"Service\":\"" + this->service + "\",\"Address\":\"" +
           this->address + "\",\"Zone\":\"" + this->zone + "\",\"Version\":\"" + this->version +
           "\",\"Slots\":" + std::to_string(this->slots) + ",\"State\":\"" + this->state +
           "\",\"ColdRemainingMs\":" + std::to_string(this->cold_ms) +
           (this->born == 0 ? "" : ",\"born\":" + std::to_string(this->born)) + "}";
  }
};

inline std::string ListBody(const std::vector<Instance>& instances, const std::string& next = "") {
  std::string body = "{\"Instances\":[";
  for (std::size_t index = 0; index < instances.size(); ++index) {
    body += (index == 0 ? "" : ",") + instances[index].Json();
  }
  return body + "],\"Next\":" + (next.empty() ? "null" : "\"" + next + "\"") + "}";
}

/// A program of the project as a child process.
class Child {
 public:
  Child(const std::vector<std::string>& words, const std::vector<std::string>& variables,
        const std::string& log) {
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      sigset_t none;
      sigemptyset(&none);
      sigprocmask(SIG_SETMASK, &none, nullptr);
      std::vector<char*> arguments;
      for (const std::string& word : words) {
        arguments.push_back(const_cast<char*>(word.c_str()));
      }
      arguments.push_back(nullptr);
      std::vector<char*> environment;
      for (const std::string& variable : variables) {
        environment.push_back(const_cast<char*>(variable.c_str()));
      }
      environment.push_back(nullptr);
      execve(arguments[0], arguments.data(), environment.data());
      _exit(127);
    }
  }
  ~Child() { this->End(); }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Signal(int signal) {
    if (this->pid > 0) {
      kill(this->pid, signal);
    }
  }
  bool Ended() {
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = -1;
    }
    return this->pid <= 0;
  }
  void End() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }

 private:
  pid_t pid = -1;
};

/// What a client got.
struct Answer {
  int status = 0;
  Fields fields;
  std::string body;
  /// Whether the answer ended as its framing says.
  bool complete = false;
  std::string Field(std::string_view name) const { return FieldOf(this->fields, name); }
  bool Closes() const { return SameName(this->Field("Connection"), "close"); }
};

/// Reads one answer; `on_body` sees the bytes of the body as they come.
inline Answer ReadAnswer(Connection& connection, double until,
                         const std::function<void(const std::string&)>& on_body = {}) {
  Answer answer;
  std::size_t end = 0;
  while ((end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (connection.Fill(until) != Connection::Got::kBytes) {
      return answer;
    }
  }
  const std::string head = connection.buffer.substr(0, end + 2);
  connection.buffer.erase(0, end + 4);
  const std::string line = ParseHead(head, answer.fields);
  answer.status = line.size() >= 12 ? std::atoi(line.substr(9, 3).c_str()) : 0;
  const bool chunked = SameName(answer.Field("Transfer-Encoding"), "chunked");
  const std::string length = answer.Field("Content-Length");
  std::size_t left = length.empty() ? 0 : std::stoul(length);
  const auto more = [&] { return connection.Fill(until) == Connection::Got::kBytes; };
  const auto take = [&](std::size_t size) {
    const std::string part = connection.buffer.substr(0, size);
    connection.buffer.erase(0, size);
    answer.body += part;
    if (on_body) {
      on_body(part);
    }
    return part.size();
  };
  if (!chunked) {
    while (left > 0) {
      if (connection.buffer.empty() && !more()) {
        return answer;
      }
      left -= take(left);
    }
    answer.complete = true;
    return answer;
  }
  while (true) {
    std::size_t line_end = 0;
    while ((line_end = connection.buffer.find("\r\n")) == std::string::npos) {
      if (!more()) {
        return answer;
      }
    }
    const std::size_t size = std::stoul(connection.buffer.substr(0, line_end), nullptr, 16);
    connection.buffer.erase(0, line_end + 2);
    for (std::size_t rest = size; rest > 0;) {
      if (connection.buffer.empty() && !more()) {
        return answer;
      }
      rest -= take(rest);
    }
    while (connection.buffer.size() < 2) {
      if (!more()) {
        return answer;
      }
    }
    connection.buffer.erase(0, 2);
    if (size == 0) {
      answer.complete = true;
      return answer;
    }
  }
}

struct Call {
  std::string method = "POST";
  std::string target;
  Fields fields;
  std::string body;

  std::string Bytes() const {
    std::string text = this->method + " " + this->target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : this->fields) {
      text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(this->body.size()) + "\r\n\r\n" + this->body;
  }
};

/// Sends a call on a connection of its own.
inline Answer Ask(const std::string& address, const Call& call, double timeout_s) {
  const std::unique_ptr<Connection> connection = Connection::To(address);
  if (connection == nullptr || !connection->Write(call.Bytes())) {
    return {};
  }
  return ReadAnswer(*connection, Now() + timeout_s);
}

inline std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return ntohs(at.sin_port);
}

/// The machines of a deployment: 127.0.0.11 and up. The first ones have a disk and serve control,
/// the next ones serve control without a disk; all run an entry.
class Deployment {
 public:
  Deployment(std::string folder, int machines, int core_machines, int observers,
             std::string list_address, std::vector<std::string> zones = {"north"})
      : folder(std::move(folder)),
        machines(machines),
        core_machines(core_machines),
        control_machines(core_machines + observers),
        list_address(std::move(list_address)),
        zones(std::move(zones)),
        front(FreePort()),
        ready(FreePort()),
        operators(FreePort()),
        internal(FreePort()),
        controls(static_cast<std::size_t>(core_machines + observers)),
        entries(static_cast<std::size_t>(machines)) {}

  static std::string Ip(int machine) { return "127.0.0." + std::to_string(11 + machine); }
  std::string Front(int machine) const { return Ip(machine) + ":" + std::to_string(this->front); }
  std::string Ready(int machine) const { return Ip(machine) + ":" + std::to_string(this->ready); }
  std::string Control(int machine) const {
    return Ip(machine) + ":" + std::to_string(this->operators);
  }

  void StartControl(int machine) {
    this->controls.at(static_cast<std::size_t>(machine)) = this->Start(machine, "control");
  }
  void StartEntry(int machine) {
    this->entries.at(static_cast<std::size_t>(machine)) = this->Start(machine, "entry");
  }
  /// From now on processes start with the settings of a later start.
  void EndFirstStart() { this->is_first_start = false; }
  void StartAll() {
    for (int machine = 0; machine < this->control_machines; ++machine) {
      this->StartControl(machine);
    }
    for (int machine = 0; machine < this->machines; ++machine) {
      this->StartEntry(machine);
    }
    this->EndFirstStart();
  }
  Child& ControlOf(int machine) { return *this->controls.at(static_cast<std::size_t>(machine)); }
  Child& EntryOf(int machine) { return *this->entries.at(static_cast<std::size_t>(machine)); }

  /// Sends an operator's call to one control host after the other until it gets a clear answer.
  Answer Operate(const Call& call, double within_s) {
    const double until = Now() + within_s;
    for (int turn = 0; Now() < until; ++turn) {
      const Answer answer = Ask(this->Control(turn % this->control_machines), call, 3);
      if (answer.complete && answer.status != 503 && answer.status != 500) {
        return answer;
      }
      Sleep(0.1);
    }
    return {};
  }
  bool Configure(const std::string& body, double within_s = 20) {
    return this->Operate({"PUT", "/v1/config", {{"Content-Type", "application/json"}}, body},
                         within_s)
               .status == 200;
  }
  bool AwaitReady(int machine, double within_s = 20) const {
    const double until = Now() + within_s;
    while (Now() < until) {
      if (Ask(this->Ready(machine), {"GET", "/v1/ready", {}, ""}, 1).status == 200) {
        return true;
      }
      Sleep(0.05);
    }
    return false;
  }

 private:
  std::unique_ptr<Child> Start(int machine, const std::string& role) {
    const std::string name = role + std::to_string(machine);
    const std::string path = this->folder + "/" + name + ".conf";
    std::string seeds;
    for (int seed = 0; seed < std::min(this->core_machines, 3); ++seed) {
      seeds += (seed == 0 ? "" : ",") + this->Control(seed);
    }
    const std::string temporary = this->folder + "/tmp-" + name;
    const bool serves_control = role == "control";
    std::string zone_lines =
        "\nZone=" + this->zones[static_cast<std::size_t>(machine) % this->zones.size()] +
        "\nRegion=land\n";
    for (const std::string& zone : this->zones) {
      zone_lines += "Zones." + zone + "=land\n";
    }
    std::string text = "NodeName=front-" + std::to_string(machine) + "\nRole=" + role +
                       "\nMachineClass=front\nIp=" + Ip(machine) + zone_lines +
                       "InternalPorts=" + std::to_string(this->internal) + "," +
                       std::to_string(this->internal) + "\nSeeds=" + seeds +
                       "\nBootstrap=" + (this->is_first_start ? "true" : "false") +
                       "\nInTolerance=true\nLimits.CpuShare=0.45\nLimits.Cores=1\n"
                       "Limits.MemoryMb=110\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\n"
                       "Discovery=cloud\nEntry=vip\nFaultTolerance.Machines=1\n"
                       "Bounds.SeedLagS=3\nBounds.AddrReuseS=2\nBounds.ContactMs=3000\n"
                       "Bounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=3000\n"
                       "Bounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\n"
                       "Bounds.RollbackSlackMs=250\nBounds.MaxStretchMs=5000\n"
                       "Bounds.StrictRevoke=true\nBounds.RevokeMs=5000\n"
                       "Bounds.RetryBudgetRatio=0.9\nBounds.BudgetWindowS=10\n"
                       "Bounds.RetryBudgetSlack=60\nBounds.ExposeShare=0.15\n"
                       "Bounds.ExposeSlack=30\nBounds.RollbackMs=5000\n"
                       "Bounds.ColdMultiplier=1.5\nBounds.ColdSlack=5\nBounds.EvacuateMs=5000\n"
                       "Bounds.RecoveryS=12\nBounds.PassMs=120\nBounds.ReuseWindowS=7.4\n"
                       "Bounds.SessionS=5\nConfigMode=highest\nCloudApi.Address=" +
                       this->list_address + "\nCloudApi.RatePerS=42.0\nCloudApi.LagMs=800\n";
    if (serves_control) {
      text += "Serves=control\nListen.Control=" + this->Control(machine) + "\n";
      if (machine < this->core_machines) {
        text += "DataDir=" + this->folder + "/data-" + name + "\n";
      }
    } else {
      text += "Serves=front\nListen.Front=" + this->Front(machine) +
              "\nListen.Ready=" + this->Ready(machine) + "\n";
    }
    std::FILE* file = std::fopen(path.c_str(), "w");
    std::fputs(text.c_str(), file);
    std::fclose(file);
    const std::string make = "mkdir -p " + temporary;
    if (std::system(make.c_str()) != 0) {
      std::exit(2);
    }
    return std::make_unique<Child>(
        std::vector<std::string>{"target/masticrill", "platform", role},
        std::vector<std::string>{"MASTICRILL_SETTINGS=" + path, "TMPDIR=" + temporary,
                                 "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C"},
        this->folder + "/" + name + ".log");
  }

  std::string folder;
  int machines;
  int core_machines;
  int control_machines;
  std::string list_address;
  std::vector<std::string> zones;
  std::uint16_t front;
  std::uint16_t ready;
  std::uint16_t operators;
  std::uint16_t internal;
  bool is_first_start = true;
  std::vector<std::unique_ptr<Child>> controls;
  std::vector<std::unique_ptr<Child>> entries;
};

/// Clients that send requests to all machines at a constant rate, each on a connection of its own,
/// and do not wait for one answer before they send the next request. The time of sending stands
/// behind the @ of the id.
class Traffic {
 public:
  Traffic(const Deployment& deployment, int machines, double per_machine_s, double for_s, Call call,
          Record& record, double patience_s = 2)
      : start(Now()) {
    for (int machine = 0; machine < machines; ++machine) {
      this->senders.emplace_back([this, &deployment, &record, call, machine, machines,
                                  per_machine_s, for_s, patience_s] {
        for (int number = 0;; ++number) {
          const double due =
              this->start + (number + machine / static_cast<double>(machines)) / per_machine_s;
          if (due > this->start + for_s) {
            return;
          }
          Sleep(due - Now());
          ++this->open;
          std::thread([this, &deployment, &record, call, machine, number, patience_s]() mutable {
            const std::string id = "m" + std::to_string(machine) + "-" + std::to_string(number) +
                                   "@" + std::to_string(Now());
            call.fields.emplace_back("X-Request-Id", id);
            record.Line("client sends " + id);
            const Answer answer = Ask(deployment.Front(machine), call, patience_s);
            const int status = answer.complete ? answer.status : 0;
            record.Line("client gets " + std::to_string(status) + " for " + id);
            {
              const std::scoped_lock lock(this->mutex);
              ++this->statuses[status];
            }
            --this->open;
          }).detach();
        }
      });
    }
  }

  double Start() const { return this->start; }
  static double SentAt(const std::string& id) { return std::stod(id.substr(id.find('@') + 1)); }

  /// Waits for the last answer. Returns how many requests ended with each status; 0 for those
  /// without an answer.
  std::map<int, int> Finish() {
    for (std::thread& sender : this->senders) {
      sender.join();
    }
    while (this->open > 0) {
      Sleep(0.05);
    }
    return this->statuses;
  }

 private:
  double start;
  std::atomic<int> open = 0;
  std::mutex mutex;
  std::map<int, int> statuses;
  std::vector<std::thread> senders;
};

}  // namespace review3

#endif  // REVIEW_HARNESS_3_H_
