#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "fakes/control_cluster.h"
#include "fakes/control_operators.h"
#include "masticrill/consensus/codec.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {
namespace {

/// The members of the given kinds that a host reports at /v1/status; empty while it reports none.
std::set<std::string> MembersAt(ControlCluster& cluster, std::size_t index,
                                const std::vector<std::string>& kinds = {"voters", "learners"}) {
  const auto status =
      nlohmann::json::parse(cluster.Call(index, GetCall("/v1/status")).body, nullptr, false);
  std::set<std::string> members;
  if (status.is_object() && status.contains("replica")) {
    for (const std::string& kind : kinds) {
      for (const auto& member : status.at("replica").at(kind)) {
        members.insert(member.at("node").get<std::string>());
      }
    }
  }
  return members;
}

std::set<std::string> VotersAt(ControlCluster& cluster, std::size_t index) {
  return MembersAt(cluster, index, {"voters"});
}

ControlTimings QuickTimings() {
  ControlTimings timings;
  timings.upkeep_interval = milliseconds(50);
  timings.demote_surplus_voter_after = milliseconds(500);
  return timings;
}

void EnableAutoJoin(ControlCluster& cluster) {
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Options(index).auto_join = true;
  }
}

TEST_CASE(
    "hosts that are named by their addresses form one group of all hosts in any start order") {
  ControlCluster cluster(3);
  std::vector<PeerAddress> peers;
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    const std::string& address = cluster.Options(index).rpc_address;
    peers.push_back({NodeId(address), address});
  }
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Options(index).node = peers[index].node;
    cluster.Options(index).peers = peers;
  }
  // The first host by name starts second. It must not count itself twice while one is missing.
  std::vector<std::size_t> order = {0, 1, 2};
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return peers[left].node < peers[right].node;
  });
  cluster.Start(order[1]);
  cluster.Start(order[0]);
  WaitUntil([&] { return cluster.Call(order[0], GetCall("/healthz")).status == 200; });
  cluster.Start(order[2]);
  REQUIRE(WaitUntil([&] { return cluster.AllReady() && cluster.AllConfigured(); }));
  CHECK(VotersAt(cluster, 0).size() == 3);
}

TEST_CASE("a host that no other host lists as a peer joins the group by itself and votes") {
  ControlCluster cluster(3, QuickTimings());
  cluster.StartAll();
  const std::size_t added = cluster.AddJoining("c-new");
  cluster.Options(added).auto_join = true;
  cluster.Start(added);
  REQUIRE(WaitUntil([&] { return VotersAt(cluster, cluster.WaitForLeader()).size() == 4; }));
  CHECK(WaitUntil([&] { return VotersAt(cluster, added).contains("c-new"); }));
}

// Failure: the hosts that a new host knows are followers or observers. None of them forwards the
// request to join, so the group never gets the voter that replaces a lost one.
TEST_CASE("a host that knows only a host that does not lead joins the group") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t known = cluster.Follower();
  const std::size_t added = cluster.AddJoining("c-new");
  cluster.Options(added).auto_join = true;
  cluster.Options(added).peers = {
      {cluster.Options(known).node, cluster.Options(known).rpc_address}};
  cluster.Start(added);
  CHECK(WaitUntil([&] { return VotersAt(cluster, cluster.WaitForLeader()).contains("c-new"); }));
}

TEST_CASE("a host that lost its data folder rejoins, and no accepted change is lost") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t wiped = cluster.Follower();
  CHECK(cluster.Call(wiped, PatchCall(1, "p-1", TeamPatch("kept"))).status == 200);
  cluster.Crash(wiped);
  std::filesystem::remove_all(cluster.FolderOf(wiped));
  cluster.Options(wiped).join = true;
  cluster.Start(wiped);
  const std::string name = cluster.Options(wiped).node.Value();
  REQUIRE(WaitUntil([&] { return VotersAt(cluster, wiped).contains(name); }));
  REQUIRE(WaitUntil([&] { return cluster.At(wiped).IsReady(); }));
  CHECK(HasTeam(cluster.Call(wiped, GetCall("/v1/config")).body, "kept"));
  CHECK(VotersAt(cluster, cluster.WaitForLeader()).size() == 3);
}

TEST_CASE("a new host at another address replaces a voter that crashed and stays down") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t crashed = cluster.Follower();
  const std::string crashed_name = cluster.Options(crashed).node.Value();
  cluster.Crash(crashed);
  const std::size_t added = cluster.AddJoining("c-new");
  cluster.Options(added).auto_join = true;
  cluster.Start(added);
  REQUIRE(WaitUntil([&] {
    const std::set<std::string> voters = VotersAt(cluster, cluster.WaitForLeader());
    return voters.size() == 3 && voters.contains("c-new") && !voters.contains(crashed_name);
  }));
  CHECK(cluster.Call(added, PatchCall(1, "p-1", TeamPatch("after"))).status == 200);
}

// Failure: the successor of a lost voter votes beside it, which makes four voters of which one is
// gone. The loss of another data folder then leaves no majority.
TEST_CASE("a group that replaced a lost voter survives the loss of another data folder") {
  ControlTimings timings = QuickTimings();
  timings.demote_surplus_voter_after = seconds(2);
  timings.demote_voter_after = std::chrono::hours(1);
  ControlCluster cluster(3, timings);
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t lost = cluster.Follower();
  const std::string lost_name = cluster.Options(lost).node.Value();
  cluster.Crash(lost);
  const std::size_t added = cluster.AddJoining("c-new");
  cluster.Options(added).auto_join = true;
  cluster.Start(added);
  REQUIRE(WaitUntil([&] {
    const std::set<std::string> voters = VotersAt(cluster, cluster.WaitForLeader());
    return voters.size() == 3 && voters.contains("c-new") && !voters.contains(lost_name);
  }));
  const std::size_t wiped = cluster.WaitForLeader();
  CHECK(cluster.Call(added, PatchCall(1, "p-1", TeamPatch("kept"))).status == 200);
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Crash(index);
  }
  std::filesystem::remove_all(cluster.FolderOf(wiped));
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    if (index != lost) {
      cluster.Options(index).join = true;
      cluster.Start(index);
    }
  }
  REQUIRE(WaitUntil([&] { return cluster.AllReady(); }));
  CHECK(HasTeam(cluster.Call(added, GetCall("/v1/config")).body, "kept"));
}

// Failure: a voter that was replaced while it was down still finds itself in its own log. It waits
// for a leader that no longer knows it, and the group stays without its vote.
TEST_CASE("a voter that was replaced while it was down votes again after its return") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t away = cluster.Follower();
  const std::string away_name = cluster.Options(away).node.Value();
  cluster.Crash(away);
  const std::size_t added = cluster.AddJoining("c-new");
  cluster.Options(added).auto_join = true;
  cluster.Start(added);
  REQUIRE(WaitUntil([&] {
    const std::set<std::string> voters = VotersAt(cluster, cluster.WaitForLeader());
    return voters.contains("c-new") && !voters.contains(away_name);
  }));
  cluster.Start(away);
  CHECK(WaitUntil([&] {
    if (cluster.At(away).IsRetired()) {
      // The process ends, empties its folder and starts again.
      cluster.Crash(away);
      std::filesystem::remove_all(cluster.FolderOf(away));
      cluster.Options(away).join = true;
      cluster.Start(away);
    }
    return VotersAt(cluster, cluster.WaitForLeader()).contains(away_name);
  }));
}

// Failure: a host that was removed while it was down finds itself in its own log, waits for a
// leader that does not know it, and never votes again.
TEST_CASE("a host that was removed while it was down learns that its identity is retired") {
  ControlTimings timings = QuickTimings();
  timings.remove_learner_after = seconds(1);
  ControlCluster cluster(3, timings);
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t removed = cluster.Follower();
  const std::string removed_name = cluster.Options(removed).node.Value();
  cluster.Crash(removed);
  const std::size_t added = cluster.AddJoining("c-new");
  cluster.Options(added).auto_join = true;
  cluster.Start(added);
  REQUIRE(WaitUntil([&] {
    const std::set<std::string> members = MembersAt(cluster, cluster.WaitForLeader());
    return members.contains("c-new") && !members.contains(removed_name);
  }));
  cluster.Start(removed);
  CHECK(WaitUntil([&] { return cluster.At(removed).IsRetired(); }));
}

TEST_CASE("an observer follows the log and serves requests, but never votes nor replaces a voter") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t observer = cluster.AddJoining("c-observer");
  cluster.Options(observer).auto_join = true;
  cluster.Options(observer).may_vote = false;
  cluster.Start(observer);
  REQUIRE(WaitUntil([&] { return VotersAt(cluster, observer).size() == 3; }));
  REQUIRE(WaitUntil([&] { return cluster.At(observer).IsReady(); }));
  CHECK(cluster.Call(observer, PatchCall(1, "p-1", TeamPatch("through-it"))).status == 200);
  CHECK(HasTeam(cluster.Call(observer, GetCall("/v1/config")).body, "through-it"));

  // A voter crashes, and a host that may vote joins. That host replaces the voter, not the
  // observer.
  const std::size_t crashed = cluster.Follower();
  const std::string crashed_name = cluster.Options(crashed).node.Value();
  cluster.Crash(crashed);
  const std::size_t added = cluster.AddJoining("c-voter");
  cluster.Options(added).auto_join = true;
  cluster.Start(added);
  REQUIRE(WaitUntil([&] {
    const std::set<std::string> voters = VotersAt(cluster, cluster.WaitForLeader());
    return voters.size() == 3 && voters.contains("c-voter");
  }));
  const std::set<std::string> voters = VotersAt(cluster, cluster.WaitForLeader());
  CHECK_FALSE(voters.contains("c-observer"));
  CHECK_FALSE(voters.contains(crashed_name));
}

TEST_CASE("a group is formed by those of its first members that may vote") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.Options(0).may_vote = false;
  cluster.StartAll();
  CHECK(VotersAt(cluster, 1) == std::set<std::string>{"c1", "c2"});
  CHECK(WaitUntil([&] { return VotersAt(cluster, 0).size() == 2; }));
}

TEST_CASE("six voters lose no change when all crash and two lose their data folders") {
  // Failure: all hosts lose power right after an acknowledgement, and two lose their data folders.
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.StartAll();
  for (int added = 0; added < 3; ++added) {
    const std::size_t place = cluster.AddJoining("c-more-" + std::to_string(added));
    cluster.Options(place).auto_join = true;
    cluster.Start(place);
  }
  REQUIRE(WaitUntil([&] { return VotersAt(cluster, cluster.WaitForLeader()).size() == 6; }));
  CHECK(cluster.Call(0, PatchCall(1, "p-1", TeamPatch("kept"))).status == 200);
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Crash(index);
  }
  for (const std::size_t wiped : {std::size_t{1}, std::size_t{4}}) {
    std::filesystem::remove_all(cluster.FolderOf(wiped));
  }
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Options(index).join = true;
    cluster.Start(index);
  }
  REQUIRE(WaitUntil([&] { return VotersAt(cluster, cluster.WaitForLeader()).size() == 6; }));
  REQUIRE(WaitUntil([&] { return cluster.AllReady(); }));
  CHECK(HasTeam(cluster.Call(4, GetCall("/v1/config")).body, "kept"));
}

// Failure: an observer never starts again, since its former process was killed while it wrote.
TEST_CASE("an observer starts from an empty folder, whatever a former process left there") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t observer = cluster.AddJoining("c-observer");
  cluster.Options(observer).auto_join = true;
  cluster.Options(observer).may_vote = false;
  const std::filesystem::path replica = cluster.FolderOf(observer) + "/replica";
  std::filesystem::create_directories(replica);
  std::ofstream(replica / "identity").close();
  REQUIRE(cluster.TryStart(observer) == "");
  CHECK(WaitUntil([&] { return VotersAt(cluster, observer).size() == 3; }));
}

/// The identity of the host's data folder, as it tells other replicas.
storage::DataFolderId IdentityOf(ControlCluster& cluster, std::size_t index) {
  net::RpcClient client(cluster.Options(index).rpc_address,
                        NodeCredentials("c-test", net::NodeRole::kControl), {});
  return HandleErrors(
      [&]() -> Result<storage::DataFolderId> {
        BOOST_LEAF_AUTO(reply, client.Call<net::FormReply>(net::FormRequest{}, kGenerous));
        return storage::DataFolderId(reply.identity);
      },
      [](const Error& error) {
        FAIL(error.message);
        return storage::DataFolderId();
      });
}

// Failure: a removed replica never starts again, since its process ended while it deleted its
// files.
TEST_CASE("a host that discards its data starts as a new replica after an interrupted removal") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  cluster.StartAll();
  const std::size_t discarding = cluster.Follower();
  const storage::DataFolderId former = IdentityOf(cluster, discarding);
  REQUIRE(HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(cluster.At(discarding).DiscardData());
        return true;
      },
      [](const Error&) { return false; }));
  cluster.Crash(discarding);
  std::filesystem::remove(cluster.FolderOf(discarding) + "/replica/identity");
  cluster.Options(discarding).join = true;
  REQUIRE(cluster.TryStart(discarding) == "");
  CHECK(IdentityOf(cluster, discarding) != former);
  const std::string name = cluster.Options(discarding).node.Value();
  CHECK(WaitUntil([&] { return VotersAt(cluster, discarding).contains(name); }));
  CHECK_FALSE(std::filesystem::exists(cluster.FolderOf(discarding) + "/discarded"));
}

// Failure: the coordinator restarts while the group forms, and all hosts wait for it forever.
TEST_CASE("a coordinator that restarts after it accepted a membership forms the group") {
  ControlCluster cluster(3, QuickTimings());
  EnableAutoJoin(cluster);
  consensus::Membership membership;
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Start(index);
    membership.voters.push_back({cluster.Options(index).node, IdentityOf(cluster, index)});
    cluster.Crash(index);
  }
  std::ofstream(cluster.FolderOf(0) + "/formation", std::ios::binary)
      << 'A' << consensus::EncodeMembership(membership);
  cluster.Options(0).join = true;
  cluster.StartAll();
  CHECK(VotersAt(cluster, 1) == std::set<std::string>{"c0", "c1", "c2"});
}

}  // namespace
}  // namespace masticrill::control
