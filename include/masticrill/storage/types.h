#ifndef MASTICRILL_STORAGE_TYPES_H_
#define MASTICRILL_STORAGE_TYPES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "masticrill/common/name.h"

/// The durable state of one replica of the replicated log.
namespace masticrill::storage {

/// The position of an entry in the log. The first entry has 1; 0 means none.
using Index = std::uint64_t;
/// The number of a leader's term. The first term has 1; 0 means none.
using Term = std::uint64_t;
/// The random identity of a data folder, created when the folder is empty and lost with it.
using DataFolderId = Name<struct ReplicaIdentityTag>;

/// A replica: a node together with the identity of its data folder. A node that lost its disk
/// rejoins as another replica.
struct ReplicaId {
  NodeId node;
  DataFolderId identity;

  bool Empty() const { return this->node.Empty(); }

  friend auto operator<=>(const ReplicaId&, const ReplicaId&) = default;  // NOLINT

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->identity);
  }
};

enum class EntryKind : std::uint8_t {
  kNoOp,        // The first entry of a leader's term.
  kCommand,     // A command of the state machine.
  kMembership,  // An encoded consensus::Membership.
};

struct LogEntry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->term, this->kind, this->payload);
  }
};

/// The state that must be durable before a replica answers in a term.
struct HardState {
  Term term = 0;
  /// The replica that got this replica's vote in the term; empty when none.
  ReplicaId vote;

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// The state machine after the entry at `index`. It replaces the log up to that entry.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  /// The encoded consensus::Membership in force at `index`.
  std::string membership;
  std::string data;

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// The state that a replica loads from its disk when it starts.
struct StoredState {
  DataFolderId identity;
  /// Whether this load created the identity.
  bool is_new = false;
  HardState hard_state;
  /// Null when no snapshot was saved.
  SnapshotPtr snapshot;
  /// The entries after the snapshot, or from an earlier point on, without a gap.
  std::vector<LogEntry> entries;
};

}  // namespace masticrill::storage

#endif  // MASTICRILL_STORAGE_TYPES_H_
