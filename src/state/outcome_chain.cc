#include "state/outcome_chain.h"

#include <algorithm>
#include <utility>

namespace masticrill::state {
namespace {

const RequestId* RequestOf(const Record& record) {
  if (const auto* outcome = std::get_if<Outcome>(&record)) {
    return &outcome->request;
  }
  if (const auto* line = std::get_if<ChargeLine>(&record)) {
    return &line->request;
  }
  return nullptr;
}

}  // namespace

OutcomeChain::OutcomeChain() : anchor(ChainStart()), head(ChainStart()) {}

void OutcomeChain::Append(const Record& record, std::uint64_t max_retained) {
  ChainedRecord chained{this->head.sequence + 1, record, ChainHash(this->head, record)};
  this->head = {chained.sequence, chained.hash};
  this->totals.Add(record);
  this->retained.push_back(std::move(chained));
  while (this->retained.size() > max_retained) {
    const ChainedRecord& oldest = this->retained.front();
    this->anchor = {oldest.sequence, oldest.hash};
    this->anchor_totals.Add(oldest.record);
    this->retained.pop_front();
  }
}

std::vector<ChainedRecord> OutcomeChain::RecordsAfter(std::uint64_t sequence,
                                                      std::size_t limit) const {
  const std::uint64_t skipped =
      sequence > this->anchor.sequence ? sequence - this->anchor.sequence : 0;
  if (skipped >= this->retained.size()) {
    return {};
  }
  const std::size_t count = std::min<std::size_t>(limit, this->retained.size() - skipped);
  const auto first = this->retained.begin() + static_cast<std::ptrdiff_t>(skipped);
  return {first, first + static_cast<std::ptrdiff_t>(count)};
}

const ChargeLine* OutcomeChain::FindCharge(const RequestId& request) const {
  for (auto record = this->retained.rbegin(); record != this->retained.rend(); ++record) {
    const auto* line = std::get_if<ChargeLine>(&record->record);
    if (line != nullptr && line->request == request) {
      return line;
    }
  }
  return nullptr;
}

std::vector<std::string> OutcomeChain::Explain(const RequestId& request) const {
  std::vector<std::string> lines;
  for (const ChainedRecord& record : this->retained) {
    const RequestId* id = RequestOf(record.record);
    if (id != nullptr && *id == request) {
      lines.push_back(ToLine(record));
    }
  }
  return lines;
}

ChainVerdict OutcomeChain::Verify() const {
  const std::vector<ChainedRecord> records(this->retained.begin(), this->retained.end());
  ChainVerdict verdict = VerifyChain(this->anchor, records, this->head);
  if (!verdict.intact) {
    return verdict;
  }
  ChainTotals sums = this->anchor_totals;
  for (const ChainedRecord& record : records) {
    sums.Add(record.record);
  }
  if (sums != this->totals) {
    return {.intact = false,
            .first_bad_sequence = this->anchor.sequence + 1,
            .message =
                "The totals differ from the sums of the records. Compare with another "
                "control host."};
  }
  return verdict;
}

}  // namespace masticrill::state
