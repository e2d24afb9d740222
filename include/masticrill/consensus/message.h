#ifndef MASTICRILL_CONSENSUS_MESSAGE_H_
#define MASTICRILL_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "masticrill/consensus/membership.h"

namespace masticrill::consensus {

/// A number of a heartbeat round within a leader's term.
using Round = std::uint64_t;
/// Names a read at the replica where it was asked for.
using ReadId = std::uint64_t;

/// A flag takes one byte. Any byte but 0 counts as true.
template <typename Archive>
void SerializeFlag(Archive& archive, bool& flag) {
  std::uint8_t byte = flag ? 1 : 0;
  archive(byte);
  flag = byte != 0;
}

/// Asks whether a vote would be granted in the message's term, without starting that term.
struct PreVoteRequest {
  Index last_index = 0;
  Term last_term = 0;

  friend bool operator==(const PreVoteRequest&, const PreVoteRequest&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->last_index, this->last_term);
  }
};

struct PreVoteResponse {
  bool granted = false;

  friend bool operator==(const PreVoteResponse&, const PreVoteResponse&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, this->granted);
  }
};

struct VoteRequest {
  Index last_index = 0;
  Term last_term = 0;
  /// The current leader asked for this election.
  bool transfer = false;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->last_index, this->last_term);
    SerializeFlag(archive, this->transfer);
  }
};

struct VoteResponse {
  bool granted = false;

  friend bool operator==(const VoteResponse&, const VoteResponse&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, this->granted);
  }
};

/// Entries after `prev_index`; a heartbeat when there are none.
struct AppendRequest {
  Index prev_index = 0;
  Term prev_term = 0;
  Index commit = 0;
  Round round = 0;
  std::vector<LogEntry> entries = {};

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->prev_index, this->prev_term, this->commit, this->round, this->entries);
  }
};

struct AppendResponse {
  bool success = false;
  /// On success the last index known to equal the leader's log; otherwise the highest index that
  /// may still be equal.
  Index index = 0;
  /// The round of the request that this answers.
  Round round = 0;

  friend bool operator==(const AppendResponse&, const AppendResponse&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, this->success);
    archive(this->index, this->round);
  }
};

/// A part of the leader's snapshot.
struct SnapshotRequest {
  Index index = 0;
  Term snapshot_term = 0;
  Round round = 0;
  std::string membership;
  std::uint64_t offset = 0;
  std::uint64_t total_bytes = 0;
  std::string part;

  friend bool operator==(const SnapshotRequest&, const SnapshotRequest&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->snapshot_term, this->round, this->membership, this->offset,
            this->total_bytes, this->part);
  }
};

struct SnapshotResponse {
  Index index = 0;
  Round round = 0;
  /// The bytes received so far.
  std::uint64_t offset = 0;
  bool installed = false;

  friend bool operator==(const SnapshotResponse&, const SnapshotResponse&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->round, this->offset);
    SerializeFlag(archive, this->installed);
  }
};

/// The leader asks its successor to start an election at once.
struct TransferRequest {
  friend bool operator==(const TransferRequest&, const TransferRequest&) = default;
  template <typename Archive>
  void serialize(Archive&) {}
};

/// A follower asks for the commit index, confirmed by a quorum after the request arrived.
struct ReadRequest {
  ReadId read = 0;

  friend bool operator==(const ReadRequest&, const ReadRequest&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->read);
  }
};

struct ReadResponse {
  ReadId read = 0;
  bool confirmed = false;
  Index index = 0;

  friend bool operator==(const ReadResponse&, const ReadResponse&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->read, this->index);
    SerializeFlag(archive, this->confirmed);
  }
};

using MessageBody = std::variant<PreVoteRequest, PreVoteResponse, VoteRequest, VoteResponse,
                                 AppendRequest, AppendResponse, SnapshotRequest, SnapshotResponse,
                                 TransferRequest, ReadRequest, ReadResponse>;

/// A message from one replica to another. A replica ignores one for another identity of its node.
struct Message {
  ReplicaId from;
  ReplicaId to;
  Term term = 0;
  MessageBody body;

  friend bool operator==(const Message&, const Message&) = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->to, this->term, this->body);
  }
};

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_MESSAGE_H_
