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
  const ControlHosts hosts(addresses, [] { return consensus::ReplicaStatus(); });
  FleetView view(nodes, addresses, hosts);
  CHECK(view.CollectReports().size() == 1);
  silent.WaitUntilGivenUp();
  CHECK(silent.event_when_given_up);
}

// Guards against reports that are missing for seconds after a restart, since a host that accepts
// connections and never answers takes the time of all that come after it.
TEST_CASE("hosts that stand still do not keep others from being connected") {
  ReportingHost first("c-first");
  ReportingHost last("z-last");
  std::vector<Poco::Net::ServerSocket> silent;
  std::vector<PeerAddress> peers = {{NodeId("c-first"), first.Address()},
                                    {NodeId("z-last"), last.Address()}};
  for (const std::string name : {"a-silent", "b-silent", "y-silent"}) {
    silent.emplace_back(Poco::Net::SocketAddress("127.0.0.1:0"));
    peers.push_back({NodeId(name), silent.back().address().toString()});
  }
  AddressBook addresses(peers, NodeCredentials("c-self", net::NodeRole::kControl));
  NodeRegistry nodes(NodeId("c-self"));
  const ControlHosts hosts(addresses, [] { return consensus::ReplicaStatus(); });
  FleetView view(nodes, addresses, hosts);
  view.CollectReports();
  CHECK(first.asked);
  CHECK(last.asked);
}

/// The answer of the host at the address to a node with these credentials.
template <typename Reply, typename Request>
Reply Ask(const std::string& address, const net::Credentials& node, const Request& request) {
  net::RpcClient client(address, node, {});
  return HandleErrors([&] { return client.Call<Reply>(request, kGenerous); },
                      [](const Error& error) {
                        FAIL(error.message);
                        return Reply();
                      });
}

// Failure: while a version is rolled out, the evidence of every entry is sent to every control host
// twice a second, which grows with the entries times the control hosts.
TEST_CASE("only the leader gets the evidence on roll-outs that entries have reported") {
  ControlCluster cluster(3);
  cluster.StartAll();
  const std::size_t leader = cluster.WaitForLeader();
  const std::size_t asked = cluster.Follower();
  const std::size_t other = 3 - leader - asked;
  const std::string address = cluster.At(asked).RpcAddress();
  net::LeaseRequest lease;
  lease.node = NodeId("e-1");
  lease.incarnation = IncarnationId("i-e-1");
  lease.load_address = "127.0.0.1:1";
  lease.rollouts = {{ServiceId("service"), VersionId("v2"), {}, {}}};
  Ask<net::LeaseReply>(address, NodeCredentials("e-1"), lease);
  net::EntryReport report;
  report.node = lease.node;
  report.incarnation = lease.incarnation;
  report.demand = 7;
  report.waits = {{ServiceId("service"), VersionId("v2"), {}, {}}};
  Ask<net::EntryReportReply>(address, NodeCredentials("e-1"), report);

  const auto as_replica = [&](std::size_t index) {
    return NodeCredentials("c" + std::to_string(index), net::NodeRole::kControl);
  };
  const auto nodes_for = [&](std::size_t index) {
    return Ask<net::FleetReply>(address, as_replica(index), net::FleetRequest{}).nodes;
  };
  const auto reports_for = [&](std::size_t index) {
    return Ask<net::EntryReportsReply>(address, as_replica(index), net::EntryReportsRequest{})
        .reports;
  };
  REQUIRE(nodes_for(leader).size() == 1);
  REQUIRE(nodes_for(other).size() == 1);
  CHECK(nodes_for(leader).front().rollouts == lease.rollouts);
  CHECK(nodes_for(other).front().rollouts.empty());
  CHECK(nodes_for(other).front().load_address == lease.load_address);
  REQUIRE(reports_for(leader).size() == 1);
  REQUIRE(reports_for(other).size() == 1);
  CHECK(reports_for(leader).front().report.waits == report.waits);
  CHECK(reports_for(other).front().report.waits.empty());
  CHECK(reports_for(other).front().report.demand == report.demand);
}

}  // namespace
}  // namespace masticrill::control
