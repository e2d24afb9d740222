#include "state/ledger.h"

#include <algorithm>
#include <utility>

#include "masticrill/common/hash.h"

namespace masticrill::state {
namespace {

constexpr BilledSetLimits kBilledLimits;
/// How long the content of a numbered line is kept to compare repeats with it.
constexpr std::int64_t kCompareWindowMs = 600'000;

/// Hashes what both reporters of one line must agree on.
std::uint64_t Digest(const ChargeLine& line) {
  std::string text = line.team.Value();
  for (const std::string& part :
       {line.model_version.model.Value(), line.model_version.version.Value(),
        std::to_string(line.prompt_tokens), std::to_string(line.generated_tokens),
        std::to_string(line.cost)}) {
    text += '\0' + part;
  }
  return Hash64(text);
}

}  // namespace

ChargeResult Ledger::Apply(const Charge& command, const Limits& limits, WallTimeMs now) {
  const std::uint64_t digest = Digest(command.line);
  if (const ChargeRecord* first = this->charges.Find(command.line.request)) {
    return this->CountRepeat(first->digest == digest);
  }
  const std::optional<NumberedRequest> numbered = ParseNumbered(command.line.request);
  return numbered ? this->BillNumbered(*numbered, command.line, limits, now)
                  : this->BillOther(command.line, limits, now);
}

ChargeResult Ledger::CountRepeat(bool equal) {
  if (equal) {
    ++this->repeated_charges;
    return {ChargeStatus::kRepeated};
  }
  ++this->charge_discrepancies;
  return {ChargeStatus::kDiscrepancy};
}

ChargeResult Ledger::BillNumbered(const NumberedRequest& request, const ChargeLine& line,
                                  const Limits& limits, WallTimeMs now) {
  switch (this->billed.Add(request, kBilledLimits, now)) {
    case BilledVerdict::kAdded:
      break;
    case BilledVerdict::kPresent:
      // Its content is no longer kept for a comparison.
      return this->CountRepeat(true);
    case BilledVerdict::kTooLate:
      ++this->late_charges;
      return {ChargeStatus::kTooLate};
    case BilledVerdict::kFull:
      return {ChargeStatus::kFull};
  }
  if (this->charges.Size() < limits.max_charges / 2) {
    this->charges.Insert(line.request, {Digest(line), now + kCompareWindowMs});
  }
  this->chain.Append(line, limits.max_retained_records);
  return {ChargeStatus::kCharged};
}

ChargeResult Ledger::BillOther(const ChargeLine& line, const Limits& limits, WallTimeMs now) {
  if (line.received_at <= now - limits.charge_window_ms ||
      line.received_at >= now + limits.charge_window_ms) {
    ++this->late_charges;
    return {ChargeStatus::kTooLate};
  }
  if (this->charges.Size() >= limits.max_charges) {
    return {ChargeStatus::kFull};
  }
  // The record outlives the time at which a repeat of this line would be too late.
  const WallTimeMs expires_at = std::max(now, line.received_at) + limits.charge_window_ms;
  this->charges.Insert(line.request, {Digest(line), expires_at});
  this->chain.Append(line, limits.max_retained_records);
  return {ChargeStatus::kCharged};
}

Ledger::Incarnation* Ledger::FindOrAdd(const IncarnationKey& key, const Limits& limits,
                                       WallTimeMs now) {
  if (const auto place = this->incarnations.find(key); place != this->incarnations.end()) {
    return &place->second;
  }
  if (this->incarnations.size() >= limits.max_incarnations) {
    std::erase_if(this->incarnations, [&](const auto& entry) {
      return entry.second.closed && entry.second.closed_at + limits.claim_window_ms <= now;
    });
  }
  if (this->incarnations.size() >= limits.max_incarnations) {
    return nullptr;
  }
  return &this->incarnations[key];
}

std::optional<std::map<TeamClass, Ledger::Counts>> Ledger::Advance(const Incarnation& incarnation,
                                                                   const RecordOutcomes& command) {
  std::map<TeamClass, Counts> counts = incarnation.counts;
  for (const ReceivedCount& reported : command.received) {
    Counts& count = counts[reported.team_class];
    if (reported.received < count.received) {
      return std::nullopt;
    }
    count.received = reported.received;
  }
  for (const Outcome& outcome : command.outcomes) {
    Counts& count = counts[{outcome.team, outcome.request_class}];
    if (++count.ended > count.received) {
      return std::nullopt;
    }
  }
  return counts;
}

ReportResult Ledger::Apply(const RecordOutcomes& command, const Limits& limits, WallTimeMs now) {
  Incarnation* incarnation = this->FindOrAdd({command.entry, command.incarnation}, limits, now);
  if (incarnation == nullptr) {
    return {ReportStatus::kFull, 1, 0};
  }
  if (command.report < incarnation->next_report) {
    return {ReportStatus::kRepeated, incarnation->next_report, 0};
  }
  if (incarnation->closed) {
    return {ReportStatus::kClosed, incarnation->next_report, incarnation->failed};
  }
  if (command.report > incarnation->next_report) {
    return {ReportStatus::kGap, incarnation->next_report, 0};
  }
  auto counts = Advance(*incarnation, command);
  if (!counts) {
    return {ReportStatus::kInconsistent, incarnation->next_report, 0};
  }
  for (const auto& [team_class, count] : *counts) {
    this->received[team_class] += count.received - incarnation->counts[team_class].received;
  }
  incarnation->counts = std::move(*counts);
  ++incarnation->next_report;
  for (const Outcome& outcome : command.outcomes) {
    this->chain.Append(outcome, limits.max_retained_records);
  }
  return {ReportStatus::kRecorded, incarnation->next_report, 0};
}

ReportResult Ledger::Apply(const CloseIncarnation& command, const Limits& limits, WallTimeMs now) {
  Incarnation* incarnation = this->FindOrAdd({command.entry, command.incarnation}, limits, now);
  if (incarnation == nullptr) {
    return {ReportStatus::kFull, 1, 0};
  }
  if (incarnation->closed) {
    return {ReportStatus::kRepeated, incarnation->next_report, incarnation->failed};
  }
  incarnation->closed = true;
  incarnation->closed_at = now;
  for (auto& [team_class, count] : incarnation->counts) {
    const std::uint64_t open = count.received - count.ended;
    if (open == 0) {
      continue;
    }
    count.ended = count.received;
    incarnation->failed += open;
    const EntryLoss loss{
        command.entry, command.incarnation, team_class.team, team_class.request_class,
        open,          command.at};
    this->chain.Append(loss, limits.max_retained_records);
  }
  return {ReportStatus::kClosed, incarnation->next_report, incarnation->failed};
}

LedgerTotals Ledger::Totals() const {
  LedgerTotals totals;
  const ChainTotals& sums = this->chain.Totals();
  for (const auto& [team_class, count] : this->received) {
    RequestBalance& balance = totals.requests[team_class];
    balance.received = count;
    if (const auto ended = sums.outcomes.find(team_class); ended != sums.outcomes.end()) {
      balance.ended = ended->second;
    }
    balance.open = balance.received - balance.ended.Ended();
  }
  totals.billing = sums.billing;
  totals.repeated_charges = this->repeated_charges;
  totals.charge_discrepancies = this->charge_discrepancies;
  totals.late_charges = this->late_charges;
  return totals;
}

ChainVerdict Ledger::Verify() const {
  ChainVerdict verdict = this->chain.Verify();
  if (!verdict.intact) {
    return verdict;
  }
  std::map<TeamClass, std::uint64_t> open;
  for (const auto& [key, incarnation] : this->incarnations) {
    for (const auto& [team_class, count] : incarnation.counts) {
      open[team_class] += count.received - count.ended;
    }
  }
  for (const auto& [team_class, balance] : this->Totals().requests) {
    if (balance.open != open[team_class]) {
      return {.intact = false,
              .first_bad_sequence = this->chain.Head().sequence,
              .message = "The open requests of the team '" + team_class.team.Value() +
                         "' differ from those of its entries. Compare with another control host."};
    }
  }
  return verdict;
}

}  // namespace masticrill::state
