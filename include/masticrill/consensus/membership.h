#ifndef MASTICRILL_CONSENSUS_MEMBERSHIP_H_
#define MASTICRILL_CONSENSUS_MEMBERSHIP_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/storage/types.h"

namespace masticrill::consensus {

using storage::DataFolderId;
using storage::EntryKind;
using storage::HardState;
using storage::Index;
using storage::LogEntry;
using storage::ReplicaId;
using storage::Snapshot;
using storage::SnapshotPtr;
using storage::Term;

/// The replicas of the group. A node is at most once among voters and learners.
struct Membership {
  std::vector<ReplicaId> voters;
  /// Replicas that receive the log but do not vote.
  std::vector<ReplicaId> learners;
  /// The latest removed identities, oldest first. They are refused for good.
  std::vector<DataFolderId> retired;

  bool IsVoter(const ReplicaId& replica) const;
  bool IsLearner(const ReplicaId& replica) const;
  bool IsMember(const ReplicaId& replica) const;
  bool IsRetired(const DataFolderId& identity) const;
  /// The member that runs on the node; null when none does.
  const ReplicaId* FindNode(const NodeId& node) const;
  /// The smallest number of voters that is a majority.
  std::size_t Quorum() const { return this->voters.size() / 2 + 1; }

  friend bool operator==(const Membership&, const Membership&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->voters, this->learners, this->retired);
  }
};

enum class MembershipChangeKind {
  kAddLearner,
  kPromote,
  /// Makes a voter a learner. It keeps its identity and may be promoted again.
  kDemote,
  kRemove,
};

std::string_view ToString(MembershipChangeKind kind);

/// A change by one replica. A node that lost its disk comes back by kRemove of the old replica,
/// kAddLearner of the new one and, once it has caught up, kPromote.
struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::kAddLearner;
  ReplicaId replica;

  friend bool operator==(const MembershipChange&, const MembershipChange&) = default;
};

/// Why a proposal, a membership change, a transfer or a read is not carried out.
enum class RejectReason {
  kNotLeader,           // Ask the leader named in the status.
  kNoLeader,            // No leader is known. Retry after an election timeout.
  kOverloaded,          // Too many bytes wait for a quorum. Retry later.
  kTransferInProgress,  // Leadership is being handed over. Retry at the new leader.
  kTimeout,             // The leader did not confirm in time. Retry.
  kChangeInProgress,    // An earlier membership change is not committed yet. Retry later.
  kTermNotEstablished,  // The leader has not yet committed an entry of its term. Retry later.
  kAlreadyMember,       // The replica, or another identity of its node, is a member.
  kNotMember,           // The replica is not a member, or not one that can change so.
  kRetiredIdentity,     // The identity was removed. Empty the data folder to get a new one.
  kNotCaughtUp,         // The learner lacks committed entries. Retry when it has caught up.
  kLeaderCannotLeave,   // Transfer leadership first.
  kLastVoter,           // The group would have no voter left.
  kTooManyMembers,      // The group has the largest allowed number of members.
  kNoTransferTarget,    // No voter that is up to date answers.
  kStopped,             // The replica stopped after a storage error. Restart the process.
};

std::string_view ToString(RejectReason reason);

inline constexpr std::array kAllRejectReasons = {
    RejectReason::kNotLeader,
    RejectReason::kNoLeader,
    RejectReason::kOverloaded,
    RejectReason::kTransferInProgress,
    RejectReason::kTimeout,
    RejectReason::kChangeInProgress,
    RejectReason::kTermNotEstablished,
    RejectReason::kAlreadyMember,
    RejectReason::kNotMember,
    RejectReason::kRetiredIdentity,
    RejectReason::kNotCaughtUp,
    RejectReason::kLeaderCannotLeave,
    RejectReason::kLastVoter,
    RejectReason::kTooManyMembers,
    RejectReason::kNoTransferTarget,
    RejectReason::kStopped,
};

inline constexpr std::size_t kMaxVoters = 7;
inline constexpr std::size_t kMaxMembers = 24;
inline constexpr std::size_t kMaxRetired = 256;

/// A new membership, or why the change is not allowed.
struct MembershipDecision {
  Membership membership = {};
  std::optional<RejectReason> rejected = {};
};

/// Applies the change to a membership. Whether a learner has caught up is the caller's to check.
MembershipDecision ApplyChange(const Membership& membership, const MembershipChange& change);

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_MEMBERSHIP_H_
