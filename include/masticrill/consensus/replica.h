#ifndef MASTICRILL_CONSENSUS_REPLICA_H_
#define MASTICRILL_CONSENSUS_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/random.h"
#include "masticrill/common/result.h"
#include "masticrill/consensus/raft_log.h"
#include "masticrill/consensus/replica_types.h"

namespace masticrill::consensus {

/// One replica of the log by the Raft protocol, as a step function: it does no I/O and reads no
/// clock. One thread uses it.
class Replica {
 public:
  /// A replica as it was stored. Fails with kCorruptStorage when a stored membership cannot be
  /// decoded.
  static Result<Replica> Create(const ReplicaId& id, const ReplicaOptions& options,
                                storage::StoredState stored, TimePoint now, Random& random);

  /// Takes one event at the time, which does not go back.
  Output Step(Event event, TimePoint now);

  const ReplicaId& Id() const { return this->id; }
  Role CurrentRole() const { return this->role; }
  const ReplicaId& Leader() const { return this->leader; }
  const HardState& CurrentHardState() const { return this->hard_state; }
  const RaftLog& Log() const { return this->log; }
  /// Null when there is none.
  const SnapshotPtr& CurrentSnapshot() const { return this->snapshot; }
  Index Commit() const { return this->commit; }
  const Membership& CurrentMembership() const { return this->memberships.back().membership; }
  ReplicaStatus Status() const;

 private:
  enum class Transmission { kProbe, kPipeline, kSnapshot };

  /// What a leader knows of another member.
  struct Progress {
    Transmission transmission = Transmission::kProbe;
    Index match = 0;
    Index next = 1;
    /// A probe was sent and not answered since the last heartbeat.
    bool probe_sent = false;
    /// The last index of each append request without an answer.
    std::deque<Index> in_flight;
    Round acked_round = 0;
    TimePoint heard_at;
    SnapshotPtr snapshot;
    std::uint64_t snapshot_offset = 0;
    TimePoint part_sent_at;
  };

  struct MembershipAt {
    Index index = 0;
    Membership membership;
  };

  struct SentRound {
    Round round = 0;
    TimePoint sent_at;
  };

  /// A read that the leader has to confirm; `from` is empty for its own.
  struct LeaderRead {
    ReadId read = 0;
    ReplicaId from;
    TimePoint deadline;
    Index index = 0;
    Round round = 0;
  };

  struct ForwardedRead {
    ReadId read = 0;
    TimePoint deadline;
  };

  struct IncomingSnapshot {
    Index index = 0;
    Term term = 0;
    Term leader_term = 0;
    std::string data;
  };

  struct Transfer {
    ReplicaId target;
    TimePoint deadline;
    bool requested = false;
  };

  Replica(const ReplicaId& id, const ReplicaOptions& options, storage::StoredState stored,
          std::vector<MembershipAt> memberships, TimePoint now, Random& random);

  // Events.
  void Handle(const TickEvent& event);
  void Handle(ReceiveEvent& event);
  void Handle(ProposeEvent& event);
  void Handle(const MembershipEvent& event);
  void Handle(const ReadEvent& event);
  void Handle(const TransferEvent& event);
  void Handle(const PersistedEvent& event);
  void Handle(SnapshotTakenEvent& event);

  // Messages, after the term was compared.
  void RecordRefusal(const Message& message);
  bool AdmitTerm(const Message& message);
  void AnswerStaleTerm(const Message& message);
  void Handle(const Message& message, const PreVoteRequest& request);
  void Handle(const Message& message, const PreVoteResponse& response);
  void Handle(const Message& message, const VoteRequest& request);
  void Handle(const Message& message, const VoteResponse& response);
  void Handle(const Message& message, AppendRequest& request);
  void Handle(const Message& message, const AppendResponse& response);
  void Handle(const Message& message, SnapshotRequest& request);
  void Handle(const Message& message, const SnapshotResponse& response);
  void Handle(const Message& message, const TransferRequest& request);
  void Handle(const Message& message, const ReadRequest& request);
  void Handle(const Message& message, const ReadResponse& response);

  // Roles and elections.
  void BecomeFollower(Term term, const ReplicaId& leader);
  void StartPreVote();
  void StartElection(bool transfer);
  void BecomeLeader();
  void CountVotes();
  void FollowLeader(const Message& message);
  void ChangeRole(Role role, const ReplicaId& leader);
  void ResetElectionDeadline();
  bool LeaderAlive() const;
  bool IsLogCurrent(Index last_index, Term last_term) const;

  // The leader's replication.
  void TickLeader();
  void BeginRound();
  void ConfirmRounds();
  void SendHeartbeat(const ReplicaId& peer, Progress& progress);
  void SendEntries(const ReplicaId& peer, Progress& progress);
  void SendAppend(const ReplicaId& peer, Progress& progress, std::vector<LogEntry> entries);
  void SendSnapshotPart(const ReplicaId& peer, Progress& progress);
  void StartSnapshot(const ReplicaId& peer, Progress& progress);
  void SendEntriesToAll();
  void AppendAsLeader(EntryKind kind, std::string payload);
  void RecordMatch(const ReplicaId& peer, Progress& progress, Index match);
  void AdvanceCommit();
  Progress* HeardFrom(const Message& message, Round round);
  bool TermEstablished() const { return this->commit >= this->term_start; }
  bool CaughtUp(const Progress& progress) const;
  /// The largest value that a majority of the voters has reached.
  template <typename Value, typename ValueOf>
  Value QuorumValue(const ValueOf& value_of) const;

  // The follower's log.
  void AppendAsFollower(Index index, std::vector<LogEntry>& entries);
  Index ConflictHint(Index prev_index) const;
  void InstallSnapshot(IncomingSnapshot received, const Membership& membership,
                       const std::string& encoded);

  // Reads and leadership transfer.
  void AssignReads();
  void FinishRead(const LeaderRead& read, std::optional<RejectReason> rejected);
  void FailReads(RejectReason reason);
  void ExpireReads();
  void CompleteReads(Round round);
  void AdvanceTransfer();

  // Membership.
  std::optional<RejectReason> CheckChange(const MembershipChange& change) const;
  void PushMembership(Index index, Membership membership);
  void TruncateMemberships(Index first);
  void SyncProgressWithMembership();
  /// The membership in force at the index.
  const Membership& MembershipAtIndex(Index index) const;

  void Send(const ReplicaId& to, MessageBody body);
  void SendAfterSync(const ReplicaId& to, MessageBody body, std::optional<Term> term = {});

  ReplicaId id;
  ReplicaOptions options;
  Random random;
  HardState hard_state;
  RaftLog log;
  SnapshotPtr snapshot;
  /// In log order; the first one is that of the snapshot or of an empty log.
  std::vector<MembershipAt> memberships;
  Index commit = 0;
  Role role = Role::kFollower;
  ReplicaId leader;
  TimePoint now;
  TimePoint heard_leader_at;
  TimePoint election_deadline;
  std::set<ReplicaId> votes;
  /// Who refused a vote in this replica's latest election. Only for the status.
  std::set<ReplicaId> refusals;
  std::optional<IncomingSnapshot> incoming;
  std::vector<ForwardedRead> forwarded_reads;
  /// Added to read identifiers on the wire, so that an answer for an earlier start is not taken.
  ReadId read_nonce;

  // The leader's state.
  std::map<ReplicaId, Progress> peers;
  Index persisted_index = 0;
  Index term_start = 0;
  Round round = 0;
  Round confirmed_round = 0;
  std::deque<SentRound> sent_rounds;
  TimePoint quorum_confirmed_at;
  TimePoint next_heartbeat_at;
  std::size_t uncommitted_bytes = 0;
  /// The commit index when the round before the present one began.
  Index caught_up_target = 0;
  Index commit_at_round = 0;
  std::vector<LeaderRead> waiting_reads;
  std::vector<LeaderRead> assigned_reads;
  std::optional<Transfer> transfer;

  /// The output of the step under way.
  Output output;
};

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_REPLICA_H_
