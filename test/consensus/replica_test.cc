#include "masticrill/consensus/replica.h"

#include <doctest/doctest.h>

#include "fakes/consensus_group.h"

namespace masticrill::consensus {
namespace {

constexpr Duration kElectionTimeout = milliseconds(100);

/// A group that has elected its leader.
class Elected {
 public:
  explicit Elected(std::size_t voters, std::size_t spares = 0) : group(voters, spares, 7) {
    this->group.RunSoundly(seconds(1));
    REQUIRE(this->group.Leader() != nullptr);
    this->leader = this->group.Leader();
  }
  ~Elected() { CHECK_MESSAGE(this->group.violation.empty(), this->group.violation); }
  Elected(const Elected&) = delete;
  Elected& operator=(const Elected&) = delete;

  Group::Host& Follower(std::size_t place) {
    for (Group::Host& host : this->group.hosts) {
      const bool votes = this->leader->replica->CurrentMembership().IsVoter(host.Id());
      if (&host != this->leader && votes && place-- == 0) {
        return host;
      }
    }
    FAIL("There are too few followers.");
    return this->group.hosts.front();
  }

  Term LeaderTerm() { return this->leader->replica->CurrentHardState().term; }

  /// Whether the leader commits a command within a few election timeouts.
  bool Commits() {
    const std::size_t before = this->group.committed.size();
    this->group.Propose(*this->leader);
    this->group.RunSoundly(milliseconds(300));
    return this->group.committed.size() > before;
  }

  void ProposeMany(int count) {
    for (int proposal = 0; proposal < count; ++proposal) {
      this->group.Propose(*this->leader);
      this->group.RunSoundly(milliseconds(2));
    }
    this->group.RunSoundly(milliseconds(200));
  }

  void Cut(const NodeId& from, const NodeId& to) { this->group.blocked.insert({from, to}); }
  void CutOff(const NodeId& node) {
    for (const Group::Host& host : this->group.hosts) {
      this->Cut(node, host.node);
      this->Cut(host.node, node);
    }
  }

  std::optional<RejectReason> Change(MembershipChangeKind kind, const ReplicaId& replica) {
    const auto reason = this->group.Change(*this->leader, {kind, replica});
    return reason;
  }

  Group group;
  Group::Host* leader = nullptr;
};

TEST_CASE("a follower that was cut off does not disturb the leader when it returns") {
  Elected elected(3);
  const Term term = elected.LeaderTerm();
  Group::Host& follower = elected.Follower(0);
  elected.CutOff(follower.node);
  elected.group.RunSoundly(seconds(2));
  CHECK(follower.replica->CurrentHardState().term == term);
  elected.group.blocked.clear();
  elected.group.RunSoundly(seconds(1));
  CHECK(elected.group.Leader() == elected.leader);
  CHECK(elected.LeaderTerm() == term);
}

TEST_CASE("a follower that hears nothing but is heard does not disturb the leader") {
  Elected elected(3);
  const Term term = elected.LeaderTerm();
  Group::Host& follower = elected.Follower(0);
  for (const Group::Host& host : elected.group.hosts) {
    elected.Cut(host.node, follower.node);
  }
  elected.group.RunSoundly(seconds(2));
  CHECK(elected.group.Leader() == elected.leader);
  CHECK(elected.LeaderTerm() == term);
  CHECK(elected.Commits());
}

TEST_CASE("the status of a replica in an election tells who granted and who refused its vote") {
  Elected elected(3);
  Group::Host& follower = elected.Follower(0);
  const ReplicaId other = elected.Follower(1).Id();
  elected.Cut(elected.leader->node, follower.node);
  elected.Cut(follower.node, elected.leader->node);
  const TimePoint cut_at = elected.group.now;
  while (follower.replica->Status().refusals.empty()) {
    elected.group.RunSoundly(milliseconds(2));
    REQUIRE(elected.group.now - cut_at <= seconds(1));
  }
  const ReplicaStatus status = follower.replica->Status();
  CHECK(status.role == Role::kPreCandidate);
  CHECK(status.votes == std::vector{follower.Id()});
  CHECK(status.refusals == std::vector{other});
  CHECK(status.membership_index == 1);
}

TEST_CASE("a leader without a quorum steps down, and its quorum evidence stays old") {
  Elected elected(3);
  const TimePoint cut_at = elected.group.now;
  // Heartbeats still go out, only the answers are lost.
  for (const Group::Host& host : elected.group.hosts) {
    elected.Cut(host.node, elected.leader->node);
  }
  while (elected.leader->replica->CurrentRole() == Role::kLeader) {
    const std::optional<TimePoint> confirmed =
        elected.leader->replica->Status().quorum_confirmed_at;
    CHECK(confirmed.value_or(TimePoint()) <= cut_at);
    elected.group.RunSoundly(milliseconds(2));
    REQUIRE(elected.group.now - cut_at <= kElectionTimeout + milliseconds(4));
  }
  CHECK_FALSE(elected.leader->replica->Status().quorum_confirmed_at);
  elected.group.RunSoundly(seconds(1));
  REQUIRE(elected.group.Leader() != nullptr);
  CHECK(elected.group.Leader() != elected.leader);
}

TEST_CASE("a frozen leader that wakes serves no read and steps down") {
  Elected elected(3);
  elected.leader->frozen = true;
  elected.group.RunSoundly(seconds(1));
  REQUIRE(elected.group.Leader() != nullptr);
  Group::Host* const stale = std::exchange(elected.leader, elected.group.Leader());
  CHECK(elected.Commits());
  stale->frozen = false;
  const ReadId read = elected.group.Read(*stale);
  elected.group.RunSoundly(milliseconds(500));
  REQUIRE(elected.group.finished_reads.contains(read));
  CHECK(elected.group.finished_reads[read] == RejectReason::kNotLeader);
}

TEST_CASE("a follower reads only with the leader's quorum behind it") {
  Elected elected(3);
  Group::Host& follower = elected.Follower(0);
  CHECK(elected.Commits());
  const ReadId good = elected.group.Read(follower);
  elected.group.RunSoundly(milliseconds(50));
  REQUIRE(elected.group.finished_reads.contains(good));
  CHECK_FALSE(elected.group.finished_reads[good]);
  // The leader hears this follower but no other: both are the smaller side.
  Elected parted(5);
  Group::Host& companion = parted.Follower(0);
  for (const Group::Host& host : parted.group.hosts) {
    for (const NodeId& inside : {parted.leader->node, companion.node}) {
      if (host.node != parted.leader->node && host.node != companion.node) {
        parted.Cut(host.node, inside);
        parted.Cut(inside, host.node);
      }
    }
  }
  const ReadId bad = parted.group.Read(companion);
  parted.group.RunSoundly(milliseconds(500));
  REQUIRE(parted.group.finished_reads.contains(bad));
  CHECK(parted.group.finished_reads[bad]);
}

TEST_CASE("leadership is handed over to the wanted or the best voter") {
  Elected elected(3);
  Group::Host& target = elected.Follower(1);
  elected.group.Step(*elected.leader, TransferEvent{target.node});
  elected.group.RunSoundly(milliseconds(50));
  CHECK(elected.group.Leader() == &target);
  elected.leader = &target;
  CHECK(elected.Commits());
  elected.group.Step(target, TransferEvent{});
  elected.group.RunSoundly(milliseconds(50));
  REQUIRE(elected.group.Leader() != nullptr);
  CHECK(elected.group.Leader() != &target);
}

TEST_CASE("a hand-over to a host that is down ends and commands go on") {
  Elected elected(3);
  Group::Host& target = elected.Follower(0);
  elected.group.Crash(target);
  elected.group.Step(*elected.leader, TransferEvent{target.node});
  elected.group.RunSoundly(2 * kElectionTimeout);
  CHECK(elected.group.Leader() == elected.leader);
  CHECK(elected.Commits());
}

TEST_CASE("a learner does not count for a quorum and is promoted only when caught up") {
  Elected elected(3, 1);
  const ReplicaId learner = elected.group.hosts[3].Id();
  elected.ProposeMany(20);
  CHECK_FALSE(elected.Change(MembershipChangeKind::kAddLearner, learner));
  CHECK(elected.Change(MembershipChangeKind::kPromote, learner) == RejectReason::kChangeInProgress);
  elected.CutOff(learner.node);
  elected.group.RunSoundly(milliseconds(200));
  CHECK(elected.Change(MembershipChangeKind::kPromote, learner) == RejectReason::kNotCaughtUp);
  elected.group.blocked.clear();
  elected.group.RunSoundly(milliseconds(500));
  elected.CutOff(elected.Follower(0).node);
  elected.CutOff(elected.Follower(1).node);
  CHECK_FALSE(elected.Commits());
  elected.group.blocked.clear();
  elected.group.RunSoundly(seconds(1));
  elected.leader = elected.group.Leader();
  REQUIRE(elected.leader != nullptr);
  CHECK_FALSE(elected.Change(MembershipChangeKind::kPromote, learner));
  elected.group.RunSoundly(milliseconds(100));
  CHECK(elected.leader->replica->CurrentMembership().voters.size() == 4);
}

TEST_CASE("a wiped host returns as a learner, and a second loss before it caught up blocks") {
  Elected elected(3);
  elected.ProposeMany(30);
  Group::Host& wiped = elected.Follower(0);
  Group::Host& second = elected.Follower(1);
  const ReplicaId old_id = wiped.Id();
  elected.group.Wipe(wiped);
  elected.group.RunSoundly(milliseconds(300));
  CHECK(wiped.applied == 0);
  CHECK(elected.Change(MembershipChangeKind::kAddLearner, wiped.Id()) ==
        RejectReason::kAlreadyMember);
  CHECK_FALSE(elected.Change(MembershipChangeKind::kRemove, old_id));
  elected.group.RunSoundly(milliseconds(100));
  CHECK(elected.Change(MembershipChangeKind::kAddLearner, old_id) ==
        RejectReason::kRetiredIdentity);
  elected.CutOff(wiped.node);
  CHECK_FALSE(elected.Change(MembershipChangeKind::kAddLearner, wiped.Id()));
  elected.group.RunSoundly(milliseconds(50));
  elected.group.Crash(second);
  elected.group.blocked.clear();
  CHECK_FALSE(elected.Commits());
  CHECK(elected.Change(MembershipChangeKind::kPromote, wiped.Id()));
  elected.group.Start(second);
  elected.group.RunSoundly(seconds(1));
  elected.leader = elected.group.Leader();
  REQUIRE(elected.leader != nullptr);
  CHECK_FALSE(elected.Change(MembershipChangeKind::kPromote, wiped.Id()));
  elected.group.RunSoundly(milliseconds(200));
  // Now the group can lose any one host.
  Group::Host& lost = elected.leader == &second ? elected.Follower(0) : second;
  elected.group.Crash(lost);
  CHECK(elected.Commits());
}

// Failure: a voter that is away counts for the quorum of four, so that the loss of one more host
// stops the group; removed instead, it could not return with its data folder.
TEST_CASE("a demoted voter does not count for a quorum and is promoted again with its log") {
  Elected elected(4);
  Group::Host& away = elected.Follower(0);
  const ReplicaId away_id = away.Id();
  elected.CutOff(away.node);
  CHECK_FALSE(elected.Change(MembershipChangeKind::kDemote, away_id));
  elected.group.RunSoundly(milliseconds(100));
  CHECK(elected.leader->replica->CurrentMembership().voters.size() == 3);
  CHECK(elected.Change(MembershipChangeKind::kDemote, away_id) == RejectReason::kNotMember);
  CHECK(elected.Change(MembershipChangeKind::kDemote, elected.leader->Id()) ==
        RejectReason::kLeaderCannotLeave);
  elected.group.Crash(elected.Follower(1));
  CHECK(elected.Commits());
  elected.group.blocked.clear();
  elected.group.RunSoundly(seconds(1));
  elected.leader = elected.group.Leader();
  REQUIRE(elected.leader != nullptr);
  CHECK_FALSE(elected.Change(MembershipChangeKind::kPromote, away_id));
  elected.group.RunSoundly(milliseconds(200));
  CHECK(elected.leader->replica->CurrentMembership().voters.size() == 4);
}

TEST_CASE("all replicas restart after hundreds of commands and a compaction") {
  Elected elected(3);
  elected.ProposeMany(300);
  for (Group::Host& host : elected.group.hosts) {
    elected.group.TakeSnapshot(host);
  }
  elected.ProposeMany(250);
  const std::size_t committed = elected.group.committed.size();
  CHECK(committed > 550);
  for (Group::Host& host : elected.group.hosts) {
    CHECK(host.replica->Log().BaseIndex() > 200);
    elected.group.Crash(host);
  }
  for (Group::Host& host : elected.group.hosts) {
    elected.group.Start(host);
  }
  elected.group.RunSoundly(seconds(1));
  for (const Group::Host& host : elected.group.hosts) {
    CHECK(host.applied > committed);
  }
}

TEST_CASE("a host that lags behind the compacted log is brought up by a snapshot") {
  Elected elected(3);
  Group::Host& laggard = elected.Follower(0);
  elected.group.Crash(laggard);
  elected.ProposeMany(100);
  elected.group.TakeSnapshot(*elected.leader);
  elected.group.Start(laggard);
  elected.group.RunSoundly(seconds(1));
  CHECK(laggard.replica->CurrentSnapshot() != nullptr);
  CHECK(laggard.applied == elected.group.committed.size());
}

TEST_CASE("only one membership change is under way, and the leader cannot leave") {
  Elected elected(3, 2);
  const ReplicaId first = elected.group.hosts[3].Id();
  const ReplicaId other = elected.group.hosts[4].Id();
  CHECK_FALSE(elected.Change(MembershipChangeKind::kAddLearner, first));
  CHECK(elected.Change(MembershipChangeKind::kAddLearner, other) ==
        RejectReason::kChangeInProgress);
  elected.group.RunSoundly(milliseconds(100));
  CHECK(elected.Change(MembershipChangeKind::kRemove, elected.leader->Id()) ==
        RejectReason::kLeaderCannotLeave);
  CHECK(elected.Change(MembershipChangeKind::kRemove, other) == RejectReason::kNotMember);
  Group::Host& follower = elected.Follower(0);
  CHECK(elected.group.Change(follower, {MembershipChangeKind::kRemove, first}) ==
        RejectReason::kNotLeader);
}

/// A replica that was just elected by votes of others, with an entry of an earlier term in its log.
struct Successor {
  Successor() {
    Membership membership;
    for (const char* const name : {"a", "b", "c"}) {
      membership.voters.push_back({NodeId(name), DataFolderId(name)});
    }
    this->self = membership.voters[0];
    this->peer = membership.voters[1];
    storage::StoredState stored;
    stored.hard_state.term = 2;
    stored.entries = {{1, 1, EntryKind::kMembership, EncodeMembership(membership)},
                      {2, 2, EntryKind::kCommand, "of an earlier term"}};
    Random random(1);
    this->replica = HandleErrors(
        [&]() -> Result<std::optional<Replica>> {
          BOOST_LEAF_AUTO(created, Replica::Create(this->self, TestOptions(), std::move(stored),
                                                   this->now, random));
          return std::optional<Replica>(std::move(created));
        },
        [](const Error&) { return std::optional<Replica>(); });
    this->now += seconds(1);
    this->replica->Step(TickEvent{}, this->now);
    this->Receive(3, PreVoteResponse{true});
    this->replica->Step(PersistedEvent{3, 2, 2}, this->now);
    this->Receive(3, VoteResponse{true});
    REQUIRE(this->replica->CurrentRole() == Role::kLeader);
    this->replica->Step(PersistedEvent{3, 3, 3}, this->now);
  }

  Output Receive(Term term, MessageBody body) {
    return this->replica->Step(ReceiveEvent{{this->peer, this->self, term, std::move(body)}},
                               this->now);
  }

  ReplicaId self;
  ReplicaId peer;
  TimePoint now{seconds(1)};
  std::optional<Replica> replica;
};

TEST_CASE("a replica alone leads only when its own vote is durable") {
  const ReplicaId alone{NodeId("a"), DataFolderId("a")};
  Membership membership;
  membership.voters = {alone};
  storage::StoredState stored;
  stored.hard_state.term = 1;
  stored.entries = {{1, 1, EntryKind::kMembership, EncodeMembership(membership)}};
  Random random(1);
  const TimePoint start{seconds(1)};
  std::optional<Replica> replica = HandleErrors(
      [&]() -> Result<std::optional<Replica>> {
        BOOST_LEAF_AUTO(created,
                        Replica::Create(alone, TestOptions(), std::move(stored), start, random));
        return std::optional<Replica>(std::move(created));
      },
      [](const Error&) { return std::optional<Replica>(); });
  REQUIRE(replica);
  const TimePoint later = start + seconds(1);
  CHECK(replica->Step(TickEvent{}, later).durable.hard_state);
  CHECK(replica->CurrentRole() == Role::kCandidate);
  replica->Step(PersistedEvent{2, 1, 1}, later);
  CHECK(replica->CurrentRole() == Role::kLeader);
  CHECK(replica->Commit() == 0);
  replica->Step(PersistedEvent{2, 2, 2}, later);
  CHECK(replica->Commit() == 2);
}

TEST_CASE("an entry of an earlier term is committed only behind one of the present term") {
  Successor successor;
  successor.Receive(3, AppendResponse{true, 2, 1});
  CHECK(successor.replica->Commit() == 0);
  successor.Receive(3, AppendResponse{true, 3, 1});
  CHECK(successor.replica->Commit() == 3);
}

TEST_CASE("a new leader changes no membership and answers no read before its first commit") {
  Successor successor;
  const ReplicaId other{NodeId("d"), DataFolderId("d")};
  const MembershipEvent change{1, {MembershipChangeKind::kAddLearner, other}};
  Output output = successor.replica->Step(change, successor.now);
  REQUIRE(output.rejected.size() == 1);
  CHECK(output.rejected[0].reason == RejectReason::kTermNotEstablished);
  successor.replica->Step(ReadEvent{{5}}, successor.now);
  output = successor.Receive(3, AppendResponse{true, 2, 1});
  CHECK(output.reads.empty());
  CHECK_FALSE(successor.replica->Status().quorum_confirmed_at);
  output = successor.Receive(3, AppendResponse{true, 3, 1});
  CHECK(output.reads.empty());
  output = successor.Receive(3, AppendResponse{true, 3, 2});
  REQUIRE(output.reads.size() == 1);
  CHECK(output.reads[0].index == 3);
  CHECK(successor.replica->Status().quorum_confirmed_at == successor.now);
  CHECK(successor.replica->Step(change, successor.now).rejected.empty());
}

TEST_CASE("a read is confirmed only by a round that began after it") {
  Successor successor;
  successor.Receive(3, AppendResponse{true, 3, 1});
  successor.now += TestOptions().heartbeat_interval;
  successor.replica->Step(TickEvent{}, successor.now);
  successor.replica->Step(ReadEvent{{5}}, successor.now);
  CHECK(successor.Receive(3, AppendResponse{true, 3, 2}).reads.empty());
  const Output output = successor.Receive(3, AppendResponse{true, 3, 3});
  REQUIRE(output.reads.size() == 1);
  CHECK_FALSE(output.reads[0].rejected);
}

TEST_CASE("commands beyond the limit of uncommitted bytes are rejected") {
  Elected elected(3);
  elected.CutOff(elected.leader->node);
  ProposeEvent event;
  const std::string half(TestOptions().max_uncommitted_bytes / 2, 'x');
  event.proposals = {{1, half}, {2, half}, {3, "x"}};
  const Output output = elected.leader->replica->Step(std::move(event), elected.group.now);
  CHECK(output.accepted.size() == 2);
  REQUIRE(output.rejected.size() == 1);
  CHECK(output.rejected[0].reason == RejectReason::kOverloaded);
}

}  // namespace
}  // namespace masticrill::consensus
