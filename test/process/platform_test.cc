#include <doctest/doctest.h>

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/raw_upstream.h"
#include "process/platform_hosts.h"

namespace masticrill::process {
namespace {

using fakes::RawCall;
using fakes::RawUpstream;

/// The stand-ins of one worker and of the list that names it.
class Platform {
 public:
  Platform()
      : worker([this](const RawCall& call) { this->Serve(call); }),
        list([this](const RawCall& call) { this->ServeList(call); }) {}

  std::string ListAddress() const { return this->list.Address(); }
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

  std::mutex mutex;
  std::string last_head;
  RawUpstream worker;
  RawUpstream list;
};

/// Two hosts before one worker.
class PlatformFleet : private Platform, public PlatformHosts {
 public:
  PlatformFleet() : PlatformHosts(this->ListAddress(), 2) {}
  using Platform::LastHead;
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
