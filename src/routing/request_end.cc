#include <string>
#include <utility>

#include "masticrill/routing/request_state_machine.h"

namespace masticrill::routing {
namespace {

std::string MessageFor(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kOverloaded:
      return "Every allowed upstream is full. Try again after Retry-After.";
    case RefusalKind::kNoUpstream:
      return "No allowed upstream is available now. Try again after Retry-After.";
    case RefusalKind::kNoLease:
      return "This node has no valid configuration lease. Try again after Retry-After.";
    case RefusalKind::kDeadlineExceeded:
      return "The deadline passed. Allow more time with X-Request-Timeout-Ms.";
    case RefusalKind::kUpstreamFailed:
      return "The upstream failed and no retry was allowed. Try again after Retry-After.";
    case RefusalKind::kAnswerInterrupted:
      return "The answer was interrupted and could not be resumed. Send the request again.";
    case RefusalKind::kOutcomeUnknown:
      return "The request was sent to an upstream and its outcome is unknown. Query the outcome "
             "under "
             "the same Idempotency-Key before sending it again.";
    case RefusalKind::kControlUnavailable:
      return "The control group cannot record the request now. Try again after Retry-After.";
    case RefusalKind::kVersionWithdrawn:
      return "The version was withdrawn. Open a new session or name another version.";
    case RefusalKind::kNotAllowed:
      return "The team may not use this version or service. Choose one of GET /v1/models.";
    case RefusalKind::kKeyConflict:
      return "The Idempotency-Key was used with another body. Use a new key.";
    case RefusalKind::kKeyInProgress:
      return "A request with this Idempotency-Key is still running. Wait for its answer.";
    case RefusalKind::kCancelled:
      return "The caller disconnected before the answer.";
    default:
      return "The request was refused. Ask an operator, naming its X-Request-Id.";
  }
}

bool RetryMayHelp(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kOverloaded:
    case RefusalKind::kNoUpstream:
    case RefusalKind::kNoLease:
    case RefusalKind::kUpstreamFailed:
    case RefusalKind::kControlUnavailable:
      return true;
    default:
      return false;
  }
}

}  // namespace

Actions RequestStateMachine::EndFailed(TransitionContext& context, TimePoint now, RefusalKind kind,
                                       std::optional<milliseconds> retry_after,
                                       std::string message) {
  if (this->AnyRunning()) {
    return {Wait{}};
  }
  if (this->best_answer && !this->stream_started) {
    this->Record(now, CascadeReason::kEscalationFailed);
    return this->EndAnswered(context, now, this->best_answer->attempt, this->best_answer->step,
                             true);
  }
  return this->EndRefused(context, now, kind, retry_after, std::move(message));
}

Actions RequestStateMachine::EndAnswered(TransitionContext& context, TimePoint now,
                                         AttemptNumber attempt, std::size_t step, bool degraded) {
  Actions actions;
  if (std::vector<AttemptNumber> superseded =
          this->CloseOtherAttempts(context, now, attempt, AttemptOutcome::kTimedOut);
      !superseded.empty()) {
    actions.emplace_back(CancelAttempts{std::move(superseded)});
  }
  this->ended = true;
  actions.emplace_back(Answer{attempt, step, degraded});
  return actions;
}

Actions RequestStateMachine::EndRefused(TransitionContext& context, TimePoint now, RefusalKind kind,
                                        std::optional<milliseconds> retry_after,
                                        std::string message) {
  const Execution execution = this->ExecutionSoFar();
  const bool timed_out =
      kind == RefusalKind::kDeadlineExceeded || kind == RefusalKind::kOutcomeUnknown;
  const AttemptOutcome outcome = timed_out ? AttemptOutcome::kTimedOut : AttemptOutcome::kCancelled;
  Actions actions;
  if (std::vector<AttemptNumber> to_cancel = this->CloseOtherAttempts(context, now, 0, outcome);
      !to_cancel.empty()) {
    actions.emplace_back(CancelAttempts{std::move(to_cancel)});
  }
  if (!retry_after && RetryMayHelp(kind)) {
    retry_after = this->last_retry_after.value_or(context.settings.default_retry_after);
  }
  this->Record(now, kind);
  this->ended = true;
  actions.emplace_back(Refuse{
      {kind, execution, message.empty() ? MessageFor(kind) : std::move(message), retry_after}});
  return actions;
}

std::vector<AttemptNumber> RequestStateMachine::CloseOtherAttempts(TransitionContext& context,
                                                                   TimePoint now,
                                                                   AttemptNumber kept,
                                                                   AttemptOutcome outcome) {
  const TimePoint kept_since = kept == 0 ? TimePoint::max() : this->attempts[kept - 1].dispatched;
  std::vector<AttemptNumber> cancelled;
  for (Attempt& attempt : this->attempts) {
    const bool running = attempt.state == AttemptState::kDispatched ||
                         attempt.state == AttemptState::kStarted ||
                         attempt.state == AttemptState::kStreaming;
    if (attempt.number == kept || !running) {
      continue;
    }
    // Only an attempt without a token, dispatched before the kept one, counts against its upstream.
    const bool silent = attempt.state == AttemptState::kStarted && attempt.dispatched < kept_since;
    this->ReportResult(context, attempt, {.outcome = silent ? outcome : AttemptOutcome::kCancelled},
                       now);
    // A request that may not be repeated is not cancelled, so that its outcome is recorded.
    const bool cancel = this->traits.Repeatable() || attempt.state == AttemptState::kDispatched;
    attempt.state = AttemptState::kEnded;
    if (cancel) {
      cancelled.push_back(attempt.number);
    }
  }
  return cancelled;
}

void RequestStateMachine::ReportResult(TransitionContext& context, Attempt& attempt,
                                       AttemptResult measured, TimePoint now) {
  if (attempt.result_reported) {
    return;
  }
  attempt.result_reported = true;
  measured.version = attempt.version.value_or(ModelVersion{});
  measured.request_class = this->traits.request_class;
  measured.first_token = attempt.first_token;
  measured.total = now - attempt.dispatched;
  context.table.OnResult(attempt.upstream, measured, now);
  if (context.evidence != nullptr && attempt.version) {
    context.evidence->Add(*attempt.version, attempt.failure_domain, measured);
  }
}

}  // namespace masticrill::routing
