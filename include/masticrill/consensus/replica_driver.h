#ifndef MASTICRILL_CONSENSUS_REPLICA_DRIVER_H_
#define MASTICRILL_CONSENSUS_REPLICA_DRIVER_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/log.h"
#include "masticrill/consensus/codec.h"
#include "masticrill/consensus/driver_types.h"
#include "masticrill/consensus/persist.h"
#include "masticrill/consensus/replica.h"

namespace masticrill::consensus {

/// Runs one replica: it writes before it sends, shares one sync among all that arrived meanwhile,
/// and applies committed commands. One thread calls Start, Bootstrap and then, in a loop,
/// WaitForWork and Tick; it also runs the callbacks and the state machine. All other methods may be
/// called by any thread and return at once.
template <storage::LogStorage Storage, Transport TransportType, Clock ClockType,
          StateMachine Machine>
class ReplicaDriver {
 public:
  /// The arguments outlive the driver.
  ReplicaDriver(DriverOptions options, Storage& storage, TransportType& transport,
                const ClockType& clock, Machine& machine, Random& random)
      : options(std::move(options)),
        storage(storage),
        transport(transport),
        clock(clock),
        machine(machine),
        random(random) {}

  /// Loads the storage and restores the state machine. Returns this replica's identity.
  Result<ReplicaId> Start() {
    BOOST_LEAF_AUTO(stored, this->storage.Load());
    this->id = {this->options.node, stored.identity};
    BOOST_LEAF_CHECK(this->CreateReplica(std::move(stored)));
    if (const SnapshotPtr& snapshot = this->replica->CurrentSnapshot()) {
      this->machine.Restore(snapshot->data);
      this->applied = snapshot->index;
    }
    this->PublishStatus();
    return this->id;
  }

  /// Forms a new group. Called after Start on at least a majority of the voters with the same
  /// membership, and only when no replica of the group has a log. Fails with kConflict when this
  /// one has.
  Result<void> Bootstrap(const Membership& membership) {
    if (!this->IsEmpty()) {
      return Fail(ErrorKind::kConflict,
                  "The replica has a log already. Form a group only from empty data folders.");
    }
    storage::StoredState stored;
    stored.identity = this->id.identity;
    stored.hard_state.term = kFirstTerm;
    stored.entries = {{1, kFirstTerm, EntryKind::kMembership, EncodeMembership(membership)}};
    BOOST_LEAF_CHECK(this->storage.SaveHardState(stored.hard_state));
    BOOST_LEAF_CHECK(this->storage.Append(stored.entries));
    BOOST_LEAF_CHECK(this->storage.Sync());
    BOOST_LEAF_CHECK(this->CreateReplica(std::move(stored)));
    this->PublishStatus();
    return {};
  }

  /// Whether this replica has no log, no snapshot and no vote: it waits to be added to a group, or
  /// for Bootstrap. That stays so when Bootstrap was cut short.
  bool IsEmpty() const {
    const HardState& hard_state = this->replica->CurrentHardState();
    return this->replica->Log().LastIndex() == 0 && hard_state.term <= kFirstTerm &&
           hard_state.vote.Empty();
  }

  /// Proposes a command. The callback runs once, on the driver's thread.
  void Propose(std::string command, ProposalCallback callback) {
    const std::size_t bytes = command.size();
    RejectReason reason = RejectReason::kOverloaded;
    {
      const std::scoped_lock lock(this->mutex);
      if (this->stopped) {
        reason = RejectReason::kStopped;
      }
      if (!this->stopped && this->queue.bytes + bytes <= this->options.max_queued_bytes) {
        this->queue.bytes += bytes;
        this->queue.proposals.push_back({std::move(command), std::move(callback)});
        this->work_arrived.notify_one();
        return;
      }
    }
    this->rejections.Add(reason);
    callback({.outcome = ProposalOutcome::kRejected, .reason = reason});
  }

  void ProposeMembership(MembershipChange change, ProposalCallback callback) {
    this->Enqueue([&](Queue& waiting) {
      waiting.changes.push_back({std::move(change), std::move(callback)});
    });
  }

  /// Calls back when the state machine shows every command committed before this call. Works on
  /// each replica; a follower asks the leader, which asks a quorum.
  void Read(ReadCallback callback) {
    this->Enqueue([&](Queue& waiting) { waiting.reads.push_back(std::move(callback)); });
  }

  /// Hands leadership to the node, or to the best voter when it is empty. Status shows the outcome.
  void TransferLeadership(NodeId target = {}) {
    this->Enqueue([&](Queue& waiting) { waiting.transfers.push_back(std::move(target)); });
  }

  /// Takes a message that arrived over a connection that `from` was authenticated on.
  void OnMessage(const NodeId& from, Message message) {
    if (from != message.from.node) {
      return;
    }
    this->Enqueue([&](Queue& waiting) {
      if (waiting.messages.size() < this->options.max_queued_messages) {
        waiting.messages.push_back(std::move(message));
      }
    });
  }

  /// Blocks until something was queued, at most for the time given.
  void WaitForWork(Duration limit) {
    std::unique_lock lock(this->mutex);
    if (!this->applied_all) {
      return;
    }
    this->work_arrived.wait_for(lock, limit, [&] { return !this->queue.Empty(); });
  }

  /// Takes all that was queued and the time, writes, syncs, sends, applies and calls back.
  void Tick();

  /// As of the last Tick.
  DriverStatus Status() const {
    const std::scoped_lock lock(this->mutex);
    return this->status;
  }

  const RejectionCounter& Rejections() const { return this->rejections; }

 private:
  /// The term of a new group's first entry. Elections start the later ones.
  static constexpr Term kFirstTerm = 1;

  struct QueuedProposal {
    std::string command;
    ProposalCallback callback;
  };
  struct QueuedChange {
    MembershipChange change;
    ProposalCallback callback;
  };
  struct Queue {
    std::vector<QueuedProposal> proposals;
    std::vector<QueuedChange> changes;
    std::vector<ReadCallback> reads;
    std::vector<NodeId> transfers;
    std::vector<Message> messages;
    std::size_t bytes = 0;

    bool Empty() const {
      return this->proposals.empty() && this->changes.empty() && this->reads.empty() &&
             this->transfers.empty() && this->messages.empty();
    }
  };
  struct PendingEntry {
    Term term = 0;
    ProposalCallback callback;
  };
  /// What the steps since the last write have left to do.
  struct Pending {
    DurableChange durable;
    std::vector<Message> messages_after_sync;
    bool restore = false;
  };

  template <typename Function>
  void Enqueue(const Function& add) {
    const std::scoped_lock lock(this->mutex);
    add(this->queue);
    this->work_arrived.notify_one();
  }

  Result<void> CreateReplica(storage::StoredState stored) {
    BOOST_LEAF_AUTO(created, Replica::Create(this->id, this->options.replica, std::move(stored),
                                             this->clock.Now(), this->random));
    this->replica.emplace(std::move(created));
    return {};
  }

  void StepQueue(Queue taken);
  void Step(Event event);
  Result<void> Flush();
  void ApplyCommitted();
  void ApplyEntry(const LogEntry& entry);
  void CompleteReads();
  void TakeSnapshotIfDue();
  void FailPending();
  void FailQueue(Queue taken);
  void SendAll(std::vector<Message>& messages);
  void PublishStatus();

  ProposalId TakeProposalId(ProposalCallback callback) {
    const ProposalId proposal = this->next_id++;
    this->proposed.emplace(proposal, std::move(callback));
    return proposal;
  }

  DriverOptions options;
  Storage& storage;
  TransportType& transport;
  const ClockType& clock;
  Machine& machine;
  Random& random;
  Logger logger{LogPart::kConsensus};

  // Used by the driver's thread only.
  ReplicaId id;
  std::optional<Replica> replica;
  Pending pending;
  Index applied = 0;
  /// Nothing that is committed waits to be applied. Used by the driving thread.
  bool applied_all = true;
  std::size_t entries_since_snapshot = 0;
  std::size_t bytes_since_snapshot = 0;
  std::uint64_t next_id = 1;
  std::map<ProposalId, ProposalCallback> proposed;
  std::map<Index, PendingEntry> in_log;
  std::map<ReadId, ReadCallback> reads;
  std::multimap<Index, ReadCallback> confirmed_reads;
  DriverCounters counters;

  RejectionCounter rejections{kAllRejectReasons};
  mutable std::mutex mutex;
  std::condition_variable work_arrived;
  Queue queue;
  std::optional<Error> stopped;
  DriverStatus status;
};

}  // namespace masticrill::consensus

#include "masticrill/consensus/replica_driver_inl.h"  // IWYU pragma: keep

#endif  // MASTICRILL_CONSENSUS_REPLICA_DRIVER_H_
