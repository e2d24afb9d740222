#ifndef MASTICRILL_CONSENSUS_REPLICA_DRIVER_INL_H_
#define MASTICRILL_CONSENSUS_REPLICA_DRIVER_INL_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "masticrill/consensus/replica_driver.h"

/// The definitions of ReplicaDriver's longer methods.
namespace masticrill::consensus {

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::Tick() {
  Queue taken;
  {
    const std::scoped_lock lock(this->mutex);
    std::swap(taken, this->queue);
  }
  if (this->stopped) {
    this->FailQueue(std::move(taken));
    return;
  }
  // What arrived while the last turn took long counts before the time that has passed: else a
  // leader would step down with its quorum's answers unread.
  this->StepQueue(std::move(taken));
  this->Step(TickEvent{});
  const std::optional<Error> error = HandleErrors(
      [&]() -> Result<std::optional<Error>> {
        BOOST_LEAF_CHECK(this->Flush());
        this->ApplyCommitted();
        this->CompleteReads();
        this->TakeSnapshotIfDue();
        BOOST_LEAF_CHECK(this->Flush());
        return std::optional<Error>();
      },
      [](const Error& failure) { return std::optional<Error>(failure); });
  if (error) {
    this->logger.Error("The replica stopped after a storage error.", {{"cause", error->message}});
    {
      const std::scoped_lock lock(this->mutex);
      this->stopped = error;
    }
    this->FailPending();
  }
  this->PublishStatus();
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::StepQueue(Queue taken) {
  for (Message& message : taken.messages) {
    this->Step(ReceiveEvent{std::move(message)});
  }
  for (NodeId& target : taken.transfers) {
    this->Step(TransferEvent{std::move(target)});
  }
  for (auto& [change, callback] : taken.changes) {
    this->Step(MembershipEvent{this->TakeProposalId(std::move(callback)), std::move(change)});
  }
  if (!taken.proposals.empty()) {
    ProposeEvent event;
    event.proposals.reserve(taken.proposals.size());
    for (auto& [command, callback] : taken.proposals) {
      event.proposals.push_back({this->TakeProposalId(std::move(callback)), std::move(command)});
    }
    this->Step(std::move(event));
  }
  if (!taken.reads.empty()) {
    ReadEvent event;
    for (ReadCallback& callback : taken.reads) {
      const ReadId read = this->next_id++;
      this->reads.emplace(read, std::move(callback));
      event.reads.push_back(read);
    }
    this->Step(std::move(event));
  }
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::Step(Event event) {
  Output output = this->replica->Step(std::move(event), this->clock.Now());
  this->SendAll(output.messages);
  this->pending.durable.Merge(output.durable);
  this->pending.restore |= output.snapshot_installed;
  std::move(output.messages_after_sync.begin(), output.messages_after_sync.end(),
            std::back_inserter(this->pending.messages_after_sync));
  const NodeId leader = this->replica->Leader().node;
  for (const auto& [proposal, index, term] : output.accepted) {
    const auto place = this->proposed.find(proposal);
    this->in_log.insert_or_assign(index, PendingEntry{term, std::move(place->second)});
    this->proposed.erase(place);
  }
  for (const auto& [proposal, reason] : output.rejected) {
    const auto node = this->proposed.extract(proposal);
    this->rejections.Add(reason);
    node.mapped()({.outcome = ProposalOutcome::kRejected, .reason = reason, .leader = leader});
  }
  for (const auto& [read, index, rejected] : output.reads) {
    auto node = this->reads.extract(read);
    if (rejected) {
      this->rejections.Add(*rejected);
      node.mapped()({.rejected = rejected, .leader = leader});
    } else {
      this->confirmed_reads.emplace(index, std::move(node.mapped()));
    }
  }
  if (output.transfer_rejected) {
    this->rejections.Add(*output.transfer_rejected);
  }
  for (const auto& [role, term, known_leader] : output.role_changes) {
    this->logger.Info("The role changed.",
                      {{"role", ToString(role)}, {"term", term}, {"leader", known_leader.node}});
    if (role != Role::kLeader) {
      this->FailPending();
    }
  }
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
Result<void> ReplicaDriver<S, T, C, M>::Flush() {
  while (!this->pending.durable.Empty() || !this->pending.messages_after_sync.empty()) {
    Pending taken = std::exchange(this->pending, {});
    if (taken.durable.Empty()) {
      this->SendAll(taken.messages_after_sync);
      continue;
    }
    BOOST_LEAF_AUTO(persisted, Persist(this->storage, *this->replica, taken.durable));
    ++this->counters.syncs;
    this->SendAll(taken.messages_after_sync);
    if (taken.restore) {
      const SnapshotPtr snapshot = this->replica->CurrentSnapshot();
      this->machine.Restore(snapshot->data);
      this->applied = snapshot->index;
      ++this->counters.snapshots_installed;
    }
    this->Step(std::move(persisted));
  }
  return {};
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::ApplyCommitted() {
  const TimePoint slice_end = this->clock.Now() + this->options.apply_slice;
  while (this->applied < this->replica->Commit()) {
    if (this->clock.Now() >= slice_end) {
      this->applied_all = false;
      return;
    }
    const LogEntry& entry = this->replica->Log().At(this->applied + 1);
    this->ApplyEntry(entry);
    this->applied = entry.index;
  }
  this->applied_all = true;
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::ApplyEntry(const LogEntry& entry) {
  std::string answer;
  if (entry.kind == EntryKind::kCommand) {
    answer = this->machine.Apply(entry.index, entry.payload);
    ++this->counters.commands_applied;
  }
  ++this->entries_since_snapshot;
  this->bytes_since_snapshot += entry.payload.size();
  auto node = this->in_log.extract(entry.index);
  if (node.empty()) {
    return;
  }
  const auto& [term, callback] = node.mapped();
  const NodeId leader = this->replica->Leader().node;
  if (term == entry.term) {
    callback({.outcome = ProposalOutcome::kApplied,
              .index = entry.index,
              .answer = std::move(answer),
              .leader = leader});
  } else {
    callback({.outcome = ProposalOutcome::kRejected, .leader = leader});
  }
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::CompleteReads() {
  const NodeId leader = this->replica->Leader().node;
  while (!this->confirmed_reads.empty() && this->confirmed_reads.begin()->first <= this->applied) {
    const auto node = this->confirmed_reads.extract(this->confirmed_reads.begin());
    node.mapped()({.index = this->applied, .leader = leader});
  }
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::TakeSnapshotIfDue() {
  if (this->entries_since_snapshot < this->options.snapshot_after_entries &&
      this->bytes_since_snapshot < this->options.snapshot_after_bytes) {
    return;
  }
  this->entries_since_snapshot = 0;
  this->bytes_since_snapshot = 0;
  ++this->counters.snapshots_taken;
  this->Step(SnapshotTakenEvent{this->applied, this->machine.Snapshot()});
}

/// Ends what stands in the log but is not known to be committed.
template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::FailPending() {
  const NodeId leader = this->replica->Leader().node;
  for (const auto& [index, entry] : std::exchange(this->in_log, {})) {
    entry.callback({.outcome = ProposalOutcome::kUnknown, .index = index, .leader = leader});
  }
  if (!this->stopped) {
    return;
  }
  for (const auto& [read, callback] : std::exchange(this->reads, {})) {
    callback({.rejected = RejectReason::kStopped});
  }
  for (const auto& [index, callback] : std::exchange(this->confirmed_reads, {})) {
    callback({.rejected = RejectReason::kStopped});
  }
}

/// Answers what arrives after the replica stopped.
template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::FailQueue(Queue taken) {
  const ProposalResult result{.outcome = ProposalOutcome::kRejected,
                              .reason = RejectReason::kStopped};
  this->rejections.Add(RejectReason::kStopped,
                       taken.proposals.size() + taken.changes.size() + taken.reads.size());
  for (const auto& [command, callback] : taken.proposals) {
    callback(result);
  }
  for (const auto& [change, callback] : taken.changes) {
    callback(result);
  }
  for (const ReadCallback& callback : taken.reads) {
    callback({.rejected = RejectReason::kStopped});
  }
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::SendAll(std::vector<Message>& messages) {
  for (const Message& message : messages) {
    this->transport.Send(message);
    ++this->counters.messages_sent;
  }
  messages.clear();
}

template <storage::LogStorage S, Transport T, Clock C, StateMachine M>
void ReplicaDriver<S, T, C, M>::PublishStatus() {
  ReplicaStatus current = this->replica->Status();
  if (this->stopped) {
    current.role = Role::kFollower;
    current.leader = ReplicaId();
    current.quorum_confirmed_at.reset();
  }
  const std::scoped_lock lock(this->mutex);
  this->status = {std::move(current), this->applied, this->stopped, this->counters};
}

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_REPLICA_DRIVER_INL_H_
