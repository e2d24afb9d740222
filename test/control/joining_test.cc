#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "fakes/control_cluster.h"
#include "fakes/control_operators.h"

namespace masticrill::control {
namespace {

/// The nodes that vote, as a host shows them; empty while it shows nothing.
std::set<std::string> VotersAt(ControlCluster& cluster, std::size_t index) {
  const auto status =
      nlohmann::json::parse(cluster.Call(index, GetCall("/v1/status")).body, nullptr, false);
  std::set<std::string> voters;
  if (status.is_object() && status.contains("replica")) {
    for (const auto& voter : status.at("replica").at("voters")) {
      voters.insert(voter.at("node").get<std::string>());
    }
  }
  return voters;
}

ControlTimings QuickTimings() {
  ControlTimings timings;
  timings.upkeep_interval = milliseconds(50);
  timings.replaceable_silence = milliseconds(500);
  return timings;
}

void LetJoinByThemselves(ControlCluster& cluster) {
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Options(index).join_by_itself = true;
  }
}

TEST_CASE("hosts that are named by their addresses form one group of all, in any order of start") {
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
  // The first by name comes second: it must not take itself for the one that is missing.
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

TEST_CASE("a host that no other one names joins the group by itself and votes") {
  ControlCluster cluster(3, QuickTimings());
  cluster.StartAll();
  const std::size_t added = cluster.AddJoining("c-new");
  cluster.Options(added).join_by_itself = true;
  cluster.Start(added);
  REQUIRE(WaitUntil([&] { return VotersAt(cluster, cluster.WaitForLeader()).size() == 4; }));
  CHECK(WaitUntil([&] { return VotersAt(cluster, added).contains("c-new"); }));
}

TEST_CASE("a host that lost its data folder joins again and nothing acknowledged is lost") {
  ControlCluster cluster(3, QuickTimings());
  LetJoinByThemselves(cluster);
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

TEST_CASE("a replacement at another address takes the place of a host that is gone for good") {
  ControlCluster cluster(3, QuickTimings());
  LetJoinByThemselves(cluster);
  cluster.StartAll();
  const std::size_t gone = cluster.Follower();
  const std::string gone_name = cluster.Options(gone).node.Value();
  cluster.Crash(gone);
  const std::size_t added = cluster.AddJoining("c-new");
  cluster.Options(added).join_by_itself = true;
  cluster.Start(added);
  REQUIRE(WaitUntil([&] {
    const std::set<std::string> voters = VotersAt(cluster, cluster.WaitForLeader());
    return voters.size() == 3 && voters.contains("c-new") && !voters.contains(gone_name);
  }));
  CHECK(cluster.Call(added, PatchCall(1, "p-1", TeamPatch("after"))).status == 200);
}

}  // namespace
}  // namespace masticrill::control
