#include <algorithm>

#include "masticrill/consensus/replica.h"

/// Elections: pre-vote, vote, and the change of roles.
namespace masticrill::consensus {

void Replica::ChangeRole(Role role, const ReplicaId& leader) {
  if (this->role == role && this->leader == leader) {
    return;
  }
  this->role = role;
  this->leader = leader;
  this->output.role_changes.push_back({role, this->hard_state.term, leader});
}

void Replica::ResetElectionDeadline() {
  const auto spread = static_cast<std::uint64_t>(this->options.election_timeout.count());
  const Duration extra(static_cast<Duration::rep>(this->random.Below(spread)));
  this->election_deadline = this->now + this->options.election_timeout + extra;
}

bool Replica::LeaderAlive() const {
  if (this->role == Role::kLeader) {
    return this->now - this->quorum_confirmed_at < this->options.election_timeout;
  }
  return !this->leader.Empty() &&
         this->now - this->heard_leader_at < this->options.election_timeout;
}

bool Replica::IsLogCurrent(Index last_index, Term last_term) const {
  if (last_term != this->log.LastTerm()) {
    return last_term > this->log.LastTerm();
  }
  return last_index >= this->log.LastIndex();
}

void Replica::BecomeFollower(Term term, const ReplicaId& leader) {
  if (this->role == Role::kLeader) {
    this->FailReads(RejectReason::kNotLeader);
    this->peers.clear();
    this->sent_rounds.clear();
    this->transfer.reset();
  }
  if (term > this->hard_state.term) {
    this->hard_state = {term, ReplicaId()};
    this->output.durable.hard_state = true;
  }
  this->votes.clear();
  this->ResetElectionDeadline();
  this->ChangeRole(Role::kFollower, leader);
}

void Replica::StartPreVote() {
  this->votes = {this->id};
  this->refusals.clear();
  this->ChangeRole(Role::kPreCandidate, ReplicaId());
  const Term next_term = this->hard_state.term + 1;
  for (const ReplicaId& voter : this->CurrentMembership().voters) {
    if (voter != this->id) {
      this->SendAfterSync(voter, PreVoteRequest{this->log.LastIndex(), this->log.LastTerm()},
                          next_term);
    }
  }
  this->CountVotes();
}

void Replica::StartElection(bool transfer) {
  this->hard_state = {this->hard_state.term + 1, this->id};
  this->output.durable.hard_state = true;
  this->votes.clear();
  this->refusals.clear();
  this->ResetElectionDeadline();
  this->ChangeRole(Role::kCandidate, ReplicaId());
  // A quorum that votes for this replica answers after this time.
  this->quorum_confirmed_at = this->now;
  for (const ReplicaId& voter : this->CurrentMembership().voters) {
    if (voter != this->id) {
      this->SendAfterSync(voter,
                          VoteRequest{this->log.LastIndex(), this->log.LastTerm(), transfer});
    }
  }
}

void Replica::CountVotes() {
  const std::vector<ReplicaId>& voters = this->CurrentMembership().voters;
  const auto granted =
      static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
        return this->votes.contains(voter);
      }));
  if (granted < this->CurrentMembership().Quorum()) {
    return;
  }
  if (this->role == Role::kPreCandidate) {
    this->StartElection(/*transfer=*/false);
  } else if (this->role == Role::kCandidate) {
    this->BecomeLeader();
  }
}

void Replica::BecomeLeader() {
  this->ChangeRole(Role::kLeader, this->id);
  this->round = 0;
  this->confirmed_round = 0;
  this->caught_up_target = this->log.LastIndex();
  this->commit_at_round = this->log.LastIndex();
  this->uncommitted_bytes = 0;
  for (Index index = this->commit + 1; index <= this->log.LastIndex(); ++index) {
    this->uncommitted_bytes += this->log.At(index).payload.size();
  }
  this->term_start = this->log.LastIndex() + 1;
  this->SyncProgressWithMembership();
  this->AppendAsLeader(EntryKind::kNoOp, "");
  this->BeginRound();
  this->next_heartbeat_at = this->now + this->options.heartbeat_interval;
}

void Replica::Handle(const Message& message, const PreVoteRequest& request) {
  const bool granted = message.term > this->hard_state.term && !this->LeaderAlive() &&
                       this->IsLogCurrent(request.last_index, request.last_term);
  const Term term = granted ? message.term : this->hard_state.term;
  this->SendAfterSync(message.from, PreVoteResponse{granted}, term);
}

void Replica::Handle(const Message& message, const PreVoteResponse& response) {
  const bool current =
      this->role == Role::kPreCandidate && message.term == this->hard_state.term + 1;
  if (current && response.granted) {
    this->votes.insert(message.from);
    this->CountVotes();
  }
}

void Replica::Handle(const Message& message, const VoteRequest& request) {
  const bool free = this->hard_state.vote.Empty() || this->hard_state.vote == message.from;
  const bool granted =
      free && this->leader.Empty() && this->IsLogCurrent(request.last_index, request.last_term);
  if (granted) {
    this->hard_state.vote = message.from;
    this->output.durable.hard_state = true;
    this->ResetElectionDeadline();
  }
  this->SendAfterSync(message.from, VoteResponse{granted});
}

void Replica::Handle(const Message& message, const VoteResponse& response) {
  if (this->role == Role::kCandidate && response.granted) {
    this->votes.insert(message.from);
    this->CountVotes();
  }
}

void Replica::Handle(const Message& message, const TransferRequest&) {
  const bool from_leader = message.from == this->leader;
  if (from_leader && this->CurrentMembership().IsVoter(this->id)) {
    this->StartElection(/*transfer=*/true);
  }
}

}  // namespace masticrill::consensus
