#include <algorithm>
#include <utility>

#include "masticrill/consensus/codec.h"
#include "masticrill/consensus/replica.h"

/// Compaction, and the leader's transmission of its snapshot.
namespace masticrill::consensus {

void Replica::Handle(SnapshotTakenEvent& event) {
  const Index previous = this->snapshot ? this->snapshot->index : 0;
  if (event.index <= previous || event.index > this->commit) {
    return;
  }
  const Membership membership = this->MembershipAtIndex(event.index);
  const Term term = this->log.TermAt(event.index).value_or(0);
  this->snapshot = std::make_shared<const Snapshot>(
      Snapshot{event.index, term, EncodeMembership(membership), std::move(event.data)});
  this->output.durable.snapshot = true;
  // What the snapshot replaces is no longer decoded when the replica starts again.
  std::vector<MembershipAt> kept = {{event.index, membership}};
  std::copy_if(this->memberships.begin(), this->memberships.end(), std::back_inserter(kept),
               [&](const MembershipAt& entry) { return entry.index > event.index; });
  this->memberships = std::move(kept);
  if (event.index <= this->options.retained_entries) {
    return;
  }
  const Index last = event.index - this->options.retained_entries;
  if (last > this->log.BaseIndex()) {
    this->log.Compact(last);
    this->output.durable.compact_to = last;
  }
}

void Replica::StartSnapshot(const ReplicaId& peer, Progress& progress) {
  progress.transmission = Transmission::kSnapshot;
  progress.in_flight.clear();
  progress.snapshot = this->snapshot;
  progress.snapshot_offset = 0;
  this->SendSnapshotPart(peer, progress);
}

void Replica::SendSnapshotPart(const ReplicaId& peer, Progress& progress) {
  const Snapshot& sent = *progress.snapshot;
  progress.part_sent_at = this->now;
  this->Send(peer, SnapshotRequest{sent.index, sent.term, this->round, sent.membership,
                                   progress.snapshot_offset, sent.data.size(),
                                   sent.data.substr(progress.snapshot_offset,
                                                    this->options.max_snapshot_part_bytes)});
}

void Replica::Handle(const Message& message, const SnapshotResponse& response) {
  Progress* progress = this->HeardFrom(message, response.round);
  const bool expected = progress != nullptr && progress->transmission == Transmission::kSnapshot &&
                        progress->snapshot->index == response.index;
  if (!expected) {
    return;
  }
  if (response.installed) {
    this->RecordMatch(message.from, *progress, response.index);
    return;
  }
  const bool repeated = response.offset == progress->snapshot_offset;
  if (repeated || response.offset > progress->snapshot->data.size()) {
    return;
  }
  progress->snapshot_offset = response.offset;
  this->SendSnapshotPart(message.from, *progress);
}

}  // namespace masticrill::consensus
