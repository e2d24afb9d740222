#include <doctest/doctest.h>

#include "fakes/control_cluster.h"
#include "fakes/control_operators.h"

namespace masticrill::control {
namespace {

std::string DocumentAt(ControlCluster& cluster, std::size_t index) {
  return cluster.Call(index, GetCall("/v1/config")).body;
}

std::uint64_t NumberAt(ControlCluster& cluster, std::size_t index) {
  return NumberOf(cluster.Call(index, GetCall("/v1/config")));
}

TEST_CASE("three replicas form a group, and every host accepts patches") {
  ControlCluster cluster(3);
  cluster.StartAll();
  const std::size_t follower = cluster.Follower();
  const net::HttpAnswer patched =
      cluster.Call(follower, PatchCall(1, "p-1", TeamPatch("at-follower")));
  CHECK(patched.status == 200);
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    CHECK(HasTeam(DocumentAt(cluster, host), "at-follower"));
    CHECK(NumberAt(cluster, host) == 2);
  }
  const net::HttpAnswer resent =
      cluster.Call(cluster.Leader(), PatchCall(1, "p-1", TeamPatch("at-follower")));
  CHECK(resent.status == 200);
  CHECK(HeaderOf(resent, "ETag") == "\"2\"");
  const net::HttpAnswer other =
      cluster.Call(cluster.Leader(), PatchCall(1, "p-1", TeamPatch("another")));
  CHECK(other.status == 409);
}

TEST_CASE("of racing patches one is accepted per number, and no accepted change is lost") {
  ControlCluster cluster(3);
  cluster.StartAll();
  constexpr std::size_t kOperators = 3;
  constexpr int kTeamsPerOperator = 10;
  RacingOperators operators(
      [&](std::size_t host, const net::HttpCall& call) { return cluster.Call(host, call); },
      cluster.Size(), kOperators, kTeamsPerOperator);
  operators.Join();
  CHECK(operators.FindFault(DocumentAt(cluster, cluster.Leader())) == "");
  CHECK(NumberAt(cluster, cluster.Leader()) == 1 + kOperators * kTeamsPerOperator);
}

TEST_CASE("a leader that crashes during patches loses no accepted change") {
  ControlCluster cluster(3);
  cluster.StartAll();
  const std::size_t leader = cluster.WaitForLeader();
  const std::size_t survivor = cluster.Follower();
  std::vector<std::string> accepted;
  std::uint64_t number = 1;
  for (int round = 0; round < 20; ++round) {
    if (round == 10) {
      cluster.Crash(leader);
    }
    const std::string team = "kept-" + std::to_string(round);
    net::HttpAnswer answer;
    REQUIRE(WaitUntil([&] {
      answer = cluster.Call(survivor, PatchCall(number, team, TeamPatch(team)));
      return answer.status == 200;
    }));
    REQUIRE(HeaderOf(answer, "ETag") == "\"" + std::to_string(++number) + "\"");
    accepted.push_back(team);
  }
  cluster.Start(leader);
  REQUIRE(WaitUntil([&] { return NumberAt(cluster, leader) == number; }));
  for (const std::string& team : accepted) {
    CHECK_MESSAGE(HasTeam(DocumentAt(cluster, leader), team), team);
  }
}

TEST_CASE("without a quorum a host refuses at once, and grants no lease once its evidence is old") {
  ControlCluster cluster(3);
  cluster.StartAll();
  const std::size_t remaining = cluster.Follower();
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    if (host != remaining) {
      cluster.Crash(host);
    }
  }
  net::HttpAnswer answer;
  REQUIRE(WaitUntil([&] {
    answer = cluster.Call(remaining, PatchCall(1, "p-lost", TeamPatch("nobody")));
    return answer.status == 503 && answer.body.find("no_quorum") != std::string::npos;
  }));
  CHECK(HeaderOf(answer, "Retry-After") == "1");
  CHECK(answer.body.find("majority") != std::string::npos);
  CHECK(cluster.Call(remaining, GetCall("/v1/config")).status == 503);
  CHECK(cluster.Call(remaining, GetCall("/v1/status")).body.find("\"current\":false") !=
        std::string::npos);

  net::RpcClient client(cluster.At(remaining).RpcAddress(), NodeCredentials("entry-1"), {});
  const auto lease = [&] {
    net::LeaseRequest request;
    request.node = NodeId("entry-1");
    return HandleErrors(
        [&]() -> Result<net::LeaseReply> {
          return client.Call<net::LeaseReply>(request, kGenerous);
        },
        [](const Error&) {
          net::LeaseReply failed;
          failed.granted = true;
          return failed;
        });
  };
  REQUIRE(WaitUntil([&] { return !lease().granted; }));
  CHECK(lease().message.find("Ask another control host") != std::string::npos);
  CHECK_FALSE(cluster.At(remaining).IsReady());
  const Error error = HandleErrors(
      [&]() -> Result<Error> {
        BOOST_LEAF_CHECK(
            client.Call<net::ProposeReply>(net::ProposeRequest{{"command"}, false}, kGenerous));
        return Error{};
      },
      [](const Error& refused) { return refused; });
  CHECK(error.kind == ErrorKind::kNoQuorum);
}

TEST_CASE("a planned stop of the leader transfers leadership") {
  ControlTimings timings;
  // Longer than the stop waits, so that only the transfer can make a new leader in that time.
  timings.election_timeout = seconds(4);
  ControlCluster cluster(3, timings);
  cluster.StartAll();
  const std::size_t leader = cluster.WaitForLeader();
  const std::string metric = "masticrill_control_leader 1";
  cluster.At(leader).Stop();
  bool taken_over = false;
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    taken_over |= host != leader && cluster.At(host).IsLeader();
  }
  CHECK(taken_over);
  cluster.Crash(leader);
  const std::size_t next = cluster.WaitForLeader();
  CHECK(cluster.Call(next, GetCall("/metrics")).body.find(metric) != std::string::npos);
  CHECK(cluster.Call(next, PatchCall(1, "p-after", TeamPatch("after"))).status == 200);
}

TEST_CASE(
    "a replica that lost its data folder does not vote until it is added again and caught up") {
  ControlCluster cluster(3);
  cluster.StartAll();
  const std::size_t wiped = cluster.Follower();
  CHECK(cluster.Call(cluster.Leader(), PatchCall(1, "p-1", TeamPatch("kept"))).status == 200);
  cluster.Crash(wiped);
  std::filesystem::remove_all(cluster.FolderOf(wiped));
  cluster.Start(wiped);
  const std::size_t leader = cluster.WaitForLeader();
  CHECK_FALSE(cluster.At(wiped).IsReady());

  const auto post = [&](const std::string& body) {
    return cluster.Call(leader,
                        {.method = "POST",
                         .path = "/v1/members",
                         .headers = {{"Authorization", std::string("Bearer ") + kOperatorKey}},
                         .body = body});
  };
  const std::string name = cluster.Options(wiped).node.Value();
  const std::string add = R"({"action":"add","id":")" + name + R"(","address":")" +
                          cluster.Options(wiped).rpc_address + R"("})";
  // The lost identity is still the member of this name.
  CHECK(post(add).status == 409);
  REQUIRE(WaitUntil(
      [&] { return post(R"({"action":"remove","id":")" + name + R"("})").status == 200; }));
  REQUIRE(WaitUntil([&] { return post(add).status == 200; }));
  REQUIRE(WaitUntil([&] { return cluster.At(wiped).IsReady(); }));
  CHECK(HasTeam(DocumentAt(cluster, wiped), "kept"));
  REQUIRE(WaitUntil([&] {
    const std::string status = cluster.Call(leader, GetCall("/v1/status")).body;
    return status.find("\"learners\":[]") != std::string::npos;
  }));
  // With the wiped replica as a voter again, the group tolerates the loss of another voter.
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    if (host != wiped && host != leader) {
      cluster.Crash(host);
    }
  }
  CHECK(cluster.Call(leader, PatchCall(2, "p-2", TeamPatch("again"))).status == 200);
}

TEST_CASE("a wiped replica and one other replica form no quorum") {
  ControlCluster cluster(3);
  cluster.StartAll();
  const std::size_t wiped = cluster.Follower();
  const std::size_t leader = cluster.WaitForLeader();
  CHECK(cluster.Call(leader, PatchCall(1, "p-1", TeamPatch("kept"))).status == 200);
  cluster.Crash(wiped);
  cluster.Crash(leader);
  std::filesystem::remove_all(cluster.FolderOf(wiped));
  cluster.Start(wiped);
  const std::size_t remaining = 3 - wiped - leader;
  net::HttpAnswer answer;
  REQUIRE(WaitUntil([&] {
    answer = cluster.Call(remaining, PatchCall(2, "p-2", TeamPatch("never")));
    return answer.status == 503;
  }));
  REQUIRE(WaitUntil([&] { return !cluster.At(remaining).IsReady(); }));
  CHECK(cluster.Leader() == cluster.Size());
  cluster.Start(leader);
  REQUIRE(WaitUntil([&] { return NumberAt(cluster, remaining) >= 2; }));
  CHECK(HasTeam(DocumentAt(cluster, remaining), "kept"));
}

TEST_CASE("a new host is added as a learner and becomes a voter") {
  ControlCluster cluster(1);
  cluster.StartAll();
  const std::size_t added = cluster.AddJoining("c9");
  cluster.Start(added);
  const std::string body =
      R"({"action":"add","id":"c9","address":")" + cluster.Options(added).rpc_address + R"("})";
  REQUIRE(WaitUntil([&] {
    return cluster
               .Call(0, {.method = "POST",
                         .path = "/v1/members",
                         .headers = {{"Authorization", std::string("Bearer ") + kOperatorKey}},
                         .body = body})
               .status == 200;
  }));
  REQUIRE(WaitUntil([&] { return cluster.At(added).IsReady(); }));
  REQUIRE(WaitUntil([&] {
    return cluster.Call(added, GetCall("/v1/status")).body.find("\"learners\":[]") !=
           std::string::npos;
  }));
  CHECK(cluster.Call(added, PatchCall(1, "p-1", TeamPatch("two"))).status == 200);
}

TEST_CASE("all of 500 changes are present after a restart from snapshot and log") {
  ControlTimings timings;
  timings.snapshot_after_entries = 120;
  ControlCluster cluster(3, timings);
  cluster.StartAll();
  constexpr std::uint64_t kChanges = 500;
  const std::size_t leader = cluster.WaitForLeader();
  const std::size_t stopped_host = cluster.Follower();
  for (std::uint64_t number = 1; number <= kChanges; ++number) {
    if (number == kChanges / 10) {
      cluster.Crash(stopped_host);
    }
    const std::string weight = std::to_string(number % 100 + 1);
    const std::string body = R"({"teams":{"counted":{"weight":)" + weight + "}}}";
    REQUIRE(cluster.Call(leader, PatchCall(number, "n-" + std::to_string(number), body)).status ==
            200);
  }
  // One replica was stopped during most changes; the others restart from their files.
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    cluster.Crash(host);
  }
  cluster.StartAll();
  for (std::size_t host = 0; host < cluster.Size(); ++host) {
    REQUIRE(WaitUntil([&] { return NumberAt(cluster, host) == kChanges + 1; }));
    CHECK(DocumentAt(cluster, host).find("\"counted\"") != std::string::npos);
  }
  const net::HttpAnswer resent = cluster.Call(
      cluster.Leader(),
      PatchCall(kChanges, "n-" + std::to_string(kChanges),
                R"({"teams":{"counted":{"weight":)" + std::to_string(kChanges % 100 + 1) + "}}}"));
  CHECK(resent.status == 200);
  CHECK(HeaderOf(resent, "ETag") == "\"" + std::to_string(kChanges + 1) + "\"");
}

// Failure: a replica that stopped after a storage error stays without a vote when its disk works
// again, so that the loss of one more host stops the group.
TEST_CASE("a replica votes again after its disk refused writes for some time") {
  ControlTimings timings;
  timings.snapshot_after_entries = 5;
  ControlCluster cluster(3, timings);
  cluster.StartAll();
  const std::size_t leader = cluster.WaitForLeader();
  const std::size_t refused = cluster.Follower();
  const std::size_t other = cluster.Size() - leader - refused;
  // Folders in the place of temporary files: neither a snapshot nor the check can be written.
  const std::vector<std::string> obstacles = {cluster.FolderOf(refused) + "/replica/snapshot.tmp",
                                              cluster.FolderOf(refused) + "/write_check.new"};
  for (const std::string& obstacle : obstacles) {
    std::filesystem::create_directory(obstacle);
  }
  std::uint64_t number = 1;
  REQUIRE(WaitUntil([&] {
    const std::string team = "t-" + std::to_string(number);
    number += cluster.Call(leader, PatchCall(number, team, TeamPatch(team))).status == 200 ? 1 : 0;
    return cluster.Call(refused, GetCall("/healthz")).status == 503;
  }));
  CHECK_FALSE(cluster.At(refused).NeedsRestart());
  for (const std::string& obstacle : obstacles) {
    std::filesystem::remove(obstacle);
  }
  REQUIRE(cluster.At(refused).NeedsRestart());
  cluster.Crash(refused);
  cluster.Start(refused);
  cluster.Crash(other);
  CHECK(WaitUntil([&] {
    return cluster.Call(leader, PatchCall(number, "last", TeamPatch("last"))).status == 200;
  }));
}

}  // namespace
}  // namespace masticrill::control
