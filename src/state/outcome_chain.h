#ifndef MASTICRILL_STATE_OUTCOME_CHAIN_H_
#define MASTICRILL_STATE_OUTCOME_CHAIN_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "masticrill/state/records.h"

namespace masticrill::state {

/// The outcome log: its last records, the hash that chains them to the earlier records, and the
/// totals of all records. Not thread-safe.
class OutcomeChain {
 public:
  OutcomeChain();

  /// Appends a record and drops the oldest records beyond `max_retained`.
  void Append(const Record& record, std::uint64_t max_retained);

  const ChainPoint& Head() const { return this->head; }
  const ChainTotals& Totals() const { return this->totals; }
  std::size_t RetainedSize() const { return this->retained.size(); }
  std::vector<ChainedRecord> RecordsAfter(std::uint64_t sequence, std::size_t limit) const;
  /// The retained billing line of a request, or null.
  const ChargeLine* FindCharge(const RequestId& request) const;
  /// Returns the retained records of a request as human-readable lines.
  std::vector<std::string> Explain(const RequestId& request) const;
  /// Checks the retained records against the hashes and the totals.
  ChainVerdict Verify() const;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(this->anchor, this->anchor_totals, this->head, this->totals);
    archive(static_cast<std::uint64_t>(this->retained.size()));
    for (const ChainedRecord& record : this->retained) {
      archive(record.sequence, record.record, record.hash);
    }
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint64_t count = 0;
    archive(this->anchor, this->anchor_totals, this->head, this->totals, count);
    for (std::uint64_t i = 0; i < count; ++i) {
      ChainedRecord record;
      archive(record.sequence, record.record, record.hash);
      this->retained.push_back(std::move(record));
    }
  }

 private:
  /// The record before the oldest retained one, and the totals up to it.
  ChainPoint anchor;
  ChainTotals anchor_totals;
  ChainPoint head;
  ChainTotals totals;
  std::deque<ChainedRecord> retained;
};

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_OUTCOME_CHAIN_H_
