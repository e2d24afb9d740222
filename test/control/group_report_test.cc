#include "control/group_report.h"

#include <doctest/doctest.h>

namespace masticrill::control {
namespace {

using consensus::ReplicaId;
using consensus::Role;

constexpr Duration kElectionTimeout = milliseconds(600);
constexpr TimePoint kStart = TimePoint(seconds(1000));

ReplicaId Replica(const std::string& node) {
  return {NodeId(node), storage::DataFolderId("0123456789-" + node)};
}

consensus::DriverStatus Follower(const std::vector<std::string>& voters) {
  consensus::DriverStatus status;
  status.replica.id = Replica("a");
  for (const std::string& voter : voters) {
    status.replica.membership.voters.push_back(Replica(voter));
  }
  return status;
}

/// A leader that hears each of its peers at `heard_at`.
consensus::DriverStatus Leader(const std::vector<std::string>& voters, TimePoint heard_at) {
  consensus::DriverStatus status = Follower(voters);
  status.replica.role = Role::kLeader;
  status.replica.leader = status.replica.id;
  for (const ReplicaId& voter : status.replica.membership.voters) {
    if (voter != status.replica.id) {
      status.replica.peers.push_back({.replica = voter, .heard_at = heard_at});
    }
  }
  return status;
}

std::vector<GroupNotice> Only(std::vector<GroupNotice> notices, GroupEvent event) {
  std::erase_if(notices, [event](const GroupNotice& notice) { return notice.event != event; });
  return notices;
}

TEST_CASE("each change of the membership is told once") {
  GroupReport report(kElectionTimeout);
  consensus::DriverStatus status = Follower({"a", "b", "c"});
  status.replica.leader = Replica("b");
  const auto changes = [&] {
    return Only(report.Observe(status, kStart), GroupEvent::kMembershipChanged).size();
  };
  CHECK(changes() == 1);
  CHECK(changes() == 0);
  status.replica.membership.learners.push_back(Replica("d"));
  CHECK(changes() == 1);
  status.replica.membership.learners.clear();
  status.replica.membership.voters.push_back(Replica("d"));
  CHECK(changes() == 1);
  CHECK(changes() == 0);
}

TEST_CASE("a lasting election is told every few seconds with the answers of each voter") {
  GroupReport report(kElectionTimeout);
  consensus::DriverStatus status = Follower({"a", "b", "c", "d"});
  status.replica.role = Role::kPreCandidate;
  std::vector<GroupNotice> notices;
  for (int step = 0; step < 120; ++step) {
    // The answers of the rounds of an election come and go between the observations.
    const bool answers = step % 6 == 5;
    status.replica.votes =
        answers ? std::vector{Replica("a"), Replica("b")} : std::vector{Replica("a")};
    status.replica.refusals = answers ? std::vector{Replica("c")} : std::vector<ReplicaId>();
    for (GroupNotice& notice :
         Only(report.Observe(status, kStart + step * milliseconds(100)), GroupEvent::kNoLeader)) {
      notices.push_back(std::move(notice));
    }
  }
  REQUIRE(notices.size() == 2);
  for (const GroupNotice& notice : notices) {
    CHECK(notice.granted == std::vector{Replica("b")});
    CHECK(notice.refused == std::vector{Replica("c")});
    CHECK(notice.unanswered == std::vector{Replica("d")});
  }
  CHECK(notices.back().without_leader == seconds(7));
  CHECK(report.WithoutLeader() == milliseconds(11'900));
}

TEST_CASE("a learner without a leader lists no voters, since it asks none for a vote") {
  GroupReport report(kElectionTimeout);
  consensus::DriverStatus status = Follower({"b", "c"});
  status.replica.membership.learners.push_back(Replica("a"));
  report.Observe(status, kStart);
  const auto notices = Only(report.Observe(status, kStart + seconds(2)), GroupEvent::kNoLeader);
  REQUIRE(notices.size() == 1);
  CHECK(notices.front() ==
        GroupNotice{.event = GroupEvent::kNoLeader, .without_leader = seconds(2)});
}

TEST_CASE("a short election is not told") {
  GroupReport report(kElectionTimeout);
  consensus::DriverStatus status = Follower({"a", "b", "c"});
  for (int round = 0; round < 20; ++round) {
    const TimePoint begin = kStart + round * seconds(2);
    status.replica.leader = Replica("b");
    CHECK(Only(report.Observe(status, begin), GroupEvent::kNoLeader).empty());
    status.replica.leader = ReplicaId();
    CHECK(Only(report.Observe(status, begin + milliseconds(1900)), GroupEvent::kNoLeader).empty());
  }
}

TEST_CASE("silent voters are told when they change and from time to time") {
  GroupReport report(kElectionTimeout);
  const std::vector<std::string> voters = {"a", "b", "c"};
  std::vector<GroupNotice> notices;
  for (int step = 0; step <= 250; ++step) {
    const TimePoint now = kStart + step * milliseconds(100);
    consensus::DriverStatus status = Leader(voters, now);
    if (step < 230) {
      status.replica.peers.front().heard_at = kStart;
    }
    for (GroupNotice& notice : Only(report.Observe(status, now), GroupEvent::kSilentVoters)) {
      notices.push_back(std::move(notice));
    }
  }
  REQUIRE(notices.size() == 4);
  for (std::size_t place = 0; place < 3; ++place) {
    CHECK(notices[place].silent == std::vector{Replica("b")});
  }
  CHECK(notices.back().silent.empty());
}

TEST_CASE("a voter that comes and goes is told at most once a second") {
  GroupReport report(kElectionTimeout);
  std::size_t count = 0;
  for (int step = 0; step < 100; ++step) {
    const TimePoint now = kStart + step * milliseconds(100);
    const bool heard = step % 2 == 0;
    count += Only(report.Observe(Leader({"a", "b", "c"}, heard ? now : kStart - seconds(1)), now),
                  GroupEvent::kSilentVoters)
                 .size();
  }
  CHECK(count > 1);
  CHECK(count <= 10);
}

TEST_CASE("the voters to spare fall below zero when a majority is silent") {
  const consensus::ReplicaStatus status = Leader({"a", "b", "c", "d"}, kStart - seconds(1)).replica;
  CHECK(SilentVoters(status, kElectionTimeout, kStart).size() == 3);
  CHECK(VotersToSpare(status.membership, 0) == 1);
  CHECK(VotersToSpare(status.membership, 1) == 0);
  CHECK(VotersToSpare(status.membership, 3) == -2);
  CHECK(SilentVoters(Follower({"a", "b"}).replica, kElectionTimeout, kStart).empty());
}

TEST_CASE("the time since a storage error stopped the replica is told") {
  GroupReport report(kElectionTimeout);
  consensus::DriverStatus status = Follower({"a", "b", "c"});
  report.Observe(status, kStart);
  CHECK(report.Stopped() == Duration(0));
  status.stopped = Error{ErrorKind::kStorageFull, "full"};
  report.Observe(status, kStart + seconds(3));
  CHECK(report.Stopped() == seconds(3));
  status.stopped.reset();
  report.Observe(status, kStart + seconds(4));
  CHECK(report.Stopped() == Duration(0));
}

TEST_CASE("a list of replicas has a bounded length") {
  CHECK(FormatReplicas({}).empty());
  CHECK(FormatReplicas({Replica("a"), Replica("b")}) == "a:012345 b:012345");
  const std::vector<ReplicaId> many(100, Replica(std::string(1000, 'n')));
  const std::string text = FormatReplicas(many);
  CHECK(text.size() <= 500);
  CHECK(text.ends_with(" and 92 more"));
}

TEST_CASE("a replica tells its part in the group") {
  consensus::ReplicaStatus status = Follower({"b"}).replica;
  CHECK(PartOf(status) == MemberPart::kNone);
  status.membership.learners.push_back(status.id);
  CHECK(PartOf(status) == MemberPart::kLearner);
  status.membership = Follower({"a"}).replica.membership;
  CHECK(PartOf(status) == MemberPart::kVoter);
}

}  // namespace
}  // namespace masticrill::control
