#ifndef MASTICRILL_CONSENSUS_REPLICA_TYPES_H_
#define MASTICRILL_CONSENSUS_REPLICA_TYPES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/consensus/membership.h"
#include "masticrill/consensus/message.h"

/// The events that a replica takes and the output that it returns.
namespace masticrill::consensus {

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

std::string_view ToString(Role role);

struct ReplicaOptions {
  Duration heartbeat_interval = milliseconds(200);
  /// A follower that hears nothing for a random time from here to twice this starts an election. A
  /// leader that hears no quorum for this time steps down.
  Duration election_timeout = milliseconds(1000);
  /// Limits of one append request.
  std::size_t max_append_entries = 4096;
  std::size_t max_append_bytes = std::size_t{1} << 20U;
  /// Append requests to one follower that wait for an answer.
  std::size_t max_append_in_flight = 16;
  /// Commands that wait for a quorum. Further ones are rejected.
  std::size_t max_uncommitted_bytes = std::size_t{32} << 20U;
  std::size_t max_snapshot_part_bytes = std::size_t{256} << 10U;
  /// Entries kept behind a snapshot for followers that lag.
  std::size_t retained_entries = 4096;
};

/// Names a proposal at the replica where it was made.
using ProposalId = std::uint64_t;

struct Proposal {
  ProposalId id = 0;
  std::string command;
};

/// The time has advanced.
struct TickEvent {};

struct ReceiveEvent {
  Message message;
};

struct ProposeEvent {
  std::vector<Proposal> proposals;
};

struct MembershipEvent {
  ProposalId id = 0;
  MembershipChange change;
};

/// Asks for linearizable reads.
struct ReadEvent {
  std::vector<ReadId> reads;
};

struct TransferEvent {
  /// Empty to let the leader choose.
  NodeId target;
};

/// The term and the log up to the entry are durable.
struct PersistedEvent {
  Term term = 0;
  Index last_index = 0;
  Term last_term = 0;
};

/// The state machine was saved after it applied the entry at `index`.
struct SnapshotTakenEvent {
  Index index = 0;
  std::string data;
};

using Event = std::variant<TickEvent, ReceiveEvent, ProposeEvent, MembershipEvent, ReadEvent,
                           TransferEvent, PersistedEvent, SnapshotTakenEvent>;

/// What differs from the durable state. The caller writes the replica's present state, so that
/// several steps are merged into one write and one sync.
struct DurableChange {
  bool hard_state = false;
  bool snapshot = false;
  /// The log differs from this index on; 0 when it does not.
  Index first_changed = 0;
  /// The log may be compacted up to this index; 0 when not.
  Index compact_to = 0;

  bool Empty() const { return *this == DurableChange{}; }

  void MarkLog(Index index) {
    this->first_changed = this->first_changed == 0 ? index : std::min(this->first_changed, index);
  }

  void Merge(const DurableChange& later) {
    this->hard_state |= later.hard_state;
    this->snapshot |= later.snapshot;
    if (later.first_changed != 0) {
      this->MarkLog(later.first_changed);
    }
    this->compact_to = std::max(this->compact_to, later.compact_to);
  }

  friend bool operator==(const DurableChange&, const DurableChange&) = default;
};

/// The proposal stands in the log. It takes effect when that entry, with that term, is committed.
struct AcceptedProposal {
  ProposalId id = 0;
  Index index = 0;
  Term term = 0;
};

/// The proposal had no effect and never will.
struct RejectedProposal {
  ProposalId id = 0;
  RejectReason reason = RejectReason::kNotLeader;
};

/// The read may be served from a state that has applied `index`, unless it was rejected.
struct ReadOutcome {
  ReadId read = 0;
  Index index = 0;
  std::optional<RejectReason> rejected;
};

struct RoleChange {
  Role role = Role::kFollower;
  Term term = 0;
  ReplicaId leader;
};

struct Output {
  /// May be sent at once.
  std::vector<Message> messages;
  /// May be sent only when `durable` of this and all earlier outputs is on disk.
  std::vector<Message> messages_after_sync;
  DurableChange durable;
  /// The state machine is to be restored from the replica's snapshot.
  bool snapshot_installed = false;
  std::vector<AcceptedProposal> accepted;
  std::vector<RejectedProposal> rejected;
  std::vector<ReadOutcome> reads;
  std::vector<RoleChange> role_changes;
  std::optional<RejectReason> transfer_rejected;
};

struct PeerStatus {
  ReplicaId replica;
  Index match = 0;
  TimePoint heard_at;
  bool receives_snapshot = false;
  /// A learner with this may be promoted.
  bool caught_up = false;

  friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

struct ReplicaStatus {
  ReplicaId id;
  Role role = Role::kFollower;
  Term term = 0;
  /// Empty when none is known.
  ReplicaId leader;
  Index commit = 0;
  Index last_index = 0;
  Index snapshot_index = 0;
  Membership membership;
  /// The log index of the membership; 0 when it comes from an empty log.
  Index membership_index = 0;
  /// No membership change waits for a quorum.
  bool membership_committed = false;
  /// At a leader that has committed an entry of its term: when it sent the latest heartbeat round
  /// that a quorum has answered. Nothing otherwise.
  std::optional<TimePoint> quorum_confirmed_at;
  /// At a leader, the other members.
  std::vector<PeerStatus> peers;
  /// In an election of this replica: who granted a vote, this replica included, and who refused it.
  std::vector<ReplicaId> votes;
  std::vector<ReplicaId> refusals;
};

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_REPLICA_TYPES_H_
