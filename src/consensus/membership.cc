#include "masticrill/consensus/membership.h"

#include <algorithm>

namespace masticrill::consensus {
namespace {

bool Contains(const std::vector<ReplicaId>& replicas, const ReplicaId& replica) {
  return std::find(replicas.begin(), replicas.end(), replica) != replicas.end();
}

MembershipDecision AddLearner(Membership membership, const ReplicaId& replica) {
  if (membership.IsRetired(replica.identity)) {
    return {.rejected = RejectReason::kRetiredIdentity};
  }
  if (membership.FindNode(replica.node) != nullptr) {
    return {.rejected = RejectReason::kAlreadyMember};
  }
  if (membership.voters.size() + membership.learners.size() >= kMaxMembers) {
    return {.rejected = RejectReason::kTooManyMembers};
  }
  membership.learners.push_back(replica);
  return {.membership = std::move(membership)};
}

MembershipDecision Promote(Membership membership, const ReplicaId& replica) {
  if (!membership.IsLearner(replica)) {
    return {.rejected = RejectReason::kNotMember};
  }
  if (membership.voters.size() >= kMaxVoters) {
    return {.rejected = RejectReason::kTooManyMembers};
  }
  std::erase(membership.learners, replica);
  membership.voters.push_back(replica);
  return {.membership = std::move(membership)};
}

bool IsLastVoter(const Membership& membership, const ReplicaId& replica) {
  return membership.voters.size() == 1 && membership.IsVoter(replica);
}

MembershipDecision Demote(Membership membership, const ReplicaId& replica) {
  if (!membership.IsVoter(replica)) {
    return {.rejected = RejectReason::kNotMember};
  }
  if (IsLastVoter(membership, replica)) {
    return {.rejected = RejectReason::kLastVoter};
  }
  std::erase(membership.voters, replica);
  membership.learners.push_back(replica);
  return {.membership = std::move(membership)};
}

MembershipDecision Remove(Membership membership, const ReplicaId& replica) {
  if (!membership.IsMember(replica)) {
    return {.rejected = RejectReason::kNotMember};
  }
  if (IsLastVoter(membership, replica)) {
    return {.rejected = RejectReason::kLastVoter};
  }
  std::erase(membership.voters, replica);
  std::erase(membership.learners, replica);
  membership.retired.push_back(replica.identity);
  if (membership.retired.size() > kMaxRetired) {
    membership.retired.erase(membership.retired.begin());
  }
  return {.membership = std::move(membership)};
}

}  // namespace

bool Membership::IsVoter(const ReplicaId& replica) const { return Contains(this->voters, replica); }

bool Membership::IsLearner(const ReplicaId& replica) const {
  return Contains(this->learners, replica);
}

bool Membership::IsMember(const ReplicaId& replica) const {
  return this->IsVoter(replica) || this->IsLearner(replica);
}

bool Membership::IsRetired(const DataFolderId& identity) const {
  return std::find(this->retired.begin(), this->retired.end(), identity) != this->retired.end();
}

const ReplicaId* Membership::FindNode(const NodeId& node) const {
  for (const std::vector<ReplicaId>* replicas : {&this->voters, &this->learners}) {
    for (const ReplicaId& replica : *replicas) {
      if (replica.node == node) {
        return &replica;
      }
    }
  }
  return nullptr;
}

MembershipDecision ApplyChange(const Membership& membership, const MembershipChange& change) {
  switch (change.kind) {
    case MembershipChangeKind::kAddLearner:
      return AddLearner(membership, change.replica);
    case MembershipChangeKind::kPromote:
      return Promote(membership, change.replica);
    case MembershipChangeKind::kDemote:
      return Demote(membership, change.replica);
    case MembershipChangeKind::kRemove:
      return Remove(membership, change.replica);
  }
  return {.rejected = RejectReason::kNotMember};
}

std::string_view ToString(MembershipChangeKind kind) {
  switch (kind) {
    case MembershipChangeKind::kAddLearner:
      return "add_learner";
    case MembershipChangeKind::kPromote:
      return "promote";
    case MembershipChangeKind::kDemote:
      return "demote";
    case MembershipChangeKind::kRemove:
      return "remove";
  }
  return "unknown";
}

std::string_view ToString(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNotLeader:
      return "not_leader";
    case RejectReason::kNoLeader:
      return "no_leader";
    case RejectReason::kOverloaded:
      return "overloaded";
    case RejectReason::kTransferInProgress:
      return "transfer_in_progress";
    case RejectReason::kTimeout:
      return "timeout";
    case RejectReason::kChangeInProgress:
      return "change_in_progress";
    case RejectReason::kTermNotEstablished:
      return "term_not_established";
    case RejectReason::kAlreadyMember:
      return "already_member";
    case RejectReason::kNotMember:
      return "not_member";
    case RejectReason::kRetiredIdentity:
      return "retired_identity";
    case RejectReason::kNotCaughtUp:
      return "not_caught_up";
    case RejectReason::kLeaderCannotLeave:
      return "leader_cannot_leave";
    case RejectReason::kLastVoter:
      return "last_voter";
    case RejectReason::kTooManyMembers:
      return "too_many_members";
    case RejectReason::kNoTransferTarget:
      return "no_transfer_target";
    case RejectReason::kStopped:
      return "stopped";
  }
  return "unknown";
}

}  // namespace masticrill::consensus
