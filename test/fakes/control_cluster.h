#ifndef MASTICRILL_TEST_FAKES_CONTROL_CLUSTER_H_
#define MASTICRILL_TEST_FAKES_CONTROL_CLUSTER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "fakes/wait_until.h"
#include "masticrill/common/random.h"
#include "masticrill/config/document.h"
#include "masticrill/control/control_server.h"
#include "masticrill/net/http_client.h"
#include "masticrill/net/rpc_client.h"

namespace masticrill::control {

using fakes::kGenerous;
using fakes::WaitUntil;

inline constexpr const char* kSecret = "test-secret";
inline constexpr const char* kBootstrapKey = "bootstrap-key";
/// The operator of ExampleDocument.
inline constexpr const char* kOperatorKey = "dev-operator-key";

/// Ends the test or the benchmark when the condition does not hold.
inline void Require(bool condition, const std::string& what) {
  if (!condition) {
    throw std::runtime_error(what);
  }
}

/// Addresses of ports that were free a moment ago.
inline std::vector<std::string> ReserveAddresses(std::size_t count) {
  std::vector<Poco::Net::ServerSocket> sockets;
  std::vector<std::string> addresses;
  for (std::size_t index = 0; index < count; ++index) {
    sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1:0"));
    addresses.push_back(sockets.back().address().toString());
  }
  return addresses;
}

/// A folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder()
      : path(std::filesystem::temp_directory_path() / ("masticrill-" + SecureRandomHex(8))) {
    std::filesystem::create_directories(this->path);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(this->path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& Path() const { return this->path; }

 private:
  std::filesystem::path path;
};

/// A group of control hosts in this process, on loopback and with real files.
class ControlCluster {
 public:
  explicit ControlCluster(std::size_t count, const ControlTimings& timings = {},
                          const std::string& document = config::ExampleDocument()) {
    const std::vector<std::string> addresses = ReserveAddresses(count);
    for (std::size_t index = 0; index < count; ++index) {
      this->peers.push_back({NodeId("c" + std::to_string(index)), addresses[index]});
    }
    for (std::size_t index = 0; index < count; ++index) {
      this->options.push_back({.node = this->peers[index].node,
                               .failure_domain = FailureDomainId("helsinki-a"),
                               .rpc_address = addresses[index],
                               .data_folder = this->FolderOf(index),
                               .peers = this->peers,
                               .initial_members = {},
                               .shared_secret = kSecret,
                               .bootstrap_document = document,
                               .bootstrap_operator_key = kBootstrapKey,
                               .timings = timings});
    }
    this->servers.resize(count);
  }

  std::string FolderOf(std::size_t index) const {
    return (this->folder.Path() / std::to_string(index)).string();
  }

  /// Starts a host; returns the error's message when it does not start.
  std::string TryStart(std::size_t index) {
    return HandleErrors(
        [&]() -> Result<std::string> {
          BOOST_LEAF_AUTO(server, ControlServer::Start(this->options[index]));
          this->servers[index] = std::move(server);
          return std::string();
        },
        [](const Error& error) { return error.message; });
  }
  void Start(std::size_t index) {
    const std::string error = this->TryStart(index);
    Require(error.empty(), error);
  }
  void StartAll() {
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      this->Start(index);
    }
    Require(WaitUntil([&] { return this->AllReady(); }), "Not every host became ready.");
    const bool configured = !this->options.front().bootstrap_document.empty();
    Require(!configured || WaitUntil([&] { return this->AllConfigured(); }),
            "The bootstrap document is not in force.");
  }
  /// Ends a host as a crash would.
  void Crash(std::size_t index) { this->servers[index].reset(); }

  /// Adds a host that waits to be added to the group. Returns its place.
  std::size_t AddJoining(const std::string& name) {
    ControlOptions added = this->options.front();
    added.node = NodeId(name);
    added.rpc_address = ReserveAddresses(1).front();
    added.data_folder = this->FolderOf(this->options.size());
    added.join = true;
    this->options.push_back(added);
    this->servers.emplace_back();
    return this->options.size() - 1;
  }

  bool AllReady() const {
    for (const auto& server : this->servers) {
      if (server != nullptr && !server->IsReady()) {
        return false;
      }
    }
    return true;
  }

  bool AllConfigured() {
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      if (this->servers[index] != nullptr &&
          this->Call(index, {.method = "GET",
                             .path = "/v1/config",
                             .headers = {{"Authorization", std::string("Bearer ") + kOperatorKey}},
                             .body = ""})
                  .status != 200) {
        return false;
      }
    }
    return true;
  }

  /// The place of the host that leads, or the number of hosts when none does.
  std::size_t Leader() const {
    std::size_t index = 0;
    while (index < this->servers.size() &&
           (this->servers[index] == nullptr || !this->servers[index]->IsLeader())) {
      ++index;
    }
    return index;
  }
  std::size_t WaitForLeader() const {
    Require(WaitUntil([&] { return this->Leader() < this->servers.size(); }), "Nobody leads.");
    return this->Leader();
  }
  /// A running host that does not lead.
  std::size_t Follower() const {
    const std::size_t leader = this->WaitForLeader();
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      if (index != leader && this->servers[index] != nullptr) {
        return index;
      }
    }
    return this->servers.size();
  }

  ControlServer& At(std::size_t index) { return *this->servers[index]; }
  ControlOptions& Options(std::size_t index) { return this->options[index]; }
  std::size_t Size() const { return this->servers.size(); }

  /// Calls the operators' interface; status 0 when the host does not answer.
  net::HttpAnswer Call(std::size_t index, const net::HttpCall& call) {
    return HandleErrors(
        [&]() -> Result<net::HttpAnswer> {
          net::HttpClient client(this->servers[index]->HttpAddress(), {});
          return client.Call(call);
        },
        [](const Error&) { return net::HttpAnswer{.status = 0, .headers = {}, .body = ""}; });
  }

 private:
  TemporaryFolder folder;
  std::vector<PeerAddress> peers;
  std::vector<ControlOptions> options;
  std::vector<std::unique_ptr<ControlServer>> servers;
};

/// The value of a header field; empty when there is none.
inline std::string HeaderOf(const net::HttpAnswer& answer, const std::string& name) {
  for (const net::HeaderField& field : answer.headers) {
    if (field.name == name) {
      return field.value;
    }
  }
  return "";
}

inline net::HttpCall GetCall(const std::string& path, const std::string& key = kOperatorKey) {
  return {
      .method = "GET", .path = path, .headers = {{"Authorization", "Bearer " + key}}, .body = ""};
}

inline net::HttpCall PatchCall(std::uint64_t number, const std::string& patch_id,
                               const std::string& body, const std::string& key = kOperatorKey) {
  return {.method = "PATCH",
          .path = "/v1/config",
          .headers = {{"Authorization", "Bearer " + key},
                      {"If-Match", "\"" + std::to_string(number) + "\""},
                      {"Idempotency-Key", patch_id}},
          .body = body};
}

/// A patch that gives a new team a name of its own, by which it can be found again.
inline std::string TeamPatch(const std::string& team) {
  return R"({"teams":{")" + team + R"(":{"weight":1}}})";
}

/// The credentials of a node.
inline net::Credentials NodeCredentials(const std::string& node,
                                        net::NodeRole role = net::NodeRole::kEntry) {
  return {{role, NodeId(node), IncarnationId("i-" + node)}, kSecret};
}

}  // namespace masticrill::control

#endif  // MASTICRILL_TEST_FAKES_CONTROL_CLUSTER_H_
