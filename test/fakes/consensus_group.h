#ifndef MASTICRILL_TEST_FAKES_CONSENSUS_GROUP_H_
#define MASTICRILL_TEST_FAKES_CONSENSUS_GROUP_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/storage_memory.h"
#include "masticrill/common/hash.h"
#include "masticrill/consensus/codec.h"
#include "masticrill/consensus/persist.h"
#include "masticrill/consensus/replica.h"

/// Replicas whose step functions a test calls one by one, with the messages between them, and
/// checks of what must hold after each step.
namespace masticrill::consensus {

/// Deliberate defects of the caller of the step function.
struct GroupDefects {
  storage::StorageDefects storage = {};
  /// Messages that must wait for the sync are sent before it.
  bool answers_before_sync = false;
  /// A wiped disk returns under its old identity.
  bool keeps_identity = false;
  /// Answers confirm rounds that were not asked.
  bool forges_rounds = false;
};

inline ReplicaOptions TestOptions() {
  ReplicaOptions options;
  options.heartbeat_interval = milliseconds(20);
  options.election_timeout = milliseconds(100);
  options.max_append_entries = 3;
  options.max_append_in_flight = 3;
  options.max_snapshot_part_bytes = 8;
  options.retained_entries = 5;
  return options;
}

class Group {
 public:
  struct Host {
    NodeId node;
    std::unique_ptr<storage::MemoryDisk> disk;
    std::optional<storage::MemoryLogStorage> storage;
    std::optional<Replica> replica;
    bool frozen = false;
    DurableChange unsaved;
    std::vector<Message> waiting;
    bool restores = false;
    Index applied = 0;
    std::uint64_t digest = 0;

    bool Runs() const { return this->replica && !this->frozen; }
    ReplicaId Id() const { return {this->node, DataFolderId(this->disk->identity)}; }
  };

  Group(std::size_t voters, std::size_t spares, std::uint64_t seed, GroupDefects defects = {},
        const ReplicaOptions& options = TestOptions())
      : random(seed), defects(defects), options(options) {
    Membership membership;
    for (std::size_t place = 0; place < voters + spares; ++place) {
      Host host;
      host.node = NodeId("n" + std::to_string(place));
      host.disk = this->NewDisk();
      this->hosts.push_back(std::move(host));
      if (place < voters) {
        membership.voters.push_back(this->hosts.back().Id());
      }
    }
    const LogEntry first{1, 1, EntryKind::kMembership, EncodeMembership(membership)};
    for (std::size_t place = 0; place < voters; ++place) {
      this->hosts[place].disk->entries = {first};
      this->hosts[place].disk->hard_state.term = 1;
    }
    for (Host& host : this->hosts) {
      this->Start(host);
    }
  }

  // Time and single steps.
  void Advance(Duration duration) { this->now += duration; }
  void Step(Host& host, Event event) {
    const Role role_before = host.replica->CurrentRole();
    Output output = host.replica->Step(std::move(event), this->now);
    this->SendAll(output.messages);
    if (this->defects.answers_before_sync) {
      this->SendAll(output.messages_after_sync);
    }
    std::move(output.messages_after_sync.begin(), output.messages_after_sync.end(),
              std::back_inserter(host.waiting));
    host.unsaved.Merge(output.durable);
    host.restores |= output.snapshot_installed;
    for (const auto& [read, index, rejected] : output.reads) {
      this->FinishRead(read, index, rejected);
    }
    for (const auto& [proposal, reason] : output.rejected) {
      this->rejected[proposal] = reason;
    }
    this->CheckLeader(host, role_before);
    this->ApplyCommitted(host);
  }
  void Tick(Host& host) { this->Step(host, TickEvent{}); }

  /// Writes and syncs, then sends what waited for it. A failure of the disk ends the process.
  void Save(Host& host) {
    const DurableChange change = std::exchange(host.unsaved, {});
    std::vector<Message> messages = std::exchange(host.waiting, {});
    std::optional<PersistedEvent> persisted;
    if (!change.Empty()) {
      persisted = HandleErrors(
          [&]() -> Result<std::optional<PersistedEvent>> {
            BOOST_LEAF_AUTO(event, Persist(*host.storage, *host.replica, change));
            return std::optional<PersistedEvent>(event);
          },
          [](const Error&) { return std::optional<PersistedEvent>(); });
      if (!persisted) {
        this->Crash(host);
        return;
      }
    }
    if (!this->defects.answers_before_sync) {
      this->SendAll(messages);
    }
    if (persisted) {
      this->Step(host, *persisted);
    }
  }

  void Deliver(std::size_t place) {
    Message message = std::move(this->network[place]);
    this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(place));
    Host& host = this->HostOf(message.to.node);
    if (host.Runs() && !this->blocked.contains({message.from.node, message.to.node})) {
      this->Step(host, ReceiveEvent{std::move(message)});
    }
  }

  void Crash(Host& host) {
    host.replica.reset();
    host.storage.reset();
    host.waiting.clear();
    host.unsaved = {};
    host.restores = false;
    host.frozen = false;
    host.disk->failing_call = 0;
    host.disk->Crash(this->random);
  }

  void Start(Host& host) {
    host.storage.emplace(*host.disk);
    const bool started = HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(stored, host.storage->Load());
          BOOST_LEAF_AUTO(replica, Replica::Create(host.Id(), this->options, std::move(stored),
                                                   this->now, this->random));
          host.replica.emplace(std::move(replica));
          return true;
        },
        [](const Error&) { return false; });
    if (!started) {
      this->Violate("a replica cannot start from its disk");
      return;
    }
    host.applied = 0;
    host.digest = 0;
    this->Restore(host);
  }

  /// The host comes back with an empty disk.
  void Wipe(Host& host) {
    this->Crash(host);
    std::string identity = host.disk->identity;
    host.disk = this->NewDisk();
    if (this->defects.keeps_identity) {
      host.disk->identity = std::move(identity);
    }
    this->Start(host);
  }

  void Propose(Host& host) {
    const ProposalId proposal = this->next_id++;
    this->Step(host, ProposeEvent{{{proposal, "command-" + std::to_string(proposal)}}});
  }

  ReadId Read(Host& host) {
    const ReadId read = this->next_id++;
    this->read_floors[read] = this->committed.size();
    this->Step(host, ReadEvent{{read}});
    return read;
  }

  /// The change's outcome: nothing when it was accepted.
  std::optional<RejectReason> Change(Host& host, const MembershipChange& change) {
    const ProposalId proposal = this->next_id++;
    this->Step(host, MembershipEvent{proposal, change});
    const auto reason = this->rejected.find(proposal);
    return reason == this->rejected.end() ? std::nullopt : std::optional(reason->second);
  }

  void TakeSnapshot(Host& host) {
    this->Step(host, SnapshotTakenEvent{host.applied, std::to_string(host.applied) + " " +
                                                          std::to_string(host.digest)});
  }

  /// Lets all that run work without faults for the time.
  void RunSoundly(Duration duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end && this->violation.empty()) {
      this->Advance(milliseconds(2));
      for (Host& host : this->hosts) {
        if (host.Runs()) {
          this->Tick(host);
        }
      }
      for (int hop = 0; hop < 4; ++hop) {
        this->SaveAll();
        for (std::size_t count = this->network.size(); count > 0; --count) {
          this->Deliver(0);
        }
      }
    }
  }
  void SaveAll() {
    for (Host& host : this->hosts) {
      if (host.Runs()) {
        this->Save(host);
      }
    }
  }

  /// The running leader of the highest term; null when there is none.
  Host* Leader() {
    Host* leader = nullptr;
    for (Host& host : this->hosts) {
      const bool leads = host.Runs() && host.replica->CurrentRole() == Role::kLeader;
      if (leads && (leader == nullptr || host.replica->CurrentHardState().term >
                                             leader->replica->CurrentHardState().term)) {
        leader = &host;
      }
    }
    return leader;
  }

  Host& HostOf(const NodeId& node) {
    return *std::find_if(this->hosts.begin(), this->hosts.end(),
                         [&](const Host& host) { return host.node == node; });
  }

  /// Whether two logs agree before every index at which they have one term.
  void CheckLogsMatch() {
    for (const Host& left : this->hosts) {
      for (const Host& right : this->hosts) {
        if (&left < &right && left.replica && right.replica) {
          this->CheckLogsMatch(left.replica->Log(), right.replica->Log());
        }
      }
    }
  }

  void Violate(const std::string& what) {
    if (this->violation.empty()) {
      this->violation = what;
    }
  }

  std::vector<Host> hosts;
  std::vector<Message> network;
  std::set<std::pair<NodeId, NodeId>> blocked;
  TimePoint now{seconds(1000)};
  Random random;
  /// The first thing seen that must not be; empty when all is well.
  std::string violation;
  /// Each committed entry, from index 1, with the term in which it was seen committed first.
  struct Committed {
    LogEntry entry;
    Term in_term = 0;
    std::uint64_t digest = 0;
  };
  std::vector<Committed> committed;
  std::map<ReadId, std::optional<RejectReason>> finished_reads;
  /// Called with each message that a replica sends, when set.
  std::function<void(const Message&)> on_send;

 private:
  std::unique_ptr<storage::MemoryDisk> NewDisk() {
    auto disk = std::make_unique<storage::MemoryDisk>("id" + std::to_string(this->next_identity++));
    disk->defects = this->defects.storage;
    return disk;
  }

  void SendAll(const std::vector<Message>& messages) {
    for (const Message& message : messages) {
      this->network.push_back(message);
      if (this->on_send) {
        this->on_send(message);
      }
      auto* answer = std::get_if<AppendResponse>(&this->network.back().body);
      if (this->defects.forges_rounds && answer != nullptr) {
        answer->round += 1000;
      }
    }
  }

  void Restore(Host& host) {
    const SnapshotPtr& snapshot = host.replica->CurrentSnapshot();
    if (!snapshot) {
      return;
    }
    host.applied = snapshot->index;
    host.digest = std::stoull(snapshot->data.substr(snapshot->data.find(' ') + 1));
    if (this->committed.size() < host.applied ||
        this->committed[host.applied - 1].digest != host.digest) {
      this->Violate("a snapshot differs from the committed commands");
    }
  }

  void ApplyCommitted(Host& host) {
    if (std::exchange(host.restores, false)) {
      this->Restore(host);
    }
    while (host.applied < host.replica->Commit()) {
      const LogEntry& entry = host.replica->Log().At(host.applied + 1);
      host.digest = Hash64(entry.payload, host.digest);
      ++host.applied;
      if (entry.index != host.applied) {
        this->Violate("an entry stands at another index than its own");
      }
      if (this->committed.size() < host.applied) {
        this->committed.push_back({entry, host.replica->CurrentHardState().term, host.digest});
      } else if (this->committed[host.applied - 1].entry != entry) {
        this->Violate("two entries were committed at one index");
      }
    }
  }

  void CheckLeader(const Host& host, Role role_before) {
    if (host.replica->CurrentRole() != Role::kLeader) {
      return;
    }
    const Term term = host.replica->CurrentHardState().term;
    const auto [place, added] = this->leaders.emplace(term, Election{host.Id(), this->now});
    if (place->second.leader != host.Id()) {
      this->Violate("two leaders in one term");
    }
    if (role_before != Role::kLeader) {
      this->CheckCompleteness(host, term);
    }
    const std::optional<TimePoint> confirmed = host.replica->Status().quorum_confirmed_at;
    for (auto later = std::next(place); later != this->leaders.end(); ++later) {
      if (confirmed && later->second.at < *confirmed) {
        this->Violate("a leader counts a quorum that had elected another one");
      }
    }
  }

  void CheckCompleteness(const Host& host, Term term) {
    const RaftLog& log = host.replica->Log();
    for (const Committed& earlier : this->committed) {
      const bool compacted = earlier.entry.index <= log.BaseIndex();
      if (earlier.in_term < term && !compacted &&
          log.TermAt(earlier.entry.index) != earlier.entry.term) {
        this->Violate("a new leader lacks a committed entry");
      }
    }
  }

  void CheckLogsMatch(const RaftLog& left, const RaftLog& right) {
    const Index first = std::max(left.BaseIndex(), right.BaseIndex()) + 1;
    bool must_match = false;
    for (Index index = std::min(left.LastIndex(), right.LastIndex()); index >= first; --index) {
      must_match = must_match || left.At(index).term == right.At(index).term;
      if (must_match && left.At(index) != right.At(index)) {
        this->Violate("two logs differ before an index with one term");
      }
    }
  }

  void FinishRead(ReadId read, Index index, std::optional<RejectReason> reason) {
    const auto floor = this->read_floors.find(read);
    if (floor == this->read_floors.end()) {
      this->Violate("a read was answered twice");
      return;
    }
    if (!reason && index < floor->second) {
      this->Violate("a read misses a command that was committed before it began");
    }
    this->read_floors.erase(floor);
    this->finished_reads[read] = reason;
  }

  struct Election {
    ReplicaId leader;
    TimePoint at;
  };

  GroupDefects defects;
  ReplicaOptions options;
  std::map<Term, Election> leaders;
  std::map<ReadId, Index> read_floors;
  std::map<ProposalId, RejectReason> rejected;
  std::uint64_t next_id = 1;
  std::uint64_t next_identity = 1;
};

}  // namespace masticrill::consensus

#endif  // MASTICRILL_TEST_FAKES_CONSENSUS_GROUP_H_
