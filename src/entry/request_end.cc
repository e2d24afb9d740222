// The end of a request: its billing, its claim, its last words to the caller, its outcome.

#include <utility>

#include "entry/request_runner.h"
#include "masticrill/config/cost.h"

namespace masticrill::entry {
namespace {

/// The ledger acknowledges within this time, or the answer's end goes out with the charge held both
/// here and at the sidecar.
constexpr milliseconds kChargeTimeout{1000};
constexpr std::size_t kMaxRecordedBytes = std::size_t{64} << 10;
constexpr int kOk = 200;

state::RecordedAnswer Record(const net::HttpAnswer& answer, const std::string& content_type) {
  state::RecordedAnswer recorded;
  recorded.http_status = static_cast<std::uint32_t>(answer.status);
  recorded.content_type = content_type;
  recorded.body_kept = answer.body.size() <= kMaxRecordedBytes;
  if (recorded.body_kept) {
    recorded.body = answer.body;
  }
  return recorded;
}

}  // namespace

void RequestRunner::Perform(const routing::Answer& answer) {
  AttemptAnswer* attempt = this->Find(answer.attempt);
  if (attempt == nullptr) {
    this->GiveRefusal({RefusalKind::kInternal, Execution::kUnknown,
                       "The answer was lost inside the entry. Report it.", std::nullopt});
    return;
  }
  this->labels.version = attempt->Order().version;
  this->labels.degraded = answer.degraded;
  net::HttpAnswer whole{attempt->HttpStatus() == 0 ? kOk : attempt->HttpStatus(),
                        {},
                        std::exchange(attempt->kept, {})};
  this->Bill(*attempt);
  this->SettleClaim(
      state::ClaimResolution::kAnswered,
      Record({whole.status, {}, attempt->given + whole.body}, attempt->ContentType()));
  bool sent = false;
  if (this->responder.Begun()) {
    sent = this->responder.Write(whole.body);
  } else {
    whole.headers = LabelHeaders(this->labels);
    whole.headers.push_back({"Content-Type", attempt->ContentType()});
    sent = this->responder.SendWhole(whole);
  }
  if (sent) {
    this->services.metrics.answered.fetch_add(1);
    this->services.metrics.whole_answer.Record(this->services.clock.Now() -
                                               this->request.traits.received);
    this->NoteOutcome(state::OutcomeKind::kAnswered, RefusalKind::kInternal, Execution::kRan);
  } else {
    this->services.metrics.refusals.Add(RefusalKind::kCancelled);
    this->NoteOutcome(state::OutcomeKind::kFailed, RefusalKind::kCancelled, Execution::kRan);
  }
  this->done = true;
}

void RequestRunner::Perform(const routing::Refuse& refuse) {
  Refusal refusal = refuse.refusal;
  if (refusal.kind == RefusalKind::kOutcomeUnknown && refusal.execution == Execution::kNotRun) {
    // Not this request but an earlier one under the same key may have run.
    refusal.execution = Execution::kUnknown;
  }
  switch (refusal.execution) {
    case Execution::kNotRun:
      this->SettleClaim(state::ClaimResolution::kReleased, {});
      break;
    case Execution::kRan:
    case Execution::kUnknown:
      if (refusal.kind != RefusalKind::kCancelled &&
          refusal.kind != RefusalKind::kDeadlineExceeded) {
        this->SettleClaim(state::ClaimResolution::kOutcomeUnknown, {});
      }
      // Otherwise the attempt may still be running: the claim stays open, and a resend asks the
      // sidecar for its end.
      break;
  }
  this->GiveRefusal(refusal);
}

void RequestRunner::GiveRefusal(const Refusal& refusal) {
  if (this->responder.Begun()) {
    this->responder.Write(RefusalEvent(refusal, this->request.traits.id));
    this->responder.Abort();
  } else {
    this->responder.SendWhole(RefusalAnswer(refusal, this->labels));
  }
  this->services.metrics.refusals.Add(refusal.kind);
  const bool not_run = refusal.execution == Execution::kNotRun;
  this->NoteOutcome(not_run ? state::OutcomeKind::kRefused : state::OutcomeKind::kFailed,
                    refusal.kind, refusal.execution);
  this->done = true;
}

void RequestRunner::GiveReplay(const state::RecordedAnswer& answer) {
  this->labels.replayed = true;
  if (!answer.body_kept) {
    this->GiveRefusal({RefusalKind::kKeyConflict, Execution::kRan,
                       "The request ran before under this key; its answer was too long to keep.",
                       std::nullopt});
    return;
  }
  net::HttpAnswer whole{static_cast<int>(answer.http_status), LabelHeaders(this->labels),
                        answer.body};
  whole.headers.push_back({"Content-Type", answer.content_type});
  this->responder.SendWhole(whole);
  this->services.metrics.answered.fetch_add(1);
  this->NoteOutcome(state::OutcomeKind::kAnswered, RefusalKind::kInternal, Execution::kRan);
  this->done = true;
}

void RequestRunner::SettleClaim(state::ClaimResolution resolution,
                                const state::RecordedAnswer& answer) {
  if (this->claim && this->claim->Held()) {
    this->claim->Resolve(resolution, answer);
  }
}

/// One line for the request, whatever its attempts and steps: the sum of what they cost.
void RequestRunner::Bill(const AttemptAnswer& attempt) {
  state::ChargeLine line;
  line.request = this->request.traits.id;
  line.team = this->request.traits.team;
  if (attempt.Order().version) {
    line.model_version = *attempt.Order().version;
  }
  for (const auto& [number, each] : this->attempts) {
    line.prompt_tokens += each.prompt_tokens;
    line.generated_tokens += each.generated_tokens;
    if (each.Order().version) {
      line.cost +=
          config::CostOf(this->directory->Config(), *each.Order().version, each.generated_tokens);
    }
  }
  line.reporter = state::ChargeReporter::kEntry;
  line.received_at =
      this->services.clock.WallNow() -
      duration_cast<milliseconds>(this->services.clock.Now() - this->request.traits.received)
          .count();
  this->services.metrics.generated_tokens.fetch_add(line.generated_tokens);
  this->receipts_settled = this->services.ledger->Charge(line, kChargeTimeout);
}

void RequestRunner::NoteOutcome(state::OutcomeKind kind, RefusalKind refusal, Execution execution) {
  state::Outcome outcome;
  outcome.request = this->request.traits.id;
  outcome.team = this->request.traits.team;
  outcome.request_class = this->request.traits.request_class;
  if (this->labels.version) {
    outcome.model_version = *this->labels.version;
  }
  outcome.kind = kind;
  outcome.refusal = refusal;
  outcome.execution = execution;
  outcome.attempts = static_cast<std::uint32_t>(this->attempts.size());
  constexpr std::size_t kMaxSteps = 32;
  for (const routing::DecisionRecord& record : this->machine.Trace()) {
    if (outcome.trace.size() == kMaxSteps) {
      break;
    }
    outcome.trace.push_back({state::DecisionReason(std::string(ToString(record.reason))),
                             UpstreamId(record.subject), record.attempt});
  }
  outcome.at = this->services.clock.WallNow();
  this->services.ledger->CountEnded(outcome);
}

void RequestRunner::CountDecisions() {
  for (const routing::DecisionRecord& record : this->machine.Trace()) {
    if (const auto* retry = std::get_if<routing::RetryReason>(&record.reason); retry != nullptr) {
      this->services.metrics.retries.Add(*retry);
    } else if (const auto* choice = std::get_if<routing::ChoiceReason>(&record.reason);
               choice != nullptr) {
      this->services.metrics.choices.Add(*choice);
    } else if (const auto* step = std::get_if<routing::CascadeReason>(&record.reason);
               step != nullptr) {
      this->services.metrics.cascade_steps.Add(*step);
    }
  }
}

/// Tells the sidecars that they need not bill, and drops the exchanges.
void RequestRunner::ReleaseAttempts() {
  for (const auto& [number, attempt] : this->attempts) {
    if (attempt.exchange == nullptr) {
      continue;
    }
    if (this->receipts_settled) {
      attempt.client->Send(*attempt.exchange, net::AcknowledgeReceipts{{attempt.id}});
    }
    attempt.client->Finish(*attempt.exchange);
  }
}

}  // namespace masticrill::entry
