#include <algorithm>
#include <utility>

#include "masticrill/consensus/replica.h"

/// Linearizable reads by read index, and leadership transfer.
namespace masticrill::consensus {
namespace {

/// How many election timeouts a read may wait for its confirmation.
constexpr int kReadTimeouts = 2;

}  // namespace

void Replica::Handle(const ReadEvent& event) {
  const TimePoint deadline = this->now + kReadTimeouts * this->options.election_timeout;
  for (const ReadId read : event.reads) {
    if (this->role == Role::kLeader) {
      this->waiting_reads.push_back({read, ReplicaId(), deadline});
    } else if (this->leader.Empty()) {
      this->output.reads.push_back({read, 0, RejectReason::kNoLeader});
    } else {
      this->forwarded_reads.push_back({read, deadline});
      this->Send(this->leader, ReadRequest{read + this->read_nonce});
    }
  }
  if (this->assigned_reads.empty() && !this->waiting_reads.empty() && this->TermEstablished()) {
    this->BeginRound();
  }
}

void Replica::Handle(const Message& message, const ReadRequest& request) {
  if (this->role != Role::kLeader) {
    this->Send(message.from, ReadResponse{request.read});
    return;
  }
  const TimePoint deadline = this->now + kReadTimeouts * this->options.election_timeout;
  this->waiting_reads.push_back({request.read, message.from, deadline});
  if (this->assigned_reads.empty() && this->TermEstablished()) {
    this->BeginRound();
  }
}

void Replica::Handle(const Message&, const ReadResponse& response) {
  const ReadId read = response.read - this->read_nonce;
  const auto forwarded =
      std::find_if(this->forwarded_reads.begin(), this->forwarded_reads.end(),
                   [read](const ForwardedRead& waiting) { return waiting.read == read; });
  if (forwarded == this->forwarded_reads.end()) {
    return;
  }
  this->forwarded_reads.erase(forwarded);
  if (response.confirmed) {
    this->output.reads.push_back({read, response.index, {}});
  } else {
    this->output.reads.push_back({read, 0, RejectReason::kNotLeader});
  }
}

/// Lets the round that begins now confirm the reads that wait. Until an entry of this term is
/// committed, the commit index may be older than that of an earlier leader.
void Replica::AssignReads() {
  if (!this->TermEstablished()) {
    return;
  }
  for (LeaderRead& read : std::exchange(this->waiting_reads, {})) {
    read.index = this->commit;
    read.round = this->round;
    this->assigned_reads.push_back(std::move(read));
  }
}

void Replica::CompleteReads(Round confirmed) {
  const auto first_open =
      std::find_if(this->assigned_reads.begin(), this->assigned_reads.end(),
                   [confirmed](const LeaderRead& read) { return read.round > confirmed; });
  for (auto read = this->assigned_reads.begin(); read != first_open; ++read) {
    this->FinishRead(*read, {});
  }
  this->assigned_reads.erase(this->assigned_reads.begin(), first_open);
  if (this->assigned_reads.empty() && !this->waiting_reads.empty() && this->TermEstablished()) {
    this->BeginRound();
  }
}

void Replica::FinishRead(const LeaderRead& read, std::optional<RejectReason> rejected) {
  if (read.from.Empty()) {
    this->output.reads.push_back({read.read, read.index, rejected});
  } else {
    this->Send(read.from, ReadResponse{read.read, !rejected, read.index});
  }
}

void Replica::FailReads(RejectReason reason) {
  for (std::vector<LeaderRead>* reads : {&this->waiting_reads, &this->assigned_reads}) {
    for (const LeaderRead& read : std::exchange(*reads, {})) {
      this->FinishRead(read, reason);
    }
  }
}

void Replica::ExpireReads() {
  for (std::vector<LeaderRead>* reads : {&this->waiting_reads, &this->assigned_reads}) {
    for (const LeaderRead& read : *reads) {
      if (read.deadline <= this->now) {
        this->FinishRead(read, RejectReason::kTimeout);
      }
    }
    std::erase_if(*reads, [this](const LeaderRead& read) { return read.deadline <= this->now; });
  }
  for (const ForwardedRead& read : this->forwarded_reads) {
    if (read.deadline <= this->now) {
      this->output.reads.push_back({read.read, 0, RejectReason::kTimeout});
    }
  }
  std::erase_if(this->forwarded_reads,
                [this](const ForwardedRead& read) { return read.deadline <= this->now; });
}

void Replica::Handle(const TransferEvent& event) {
  if (this->role != Role::kLeader) {
    this->output.transfer_rejected = RejectReason::kNotLeader;
    return;
  }
  const ReplicaId* best = nullptr;
  Index best_match = 0;
  for (const auto& [peer, progress] : this->peers) {
    const bool wanted = event.target.Empty() || event.target == peer.node;
    const bool alive = this->now - progress.heard_at < this->options.election_timeout;
    const bool better = best == nullptr || progress.match > best_match;
    if (wanted && alive && better && this->CurrentMembership().IsVoter(peer)) {
      best = &peer;
      best_match = progress.match;
    }
  }
  if (best == nullptr) {
    this->output.transfer_rejected = RejectReason::kNoTransferTarget;
    return;
  }
  this->transfer = Transfer{*best, this->now + this->options.election_timeout};
  this->AdvanceTransfer();
}

/// Asks the target to take over as soon as it has the whole log.
void Replica::AdvanceTransfer() {
  if (!this->transfer || this->transfer->requested) {
    return;
  }
  const auto target = this->peers.find(this->transfer->target);
  if (target == this->peers.end() || target->second.match < this->log.LastIndex()) {
    return;
  }
  this->transfer->requested = true;
  this->Send(this->transfer->target, TransferRequest{});
}

}  // namespace masticrill::consensus
