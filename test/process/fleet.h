#ifndef MASTICRILL_PROCESS_FLEET_H_
#define MASTICRILL_PROCESS_FLEET_H_

#include <Poco/TemporaryFile.h>
#include <doctest/doctest.h>

#include <array>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fakes/child_process.h"
#include "fakes/engine_server.h"
#include "masticrill/common/clock.h"
#include "masticrill/config/permission.h"
#include "masticrill/net/http_client.h"

namespace masticrill::process {

using Json = nlohmann::json;
using Headers = std::vector<net::HeaderField>;

inline constexpr std::string_view kSecret = "a secret for tests";
inline constexpr std::string_view kTeamKey = "team-key";
inline constexpr std::string_view kOperatorKey = "operator-key";
/// How long a test waits for something that must happen.
inline constexpr seconds kGenerous{60};

/// Polls until the condition holds. The test fails when it does not within a generous time, with
/// what `describe` returns then.
inline void Await(
    const std::string& what, const std::function<bool()>& condition,
    const std::function<std::string()>& describe = [] { return std::string(); }) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + kGenerous;
  while (!condition()) {
    if (clock.Now() > end) {
      FAIL("did not happen: " << what << describe());
    }
    std::this_thread::yield();
  }
}

/// A process of the program with the addresses that it printed when it was ready.
struct RoleProcess {
  std::unique_ptr<fakes::ChildProcess> process;
  std::map<std::string, std::string> addresses;
};

/// A small fleet of real processes: one control host, two entries and three sidecars, before two
/// model engines and one plain service that run in the test.
class Fleet {
 public:
  explicit Fleet(int tokens = 5)
      : engines{fakes::EngineServer(tokens), fakes::EngineServer(tokens)}, service(tokens) {
    this->folder.createDirectories();
    this->control = this->Start("control", "control-1",
                                "[control]\nrpc_listen = 127.0.0.1:0\nhttp_listen = 127.0.0.1:0\n"
                                "data_folder = " +
                                    this->folder.path() +
                                    "/data\n"
                                    "bootstrap_operator_key = " +
                                    std::string(kOperatorKey) + "\n");
    this->sidecars["engine-1"] = this->StartSidecar("engine-1", this->engines[0].Address());
    this->sidecars["engine-2"] = this->StartSidecar("engine-2", this->engines[1].Address());
    this->sidecars["booking-1"] = this->StartSidecar("booking-1", this->service.Address());
    this->PatchUntilAccepted(this->Document());
    this->entries.push_back(this->StartEntry("entry-1"));
    this->entries.push_back(this->StartEntry("entry-2"));
    for (const RoleProcess& entry : this->entries) {
      this->AwaitReady(entry);
    }
    for (const auto& [name, sidecar] : this->sidecars) {
      this->AwaitReady(sidecar);
    }
  }

  RoleProcess StartSidecar(const std::string& name, const std::string& upstream) {
    return this->Start(
        "sidecar", name,
        "[sidecar]\nrpc_listen = 127.0.0.1:0\nhttp_listen = 127.0.0.1:0\ncontrol = " +
            this->control.addresses["rpc"] + "\n[upstream]\nkind = http\naddress = " + upstream +
            "\n");
  }

  RoleProcess StartEntry(const std::string& name) {
    return this->Start(
        "entry", name,
        "[entry]\nhttp_listen = 127.0.0.1:0\ncontrol = " + this->control.addresses["rpc"] + "\n");
  }

  void AwaitReady(const RoleProcess& role) const {
    net::HttpClient client(role.addresses.at("http"), {});
    Await("readiness", [&] { return Call(client, {"GET", "/readyz"}).status == 200; });
  }

  /// Calls an HTTP interface; status 0 stands for no answer.
  static net::HttpAnswer Call(net::HttpClient& client, const net::HttpCall& call) {
    return HandleErrors([&] { return client.Call(call); },
                        [](const Error&) {
                          return net::HttpAnswer{0, {}, {}};
                        });
  }

  net::HttpAnswer AtEntry(std::size_t entry, net::HttpCall call) const {
    net::HttpClient client(this->entries.at(entry).addresses.at("http"),
                           {.read_timeout = milliseconds(kGenerous)});
    call.headers.push_back({"Authorization", "Bearer " + std::string(kTeamKey)});
    return Call(client, call);
  }

  net::HttpAnswer Chat(std::size_t entry, const std::string& model, bool stream,
                       const Headers& headers = {}) const {
    const Json body = {{"model", model},
                       {"messages", Json::array({{{"role", "user"}, {"content", "a sketch"}}})},
                       {"stream", stream}};
    return this->AtEntry(entry, {"POST", "/v1/chat/completions", headers, body.dump()});
  }

  net::HttpAnswer Book(std::size_t entry, const std::string& key, const std::string& body) const {
    return this->AtEntry(
        entry, {"POST", "/v1/services/booking/reserve", {{"Idempotency-Key", key}}, body});
  }

  net::HttpAnswer AtControl(net::HttpCall call) const {
    net::HttpClient client(this->control.addresses.at("http"),
                           {.read_timeout = milliseconds(kGenerous)});
    call.headers.push_back({"Authorization", "Bearer " + std::string(kOperatorKey)});
    return Call(client, call);
  }

  Json ControlJson(const std::string& path) const {
    return Json::parse(this->AtControl({"GET", path}).body, nullptr, false);
  }

  std::uint64_t Number() const {
    const Json status = this->ControlJson("/v1/status");
    return status.is_object() ? status.value("number", std::uint64_t{0}) : 0;
  }

  /// Applies a patch to the current configuration.
  void PatchUntilAccepted(const Json& patch) const {
    Await("the patch", [&] {
      const net::HttpAnswer answer =
          this->AtControl({"PATCH",
                           "/v1/config",
                           {{"If-Match", "\"" + std::to_string(this->Number()) + "\""},
                            {"Idempotency-Key", patch.dump().substr(0, 200)}},
                           patch.dump()});
      if (answer.status == 422) {
        FAIL(answer.body);
      }
      return answer.status == 200;
    });
  }

  void PatchEverywhere(const Json& patch) const {
    this->PatchUntilAccepted(patch);
    Await("the number in force everywhere", [&] {
      const Json status = this->ControlJson("/v1/status");
      return status.is_object() && status["in_force_everywhere"] == status["number"];
    });
  }

  /// The state of all processes, for the log of a failed test.
  std::string Describe() {
    std::string text = "\ncontrol " + this->control.process->Describe();
    for (const RoleProcess& entry : this->entries) {
      text += "\nentry " + entry.process->Describe();
    }
    for (const auto& [name, sidecar] : this->sidecars) {
      text += "\nsidecar " + name + " " + sidecar.process->Describe();
    }
    return text;
  }

  std::uint64_t BilledRequests() const {
    std::uint64_t requests = 0;
    for (const Json& line : this->ControlJson("/v1/ledger").value("billing", Json::array())) {
      requests += line["requests"].get<std::uint64_t>();
    }
    return requests;
  }

  Poco::TemporaryFile folder;
  std::array<fakes::EngineServer, 2> engines;
  fakes::EngineServer service;
  RoleProcess control;
  std::map<std::string, RoleProcess> sidecars;
  std::vector<RoleProcess> entries;

 private:
  RoleProcess Start(const std::string& role, const std::string& name, const std::string& sections) {
    const std::string path = this->folder.path() + "/" + name + ".ini";
    std::ofstream(path) << "[node]\nname = " << name << "\nfailure_domain = north-a\n"
                        << sections << "[security]\nshared_secret = " << kSecret
                        << "\n[log]\nlevel = error\n";
    RoleProcess started;
    started.process = std::make_unique<fakes::ChildProcess>(
        std::vector<std::string>{MASTICRILL_BINARY, role, "--config", path});
    std::istringstream line(started.process->ReadLine());
    std::string word;
    while (line >> word) {
      if (const std::size_t equals = word.find('='); equals != std::string::npos) {
        started.addresses[word.substr(0, equals)] = word.substr(equals + 1);
      }
    }
    REQUIRE(started.addresses.contains("http"));
    return started;
  }

  static Json KeyJson(std::string_view secret) {
    const config::HashedKey key = config::HashKey("00ff00ff00ff00ff", secret);
    return {{"salt", key.salt}, {"hash", key.hash}};
  }

  Json Document() {
    Json operator_key = KeyJson(kOperatorKey);
    operator_key["role"] = "change";
    const auto upstream = [&](const std::string& name, const std::string& domain) {
      return Json{{"failure_domain", domain},
                  {"sidecar_address", this->sidecars.at(name).addresses.at("rpc")},
                  {"max_concurrency", 64}};
    };
    Json engine_1 = upstream("engine-1", "north-a");
    engine_1["serves"] = {"small@v1", "small@v2"};
    Json engine_2 = upstream("engine-2", "north-b");
    engine_2["serves"] = {"small@v1", "small@v2"};
    Json booking = upstream("booking-1", "north-a");
    booking["services"] = {"booking"};
    return {{"teams",
             {{"guild",
               {{"keys", {{"k1", KeyJson(kTeamKey)}}},
                {"models", {{"small", Json::array()}}},
                {"services", {"booking"}},
                {"max_in_flight", 1000}}}}},
            {"models",
             {{"small",
               {{"versions",
                 {{"v1", {{"cost_per_1k_tokens", 1000}}}, {"v2", {{"cost_per_1k_tokens", 1000}}}}},
                {"default_version", "v1"}}}}},
            {"services", {{"booking", {{"idempotent_methods", {"GET"}}}}}},
            {"failure_domains",
             {{"north-a", {{"region", "north"}}}, {"north-b", {{"region", "north"}}}}},
            {"upstreams", {{"engine-1", engine_1}, {"engine-2", engine_2}, {"booking-1", booking}}},
            {"operators", {{"op", operator_key}}}};
  }
};

}  // namespace masticrill::process

#endif  // MASTICRILL_PROCESS_FLEET_H_
