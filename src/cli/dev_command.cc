#include <Poco/TemporaryFile.h>
#include <Poco/Thread.h>

#include <boost/program_options/value_semantic.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "cli/command.h"
#include "cli/termination.h"
#include "masticrill/common/log.h"
#include "masticrill/common/random.h"
#include "masticrill/config/document.h"
#include "masticrill/control/control_server.h"
#include "masticrill/entry/entry_server.h"
#include "masticrill/net/http_client.h"
#include "masticrill/sidecar/sidecar_server.h"

namespace masticrill::cli {
namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;

constexpr int kSecretBytes = 16;
constexpr milliseconds kLeaseRound{1500};
constexpr std::string_view kOperatorKey = "dev-operator-key";
constexpr std::string_view kTeamKey = "dev-guild-key";

/// Every role in one process, on loopback.
struct DevFleet {
  std::unique_ptr<control::ControlServer> control;
  std::vector<std::unique_ptr<sidecar::SidecarServer>> sidecars;
  std::unique_ptr<entry::EntryServer> entry;

  void Stop() {
    this->entry->Stop();
    for (const auto& each : this->sidecars) {
      each->Stop();
    }
    this->control->Stop();
  }
};

/// The example document, with the addresses of the sidecars that were started.
std::string DocumentFor(const Json& example, const std::vector<std::string>& addresses) {
  Json document = example;
  std::size_t next = 0;
  for (auto& upstream : document["upstreams"]) {
    upstream["sidecar_address"] = addresses.at(next++);
  }
  return document.dump();
}

Result<std::string> PutDocument(const control::ControlServer& control, const std::string& key,
                                const std::string& document);

Result<DevFleet> StartFleet(const std::string& data_folder, const std::string& http_address) {
  const std::string secret = SecureRandomHex(kSecretBytes);
  const Json example = Json::parse(config::ExampleDocument());
  DevFleet fleet;
  control::ControlOptions control_options;
  control_options.node = NodeId("control-1");
  control_options.data_folder = data_folder;
  control_options.shared_secret = secret;
  control_options.bootstrap_operator_key = kOperatorKey;
  BOOST_LEAF_ASSIGN(fleet.control, control::ControlServer::Start(control_options));
  std::vector<std::string> addresses;
  for (const auto& [name, upstream] : example["upstreams"].items()) {
    sidecar::SidecarOptions sidecar_options;
    sidecar_options.name = name;
    sidecar_options.rpc_address = "127.0.0.1:0";
    sidecar_options.http_address = "127.0.0.1:0";
    sidecar_options.control_addresses = {fleet.control->RpcAddress()};
    sidecar_options.shared_secret = secret;
    sidecar_options.upstream_kind = "echo";
    BOOST_LEAF_AUTO(started, sidecar::SidecarServer::Start(sidecar_options));
    addresses.push_back(started->RpcAddress());
    fleet.sidecars.push_back(std::move(started));
  }
  BOOST_LEAF_CHECK(
      PutDocument(*fleet.control, std::string(kOperatorKey), DocumentFor(example, addresses)));
  entry::EntryOptions entry_options;
  entry_options.name = "entry-1";
  entry_options.failure_domain = FailureDomainId(example["failure_domains"].begin().key());
  entry_options.http.address = http_address;
  entry_options.control_addresses = {fleet.control->RpcAddress()};
  entry_options.shared_secret = secret;
  BOOST_LEAF_ASSIGN(fleet.entry, entry::EntryServer::Start(entry_options));
  return fleet;
}

/// Puts the first document in force. The control host may still be electing itself.
Result<std::string> PutDocument(const control::ControlServer& control, const std::string& key,
                                const std::string& document) {
  constexpr int kTries = 100;
  net::HttpClient client(control.HttpAddress(), {});
  net::HttpAnswer answer;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    BOOST_LEAF_ASSIGN(answer, client.Call({"PATCH",
                                           "/v1/config",
                                           {{"Authorization", "Bearer " + key},
                                            {"If-Match", "\"0\""},
                                            {"Idempotency-Key", "dev"},
                                            {"Content-Type", "application/merge-patch+json"}},
                                           document}));
    if (answer.status == 200) {
      return answer.body;
    }
    if (answer.status != 503) {
      break;
    }
    Poco::Thread::sleep(50);
  }
  return Fail(ErrorKind::kInternal, "The example configuration was refused: " + answer.body);
}

/// Waits until the entry has its first lease, so that the printed requests are answered.
void AwaitReady(const DevFleet& fleet) {
  constexpr int kTries = 200;
  net::HttpClient client(fleet.entry->HttpAddress(), {});
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const int status = HandleErrors(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(answer, client.Call({.path = "/readyz"}));
          return answer.status;
        },
        [](const Error&) { return 0; });
    if (status == 200) {
      return;
    }
    Poco::Thread::sleep(50);
  }
}

void PrintTrials(const DevFleet& fleet) {
  const std::string entry = "http://" + fleet.entry->HttpAddress();
  const std::string body =
      R"('{"model":"small","messages":[{"role":"user","content":"a caricature of the bride"}]}')";
  const std::string key = "-H 'Authorization: Bearer " + std::string(kTeamKey) + "' ";
  std::cout << "masticrill runs. Callers: " << entry << "  Operators: http://"
            << fleet.control->HttpAddress() << "\n\nTry:\n"
            << "  curl " << key << entry << "/v1/models\n"
            << "  curl " << key << entry << "/v1/chat/completions -d " << body << "\n"
            << "  curl -N " << key << entry << "/v1/chat/completions -d "
            << body.substr(0, body.size() - 2) << R"(,"stream":true}')"
            << "\n"
            << "  curl " << key << "-H 'Idempotency-Key: b1' -d '{\"gown\":7}' " << entry
            << "/v1/services/booking/reserve\n"
            << "  masticrill status --control " << fleet.control->HttpAddress() << " --key "
            << kOperatorKey << "\n\nEnd with Ctrl-C." << std::endl;
}

Result<int> RunDev(const Arguments& arguments) {
  LogOptions log_options;
  log_options.level = arguments.contains("verbose") ? LogLevel::kInfo : LogLevel::kError;
  // Before any thread starts, so that none takes a signal in place of WaitForTermination.
  BlockTerminationSignals();
  ConfigureLog(log_options);
  Poco::TemporaryFile folder;
  folder.createDirectories();
  BOOST_LEAF_AUTO(fleet, StartFleet(folder.path(), arguments["listen"].as<std::string>()));
  AwaitReady(fleet);
  // The sidecars have the document with their next lease.
  Poco::Thread::sleep(kLeaseRound.count());
  PrintTrials(fleet);
  WaitForTermination();
  fleet.Stop();
  return kExitSuccess;
}

}  // namespace

Command DevCommand() {
  return {"dev",
          "Run every role in one process on loopback, with an echo upstream.",
          {"masticrill dev", "masticrill dev --listen 127.0.0.1:8080"},
          [](auto& description) {
            description.add_options()(
                "listen", options::value<std::string>()->default_value("127.0.0.1:8080"),
                "IP:PORT for callers; port 0 lets the system choose.")("verbose", "Write the log.");
          },
          {},
          RunDev};
}

}  // namespace masticrill::cli
