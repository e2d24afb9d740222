#include <doctest/doctest.h>

#include "fakes/control_cluster.h"

namespace masticrill::control {
namespace {

/// Sends a lease request; a failed call yields a reply with the error message.
net::LeaseReply AskForLease(const std::string& address, std::uint64_t known_number) {
  net::RpcClient client(address, NodeCredentials("entry-1"), {});
  return HandleErrors(
      [&]() -> Result<net::LeaseReply> {
        return client.Call<net::LeaseReply>(
            net::LeaseRequest{NodeId("entry-1"), net::NodeRole::kEntry, IncarnationId("i-entry-1"),
                              known_number, "127.0.0.1:9", 1},
            kGenerous);
      },
      [](const Error& error) {
        net::LeaseReply reply;
        reply.message = error.message;
        return reply;
      });
}

TEST_CASE("one replica puts its bootstrap document in force and grants leases") {
  ControlCluster cluster(1);
  cluster.StartAll();
  const std::string address = cluster.At(0).RpcAddress();
  net::LeaseReply reply;
  REQUIRE(WaitUntil([&] { return (reply = AskForLease(address, 0)).granted; }));
  CHECK(reply.number == 1);
  CHECK(reply.length_ms > 0);
  REQUIRE(reply.delta);
  CHECK(reply.delta->to == 1);
  CHECK_FALSE(AskForLease(address, 1).delta);

  const net::HttpAnswer config = cluster.Call(0, GetCall("/v1/config"));
  CHECK(config.status == 200);
  CHECK(HeaderOf(config, "ETag") == "\"1\"");
  const net::HttpAnswer patched = cluster.Call(0, PatchCall(1, "p-1", TeamPatch("blue")));
  CHECK(patched.status == 200);
  CHECK(HeaderOf(patched, "ETag") == "\"2\"");
  reply = AskForLease(address, 1);
  CHECK(reply.number == 2);
  REQUIRE(reply.delta);
  CHECK(reply.delta->patches.size() == 1);
  const net::HttpAnswer status = cluster.Call(0, GetCall("/v1/status"));
  CHECK(status.status == 200);
  CHECK(status.body.find("\"in_force_everywhere\":1") != std::string::npos);
  CHECK(status.body.find("entry-1") != std::string::npos);
  cluster.At(0).Stop();
}

TEST_CASE("a host that restarts compares keys only with the configuration in force") {
  ControlCluster cluster(1);
  cluster.StartAll();
  cluster.Crash(0);
  cluster.Start(0);
  net::HttpAnswer answer;
  do {
    const int bootstrap_status = cluster.Call(0, GetCall("/v1/config", kBootstrapKey)).status;
    REQUIRE((bootstrap_status == 503 || bootstrap_status == 401));
    answer = cluster.Call(0, GetCall("/v1/config"));
    REQUIRE((answer.status == 503 || answer.status == 200));
  } while (answer.status != 200);
  CHECK(HeaderOf(answer, "ETag") == "\"1\"");
}

TEST_CASE("a lease request of a node with a newer configuration is refused") {
  ControlCluster cluster(1);
  cluster.StartAll();
  REQUIRE(WaitUntil([&] { return AskForLease(cluster.At(0).RpcAddress(), 0).granted; }));
  const net::LeaseReply reply = AskForLease(cluster.At(0).RpcAddress(), 99);
  CHECK_FALSE(reply.granted);
  CHECK(reply.message.find("behind") != std::string::npos);
}

}  // namespace
}  // namespace masticrill::control
