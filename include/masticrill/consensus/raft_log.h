#ifndef MASTICRILL_CONSENSUS_RAFT_LOG_H_
#define MASTICRILL_CONSENSUS_RAFT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "masticrill/consensus/membership.h"

namespace masticrill::consensus {

/// The part of the log that a replica keeps in memory, from `BaseIndex() + 1` to `LastIndex()`.
/// One thread uses it.
class RaftLog {
 public:
  /// An empty log that goes on after the given entry.
  RaftLog(Index base_index, Term base_term);
  /// The log as loaded: entries without a gap, which the snapshot, when there is one, may overlap.
  RaftLog(const SnapshotPtr& snapshot, std::vector<LogEntry> entries);

  Index BaseIndex() const { return this->base_index; }
  Index LastIndex() const { return this->base_index + this->entries.size(); }
  Term LastTerm() const;
  /// The term of the entry, or nothing when the log does not have it.
  std::optional<Term> TermAt(Index index) const;
  /// The entry, which the log must have.
  const LogEntry& At(Index index) const;
  /// Copies entries from `first` on, at least one, up to the limits.
  std::vector<LogEntry> Slice(Index first, std::size_t max_entries, std::size_t max_bytes) const;
  /// Copies the entries from `first` to the last.
  std::vector<LogEntry> Suffix(Index first) const;

  void Append(LogEntry entry);
  /// Removes the entries from `first` on.
  void Truncate(Index first);
  /// Forgets the entries up to `last`.
  void Compact(Index last);

 private:
  Index base_index;
  Term base_term;
  std::deque<LogEntry> entries;
};

}  // namespace masticrill::consensus

#endif  // MASTICRILL_CONSENSUS_RAFT_LOG_H_
