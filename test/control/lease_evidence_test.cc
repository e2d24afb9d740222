#include <doctest/doctest.h>

#include <optional>

#include "fakes/control_cluster.h"
#include "masticrill/config/lease.h"
#include "masticrill/net/messages.h"
#include "masticrill/net/rpc_client.h"

namespace masticrill::control {
namespace {

std::optional<net::LeaseReply> AskForLease(net::RpcClient& client) {
  net::LeaseRequest request;
  request.node = NodeId("entry-1");
  request.incarnation = IncarnationId("i-entry-1");
  return HandleErrors(
      [&]() -> Result<std::optional<net::LeaseReply>> {
        BOOST_LEAF_AUTO(reply, client.Call<net::LeaseReply>(request, seconds(10)));
        return std::optional(std::move(reply));
      },
      [](const Error&) { return std::optional<net::LeaseReply>(); });
}

TEST_CASE("a host that is cut off from the leader's quorum grants no lease on old evidence") {
  // Failure: the core network is cut. Nodes that still reach a cut-off host would stay on the
  // configuration from before the cut for as long as the evidence of that host lasts.
  ControlCluster cluster(3);
  cluster.StartAll();
  net::RpcClient client(cluster.At(0).RpcAddress(), NodeCredentials("entry-1"), {});
  REQUIRE(WaitUntil([&] {
    const auto reply = AskForLease(client);
    return reply && reply->granted;
  }));
  cluster.Crash(1);
  cluster.Crash(2);
  constexpr std::int64_t kMaxEvidenceAgeMs = 1000;
  const std::int64_t min_length_ms =
      duration_cast<milliseconds>(config::kLeaseLength).count() - kMaxEvidenceAgeMs;
  bool only_recent_evidence = true;
  REQUIRE(WaitUntil([&] {
    const auto reply = AskForLease(client);
    only_recent_evidence =
        only_recent_evidence && reply && (!reply->granted || reply->length_ms >= min_length_ms);
    return reply && !reply->granted;
  }));
  CHECK(only_recent_evidence);
}

}  // namespace
}  // namespace masticrill::control
