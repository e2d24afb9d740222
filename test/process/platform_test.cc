#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/TemporaryFile.h>
#include <doctest/doctest.h>
#include <stdlib.h>  // NOLINT(modernize-deprecated-headers): setenv is POSIX.

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/child_process.h"
#include "fakes/raw_upstream.h"
#include "process/fleet.h"

namespace masticrill::process {
namespace {

using fakes::RawCall;
using fakes::RawUpstream;

std::uint16_t FreePort() {
  const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
  return socket.address().port();
}

/// The ports that the platform gives all hosts of a day.
struct Ports {
  std::uint16_t callers = FreePort();
  std::uint16_t ready = FreePort();
  std::uint16_t operators = FreePort();
  std::uint16_t internal = FreePort();
};

/// Hosts are addresses of the loopback range. Each runs an entry; the first runs control too.
class PlatformFleet {
 public:
  PlatformFleet()
      : worker([this](const RawCall& call) { this->Serve(call); }),
        list([this](const RawCall& call) { this->ServeList(call); }) {
    this->folder.createDirectories();
    this->control = this->Start(1, "control");
    for (int host = 1; host <= 2; ++host) {
      this->entries.push_back(this->Start(host, "entry"));
    }
  }

  static std::string Ip(int host) { return "127.0.0." + std::to_string(host); }
  std::string At(int host, std::uint16_t port) const {
    return Ip(host) + ":" + std::to_string(port);
  }

  /// Starts a program with a settings file of the platform's form.
  std::unique_ptr<fakes::ChildProcess> Start(int host, const std::string& role) {
    const std::string path = this->folder.path() + "/" + role + std::to_string(host) + ".conf";
    std::ofstream file(path);
    file << "NodeName=host-" << host << "\nIp=" << Ip(host) << "\nZone=north\nRegion=land\n"
         << "Zones.north=land\nListen.Front=" << this->At(host, this->ports.callers)
         << "\nListen.Ready=" << this->At(host, this->ports.ready)
         << "\nListen.Control=" << this->At(host, this->ports.operators)
         << "\nInternalPorts=" << this->ports.internal << "," << this->ports.internal
         << "\nSeeds=" << this->At(1, this->ports.operators)
         << "\nBootstrap=true\nUnknown.Field=1\nLimits.MemoryMb=110\nDataDir="
         << this->folder.path() << "/data\nCloudApi.Address=" << this->list.Address()
         << "\nCloudApi.RatePerS=42.0\nBounds.GraceS=8\nBounds.SessionS=5\n";
    file.close();
    setenv("MASTICRILL_SETTINGS", path.c_str(), 1);
    return std::make_unique<fakes::ChildProcess>(
        std::vector<std::string>{MASTICRILL_BINARY, "platform", role});
  }

  net::HttpAnswer Call(const std::string& address, const net::HttpCall& call) const {
    net::HttpClient client(address, {});
    return Fleet::Call(client, call);
  }
  net::HttpAnswer Operate(const net::HttpCall& call) const {
    return this->Call(this->At(1, this->ports.operators), call);
  }
  net::HttpAnswer Ask(int host, const std::string& path, const std::string& key) const {
    return this->Call(this->At(host, this->ports.callers), {"POST",
                                                            path,
                                                            {{"Host", "a.example"},
                                                             {"X-Request-Id", "r1"},
                                                             {"X-Deadline-Ms", "5000"},
                                                             {"Authorization", "Bearer " + key}},
                                                            "body"});
  }
  void AwaitReady(int host) const {
    Await("readiness", [&] {
      return this->Call(this->At(host, this->ports.ready), {"GET", "/v1/ready"}).status == 200;
    });
  }

  void AwaitUnready(int host) const {
    Await("unready", [&] {
      return this->Call(this->At(host, this->ports.ready), {"GET", "/v1/ready"}).status != 200;
    });
  }

  std::string Configuration(int version, const Json& keys) const {
    return Json{{"Version", version},
                {"Routes",
                 {{{"Name", "once"},
                   {"Host", "a.example"},
                   {"PathPrefix", "/once/"},
                   {"Kind", "unsafe"},
                   {"TimeoutMs", 5000},
                   {"Service", "s"},
                   {"MaxAttempts", 1}},
                  {{"Name", "stream"},
                   {"Host", "a.example"},
                   {"PathPrefix", "/stream/"},
                   {"Kind", "streaming"},
                   {"TimeoutMs", 5000},
                   {"Service", "s"},
                   {"MaxAttempts", 2},
                   {"Resumable", true}}}},
                {"Services", {{{"Name", "s"}, {"HealthPath", "/health"}}}},
                {"Tenants", {{{"Name", "team-1"}, {"ApiKeys", keys}}}}}
        .dump();
  }

  /// Puts a configuration with the key "key-1" in force.
  void Configure(int version) const {
    Await("the configuration", [&] {
      return this->Operate({"PUT", "/v1/config", {}, this->Configuration(version, {"key-1"})})
                 .status == 200;
    });
  }

  std::string LastHead() {
    const std::lock_guard lock(this->mutex);
    return this->last_head;
  }

 private:
  void Serve(const RawCall& call) {
    {
      const std::lock_guard lock(this->mutex);
      this->last_head = call.head;
    }
    if (call.Has("POST /stream/")) {
      call.Write(
          "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: r1\r\n"
          "Transfer-Encoding: chunked\r\n\r\n9\r\nid: 1\na:\n\r\n1\r\n\n\r\n0\r\n\r\n");
      return;
    }
    call.Write(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: r1\r\n"
        "Content-Length: 4\r\n\r\ndone");
  }

  void ServeList(const RawCall& call) {
    const std::string page = Json{
        {"Instances",
         {{{"Id", "i-1"},
           {"Service", "s"},
           {"Address", this->worker.Address()},
           {"Zone", "north"},
           {"Version", "v1"},
           {"Slots", 8},
           {"State", "ready"},
           {"ColdRemainingMs", 0}},
          {{"Id", 5}}}},
        {"Next", nullptr}}.dump();
    call.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
               std::to_string(page.size()) + "\r\n\r\n" + page);
  }

  Poco::TemporaryFile folder;
  std::mutex mutex;
  std::string last_head;
  RawUpstream worker;
  RawUpstream list;

 public:
  Ports ports;
  std::unique_ptr<fakes::ChildProcess> control;
  std::vector<std::unique_ptr<fakes::ChildProcess>> entries;
};

TEST_CASE("the programs of the platform serve a calm day from settings of its form") {
  PlatformFleet fleet;
  // Before anything is configured nobody can tell whether a request is allowed.
  Await("an entry", [&] { return fleet.Ask(1, "/once/1", "key-1").status == 503; });
  fleet.Configure(3);
  for (const int host : {1, 2}) {
    fleet.AwaitReady(host);
    const net::HttpAnswer once = fleet.Ask(host, "/once/1", "key-1");
    CHECK(once.status == 200);
    CHECK(once.body == "done");
    CHECK(fleet.Ask(host, "/stream/1", "key-1").body == "id: 1\na:\n\n");
    CHECK(fleet.Ask(host, "/nowhere/", "key-1").status == 404);
    CHECK(fleet.Ask(host, "/once/1", "key-2").status == 401);
  }
  const std::string head = fleet.LastHead();
  CHECK(head.find("X-Tenant: team-1\r\n") != std::string::npos);
  CHECK(head.find("X-Target-Instance: i-1\r\n") != std::string::npos);
  CHECK(head.find("key-1") == std::string::npos);

  // A key that is taken away, and one that is given, at every entry.
  CHECK(fleet.Operate({"PUT", "/v1/config", {}, fleet.Configuration(8, {"key-2"})}).status == 200);
  CHECK(fleet.Operate({"GET", "/v1/config"}).body == fleet.Configuration(8, {"key-2"}));
  for (const int host : {1, 2}) {
    Await("the new keys", [&] { return fleet.Ask(host, "/once/1", "key-2").status == 200; });
    CHECK(fleet.Ask(host, "/once/1", "key-1").status == 401);
  }
  // The domain of the only upstream is taken out, and in again.
  CHECK(fleet.Operate({"POST", "/v1/evacuations/north"}).status == 200);
  Await("no upstream", [&] { return fleet.Ask(2, "/once/1", "key-2").status == 503; });
  CHECK(fleet.Operate({"DELETE", "/v1/evacuations/north"}).status == 200);
  Await("the upstream", [&] { return fleet.Ask(2, "/once/1", "key-2").status == 200; });
}

TEST_CASE("an acknowledged configuration survives a kill of all, and is served again") {
  PlatformFleet fleet;
  fleet.Configure(5);
  fleet.control->Kill();
  for (const auto& entry : fleet.entries) {
    entry->Kill();
  }
  fleet.control = fleet.Start(1, "control");
  fleet.entries[0] = fleet.Start(1, "entry");
  fleet.AwaitReady(1);
  CHECK(fleet.Operate({"GET", "/v1/config"}).body == fleet.Configuration(5, {"key-1"}));
  CHECK(fleet.Ask(1, "/once/1", "key-1").status == 200);
}

TEST_CASE("a stopping entry is not ready at once, still serves, and ends by itself with 0") {
  PlatformFleet fleet;
  fleet.Configure(5);
  fleet.AwaitReady(2);
  fleet.entries[1]->Signal(SIGTERM);
  fleet.AwaitUnready(2);
  CHECK(fleet.Ask(2, "/once/1", "key-1").status == 200);
  CHECK(fleet.entries[1]->Wait() == 0);
}

TEST_CASE("further signals do not end an entry that is stopping") {
  // Pattern: settings are read again everywhere while hosts are restarted in turn.
  PlatformFleet fleet;
  fleet.Configure(5);
  fleet.AwaitReady(2);
  fleet.entries[1]->Signal(SIGTERM);
  fleet.AwaitUnready(2);
  fleet.entries[1]->Signal(SIGHUP);
  fleet.entries[1]->Signal(SIGTERM);
  CHECK(fleet.Ask(2, "/once/1", "key-1").status == 200);
  CHECK(fleet.entries[1]->Wait() == 0);
}

}  // namespace
}  // namespace masticrill::process
