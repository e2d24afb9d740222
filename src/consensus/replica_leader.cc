#include <algorithm>
#include <functional>
#include <utility>

#include "masticrill/consensus/replica.h"

/// The leader's heartbeat rounds and replication.
namespace masticrill::consensus {

template <typename Value, typename ValueOf>
Value Replica::QuorumValue(const ValueOf& value_of) const {
  std::vector<Value> values;
  for (const ReplicaId& voter : this->CurrentMembership().voters) {
    values.push_back(value_of(voter));
  }
  const std::size_t place = this->CurrentMembership().Quorum() - 1;
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place),
                   values.end(), std::greater<>());
  return values.at(place);
}

void Replica::TickLeader() {
  if (!this->LeaderAlive()) {
    this->BecomeFollower(this->hard_state.term, ReplicaId());
    return;
  }
  if (this->transfer && this->now >= this->transfer->deadline) {
    this->transfer.reset();
    this->output.transfer_rejected = RejectReason::kTimeout;
  }
  if (this->now >= this->next_heartbeat_at) {
    this->next_heartbeat_at = this->now + this->options.heartbeat_interval;
    this->BeginRound();
  }
}

void Replica::BeginRound() {
  ++this->round;
  this->sent_rounds.push_back({this->round, this->now});
  this->caught_up_target = std::exchange(this->commit_at_round, this->commit);
  this->AssignReads();
  for (auto& [peer, progress] : this->peers) {
    this->SendHeartbeat(peer, progress);
  }
  this->ConfirmRounds();
}

/// Notes the latest round that a majority has answered.
void Replica::ConfirmRounds() {
  const Round confirmed = this->QuorumValue<Round>([this](const ReplicaId& voter) {
    return voter == this->id ? this->round : this->peers.at(voter).acked_round;
  });
  if (confirmed <= this->confirmed_round) {
    return;
  }
  this->confirmed_round = confirmed;
  while (!this->sent_rounds.empty() && this->sent_rounds.front().round <= confirmed) {
    this->quorum_confirmed_at = this->sent_rounds.front().sent_at;
    this->sent_rounds.pop_front();
  }
  this->CompleteReads(confirmed);
}

void Replica::SendHeartbeat(const ReplicaId& peer, Progress& progress) {
  if (progress.transmission == Transmission::kSnapshot) {
    if (this->now - progress.part_sent_at >= this->options.election_timeout) {
      this->SendSnapshotPart(peer, progress);
      return;
    }
    this->Send(peer, AppendRequest{.round = this->round});
    return;
  }
  progress.probe_sent = false;
  const bool wants_entries = progress.next <= this->log.LastIndex() &&
                             progress.in_flight.size() < this->options.max_append_in_flight;
  if (wants_entries || progress.next <= this->log.BaseIndex()) {
    this->SendEntries(peer, progress);
    return;
  }
  this->SendAppend(peer, progress, {});
}

void Replica::SendEntriesToAll() {
  for (auto& [peer, progress] : this->peers) {
    if (progress.next <= this->log.LastIndex()) {
      this->SendEntries(peer, progress);
    }
  }
}

void Replica::SendEntries(const ReplicaId& peer, Progress& progress) {
  if (progress.transmission == Transmission::kSnapshot) {
    return;
  }
  if (progress.next <= this->log.BaseIndex()) {
    this->StartSnapshot(peer, progress);
    return;
  }
  if (progress.transmission == Transmission::kProbe) {
    if (!progress.probe_sent) {
      progress.probe_sent = true;
      this->SendAppend(peer, progress,
                       this->log.Slice(progress.next, this->options.max_append_entries,
                                       this->options.max_append_bytes));
    }
    return;
  }
  while (progress.next <= this->log.LastIndex() &&
         progress.in_flight.size() < this->options.max_append_in_flight) {
    std::vector<LogEntry> entries = this->log.Slice(progress.next, this->options.max_append_entries,
                                                    this->options.max_append_bytes);
    const Index last = entries.back().index;
    this->SendAppend(peer, progress, std::move(entries));
    progress.next = last + 1;
    progress.in_flight.push_back(last);
  }
}

void Replica::SendAppend(const ReplicaId& peer, Progress& progress, std::vector<LogEntry> entries) {
  const Index prev_index = progress.next - 1;
  const Term prev_term = this->log.TermAt(prev_index).value_or(0);
  this->Send(peer,
             AppendRequest{prev_index, prev_term, this->commit, this->round, std::move(entries)});
}

void Replica::AppendAsLeader(EntryKind kind, std::string payload) {
  const Index index = this->log.LastIndex() + 1;
  this->uncommitted_bytes += payload.size();
  this->log.Append({index, this->hard_state.term, kind, std::move(payload)});
  this->output.durable.MarkLog(index);
}

/// Notes that the member lives. Returns null when the message is from no member.
Replica::Progress* Replica::HeardFrom(const Message& message, Round round) {
  if (this->role != Role::kLeader) {
    return nullptr;
  }
  const auto place = this->peers.find(message.from);
  if (place == this->peers.end()) {
    return nullptr;
  }
  Progress& progress = place->second;
  progress.heard_at = this->now;
  if (round > progress.acked_round) {
    progress.acked_round = round;
    this->ConfirmRounds();
  }
  return &progress;
}

void Replica::Handle(const Message& message, const AppendResponse& response) {
  Progress* progress = this->HeardFrom(message, response.round);
  if (progress == nullptr) {
    return;
  }
  if (response.success) {
    this->RecordMatch(message.from, *progress, response.index);
    return;
  }
  const bool stale = response.index < progress->match;
  if (stale || progress->transmission == Transmission::kSnapshot) {
    return;
  }
  progress->transmission = Transmission::kProbe;
  progress->probe_sent = false;
  progress->in_flight.clear();
  progress->next = std::min(response.index, this->log.LastIndex()) + 1;
  this->SendEntries(message.from, *progress);
}

void Replica::RecordMatch(const ReplicaId& peer, Progress& progress, Index match) {
  progress.match = std::max(progress.match, match);
  while (!progress.in_flight.empty() && progress.in_flight.front() <= progress.match) {
    progress.in_flight.pop_front();
  }
  const bool snapshot_needless = progress.transmission == Transmission::kSnapshot &&
                                 progress.match >= progress.snapshot->index;
  if (progress.transmission == Transmission::kProbe || snapshot_needless) {
    progress.transmission = Transmission::kPipeline;
    progress.in_flight.clear();
    progress.snapshot.reset();
    progress.next = progress.match + 1;
  }
  progress.next = std::max(progress.next, progress.match + 1);
  this->AdvanceCommit();
  if (this->role != Role::kLeader) {
    return;
  }
  if (progress.next <= this->log.LastIndex()) {
    this->SendEntries(peer, progress);
  }
  this->AdvanceTransfer();
}

void Replica::AdvanceCommit() {
  const Index reached = this->QuorumValue<Index>([this](const ReplicaId& voter) {
    return voter == this->id ? this->persisted_index : this->peers.at(voter).match;
  });
  // An entry of an earlier term is committed only by one of the present term behind it.
  if (reached <= this->commit || this->log.TermAt(reached) != this->hard_state.term) {
    return;
  }
  const bool was_established = this->TermEstablished();
  while (this->commit < reached) {
    ++this->commit;
    this->uncommitted_bytes -= this->log.At(this->commit).payload.size();
  }
  for (auto& [peer, progress] : this->peers) {
    const bool idle =
        progress.transmission == Transmission::kPipeline && progress.next > this->log.LastIndex();
    if (idle) {
      this->SendAppend(peer, progress, {});
    }
  }
  if (!was_established && !this->waiting_reads.empty()) {
    this->BeginRound();
  }
}

bool Replica::CaughtUp(const Progress& progress) const {
  return progress.match >= this->caught_up_target && this->TermEstablished() &&
         this->now - progress.heard_at < this->options.election_timeout;
}

}  // namespace masticrill::consensus
