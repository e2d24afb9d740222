#include <algorithm>
#include <utility>

#include "masticrill/consensus/codec.h"
#include "masticrill/consensus/replica.h"

/// The follower's log.
namespace masticrill::consensus {
namespace {

std::optional<Membership> TryDecodeMembership(const std::string& encoded) {
  return HandleErrors(
      [&]() -> Result<std::optional<Membership>> {
        BOOST_LEAF_AUTO(membership, DecodeMembership(encoded));
        return std::optional<Membership>(std::move(membership));
      },
      [](const Error&) { return std::optional<Membership>(); });
}

/// Whether the entries follow on the index without a gap and can all be taken.
bool AreSound(Index prev_index, const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    ++prev_index;
    const bool readable =
        entry.kind != EntryKind::kMembership || TryDecodeMembership(entry.payload);
    if (entry.index != prev_index || entry.kind > EntryKind::kMembership || !readable) {
      return false;
    }
  }
  return true;
}

}  // namespace

void Replica::FollowLeader(const Message& message) {
  if (this->role != Role::kFollower || this->leader != message.from) {
    this->BecomeFollower(message.term, message.from);
  }
  if (this->incoming && this->incoming->leader_term != message.term) {
    // Two leaders may encode the same state differently.
    this->incoming.reset();
  }
  this->heard_leader_at = this->now;
  this->ResetElectionDeadline();
}

void Replica::Handle(const Message& message, AppendRequest& request) {
  this->FollowLeader(message);
  if (!AreSound(request.prev_index, request.entries)) {
    return;
  }
  // Entries up to the commit index equal the leader's, also those that were compacted.
  const bool known = request.prev_index <= this->commit ||
                     this->log.TermAt(request.prev_index) == request.prev_term;
  if (!known) {
    const Index hint = this->ConflictHint(request.prev_index);
    this->SendAfterSync(message.from, AppendResponse{false, hint, request.round});
    return;
  }
  const Index matched = request.prev_index + request.entries.size();
  this->AppendAsFollower(request.prev_index, request.entries);
  this->commit = std::max(this->commit, std::min(request.commit, matched));
  this->SendAfterSync(message.from,
                      AppendResponse{true, std::max(matched, this->commit), request.round});
}

/// Takes the entries that are not in the log and drops those that conflict with them.
void Replica::AppendAsFollower(Index index, std::vector<LogEntry>& entries) {
  for (LogEntry& entry : entries) {
    ++index;
    const bool present = index <= this->commit || this->log.TermAt(index) == entry.term;
    if (present) {
      continue;
    }
    if (index <= this->log.LastIndex()) {
      this->log.Truncate(index);
      this->TruncateMemberships(index);
      this->persisted_index = std::min(this->persisted_index, index - 1);
    }
    if (entry.kind == EntryKind::kMembership) {
      this->PushMembership(index, TryDecodeMembership(entry.payload).value_or(Membership()));
    }
    this->output.durable.MarkLog(index);
    this->log.Append(std::move(entry));
  }
}

/// The highest index below the given one at which the log may equal the leader's.
Index Replica::ConflictHint(Index prev_index) const {
  const std::optional<Term> term = this->log.TermAt(prev_index);
  if (!term) {
    return this->log.LastIndex();
  }
  Index hint = prev_index - 1;
  while (hint > this->commit && this->log.TermAt(hint) == term) {
    --hint;
  }
  return hint;
}

void Replica::Handle(const Message& message, SnapshotRequest& request) {
  this->FollowLeader(message);
  if (request.index <= this->commit) {
    this->SendAfterSync(message.from,
                        SnapshotResponse{request.index, request.round, request.total_bytes, true});
    return;
  }
  const bool continues = this->incoming && this->incoming->index == request.index &&
                         this->incoming->term == request.snapshot_term;
  if (!continues) {
    this->incoming = IncomingSnapshot{request.index, request.snapshot_term, message.term, ""};
  }
  std::string& data = this->incoming->data;
  if (request.offset == data.size()) {
    data += request.part;
  }
  const bool complete = data.size() >= request.total_bytes;
  SnapshotResponse response{request.index, request.round, data.size(), false};
  if (complete) {
    const std::optional<Membership> membership = TryDecodeMembership(request.membership);
    IncomingSnapshot received = std::move(*this->incoming);
    this->incoming.reset();
    if (!membership || received.data.size() != request.total_bytes) {
      return;
    }
    this->InstallSnapshot(std::move(received), *membership, request.membership);
    response.installed = true;
  }
  this->SendAfterSync(message.from, response);
}

void Replica::InstallSnapshot(IncomingSnapshot received, const Membership& membership,
                              const std::string& encoded) {
  const Index index = received.index;
  const bool keeps_suffix = this->log.TermAt(index) == received.term;
  this->snapshot = std::make_shared<const Snapshot>(
      Snapshot{index, received.term, encoded, std::move(received.data)});
  std::vector<MembershipAt> kept = {{index, membership}};
  if (keeps_suffix) {
    std::copy_if(this->memberships.begin(), this->memberships.end(), std::back_inserter(kept),
                 [index](const MembershipAt& entry) { return entry.index > index; });
    this->log.Compact(index);
  } else {
    this->log = RaftLog(index, received.term);
    this->output.durable.MarkLog(index);
    this->persisted_index = index;
  }
  this->memberships = std::move(kept);
  this->commit = index;
  this->output.durable.snapshot = true;
  this->output.durable.compact_to = index;
  this->output.snapshot_installed = true;
}

}  // namespace masticrill::consensus
