#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "control/join_schedule.h"
#include "fakes/control_cluster.h"

namespace masticrill::control {
namespace {

/// How long the platform counts a host as lost after its return.
constexpr Duration kCatchUpTime = seconds(4);

/// Whether the host finds its own identity, which a lost data folder changes, among the voters.
bool Votes(ControlCluster& cluster, std::size_t index) {
  const auto status =
      nlohmann::json::parse(cluster.Call(index, GetCall("/v1/status")).body, nullptr, false);
  if (!status.is_object() || !status.contains("replica")) {
    return false;
  }
  const auto& replica = status.at("replica");
  const auto& voters = replica.at("voters");
  return std::any_of(voters.begin(), voters.end(), [&](const auto& voter) {
    return voter.at("identity") == replica.at("identity");
  });
}

// Guards against a replaced disk that stays without a vote while the host asks for membership at
// hosts that accept connections and never answer.
TEST_CASE("a host that lost its data folder votes in time while other hosts stand still") {
  ControlCluster cluster(3);
  for (std::size_t index = 0; index < cluster.Size(); ++index) {
    cluster.Options(index).auto_join = true;
  }
  cluster.StartAll();
  const std::size_t wiped = cluster.Follower();
  std::vector<Poco::Net::ServerSocket> silent;
  std::vector<PeerAddress> peers;
  for (int number = 0; number < 3; ++number) {
    silent.emplace_back(Poco::Net::SocketAddress("127.0.0.1:0"));
    // Sorted before the hosts that answer.
    peers.push_back({NodeId("a" + std::to_string(number)), silent.back().address().toString()});
  }
  const std::size_t known = cluster.Leader();
  peers.push_back({cluster.Options(known).node, cluster.Options(known).rpc_address});
  cluster.Crash(wiped);
  std::filesystem::remove_all(cluster.FolderOf(wiped));
  cluster.Options(wiped).join = true;
  cluster.Options(wiped).peers = peers;
  const SystemClock clock;
  const TimePoint started_at = clock.Now();
  cluster.Start(wiped);
  REQUIRE(WaitUntil([&] { return Votes(cluster, wiped); }));
  CHECK(clock.Now() - started_at <= kCatchUpTime);
}

const NodeId kNoLeader;

TEST_CASE("a host that does not answer holds up the next one for the hedge delay only") {
  JoinSchedule schedule;
  const std::set<NodeId> known = {NodeId("a"), NodeId("b"), NodeId("c")};
  TimePoint now{seconds(100)};
  CHECK(schedule.StartNext(known, kNoLeader, now) == NodeId("a"));
  CHECK_FALSE(schedule.StartNext(known, kNoLeader, now + JoinSchedule::kHedgeDelay / 2));
  now += JoinSchedule::kHedgeDelay;
  CHECK(schedule.StartNext(known, kNoLeader, now) == NodeId("b"));
  // A refusal ends the wait at once; the two others are still asked.
  schedule.End(NodeId("b"), now);
  CHECK(schedule.StartNext(known, kNoLeader, now) == NodeId("c"));
  schedule.End(NodeId("c"), now);
  CHECK_FALSE(schedule.StartNext(known, kNoLeader, now));
  now += JoinSchedule::kRetryInterval;
  CHECK(schedule.StartNext(known, kNoLeader, now) == NodeId("b"));
}

TEST_CASE("a host that becomes known meanwhile is asked first if it leads") {
  JoinSchedule schedule;
  TimePoint now{seconds(100)};
  CHECK(schedule.StartNext({NodeId("a"), NodeId("b")}, kNoLeader, now) == NodeId("a"));
  CHECK_FALSE(schedule.CompletesRound({NodeId("a"), NodeId("b")}));
  now += JoinSchedule::kHedgeDelay;
  const std::set<NodeId> known = {NodeId("a"), NodeId("b"), NodeId("z")};
  CHECK(schedule.StartNext(known, NodeId("z"), now) == NodeId("z"));
  now += JoinSchedule::kHedgeDelay;
  CHECK(schedule.StartNext(known, NodeId("z"), now) == NodeId("b"));
  CHECK(schedule.CompletesRound(known));
  CHECK_FALSE(schedule.CompletesRound(known));
}

}  // namespace
}  // namespace masticrill::control
