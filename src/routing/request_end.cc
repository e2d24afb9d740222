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
      return "No allowed upstream can take the request now. Try again after Retry-After.";
    case RefusalKind::kNoLease:
      return "The configuration in force is not known here. Try again after Retry-After.";
    case RefusalKind::kDeadlineExceeded:
      return "The deadline passed. Allow more time with X-Request-Timeout-Ms.";
    case RefusalKind::kUpstreamFailed:
      return "The upstream failed and no retry was allowed. Try again after Retry-After.";
    case RefusalKind::kAnswerInterrupted:
      return "The answer broke off and could not be resumed. Send the request again.";
    case RefusalKind::kOutcomeUnknown:
      return "The request was handed over and its end is unknown. Ask for its outcome under the "
             "same Idempotency-Key before sending it again.";
    case RefusalKind::kControlUnavailable:
      return "The request cannot be recorded now. Try again after Retry-After.";
    case RefusalKind::kVersionWithdrawn:
      return "The version was withdrawn. Open a new session or name another version.";
    case RefusalKind::kNotAllowed:
      return "The team may not use this version or service. Choose one of GET /v1/models.";
    case RefusalKind::kKeyConflict:
      return "The Idempotency-Key was used with another body. Use a new key.";
    case RefusalKind::kKeyInProgress:
      return "A request with this Idempotency-Key is still running. Wait for its answer.";
    case RefusalKind::kCancelled:
      return "The caller left.";
    default:
      return "The request was refused. Ask an operator, naming its X-Request-Id.";
  }
}

bool WaitingHelps(RefusalKind kind) {
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

Actions RequestStateMachine::GiveUp(TransitionContext& context, TimePoint now, RefusalKind kind,
                                    std::optional<milliseconds> retry_after, std::string message) {
  if (this->AnyRunning()) {
    return {Wait{}};
  }
  if (this->best && !this->stream_started) {
    this->Record(now, CascadeReason::kEscalationFailed);
    return this->GiveAnswer(context, now, this->best->attempt, this->best->step, true);
  }
  return this->EndRefused(context, now, kind, retry_after, std::move(message));
}

Actions RequestStateMachine::GiveAnswer(TransitionContext& context, TimePoint now,
                                        AttemptNumber attempt, std::size_t step, bool degraded) {
  Actions actions;
  if (std::vector<AttemptNumber> losers =
          this->CloseOthers(context, now, attempt, AttemptOutcome::kTimedOut);
      !losers.empty()) {
    actions.emplace_back(CancelAttempts{std::move(losers)});
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
  if (std::vector<AttemptNumber> open = this->CloseOthers(context, now, 0, outcome);
      !open.empty()) {
    actions.emplace_back(CancelAttempts{std::move(open)});
  }
  if (!retry_after && WaitingHelps(kind)) {
    retry_after = this->last_retry_after.value_or(context.settings.default_retry_after);
  }
  this->Record(now, kind);
  this->ended = true;
  actions.emplace_back(Refuse{
      {kind, execution, message.empty() ? MessageFor(kind) : std::move(message), retry_after}});
  return actions;
}

std::vector<AttemptNumber> RequestStateMachine::CloseOthers(TransitionContext& context,
                                                            TimePoint now, AttemptNumber kept,
                                                            AttemptOutcome outcome) {
  const TimePoint kept_since = kept == 0 ? TimePoint::max() : this->attempts[kept - 1].dispatched;
  std::vector<AttemptNumber> cancelled;
  for (Attempt& attempt : this->attempts) {
    const bool open = attempt.state == AttemptState::kDispatched ||
                      attempt.state == AttemptState::kStarted ||
                      attempt.state == AttemptState::kStreaming;
    if (attempt.number == kept || !open) {
      continue;
    }
    // Only an attempt that was silent for longer than the kept one is held against its upstream.
    const bool silent = attempt.state == AttemptState::kStarted && attempt.dispatched < kept_since;
    this->Report(context, attempt, {.outcome = silent ? outcome : AttemptOutcome::kCancelled}, now);
    // A call that may not be repeated runs to its recorded end.
    const bool cancel = this->traits.Repeatable() || attempt.state == AttemptState::kDispatched;
    attempt.state = AttemptState::kOver;
    if (cancel) {
      cancelled.push_back(attempt.number);
    }
  }
  return cancelled;
}

void RequestStateMachine::Report(TransitionContext& context, Attempt& attempt,
                                 AttemptResult measured, TimePoint now) {
  if (attempt.reported) {
    return;
  }
  attempt.reported = true;
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
