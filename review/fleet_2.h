#ifndef REVIEW_FLEET_2_H_
#define REVIEW_FLEET_2_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// What the scripts of the second review share: the project's processes on loopback addresses, an
/// operator, and the platform's list. Needs nothing but the system's C library.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

inline bool WithTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// What happened, with the seconds since the start, in record.txt and on standard output.
class Record {
 public:
  explicit Record(const std::string& path) : file(path), begin(Clock::now()) {}

  void Line(const std::string& text) {
    const std::scoped_lock lock(this->mutex);
    char time[32] = {};
    std::snprintf(time, sizeof(time), "%8.3f s  ", this->Seconds());
    this->file << time << text << std::endl;
    std::cout << time << text << std::endl;
  }

 private:
  double Seconds() const {
    return std::chrono::duration<double>(Clock::now() - this->begin).count();
  }

  std::ofstream file;
  Clock::time_point begin;
  std::mutex mutex;
};

/// A file descriptor that is closed at the end of its scope.
class Descriptor {
 public:
  explicit Descriptor(int number) : number(number) {}
  ~Descriptor() {
    if (this->number >= 0) {
      ::close(this->number);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int Number() const { return this->number; }

 private:
  int number;
};

inline sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A listener; -1 where the address is in use.
inline int Listen(const std::string& ip, int port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(ip, port);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(listener, 256) != 0) {
    ::close(listener);
    return -1;
  }
  return listener;
}

inline bool WaitFor(int descriptor, short events, Clock::time_point until) {
  while (true) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd entry{descriptor, events, 0};
    const int ready = ::poll(&entry, 1, static_cast<int>(std::max<long long>(left, 0)));
    if (ready > 0) {
      return true;
    }
    if (ready == 0 || errno != EINTR) {
      return false;
    }
  }
}

/// A connection; -1 where none was established in time.
inline int Connect(const std::string& ip, int port, Clock::time_point until) {
  const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(ip, port);
  int error = 0;
  socklen_t size = sizeof(error);
  if ((::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
       errno != EINPROGRESS) ||
      !WaitFor(connection, POLLOUT, until) ||
      ::getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    ::close(connection);
    return -1;
  }
  return connection;
}

inline bool SendAll(int connection, std::string_view bytes, Clock::time_point until) {
  while (!bytes.empty()) {
    const ssize_t count = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(count));
    } else if ((errno != EAGAIN && errno != EINTR) || !WaitFor(connection, POLLOUT, until)) {
      return false;
    }
  }
  return true;
}

/// Adds what has come to the text. Returns false at the end of the connection or of the time.
inline bool Receive(int connection, std::string& text, Clock::time_point until) {
  char block[16384];
  while (WaitFor(connection, POLLIN, until)) {
    const ssize_t count = ::recv(connection, block, sizeof(block), MSG_DONTWAIT);
    if (count > 0) {
      text.append(block, static_cast<std::size_t>(count));
      return true;
    }
    if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      return false;
    }
  }
  return false;
}

/// An answer with a Content-Length; status 0 where none came.
struct Answer {
  int status = 0;
  std::string body;
};

inline Answer Call(const std::string& ip, int port, const std::string& method,
                   const std::string& path, const std::string& body, milliseconds patience) {
  const auto until = Clock::now() + patience;
  const Descriptor connection(Connect(ip, port, until));
  std::ostringstream request;
  request << method << " " << path << " HTTP/1.1\r\nHost: " << ip << ":" << port << "\r\n"
          << "Connection: close\r\nContent-Type: application/json\r\n"
          << "Content-Length: " << body.size() << "\r\n\r\n"
          << body;
  if (connection.Number() < 0 || !SendAll(connection.Number(), request.str(), until)) {
    return {};
  }
  std::string text;
  while (Receive(connection.Number(), text, until)) {
  }
  const std::size_t head_end = text.find("\r\n\r\n");
  const std::size_t length_at = text.find("Content-Length: ");
  if (head_end == std::string::npos || length_at == std::string::npos || length_at > head_end) {
    return {};
  }
  Answer answer{std::atoi(text.c_str() + text.find(' ')), text.substr(head_end + 4)};
  const auto length = static_cast<std::size_t>(std::atoll(text.c_str() + length_at + 16));
  return answer.body.size() == length ? answer : Answer{};
}

/// The ports that are the same on all machines.
struct Ports {
  static constexpr int kCallers = 8227;
  static constexpr int kReady = 8220;
  static constexpr int kControl = 8229;
  static constexpr int kInternal = 7340;
  static constexpr int kPlatform = 8223;
};

/// The platform's list of workers: the entries that a function makes, or none.
class PlatformList {
 public:
  using Entries = std::function<std::string()>;

  explicit PlatformList(const std::string& ip) : listener(Listen(ip, Ports::kPlatform)) {
    if (this->listener.Number() < 0) {
      throw std::runtime_error("the address of the platform's list is in use");
    }
    this->thread = std::thread([this] { this->Run(); });
  }
  ~PlatformList() {
    this->stopped = true;
    this->thread.join();
  }

  void SetEntries(Entries next) {
    const std::scoped_lock lock(this->mutex);
    this->entries = std::move(next);
  }

 private:
  std::string Answer() {
    const std::scoped_lock lock(this->mutex);
    const std::string body =
        "{\"Instances\":[" + (this->entries ? this->entries() : "") + "],\"Next\":null}";
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void Run() {
    while (!this->stopped) {
      if (!WaitFor(this->listener.Number(), POLLIN, Clock::now() + milliseconds(100))) {
        continue;
      }
      const Descriptor caller(::accept4(this->listener.Number(), nullptr, nullptr, SOCK_CLOEXEC));
      const auto until = Clock::now() + milliseconds(300);
      std::string request;
      while (request.find("\r\n\r\n") == std::string::npos &&
             Receive(caller.Number(), request, until)) {
      }
      SendAll(caller.Number(), this->Answer(), until);
    }
  }

  Descriptor listener;
  std::mutex mutex;
  Entries entries;
  std::atomic<bool> stopped = false;
  std::thread thread;
};

/// One machine of the class `front`: its settings, its disk, and its process with one role.
class Machine {
 public:
  struct Place {
    std::string ip;
    std::string zone;
    bool has_disk = false;
    std::string role = "control";
  };

  Machine(Place place, std::string folder, std::string platform_ip, Record& record)
      : place(std::move(place)),
        folder(std::move(folder) + "/" + this->place.ip),
        platform_ip(std::move(platform_ip)),
        record(record) {}
  ~Machine() { this->End(); }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  const std::string& Ip() const { return this->place.ip; }
  std::string Name() const {
    return this->place.ip + (this->place.has_disk ? " (core)" : " (no disk)");
  }

  /// Starts the process with the command of the deploy file.
  void Start(const std::vector<std::string>& seeds, bool is_first_start) {
    const std::string temporary = this->folder + "/tmp";
    std::filesystem::create_directories(temporary);
    if (this->place.has_disk) {
      std::filesystem::create_directories(this->DiskFolder());
    }
    const std::string settings = this->folder + "/boot.conf";
    std::ofstream(settings) << this->Settings(seeds, is_first_start);
    const std::string log = this->folder + "/log." + std::to_string(++this->starts);
    this->process = ::fork();
    if (this->process == 0) {
      // It ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("MASTICRILL_SETTINGS", settings.c_str(), 1);
      ::setenv("TMPDIR", temporary.c_str(), 1);
      ::execl("target/masticrill", "target/masticrill", "platform", this->place.role.c_str(),
              nullptr);
      ::_exit(127);
    }
    std::string text =
        "start " + this->Name() + ", Bootstrap=" + (is_first_start ? "true" : "false");
    text += ", Seeds=";
    for (const std::string& seed : seeds) {
      text += (seed == seeds.front() ? "" : ",") + seed;
    }
    this->record.Line(text);
  }

  void Signal(int number, const std::string& name) const {
    this->record.Line(name + " to " + this->Name());
    ::kill(this->process, number);
  }

  /// Kills the process and waits for its end.
  void Kill() {
    this->record.Line("kill " + this->Name());
    this->End();
  }

  /// Whether the process has ended by itself within that time.
  bool AwaitEnd(milliseconds patience) {
    const auto until = Clock::now() + patience;
    while (this->process > 0 && Clock::now() < until) {
      int status = 0;
      if (::waitpid(this->process, &status, WNOHANG) == this->process) {
        this->process = -1;
        this->record.Line("end of " + this->Name() + ", code " +
                          std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -1));
      }
      Sleep(milliseconds(10));
    }
    return this->process <= 0;
  }

  /// Whether the process runs.
  bool Runs() const { return this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == 0; }

  std::string DiskFolder() const { return this->folder + "/disk"; }

  void LoseDisk() const {
    this->record.Line("the disk of " + this->Name() + " is lost");
    std::filesystem::remove_all(this->DiskFolder());
  }

 private:
  void End() {
    if (this->process > 0) {
      ::kill(this->process, SIGKILL);
      ::waitpid(this->process, nullptr, 0);
      this->process = -1;
    }
  }

  std::string Settings(const std::vector<std::string>& seeds, bool is_first_start) const {
    const std::string& ip = this->place.ip;
    const auto at = [&](int port) { return ip + ":" + std::to_string(port) + "\n"; };
    std::ostringstream text;
    text << "NodeName=front-" << ip << "\nRole=" << this->place.role
         << "\nMachineClass=front\nServes=" << (this->place.role == "control" ? "control" : "front")
         << "\n"
         << "Ip=" << ip << "\nZone=" << this->place.zone << "\nRegion=region-1\n"
         << "Zones.zone-a=region-1\nZones.zone-b=region-1\nZones.zone-c=region-1\n"
         << "Listen.Front=" << at(Ports::kCallers) << "Listen.Ready=" << at(Ports::kReady)
         << "Listen.Control=" << at(Ports::kControl) << "InternalPorts=" << Ports::kInternal << ","
         << Ports::kInternal + 15 << "\nSeeds=";
    for (const std::string& seed : seeds) {
      text << (seed == seeds.front() ? "" : ",") << seed << ":" << Ports::kControl;
    }
    text << "\nBootstrap=" << (is_first_start ? "true" : "false")
         << "\nInTolerance=" << (this->place.has_disk ? "true" : "false")
         << "\nLimits.CpuShare=0.45\nLimits.Cores=1\nLimits.MemoryMb=110\nLimits.MaxFds=4100\n"
         << "Limits.LinkMbps=1000.0\nLimits.DiskMb=64\n";
    if (this->place.has_disk) {
      text << "DataDir=" << this->DiskFolder() << "\n";
    }
    text << "Discovery=cloud\nEntry=vip\nHeartbeatMs=1200\n"
         << "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,rollout\n"
         << "FaultTolerance.Machines=1\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\n"
         << "Bounds.SeedLagS=3\nBounds.AddrReuseS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\n"
         << "Bounds.CatchUpS=4\nBounds.DrainMs=3000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n"
         << "Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.MaxStretchMs=5000\n"
         << "Bounds.StrictRevoke=true\nBounds.RevokeMs=5000\nBounds.ExposeShare=0.15\n"
         << "Bounds.ExposeSlack=30\nBounds.RecoveryS=12\nBounds.SessionS=5\n"
         << "ConfigMode=highest\nCloudApi.Address=" << this->platform_ip << ":" << Ports::kPlatform
         << "\nCloudApi.RatePerS=42.0\nCloudApi.Duties=\nCloudApi.LagMs=800\n";
    return text.str();
  }

  Place place;
  std::string folder;
  std::string platform_ip;
  Record& record;
  pid_t process = -1;
  int starts = 0;
};

/// The control hosts of a small deployment: in each of three zones one machine with a disk and one
/// without. All addresses are loopback ones that nothing else uses.
class Fleet {
 public:
  explicit Fleet(Record& record) : record(record), prefix(FreePrefix()) {
    char name[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    this->folder = name;
    this->platform = std::make_unique<PlatformList>(this->PlatformIp());
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    for (int index = 0; index < 3; ++index) {
      this->others.push_back(this->MakeMachine(11 + index, zones[index], false));
      this->core.push_back(this->MakeMachine(21 + index, zones[index], true));
    }
  }
  ~Fleet() {
    this->core.clear();
    this->others.clear();
    std::error_code error;
    if (std::getenv("REVIEW_KEEP") == nullptr) {
      std::filesystem::remove_all(this->folder, error);
    } else {
      this->record.Line("the logs stand in " + this->folder);
    }
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// The first start of the whole system, with the core as seeds.
  void StartAll() {
    for (const auto* machines : {&this->core, &this->others}) {
      for (const auto& machine : *machines) {
        machine->Start(this->IpsOf(this->core), true);
      }
    }
  }

  std::unique_ptr<Machine> MakeMachine(int number, const std::string& zone, bool has_disk,
                                       const std::string& role = "control") {
    return std::make_unique<Machine>(
        Machine::Place{this->prefix + std::to_string(number), zone, has_disk, role}, this->folder,
        this->PlatformIp(), this->record);
  }

  std::string IpOf(int number) const { return this->prefix + std::to_string(number); }
  PlatformList& List() { return *this->platform; }

  static std::vector<std::string> IpsOf(const std::vector<std::unique_ptr<Machine>>& machines) {
    std::vector<std::string> ips;
    for (const auto& machine : machines) {
      ips.push_back(machine->Ip());
    }
    return ips;
  }

  /// In the order of their addresses.
  std::vector<std::unique_ptr<Machine>> core;
  std::vector<std::unique_ptr<Machine>> others;

 private:
  std::string PlatformIp() const { return this->prefix + "100"; }

  /// The first three numbers of addresses at which the ports are free.
  static std::string FreePrefix() {
    for (int attempt = 0; attempt < 200; ++attempt) {
      const int seed = static_cast<int>(::getpid()) + attempt * 257;
      std::string prefix = "127." + std::to_string(16 + seed % 200) + "." +
                           std::to_string(1 + seed / 200 % 250) + ".";
      bool is_free = true;
      for (const int port :
           {Ports::kCallers, Ports::kReady, Ports::kControl, Ports::kInternal, Ports::kPlatform}) {
        const Descriptor listener(Listen(prefix + "11", port));
        is_free = is_free && listener.Number() >= 0;
      }
      if (is_free) {
        return prefix;
      }
    }
    throw std::runtime_error("no free loopback addresses");
  }

  Record& record;
  std::string prefix;
  std::string folder;
  std::unique_ptr<PlatformList> platform;
};

/// A configuration of one route. Each version changes its time-out.
inline std::string Configuration(int version) {
  return "{\"Version\":" + std::to_string(version) +
         ",\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"a.example\",\"PathPrefix\":\"/a/\","
         "\"Kind\":\"unsafe\",\"TimeoutMs\":" +
         std::to_string(1000 + version) +
         ",\"TargetLatencyMs\":150,\"Priority\":1,\"Service\":\"s-1\",\"MaxAttempts\":1,"
         "\"Public\":false}],\"Services\":[{\"Name\":\"s-1\",\"HealthPath\":\"/health\","
         "\"MaxConnections\":120,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,"
         "\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t-1\","
         "\"ApiKeys\":[\"key-1\"],\"Priority\":1}]}";
}

/// Sends orders as the pages tell: to any control host, to the next one after a second without an
/// answer or after a failure.
class Operator {
 public:
  explicit Operator(Record& record) : record(record) {}

  /// Returns whether the version was acknowledged within that time.
  bool Put(const std::vector<std::string>& ips, int version, milliseconds patience) {
    return this->Put(ips, version, Configuration(version), patience);
  }
  bool Put(const std::vector<std::string>& ips, int version, const std::string& body,
           milliseconds patience) {
    const auto until = Clock::now() + patience;
    for (std::size_t attempt = 0; Clock::now() < until; ++attempt) {
      const std::string& ip = ips[attempt % ips.size()];
      const Answer answer =
          Call(ip, Ports::kControl, "PUT", "/v1/config", body, milliseconds(1000));
      this->record.Line("PUT /v1/config, version " + std::to_string(version) + ", to " + ip + ": " +
                        Outcome(answer));
      if (answer.status == 200) {
        return true;
      }
      Sleep(milliseconds(100));
    }
    return false;
  }

  /// Asks all of them in turn. Returns the first configuration that comes.
  std::optional<std::string> ReadBack(const std::vector<std::string>& ips, milliseconds patience) {
    const auto until = Clock::now() + patience;
    while (Clock::now() < until) {
      for (const std::string& ip : ips) {
        const Answer answer =
            Call(ip, Ports::kControl, "GET", "/v1/config", "", milliseconds(1000));
        this->record.Line("GET /v1/config at " + ip + ": " + Outcome(answer));
        if (answer.status == 200) {
          return answer.body;
        }
      }
      Sleep(seconds(2));
    }
    return std::nullopt;
  }

 private:
  static std::string Outcome(const Answer& answer) {
    return answer.status == 0 ? "no answer within 1 s" : std::to_string(answer.status);
  }

  Record& record;
};

/// Runs a case: writes its record, and says how it went as the exit code of the process.
inline int RunCase(const char* record_path, const std::function<int(Record&)>& run) {
  Record record(record_path);
  record.Line(WithTrouble() ? "with the disruption" : "without the disruption");
  int result = kCouldNotRun;
  try {
    result = run(record);
  } catch (const std::exception& exception) {
    record.Line(std::string("the case could not run: ") + exception.what());
  }
  record.Line(result == kHeld     ? "the rule held"
              : result == kBroken ? "the rule was broken"
                                  : "the case could not run");
  return result;
}

}  // namespace review

#endif  // REVIEW_FLEET_2_H_
