#include "masticrill/consensus/replica.h"

#include <algorithm>
#include <utility>

#include "masticrill/consensus/codec.h"

namespace masticrill::consensus {

std::string_view ToString(Role role) {
  switch (role) {
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "pre_candidate";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "unknown";
}

Result<Replica> Replica::Create(const ReplicaId& id, const ReplicaOptions& options,
                                storage::StoredState stored, TimePoint now, Random& random) {
  std::vector<MembershipAt> memberships(1);
  const auto decode = [&](Index index, const std::string& encoded) -> Result<void> {
    const std::optional<Membership> decoded = HandleErrors(
        [&]() -> Result<std::optional<Membership>> {
          BOOST_LEAF_AUTO(membership, DecodeMembership(encoded));
          return std::optional<Membership>(std::move(membership));
        },
        [](const Error&) { return std::optional<Membership>(); });
    if (!decoded) {
      return Fail(ErrorKind::kCorruptStorage,
                  "The stored membership cannot be decoded. Empty the data folder and add the "
                  "replica again as a learner.");
    }
    memberships.push_back({index, *decoded});
    return {};
  };
  Index snapshot_index = 0;
  if (stored.snapshot) {
    snapshot_index = stored.snapshot->index;
    BOOST_LEAF_CHECK(decode(snapshot_index, stored.snapshot->membership));
    memberships.erase(memberships.begin());
  }
  for (const LogEntry& entry : stored.entries) {
    if (entry.kind == EntryKind::kMembership && entry.index > snapshot_index) {
      BOOST_LEAF_CHECK(decode(entry.index, entry.payload));
    }
  }
  return Replica(id, options, std::move(stored), std::move(memberships), now, random);
}

Replica::Replica(const ReplicaId& id, const ReplicaOptions& options, storage::StoredState stored,
                 std::vector<MembershipAt> memberships, TimePoint now, Random& random)
    : id(id),
      options(options),
      random(random.Next()),
      hard_state(stored.hard_state),
      log(stored.snapshot, std::move(stored.entries)),
      snapshot(std::move(stored.snapshot)),
      memberships(std::move(memberships)),
      commit(this->snapshot ? this->snapshot->index : 0),
      now(now),
      heard_leader_at(now),
      read_nonce(this->random.Next()),
      persisted_index(this->log.LastIndex()) {
  this->ResetElectionDeadline();
}

Output Replica::Step(Event event, TimePoint now) {
  this->now = std::max(this->now, now);
  std::visit([this](auto& value) { this->Handle(value); }, event);
  return std::exchange(this->output, {});
}

void Replica::Handle(const TickEvent&) {
  this->ExpireReads();
  if (this->role == Role::kLeader) {
    this->TickLeader();
    return;
  }
  if (this->now < this->election_deadline) {
    return;
  }
  this->ResetElectionDeadline();
  if (this->CurrentMembership().IsVoter(this->id)) {
    this->StartPreVote();
  }
}

void Replica::Handle(ReceiveEvent& event) {
  Message& message = event.message;
  const bool addressed = message.to == this->id && message.from != this->id;
  // A removal that is not committed may be undone by a leader that it removes.
  const Membership& committed = this->MembershipAtIndex(this->commit);
  if (!addressed || committed.IsRetired(message.from.identity)) {
    return;
  }
  this->RecordRefusal(message);
  if (!this->AdmitTerm(message)) {
    return;
  }
  std::visit([&](auto& body) { this->Handle(message, body); }, message.body);
}

void Replica::Handle(ProposeEvent& event) {
  std::optional<RejectReason> reason;
  if (this->role != Role::kLeader) {
    reason = this->leader.Empty() ? RejectReason::kNoLeader : RejectReason::kNotLeader;
  } else if (this->transfer) {
    reason = RejectReason::kTransferInProgress;
  }
  for (auto& [proposal, command] : event.proposals) {
    const bool full =
        this->uncommitted_bytes + command.size() > this->options.max_uncommitted_bytes;
    if (reason || full) {
      this->output.rejected.push_back({proposal, reason.value_or(RejectReason::kOverloaded)});
      continue;
    }
    this->AppendAsLeader(EntryKind::kCommand, std::move(command));
    this->output.accepted.push_back({proposal, this->log.LastIndex(), this->hard_state.term});
  }
  if (this->role == Role::kLeader) {
    this->SendEntriesToAll();
  }
}

void Replica::Handle(const PersistedEvent& event) {
  if (this->log.TermAt(event.last_index) == event.last_term) {
    this->persisted_index = std::max(this->persisted_index, event.last_index);
  }
  if (event.term != this->hard_state.term) {
    return;
  }
  if (this->role == Role::kCandidate) {
    // The own vote counts once it is durable, so that no second start of this process votes again.
    this->votes.insert(this->id);
    this->CountVotes();
  } else if (this->role == Role::kLeader) {
    this->AdvanceCommit();
  }
}

/// Compares terms. Returns whether the message is to be handled.
/// A refusal may carry a lower term, and is not handled then.
void Replica::RecordRefusal(const Message& message) {
  const auto* pre_vote = std::get_if<PreVoteResponse>(&message.body);
  const auto* vote = std::get_if<VoteResponse>(&message.body);
  const bool refused =
      (pre_vote != nullptr && !pre_vote->granted) || (vote != nullptr && !vote->granted);
  const bool elects = this->role == Role::kPreCandidate || this->role == Role::kCandidate;
  if (refused && elects) {
    this->refusals.insert(message.from);
  }
}

bool Replica::AdmitTerm(const Message& message) {
  if (message.term < this->hard_state.term) {
    const bool from_late_reader = std::holds_alternative<ReadRequest>(message.body);
    if (!from_late_reader) {
      this->AnswerStaleTerm(message);
    }
    return from_late_reader || std::holds_alternative<ReadResponse>(message.body);
  }
  if (message.term == this->hard_state.term) {
    return true;
  }
  if (std::holds_alternative<PreVoteRequest>(message.body)) {
    return true;
  }
  if (const auto* pre_vote = std::get_if<PreVoteResponse>(&message.body);
      pre_vote != nullptr && pre_vote->granted) {
    // The term of a granted pre-vote is the one that the election would start.
    return true;
  }
  if (const auto* vote = std::get_if<VoteRequest>(&message.body);
      vote != nullptr && !vote->transfer && this->LeaderAlive()) {
    return false;
  }
  const bool from_leader = std::holds_alternative<AppendRequest>(message.body) ||
                           std::holds_alternative<SnapshotRequest>(message.body);
  this->BecomeFollower(message.term, from_leader ? message.from : ReplicaId());
  return true;
}

void Replica::AnswerStaleTerm(const Message& message) {
  if (std::holds_alternative<AppendRequest>(message.body) ||
      std::holds_alternative<SnapshotRequest>(message.body)) {
    // The higher term in the answer deposes the sender.
    this->SendAfterSync(message.from, AppendResponse{});
  } else if (std::holds_alternative<PreVoteRequest>(message.body)) {
    this->SendAfterSync(message.from, PreVoteResponse{});
  } else if (std::holds_alternative<VoteRequest>(message.body)) {
    this->SendAfterSync(message.from, VoteResponse{});
  }
}

void Replica::Send(const ReplicaId& to, MessageBody body) {
  this->output.messages.push_back({this->id, to, this->hard_state.term, std::move(body)});
}

void Replica::SendAfterSync(const ReplicaId& to, MessageBody body, std::optional<Term> term) {
  this->output.messages_after_sync.push_back(
      {this->id, to, term.value_or(this->hard_state.term), std::move(body)});
}

ReplicaStatus Replica::Status() const {
  ReplicaStatus status;
  status.id = this->id;
  status.role = this->role;
  status.term = this->hard_state.term;
  status.leader = this->leader;
  status.commit = this->commit;
  status.last_index = this->log.LastIndex();
  status.snapshot_index = this->snapshot ? this->snapshot->index : 0;
  status.membership = this->CurrentMembership();
  status.membership_index = this->memberships.back().index;
  status.membership_committed = this->memberships.back().index <= this->commit;
  if (this->role != Role::kLeader) {
    status.votes.assign(this->votes.begin(), this->votes.end());
    status.refusals.assign(this->refusals.begin(), this->refusals.end());
    return status;
  }
  if (this->TermEstablished()) {
    status.quorum_confirmed_at = this->quorum_confirmed_at;
  }
  for (const auto& [peer, progress] : this->peers) {
    status.peers.push_back({peer, progress.match, progress.heard_at,
                            progress.transmission == Transmission::kSnapshot,
                            this->CaughtUp(progress)});
  }
  return status;
}

}  // namespace masticrill::consensus
