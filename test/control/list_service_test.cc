#include "control/list_service.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <string>

#include "fakes/control_cluster.h"
#include "masticrill/net/messages.h"
#include "masticrill/net/rpc_client.h"

namespace masticrill::control {
namespace {

/// The list that comes with a lease of the host at the address.
net::SharedList ListFrom(const std::string& address) {
  net::RpcClient client(address, NodeCredentials("e-1"), {});
  net::LeaseRequest request;
  request.node = NodeId("e-1");
  request.incarnation = IncarnationId("i-e-1");
  return HandleErrors(
      [&]() -> Result<net::SharedList> {
        BOOST_LEAF_AUTO(reply, client.Call<net::LeaseReply>(request, kGenerous));
        return reply.list;
      },
      [](const Error&) { return net::SharedList(); });
}

// Pattern: the whole group starts again after a loss of power. An entry that gets its first lease
// before the leader has shared a list would read all pages of it, at the same time as all others.
TEST_CASE("each control host reads the list once at its start, and only the leader goes on") {
  constexpr std::size_t kHosts = 3;
  std::array<std::atomic<int>, kHosts> reads{};
  ControlCluster cluster(kHosts);
  for (std::size_t index = 0; index < kHosts; ++index) {
    cluster.Options(index).read_list = [&reads, index]() -> Result<std::string> {
      ++reads.at(index);
      return "read by " + std::to_string(index);
    };
  }
  cluster.StartAll();
  const std::size_t leader = cluster.WaitForLeader();
  const std::size_t follower = cluster.Follower();
  // What a host has read for itself gives way to what the leader shares.
  const std::string shared = "read by " + std::to_string(leader);
  CHECK(WaitUntil([&] { return ListFrom(cluster.At(follower).RpcAddress()).bytes == shared; }));
  for (const std::atomic<int>& count : reads) {
    CHECK(count >= 1);
  }
  const int leader_reads = reads.at(leader);
  const int follower_reads = reads.at(follower);
  CHECK(WaitUntil([&] { return reads.at(leader) >= leader_reads + 2; }));
  CHECK((reads.at(follower) == follower_reads || cluster.Leader() != leader));
}

}  // namespace
}  // namespace masticrill::control
