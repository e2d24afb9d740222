#include "control/membership_plan.h"

namespace masticrill::control {
namespace {

using consensus::MembershipChange;
using consensus::MembershipChangeKind;
using consensus::ReplicaId;
using consensus::ReplicaStatus;

/// With one voter less, these still tolerate the loss of another one.
constexpr std::size_t kMinVotersLeft = 3;
constexpr std::size_t kMinVotersLeftWithSuccessor = 2;

/// Of the matching peers that the leader has not heard from for more than `timeout`, the one that
/// it heard from the longest time ago.
template <typename Predicate>
std::optional<ReplicaId> FindUnresponsive(const ReplicaStatus& status, Duration timeout,
                                          TimePoint now, const Predicate& matches) {
  std::optional<ReplicaId> found;
  TimePoint oldest = now - timeout;
  for (const consensus::PeerStatus& peer : status.peers) {
    if (matches(peer.replica) && peer.heard_at < oldest) {
      found = peer.replica;
      oldest = peer.heard_at;
    }
  }
  return found;
}

std::optional<ReplicaId> FindUnresponsiveVoter(const ReplicaStatus& status, Duration timeout,
                                               TimePoint now) {
  return FindUnresponsive(status, timeout, now, [&](const ReplicaId& replica) {
    return status.membership.IsVoter(replica);
  });
}

bool IsEven(const consensus::Membership& membership) { return membership.voters.size() % 2 == 0; }

/// The voter that the group is better off without; nullopt when there is none.
std::optional<ReplicaId> FindVoterToDemote(const ReplicaStatus& status, bool has_successor,
                                           const ControlTimings& timings, TimePoint now) {
  const std::size_t min_left = has_successor ? kMinVotersLeftWithSuccessor : kMinVotersLeft;
  if (status.membership.voters.size() <= min_left) {
    return std::nullopt;
  }
  // An even group tolerates no more losses than the group without the unresponsive voter.
  const bool soon = has_successor || IsEven(status.membership);
  return FindUnresponsiveVoter(
      status, soon ? timings.demote_surplus_voter_after : timings.demote_voter_after, now);
}

/// The silent voter to demote or, if there is none, the silent learner to remove.
std::optional<MembershipChange> FindUnresponsiveMember(const ReplicaStatus& status,
                                                       bool has_successor,
                                                       const ControlTimings& timings,
                                                       TimePoint now) {
  if (const auto voter = FindVoterToDemote(status, has_successor, timings, now)) {
    return MembershipChange{MembershipChangeKind::kDemote, *voter};
  }
  // An observer restarts under a new identity; its former identity is still listed as a learner.
  const auto learner = FindUnresponsive(
      status, timings.remove_learner_after, now,
      [&](const ReplicaId& replica) { return status.membership.IsLearner(replica); });
  return learner ? std::optional(MembershipChange{MembershipChangeKind::kRemove, *learner})
                 : std::nullopt;
}

}  // namespace

std::optional<MembershipChange> PlanMembershipUpkeep(const ReplicaStatus& status,
                                                     const std::optional<ReplicaId>& successor,
                                                     MembershipUpkeep upkeep,
                                                     const ControlTimings& timings, TimePoint now) {
  // A process that stood still has heard nobody for long, and may not lead any more.
  const bool leads = status.role == consensus::Role::kLeader && status.quorum_confirmed_at &&
                     now - *status.quorum_confirmed_at < timings.election_timeout;
  if (!leads || !status.membership_committed) {
    return std::nullopt;
  }
  const bool replaces = upkeep == MembershipUpkeep::kReplace;
  if (replaces) {
    if (const auto change = FindUnresponsiveMember(status, successor.has_value(), timings, now)) {
      return change;
    }
  }
  if (!successor || status.membership.voters.size() >= consensus::kMaxVoters) {
    return std::nullopt;
  }
  // Beside a silent voter, one more voter would raise the majority that the others have to reach.
  const bool raises_quorum = !IsEven(status.membership);
  if (replaces && raises_quorum && FindUnresponsiveVoter(status, timings.election_timeout, now)) {
    return std::nullopt;
  }
  return MembershipChange{MembershipChangeKind::kPromote, *successor};
}

std::optional<MembershipChange> PlanLeave(const consensus::Membership& membership,
                                          const ReplicaId& leaving,
                                          const std::optional<ReplicaId>& successor) {
  if (!membership.IsVoter(leaving)) {
    return std::nullopt;
  }
  if (IsEven(membership)) {
    return membership.voters.size() > kMinVotersLeft
               ? std::optional(MembershipChange{MembershipChangeKind::kDemote, leaving})
               : std::nullopt;
  }
  const bool takes_over = successor && membership.voters.size() >= kMinVotersLeft &&
                          membership.voters.size() < consensus::kMaxVoters;
  return takes_over ? std::optional(MembershipChange{MembershipChangeKind::kPromote, *successor})
                    : std::nullopt;
}

void LeavingReplicas::Add(const ReplicaId& replica, TimePoint now) {
  std::erase_if(this->left_at, [&](const auto& entry) { return now - entry.second >= kHold; });
  this->left_at.insert_or_assign(replica, now);
}

bool LeavingReplicas::Contains(const ReplicaId& replica, TimePoint now) const {
  const auto found = this->left_at.find(replica);
  return found != this->left_at.end() && now - found->second < kHold;
}

}  // namespace masticrill::control
