#include "control/fleet_view.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <thread>

#include "fakes/control_cluster.h"
#include "masticrill/net/rpc_server.h"

namespace masticrill::control {
namespace {

/// A control host that answers fleet requests with one node.
class ReportingHost {
 public:
  explicit ReportingHost(const std::string& node)
      : server(HandleErrors(
            [&] {
              return net::RpcServer::Start(
                  {.address = "127.0.0.1:0"}, NodeCredentials(node, net::NodeRole::kControl),
                  [this](const std::shared_ptr<net::Channel>& channel, const net::Frame& frame) {
                    this->asked = true;
                    net::NodeReport report;
                    report.node = NodeId("e-1");
                    channel->Send(frame.correlation, net::FleetReply{{report}});
                  },
                  [](const std::shared_ptr<net::Channel>&) {});
            },
            [](const Error& error) {
              FAIL(error.message);
              return std::unique_ptr<net::RpcServer>();
            })) {}

  std::string Address() const { return this->server->Address(); }

  std::atomic<bool> asked = false;

 private:
  std::unique_ptr<net::RpcServer> server;
};

/// Accepts one connection and never answers, like a process that is frozen. Notes what had happened
/// when its peer gave the connection up.
class SilentHost {
 public:
  explicit SilentHost(const std::atomic<bool>& event)
      : socket(Poco::Net::SocketAddress("127.0.0.1:0")), thread([this, &event] {
          Poco::Net::StreamSocket connection = this->socket.acceptConnection();
          std::array<char, 256> buffer{};
          while (connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
          }
          this->event_when_given_up = event.load();
        }) {}
  ~SilentHost() { this->thread.join(); }
  SilentHost(const SilentHost&) = delete;
  SilentHost& operator=(const SilentHost&) = delete;

  std::string Address() const { return this->socket.address().toString(); }
  void WaitUntilGivenUp() {
    if (this->thread.joinable()) {
      this->thread.join();
      this->thread = std::thread([] {});
    }
  }

  std::atomic<bool> event_when_given_up = false;

 private:
  Poco::Net::ServerSocket socket;
  std::thread thread;
};

// Failure: hosts that are down delay each round of the leader's upkeep, and so every promotion.
TEST_CASE("hosts that answer are asked before those that have to be connected") {
  ReportingHost live("c-live");
  SilentHost silent(live.asked);
  AddressBook addresses(
      {{NodeId("a-silent"), silent.Address()}, {NodeId("c-live"), live.Address()}},
      NodeCredentials("c-self", net::NodeRole::kControl));
  NodeRegistry nodes(NodeId("c-self"));
  HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(addresses.Client(NodeId("c-live"))
                             ->Call<net::FleetReply>(net::FleetRequest{}, kGenerous));
        return true;
      },
      [](const Error& error) {
        FAIL(error.message);
        return false;
      });
  live.asked = false;
  FleetView view(nodes, addresses);
  CHECK(view.CollectReports().size() == 1);
  silent.WaitUntilGivenUp();
  CHECK(silent.event_when_given_up);
}

}  // namespace
}  // namespace masticrill::control
