#include "masticrill/consensus/raft_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticrill::consensus {

RaftLog::RaftLog(Index base_index, Term base_term) : base_index(base_index), base_term(base_term) {}

RaftLog::RaftLog(const SnapshotPtr& snapshot, std::vector<LogEntry> entries)
    : base_index(snapshot ? snapshot->index : 0), base_term(snapshot ? snapshot->term : 0) {
  if (entries.empty() || entries.back().index <= this->base_index) {
    return;
  }
  auto first = entries.begin();
  if (first->index <= this->base_index) {
    // The first retained entry gives the term at the base, which the snapshot knows only for its
    // own index.
    this->base_index = first->index;
    this->base_term = first->term;
    ++first;
  }
  this->entries.assign(std::make_move_iterator(first), std::make_move_iterator(entries.end()));
}

Term RaftLog::LastTerm() const {
  return this->entries.empty() ? this->base_term : this->entries.back().term;
}

std::optional<Term> RaftLog::TermAt(Index index) const {
  if (index == this->base_index) {
    return this->base_term;
  }
  if (index < this->base_index || index > this->LastIndex()) {
    return std::nullopt;
  }
  return this->At(index).term;
}

const LogEntry& RaftLog::At(Index index) const {
  return this->entries.at(index - this->base_index - 1);
}

std::vector<LogEntry> RaftLog::Slice(Index first, std::size_t max_entries,
                                     std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (Index index = first; index <= this->LastIndex() && slice.size() < max_entries; ++index) {
    const LogEntry& entry = this->At(index);
    bytes += entry.payload.size();
    if (!slice.empty() && bytes > max_bytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

std::vector<LogEntry> RaftLog::Suffix(Index first) const {
  if (first > this->LastIndex()) {
    return {};
  }
  const auto offset = static_cast<std::ptrdiff_t>(first - this->base_index - 1);
  return {this->entries.begin() + offset, this->entries.end()};
}

void RaftLog::Append(LogEntry entry) { this->entries.push_back(std::move(entry)); }

void RaftLog::Truncate(Index first) {
  while (this->LastIndex() >= first && !this->entries.empty()) {
    this->entries.pop_back();
  }
}

void RaftLog::Compact(Index last) {
  while (this->base_index < last && !this->entries.empty()) {
    this->base_term = this->entries.front().term;
    this->base_index = this->entries.front().index;
    this->entries.pop_front();
  }
}

}  // namespace masticrill::consensus
