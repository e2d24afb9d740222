#include "control/membership_plan.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "fakes/consensus_group.h"

namespace masticrill::control {
namespace {

using consensus::Group;
using consensus::Membership;
using consensus::MembershipChange;
using consensus::MembershipChangeKind;
using consensus::ReplicaId;
using storage::DataFolderId;

ReplicaId Replica(const std::string& name) { return {NodeId(name), DataFolderId("id-" + name)}; }

Membership VotersOf(const std::vector<std::string>& names) {
  Membership membership;
  for (const std::string& name : names) {
    membership.voters.push_back(Replica(name));
  }
  return membership;
}

TEST_CASE("a voter that ends as planned gives its vote up only where the tolerance stays") {
  const MembershipChange demote{MembershipChangeKind::kDemote, Replica("a")};
  const MembershipChange promote{MembershipChangeKind::kPromote, Replica("s")};
  const auto plan = [](const std::vector<std::string>& voters, bool has_successor) {
    Membership membership = VotersOf(voters);
    membership.learners.push_back(Replica("s"));
    return PlanLeave(membership, Replica("a"),
                     has_successor ? std::optional(Replica("s")) : std::nullopt);
  };
  CHECK(plan({"a", "b", "c", "d"}, false) == demote);
  CHECK(plan({"a", "b", "c", "d"}, true) == demote);
  CHECK(plan({"a", "b", "c", "d", "e", "f"}, false) == demote);
  // A plain restart must not shrink the group.
  CHECK(plan({"a"}, false) == std::nullopt);
  CHECK(plan({"a", "b"}, true) == std::nullopt);
  CHECK(plan({"a", "b", "c"}, false) == std::nullopt);
  CHECK(plan({"a", "b", "c", "d", "e"}, false) == std::nullopt);
  CHECK(plan({"a", "b", "c"}, true) == promote);
  CHECK(plan({"a", "b", "c", "d", "e"}, true) == promote);
  CHECK(plan({"b", "c", "d", "e"}, false) == std::nullopt);
}

TEST_CASE("a leader without a recent answer of a quorum changes no members") {
  const ControlTimings timings;
  const TimePoint now{seconds(100)};
  consensus::ReplicaStatus status;
  status.role = consensus::Role::kLeader;
  status.membership = VotersOf({"a", "b", "c", "d"});
  status.membership_committed = true;
  status.peers = {{.replica = Replica("b"), .match = 0, .heard_at = now - seconds(5)}};
  const auto plan = [&] {
    return PlanMembershipUpkeep(status, std::nullopt, MembershipUpkeep::kReplace, timings, now);
  };
  CHECK(plan() == std::nullopt);
  status.quorum_confirmed_at = now - timings.election_timeout;
  CHECK(plan() == std::nullopt);
  status.quorum_confirmed_at = now;
  CHECK(plan() == MembershipChange{MembershipChangeKind::kDemote, Replica("b")});
  status.membership_committed = false;
  CHECK(plan() == std::nullopt);
}

/// A group whose hosts are lost, return and are replaced in simulated time. Hosts join, and the
/// leader changes the members, as the processes do.
class FleetHistory {
 public:
  static constexpr Duration kCatchUpTime = seconds(4);

  FleetHistory(std::size_t voters, std::uint64_t seed)
      : group(voters, kSpares, seed, {}, Options()), random(seed) {
    for (std::size_t place = 0; place < voters + kSpares; ++place) {
      this->parts.push_back(place < voters ? Part::kMember : Part::kSpare);
      this->joins_at.push_back(TimePoint::max());
    }
    this->timings.election_timeout = Options().election_timeout;
    this->timings.demote_surplus_voter_after = kCatchUpTime / 4;
    for (std::size_t place = voters; place < this->group.hosts.size(); ++place) {
      this->group.Crash(this->group.hosts[place]);
    }
  }

  /// Plays events within the tolerance until one leaves the group without a leader, or all are
  /// over. Returns what went wrong; empty when nothing did.
  std::string Play(int events) {
    this->Run(seconds(2));
    for (int event = 0; event < events; ++event) {
      const std::string played = this->PlayOne();
      if (!this->IsServed()) {
        return "after " + played + " the group has no leader that commits";
      }
    }
    return this->group.violation;
  }

 private:
  static constexpr std::size_t kSpares = 3;
  static constexpr Duration kStep = milliseconds(10);
  /// What a joining host needs to be heard by the leader, other hosts that stand still included.
  static constexpr Duration kMaxJoinTime = milliseconds(1000);

  enum class Part { kMember, kSpare, kGone };

  static consensus::ReplicaOptions Options() {
    consensus::ReplicaOptions options;
    options.heartbeat_interval = milliseconds(60);
    options.election_timeout = milliseconds(300);
    return options;
  }

  Duration Between(Duration least, Duration most) {
    const auto spread = static_cast<std::uint64_t>((most - least).count());
    return least + Duration(static_cast<Duration::rep>(this->random.Below(spread)));
  }

  /// A running member, or a spare, at random; the number of hosts when there is none.
  std::size_t Pick(Part part) {
    std::vector<std::size_t> places;
    for (std::size_t place = 0; place < this->parts.size(); ++place) {
      if (this->parts[place] == part) {
        places.push_back(place);
      }
    }
    return places.empty() ? this->parts.size() : places[this->random.Below(places.size())];
  }

  std::string PlayOne() {
    const std::size_t place = this->Pick(Part::kMember);
    switch (this->random.Below(5)) {
      case 0:
        this->Wipe(place);
        return "a lost disk";
      case 1:
        this->RestartAsPlanned(place);
        return "a planned restart";
      case 2:
        this->Freeze(place);
        return "a freeze";
      case 3:
        return this->Replace(place, /*is_planned=*/true) ? "a planned replacement" : "nothing";
      default:
        return this->Replace(place, /*is_planned=*/false) ? "a replacement after a loss"
                                                          : "nothing";
    }
  }

  void Wipe(std::size_t place) {
    Group::Host& host = this->group.hosts[place];
    this->group.Crash(host);
    this->Run(this->Between(milliseconds(300), seconds(3)));
    this->group.Wipe(host);
    this->joins_at[place] = this->group.now + this->Between(milliseconds(50), kMaxJoinTime);
    this->Run(kCatchUpTime);
  }

  void Freeze(std::size_t place) {
    Group::Host& host = this->group.hosts[place];
    host.frozen = true;
    this->Run(this->Between(milliseconds(300), seconds(7)));
    host.frozen = false;
    this->Run(kCatchUpTime);
  }

  void RestartAsPlanned(std::size_t place) {
    Group::Host& host = this->group.hosts[place];
    this->Leave(host);
    this->group.Crash(host);
    this->Run(this->Between(milliseconds(200), seconds(3)));
    this->group.Start(host);
    this->Run(kCatchUpTime);
  }

  /// Whether there was a spare host. The one that is replaced no longer counts once its successor
  /// has had its time, so the next event may follow at once.
  bool Replace(std::size_t place, bool is_planned) {
    const std::size_t successor = this->Pick(Part::kSpare);
    if (successor == this->parts.size()) {
      return false;
    }
    Group::Host& host = this->group.hosts[place];
    if (!is_planned) {
      this->group.Crash(host);
      this->Run(this->Between(milliseconds(10), seconds(2)));
    }
    this->group.Start(this->group.hosts[successor]);
    this->joins_at[successor] = this->group.now + this->Between(milliseconds(50), kMaxJoinTime);
    this->parts[successor] = Part::kMember;
    this->parts[place] = Part::kGone;
    this->Run(kCatchUpTime);
    if (is_planned) {
      this->Leave(host);
      this->group.Crash(host);
    }
    return true;
  }

  /// The planned stop of a voter: hands over the lead, and then asks the leader for the changes.
  void Leave(Group::Host& host) {
    const TimePoint deadline = this->group.now + this->timings.leave_timeout;
    while (this->group.now < deadline) {
      Group::Host* leader = this->group.Leader();
      if (leader == &host) {
        this->group.Step(host, consensus::TransferEvent{});
      } else if (leader != nullptr) {
        const consensus::ReplicaStatus status = leader->replica->Status();
        const auto change = PlanLeave(status.membership, host.Id(), this->Successor(status));
        if (!change) {
          return;
        }
        if (change->replica == host.Id()) {
          this->leaving[status.term].Add(host.Id(), this->group.now);
        }
        this->group.Change(*leader, *change);
      }
      this->Run(milliseconds(50));
    }
  }

  std::optional<ReplicaId> Successor(const consensus::ReplicaStatus& status) {
    for (const consensus::PeerStatus& peer : status.peers) {
      if (peer.caught_up && status.membership.IsLearner(peer.replica) &&
          !this->leaving[status.term].Contains(peer.replica, this->group.now)) {
        return peer.replica;
      }
    }
    return std::nullopt;
  }

  void Maintain() {
    Group::Host* leader = this->group.Leader();
    if (leader == nullptr) {
      return;
    }
    const consensus::ReplicaStatus status = leader->replica->Status();
    if (const auto change =
            PlanMembershipUpkeep(status, this->Successor(status), MembershipUpkeep::kReplace,
                                 this->timings, this->group.now)) {
      this->group.Change(*leader, *change);
    }
    for (std::size_t place = 0; place < this->joins_at.size(); ++place) {
      if (this->group.now >= this->joins_at[place]) {
        this->Join(*leader, place);
      }
    }
  }

  void Join(Group::Host& leader, std::size_t place) {
    const ReplicaId joining = this->group.hosts[place].Id();
    const Membership membership = leader.replica->Status().membership;
    if (membership.IsMember(joining)) {
      this->joins_at[place] = TimePoint::max();
      return;
    }
    const ReplicaId* former = membership.FindNode(joining.node);
    this->group.Change(leader, former != nullptr
                                   ? MembershipChange{MembershipChangeKind::kRemove, *former}
                                   : MembershipChange{MembershipChangeKind::kAddLearner, joining});
  }

  void Run(Duration duration) {
    const TimePoint end = this->group.now + duration;
    for (int step = 0; this->group.now < end && this->group.violation.empty(); ++step) {
      this->group.Advance(kStep);
      for (Group::Host& host : this->group.hosts) {
        if (host.Runs()) {
          this->group.Tick(host);
        }
      }
      for (int hop = 0; hop < 4; ++hop) {
        this->group.SaveAll();
        for (std::size_t count = this->group.network.size(); count > 0; --count) {
          this->group.Deliver(0);
        }
      }
      if (step % static_cast<int>(this->timings.member_upkeep_interval / kStep) == 0) {
        this->Maintain();
      }
      if (Group::Host* leader = this->group.Leader(); leader != nullptr && step % 20 == 0) {
        this->group.Propose(*leader);
      }
    }
  }

  /// Whether the group serves a read of all that was committed, at the latest some seconds after
  /// the event.
  bool IsServed() {
    for (int attempt = 0; attempt < 30; ++attempt) {
      this->Run(milliseconds(100));
      Group::Host* leader = this->group.Leader();
      if (leader == nullptr) {
        continue;
      }
      const consensus::ReadId read = this->group.Read(*leader);
      this->Run(milliseconds(100));
      const auto finished = this->group.finished_reads.find(read);
      if (finished != this->group.finished_reads.end() && !finished->second) {
        return true;
      }
    }
    return false;
  }

  Group group;
  Random random;
  ControlTimings timings;
  std::vector<Part> parts;
  /// When each host's request to join reaches the leader.
  std::vector<TimePoint> joins_at;
  /// What the leader of each term remembers.
  std::map<consensus::Term, LeavingReplicas> leaving;
};

// Guards against a group that still counts a lost or replaced voter when the next disk is lost.
TEST_CASE("no series of losses within the tolerance leaves the group without what it committed") {
  constexpr std::uint64_t kSeeds = 150;
  for (const std::size_t voters : {std::size_t{3}, std::size_t{5}}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(voters);
      CAPTURE(seed);
      CHECK(FleetHistory(voters, seed).Play(6) == "");
    }
  }
}

}  // namespace
}  // namespace masticrill::control
