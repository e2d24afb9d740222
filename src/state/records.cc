#include "masticrill/state/records.h"

#include "masticrill/common/hash.h"
#include "state/archive.h"

namespace masticrill::state {
namespace {

constexpr std::string_view kChainSeed = "masticrill outcome log, version 1";

std::string_view ToString(OutcomeKind kind) {
  switch (kind) {
    case OutcomeKind::kAnswered:
      return "answered";
    case OutcomeKind::kRefused:
      return "refused";
    case OutcomeKind::kFailed:
      return "failed";
  }
  return "failed";
}

std::string ToText(const ModelVersion& model_version) {
  return model_version.model.Empty()
             ? "-"
             : model_version.model.Value() + "@" + model_version.version.Value();
}

std::string ToText(const TraceStep& step) {
  std::string text = std::to_string(step.step) + ":" + step.reason.Value();
  return step.upstream.Empty() ? text : text + "(" + step.upstream.Value() + ")";
}

std::string Describe(const Outcome& outcome) {
  std::string line = "outcome request=" + outcome.request.Value() +
                     " team=" + outcome.team.Value() +
                     " class=" + std::string(masticrill::ToString(outcome.request_class)) +
                     " end=" + std::string(ToString(outcome.kind));
  if (outcome.kind != OutcomeKind::kAnswered) {
    line += " reason=" + std::string(masticrill::ToString(outcome.refusal)) +
            " not_run=" + std::string(NotRunText(outcome.execution));
  }
  line += " version=" + ToText(outcome.model_version) +
          " attempts=" + std::to_string(outcome.attempts) + " at_ms=" + std::to_string(outcome.at);
  line += " trace=";
  for (const TraceStep& step : outcome.trace) {
    line += (&step == &outcome.trace.front() ? "" : ",") + ToText(step);
  }
  return line;
}

std::string Describe(const ChargeLine& line) {
  return "charge request=" + line.request.Value() + " team=" + line.team.Value() +
         " version=" + ToText(line.model_version) +
         " prompt_tokens=" + std::to_string(line.prompt_tokens) +
         " generated_tokens=" + std::to_string(line.generated_tokens) +
         " cost_micro=" + std::to_string(line.cost) +
         " reporter=" + (line.reporter == ChargeReporter::kEntry ? "entry" : "sidecar");
}

std::string Describe(const EntryLoss& loss) {
  return "entry_loss entry=" + loss.entry.Value() + " incarnation=" + loss.incarnation.Value() +
         " team=" + loss.team.Value() +
         " class=" + std::string(masticrill::ToString(loss.request_class)) +
         " failed=" + std::to_string(loss.requests) + " at_ms=" + std::to_string(loss.at);
}

ChainVerdict BrokenChain(std::uint64_t sequence, const std::string& fault) {
  return {.intact = false,
          .first_bad_sequence = sequence,
          .message = "Record " + std::to_string(sequence) + " " + fault +
                     " Compare with the log of another control host."};
}

}  // namespace

ChainPoint ChainStart() { return {.sequence = 0, .hash = Sha256Hex(kChainSeed)}; }

std::string ChainHash(const ChainPoint& previous, const Record& record) {
  std::string bytes = previous.hash;
  ByteWriter writer(bytes);
  writer(previous.sequence + 1, record);
  return Sha256Hex(bytes);
}

ChainVerdict VerifyChain(const ChainPoint& start, const std::vector<ChainedRecord>& records,
                         const ChainPoint& head) {
  ChainPoint point = start;
  for (const ChainedRecord& record : records) {
    const std::uint64_t expected = point.sequence + 1;
    if (record.sequence != expected) {
      return BrokenChain(expected, "is missing or out of place.");
    }
    if (record.hash != ChainHash(point, record.record)) {
      return BrokenChain(expected, "does not match its hash.");
    }
    point = {record.sequence, record.hash};
  }
  if (point.sequence < head.sequence) {
    return BrokenChain(point.sequence + 1, "is missing at the end.");
  }
  if (point != head) {
    return BrokenChain(head.sequence, "is not the one that the replicated state names as last.");
  }
  return {};
}

std::string ToLine(const ChainedRecord& record) {
  const std::string description =
      std::visit([](const auto& inner) { return Describe(inner); }, record.record);
  return "seq=" + std::to_string(record.sequence) + " " + description;
}

std::uint64_t OutcomeCounts::TotalEnded() const {
  std::uint64_t ended = this->answered + this->failed_entry_lost;
  for (const auto& [kind, count] : this->refused) {
    ended += count;
  }
  for (const auto& [kind, count] : this->failed) {
    ended += count;
  }
  return ended;
}

namespace {

void AddTo(ChainTotals& totals, const Outcome& outcome) {
  OutcomeCounts& counts = totals.outcomes[{outcome.team, outcome.request_class}];
  switch (outcome.kind) {
    case OutcomeKind::kAnswered:
      ++counts.answered;
      return;
    case OutcomeKind::kRefused:
      ++counts.refused[outcome.refusal];
      return;
    case OutcomeKind::kFailed:
      ++counts.failed[outcome.refusal];
      return;
  }
}

void AddTo(ChainTotals& totals, const ChargeLine& line) {
  BillingTotals& sums = totals.billing[{line.team, line.model_version}];
  ++sums.requests;
  sums.prompt_tokens += line.prompt_tokens;
  sums.generated_tokens += line.generated_tokens;
  sums.cost += line.cost;
}

void AddTo(ChainTotals& totals, const EntryLoss& loss) {
  totals.outcomes[{loss.team, loss.request_class}].failed_entry_lost += loss.requests;
}

}  // namespace

void ChainTotals::Add(const Record& record) {
  std::visit([this](const auto& inner) { AddTo(*this, inner); }, record);
}

}  // namespace masticrill::state
