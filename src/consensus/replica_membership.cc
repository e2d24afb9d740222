#include <algorithm>
#include <utility>

#include "masticrill/consensus/codec.h"
#include "masticrill/consensus/replica.h"

/// Membership changes, one at a time. A replica uses the latest membership in its log.
namespace masticrill::consensus {

void Replica::Handle(const MembershipEvent& event) {
  if (const std::optional<RejectReason> reason = this->CheckChange(event.change)) {
    this->output.rejected.push_back({event.id, *reason});
    return;
  }
  Membership membership = ApplyChange(this->CurrentMembership(), event.change).membership;
  this->AppendAsLeader(EntryKind::kMembership, EncodeMembership(membership));
  this->output.accepted.push_back({event.id, this->log.LastIndex(), this->hard_state.term});
  this->PushMembership(this->log.LastIndex(), std::move(membership));
  this->SyncProgressWithMembership();
  this->SendEntriesToAll();
}

std::optional<RejectReason> Replica::CheckChange(const MembershipChange& change) const {
  if (this->role != Role::kLeader) {
    return this->leader.Empty() ? RejectReason::kNoLeader : RejectReason::kNotLeader;
  }
  if (this->transfer) {
    return RejectReason::kTransferInProgress;
  }
  if (!this->TermEstablished()) {
    // Otherwise two leaders could each add a change to a membership that the other does not know.
    return RejectReason::kTermNotEstablished;
  }
  if (this->memberships.back().index > this->commit) {
    return RejectReason::kChangeInProgress;
  }
  const bool takes_vote =
      change.kind == MembershipChangeKind::kDemote || change.kind == MembershipChangeKind::kRemove;
  if (takes_vote && change.replica == this->id) {
    return RejectReason::kLeaderCannotLeave;
  }
  if (const auto rejected = ApplyChange(this->CurrentMembership(), change).rejected) {
    return rejected;
  }
  if (change.kind == MembershipChangeKind::kPromote &&
      !this->CaughtUp(this->peers.at(change.replica))) {
    return RejectReason::kNotCaughtUp;
  }
  return std::nullopt;
}

void Replica::PushMembership(Index index, Membership membership) {
  this->memberships.push_back({index, std::move(membership)});
}

void Replica::TruncateMemberships(Index first) {
  std::erase_if(this->memberships,
                [first](const MembershipAt& entry) { return entry.index >= first; });
}

const Membership& Replica::MembershipAtIndex(Index index) const {
  const auto after =
      std::find_if(this->memberships.begin() + 1, this->memberships.end(),
                   [index](const MembershipAt& entry) { return entry.index > index; });
  return std::prev(after)->membership;
}

void Replica::SyncProgressWithMembership() {
  const Membership& membership = this->CurrentMembership();
  std::erase_if(this->peers, [&](const auto& item) { return !membership.IsMember(item.first); });
  for (const std::vector<ReplicaId>* members : {&membership.voters, &membership.learners}) {
    for (const ReplicaId& member : *members) {
      if (member != this->id && !this->peers.contains(member)) {
        Progress progress;
        progress.next = this->log.LastIndex() + 1;
        progress.heard_at = this->now;
        this->peers.emplace(member, std::move(progress));
      }
    }
  }
}

}  // namespace masticrill::consensus
