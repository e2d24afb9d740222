#include "control/control_hosts.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "fakes/control_cluster.h"

namespace masticrill::control {
namespace {

TEST_CASE("a member asks the members of its log, another replica all hosts that it has heard of") {
  const net::Credentials self = NodeCredentials("127.0.0.1:1", net::NodeRole::kControl);
  AddressBook addresses({{NodeId("seed"), "127.0.0.1:2"}, {NodeId("gone"), "127.0.0.1:3"}}, self);
  consensus::ReplicaStatus status;
  status.id = {self.self.node, storage::DataFolderId("id-1")};
  const ControlHosts hosts(addresses, [&] { return status; });
  CHECK(hosts.Members() == std::set<NodeId>{NodeId("gone"), NodeId("seed")});
  status.membership.voters = {status.id, {NodeId("seed"), storage::DataFolderId("id-2")}};
  status.membership.learners = {{NodeId("127.0.0.1:4"), storage::DataFolderId("id-4")},
                                {NodeId("unknown"), storage::DataFolderId("id-5")}};
  CHECK(hosts.Members() == std::set<NodeId>{NodeId("127.0.0.1:4"), NodeId("seed")});
  CHECK(hosts.All() == std::set<NodeId>{NodeId("127.0.0.1:4"), NodeId("gone"), NodeId("seed")});
}

/// Requests a lease at a host. Returns the number of entries that it knows of; 0 if it grants none.
std::uint32_t EntriesKnownAt(ControlCluster& cluster, std::size_t host, const std::string& entry) {
  net::RpcClient client(cluster.Options(host).rpc_address, NodeCredentials(entry), {});
  net::LeaseRequest request;
  request.node = NodeId(entry);
  request.incarnation = IncarnationId("i-" + entry);
  request.load_address = "127.0.0.1:1";
  return HandleErrors(
      [&]() -> Result<std::uint32_t> {
        BOOST_LEAF_AUTO(reply, client.Call<net::LeaseReply>(request, kGenerous));
        return reply.granted ? static_cast<std::uint32_t>(reply.entry_count) : 0U;
      },
      [](const Error&) { return 0U; });
}

// Guards against evidence that never meets: after a restart of all hosts, followers did not know a
// host that no settings name, nor what its entries report.
TEST_CASE("followers know the entries of a host that is no seed, after a restart of all hosts") {
  ControlCluster cluster(3);
  std::vector<PeerAddress> peers;
  for (std::size_t host = 0; host < 3; ++host) {
    const std::string& address = cluster.Options(host).rpc_address;
    peers.push_back({NodeId(address), address});
  }
  for (std::size_t host = 0; host < 3; ++host) {
    cluster.Options(host).node = peers[host].node;
    cluster.Options(host).peers = peers;
    cluster.Options(host).auto_join = true;
  }
  cluster.StartAll();
  const std::size_t observer = cluster.AddJoining("later");
  cluster.Options(observer).node = NodeId(cluster.Options(observer).rpc_address);
  cluster.Options(observer).may_vote = false;
  cluster.Start(observer);
  REQUIRE(WaitUntil([&] { return cluster.At(observer).IsReady(); }));
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    cluster.Crash(host);
  }
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    cluster.Options(host).join = true;
    cluster.Start(host);
  }
  REQUIRE(WaitUntil([&] { return cluster.AllReady(); }));
  for (std::size_t host = 0; host < 3; ++host) {
    CAPTURE(host);
    CHECK(WaitUntil([&] {
      return EntriesKnownAt(cluster, observer, "e-1") > 0 &&
             EntriesKnownAt(cluster, host, "e-2") == 2;
    }));
  }
}

}  // namespace
}  // namespace masticrill::control
