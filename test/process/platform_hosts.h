#ifndef MASTICRILL_PROCESS_PLATFORM_HOSTS_H_
#define MASTICRILL_PROCESS_PLATFORM_HOSTS_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/TemporaryFile.h>
#include <stdlib.h>  // NOLINT(modernize-deprecated-headers): setenv is POSIX.

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "fakes/child_process.h"
#include "process/fleet.h"

namespace masticrill::process {

inline std::uint16_t FreePort() {
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
class PlatformHosts {
 public:
  /// Starts the programs. The list of upstreams is read from the given address. Further lines of
  /// their settings files may be given.
  PlatformHosts(std::string list_address, int entry_count, std::string more_settings = "")
      : list_address(std::move(list_address)), more_settings(std::move(more_settings)) {
    this->folder.createDirectories();
    this->control = this->Start(1, "control");
    for (int host = 1; host <= entry_count; ++host) {
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
         << this->folder.path() << "/data\nCloudApi.Address=" << this->list_address
         << "\nCloudApi.RatePerS=42.0\nBounds.GraceS=8\nBounds.SessionS=5\n"
         << this->more_settings;
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

 private:
  std::string list_address;
  std::string more_settings;
  Poco::TemporaryFile folder;

 public:
  Ports ports;
  std::unique_ptr<fakes::ChildProcess> control;
  std::vector<std::unique_ptr<fakes::ChildProcess>> entries;
};

}  // namespace masticrill::process

#endif  // MASTICRILL_PROCESS_PLATFORM_HOSTS_H_
