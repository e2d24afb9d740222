#include <doctest/doctest.h>

#include <cstdlib>

#include "fakes/consensus_group.h"

/// Random schedules of faults over a group of replicas.
namespace masticrill::consensus {
namespace {

constexpr int kStepsPerSchedule = 1000;
constexpr std::uint64_t kSchedules = 2000;
/// The longest queue between the replicas; beyond it the oldest message is lost.
constexpr std::size_t kMaxInNetwork = 60;

/// What a schedule has much of.
enum class Emphasis { kTraffic, kRestarts, kLostDisks, kMembership };
constexpr std::uint64_t kEmphases = 4;

class Schedule {
 public:
  Schedule(std::uint64_t seed, GroupDefects defects)
      : voters(seed % 2 == 0 ? 3 : 5),
        emphasis(static_cast<Emphasis>(seed / 2 % kEmphases)),
        group(this->voters, 2, seed, defects),
        random(seed + 1) {}

  /// Returns what was seen during the faults that must not be; empty when all is well.
  std::string RunFaults() {
    for (int step = 0; step < kStepsPerSchedule && this->group.violation.empty(); ++step) {
      this->group.Advance(microseconds(this->random.Below(4000)));
      this->RandomStep();
      if (step % 50 == 0) {
        this->group.CheckLogsMatch();
      }
    }
    return this->group.violation;
  }

  /// Also checks that the group recovers.
  std::string Run() {
    this->RunFaults();
    this->Heal();
    return this->group.violation;
  }

 private:
  using Host = Group::Host;

  Host& AnyHost() { return this->group.hosts[this->random.Below(this->group.hosts.size())]; }

  void RandomStep() {
    const std::uint64_t choice = this->random.Below(1000);
    Host& host = this->AnyHost();
    if (choice < 400) {
      this->DeliverOne();
    } else if (choice < 440) {
      this->DisturbNetwork();
    } else if (choice < (this->emphasis == Emphasis::kTraffic ? 447 : 465)) {
      this->Disturb(host);
    } else if (!host.replica) {
      if (choice < (this->emphasis == Emphasis::kTraffic ? 480 : 900)) {
        this->group.Start(host);
      }
    } else if (host.frozen) {
      host.frozen = this->random.Below(50) != 0;
    } else if (choice < 650) {
      this->group.Tick(host);
    } else if (choice > (this->emphasis == Emphasis::kMembership ? 900 : 984)) {
      this->ChangeMembership();
    } else if (choice < 870) {
      this->SaveAndMayCrash(host);
    } else if (choice < 940) {
      this->group.Propose(host);
    } else if (choice < 970) {
      this->group.Read(host);
    } else if (choice < 980) {
      this->group.TakeSnapshot(host);
    } else {
      this->group.Step(host, TransferEvent{});
    }
  }

  /// A vote is of most weight just after it was given.
  void SaveAndMayCrash(Host& host) {
    const bool voted = host.unsaved.hard_state;
    this->group.Save(host);
    const bool crashes = this->emphasis == Emphasis::kRestarts && this->random.Below(3) == 0;
    if (voted && crashes && host.replica) {
      this->group.Crash(host);
    }
  }

  void CutOff(const NodeId& node) {
    for (const Host& host : this->group.hosts) {
      this->group.blocked.insert({node, host.node});
      this->group.blocked.insert({host.node, node});
    }
  }

  /// The leader may go at the same moment, and those that lagged may come back, so that the group
  /// has to do without both.
  void LoseDisk(Host& host) {
    Host* leader = this->group.Leader();
    if (leader != nullptr && this->random.Below(2) == 0) {
      this->group.blocked.clear();
      this->CutOff(leader->node);
    }
    this->group.Wipe(host);
  }

  void DeliverOne() {
    std::vector<Message>& network = this->group.network;
    while (network.size() > kMaxInNetwork) {
      network.erase(network.begin());
    }
    if (network.empty()) {
      return;
    }
    // Mostly in order, at times not.
    const std::size_t place =
        this->random.Below(4) == 0 ? this->random.Below(network.size()) : std::size_t{0};
    if (this->group.HostOf(network[place].to.node).frozen) {
      std::rotate(network.begin(), network.begin() + 1, network.end());
      return;
    }
    if (this->random.Below(50) == 0) {
      network.push_back(network[place]);
    }
    this->group.Deliver(place);
  }

  void DisturbNetwork() {
    const NodeId from = this->AnyHost().node;
    const NodeId to = this->AnyHost().node;
    switch (this->random.Below(12)) {
      case 0:  // One way.
        this->group.blocked.insert({from, to});
        break;
      case 1:  // One host cut off.
        this->CutOff(from);
        break;
      case 2:
        if (const Host* leader = this->group.Leader()) {
          this->CutOff(leader->node);
        }
        break;
      case 3:
        this->group.blocked.clear();
        break;
      default:
        if (!this->group.network.empty()) {
          this->group.network.erase(this->group.network.begin());
        }
    }
  }

  void Disturb(Host& host) {
    const std::uint64_t choice = this->random.Below(10);
    if (!host.replica) {
      return;
    }
    const bool loses = this->emphasis == Emphasis::kLostDisks && this->random.Below(3) == 0;
    if ((loses || choice == 9) && this->MayLose(host.Id())) {
      this->LoseDisk(host);
    } else if (choice < 4) {
      this->group.Crash(host);
    } else if (choice < 6) {
      host.frozen = true;
    } else if (choice < 9) {
      host.disk->failing_call = host.disk->calls + 1 + this->random.Below(5);
    }
  }

  /// Whether a voter's disk exists. One that was wiped never answers again under its identity.
  bool Exists(const ReplicaId& replica) { return this->group.HostOf(replica.node).Id() == replica; }

  bool QuorumWithout(const Membership& membership, const ReplicaId& lost) {
    const auto left = static_cast<std::size_t>(
        std::count_if(membership.voters.begin(), membership.voters.end(),
                      [&](const ReplicaId& voter) { return voter != lost && Exists(voter); }));
    return left >= membership.Quorum();
  }

  /// Whether the group can do without the disk in every membership that may count.
  bool MayLose(const ReplicaId& lost) {
    return std::all_of(this->group.hosts.begin(), this->group.hosts.end(), [&](const Host& host) {
      if (!host.replica) {
        return false;
      }
      const Membership& membership = host.replica->CurrentMembership();
      return membership.voters.empty() || this->QuorumWithout(membership, lost);
    });
  }

  void ChangeMembership() {
    Host* leader = this->group.Leader();
    if (leader == nullptr) {
      return;
    }
    const ReplicaId replica = this->AnyHost().Id();
    const Membership& membership = leader->replica->CurrentMembership();
    const ReplicaId* of_node = membership.FindNode(replica.node);
    if (of_node == nullptr) {
      this->group.Change(*leader, {MembershipChangeKind::kAddLearner, replica});
    } else if (*of_node != replica || membership.IsVoter(replica) || this->random.Below(3) == 0) {
      const bool demotes =
          *of_node == replica && membership.IsVoter(replica) && this->random.Below(3) != 0;
      const MembershipChange change{
          demotes ? MembershipChangeKind::kDemote : MembershipChangeKind::kRemove, *of_node};
      const MembershipDecision decision = ApplyChange(membership, change);
      if (!decision.rejected && this->QuorumWithout(decision.membership, ReplicaId())) {
        this->group.Change(*leader, change);
      }
    } else {
      this->group.Change(*leader, {MembershipChangeKind::kPromote, replica});
    }
  }

  void Heal() {
    if (!this->group.violation.empty()) {
      return;
    }
    this->group.blocked.clear();
    for (Host& host : this->group.hosts) {
      host.frozen = false;
      host.disk->failing_call = 0;
      if (!host.replica) {
        this->group.Start(host);
      }
    }
    this->group.RunSoundly(seconds(2));
    Host* leader = this->group.Leader();
    if (leader == nullptr) {
      this->group.Violate("no leader after the faults ended");
      return;
    }
    const Index before = this->group.committed.size();
    this->group.Propose(*leader);
    const ReadId read = this->group.Read(this->AnyMember(*leader));
    this->group.RunSoundly(milliseconds(500));
    if (this->group.committed.size() <= before) {
      this->group.Violate("no commit after the faults ended");
    }
    const auto finished = this->group.finished_reads.find(read);
    if (finished == this->group.finished_reads.end() || finished->second) {
      this->group.Violate("no read after the faults ended");
    }
    this->CheckMembersApplied(*leader);
    this->group.CheckLogsMatch();
  }

  Host& AnyMember(const Host& leader) {
    const std::vector<ReplicaId>& members = leader.replica->CurrentMembership().voters;
    const ReplicaId& member = members[this->random.Below(members.size())];
    return this->Exists(member) ? this->group.HostOf(member.node) : this->group.HostOf(leader.node);
  }

  void CheckMembersApplied(const Host& leader) {
    for (const ReplicaId& voter : leader.replica->CurrentMembership().voters) {
      const Host& host = this->group.HostOf(voter.node);
      if (this->Exists(voter) && host.applied != this->group.committed.size()) {
        this->group.Violate("a member lags after the faults ended");
      }
    }
  }

  std::size_t voters;
  Emphasis emphasis;
  Group group;
  Random random;
};

/// The number of schedules; MASTICRILL_EXPLORE_SCHEDULES asks for a longer run.
std::uint64_t ScheduleCount() {
  const char* const asked = std::getenv("MASTICRILL_EXPLORE_SCHEDULES");
  return asked == nullptr ? kSchedules : std::strtoull(asked, nullptr, 10);
}

TEST_CASE("no schedule of faults breaks the log, the reads or the recovery") {
  const std::uint64_t count = ScheduleCount();
  for (std::uint64_t seed = 0; seed < count; ++seed) {
    const std::string violation = Schedule(seed, {}).Run();
    CHECK_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
  }
}

TEST_CASE("the exploration finds deliberate defects") {
  struct Row {
    std::string name;
    GroupDefects defects;
  };
  const std::vector<Row> rows = {
      {"sync does nothing", {.storage = {.sync_does_nothing = true}}},
      {"the vote is lost in a crash", {.storage = {.vote_not_durable = true}}},
      {"synced entries are lost in a crash", {.storage = {.loses_synced_tail = true}}},
      {"answers go out before the sync", {.answers_before_sync = true}},
      {"a wiped disk keeps its identity", {.keeps_identity = true}},
      {"rounds are confirmed that no one answered", {.forges_rounds = true}},
  };
  constexpr std::uint64_t kMostSchedules = 3000;
  for (const Row& row : rows) {
    std::string violation;
    std::uint64_t seed = 0;
    while (violation.empty() && seed < kMostSchedules) {
      violation = Schedule(seed++, row.defects).RunFaults();
    }
    MESSAGE(row.name << ": seed " << seed - 1 << ": " << violation);
    CHECK_MESSAGE(!violation.empty(), row.name);
  }
}

}  // namespace
}  // namespace masticrill::consensus
