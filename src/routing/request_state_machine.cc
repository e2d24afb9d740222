#include "masticrill/routing/request_state_machine.h"

#include <algorithm>
#include <utility>

namespace masticrill::routing {
namespace {

AttemptOutcome OutcomeOf(AttemptRefusal refusal) {
  switch (refusal) {
    case AttemptRefusal::kUnreachable:
      return AttemptOutcome::kUnreachable;
    case AttemptRefusal::kFull:
    case AttemptRefusal::kDeadline:
      return AttemptOutcome::kRefusedFull;
    case AttemptRefusal::kStopping:
    case AttemptRefusal::kNotAllowed:
    case AttemptRefusal::kWithdrawn:
    case AttemptRefusal::kNoLease:
      break;
  }
  return AttemptOutcome::kRefusedOther;
}

RefusalKind RefusalKindOf(AttemptRefusal refusal) {
  switch (refusal) {
    case AttemptRefusal::kFull:
    case AttemptRefusal::kDeadline:
      return RefusalKind::kOverloaded;
    case AttemptRefusal::kNotAllowed:
      return RefusalKind::kNotAllowed;
    case AttemptRefusal::kWithdrawn:
      return RefusalKind::kVersionWithdrawn;
    case AttemptRefusal::kNoLease:
      return RefusalKind::kNoLease;
    case AttemptRefusal::kUnreachable:
    case AttemptRefusal::kStopping:
      break;
  }
  return RefusalKind::kNoUpstream;
}

}  // namespace

RequestStateMachine::RequestStateMachine(RequestTraits traits) : traits(std::move(traits)) {}

Actions RequestStateMachine::Start(TransitionContext& context, TimePoint now) {
  context.retry_budget.OnRequest();
  if (const std::optional<Refusal> refusal =
          CheckPermission(context.directory.Config(), this->traits)) {
    return this->EndRefused(context, now, refusal->kind, refusal->retry_after, refusal->message);
  }
  if (std::holds_alternative<CascadeTarget>(this->traits.target)) {
    const std::vector<CascadeStep> steps = this->CascadeSteps(context, now);
    const Duration time_left = this->traits.deadline - now;
    // A weak answer of a request that must not run twice cannot be replaced by a stronger one.
    const CascadeDecision decision =
        this->traits.Repeatable()
            ? context.cascades.Begin(this->StatisticsKey(), steps, time_left, context.random)
            : context.cascades.BeginSingleRun(this->StatisticsKey(), steps, time_left);
    this->Record(now, decision.reason);
    this->BeginStep(decision);
  }
  return this->Launch(context, now);
}

Actions RequestStateMachine::OnEvent(TransitionContext& context, const RequestEvent& event,
                                     TimePoint now) {
  if (this->ended) {
    return {};
  }
  return std::visit([&](const auto& kind) { return this->Handle(context, kind, now); }, event);
}

bool RequestStateMachine::MayHandOver(AttemptNumber attempt) const {
  if (this->ended || attempt == 0 || attempt > this->attempts.size()) {
    return false;
  }
  return this->attempts[attempt - 1].state == AttemptState::kDispatched;
}

Execution RequestStateMachine::ExecutionSoFar() const {
  const auto any = [&](auto predicate) {
    return std::any_of(this->attempts.begin(), this->attempts.end(), predicate);
  };
  if (any([](const Attempt& attempt) { return attempt.ran; })) {
    return Execution::kRan;
  }
  const bool unknown = any([](const Attempt& attempt) { return attempt.may_have_run; });
  return unknown ? Execution::kUnknown : Execution::kNotRun;
}

Actions RequestStateMachine::Handle(TransitionContext& context, const AttemptRefused& event,
                                    TimePoint now) {
  Attempt* attempt = this->FindOpenAttempt(event.attempt);
  if (attempt == nullptr || attempt->state == AttemptState::kFencing) {
    return {Wait{}};
  }
  const bool no_connection = event.refusal == AttemptRefusal::kUnreachable;
  if (attempt->ran || (no_connection && attempt->state != AttemptState::kDispatched)) {
    // Neither a refusal after the first token nor a lost connection after the hand-over proves that
    // nothing ran.
    return this->Handle(context, AttemptFailed{event.attempt, AttemptOutcome::kBroken, false}, now);
  }
  attempt->may_have_run = false;
  this->ReportResult(context, *attempt,
                     {.outcome = OutcomeOf(event.refusal), .retry_after = event.retry_after}, now);
  attempt->state = AttemptState::kEnded;
  this->last_retry_after = event.retry_after;
  const RefusalKind kind = RefusalKindOf(event.refusal);
  if (kind == RefusalKind::kNotAllowed || kind == RefusalKind::kVersionWithdrawn) {
    // The sidecar has a newer configuration, and so have the other sidecars: a retry would fail
    // too.
    return this->EndFailed(context, now, kind);
  }
  return this->Retry(context, now, HandOverState::kNever, kind);
}

Actions RequestStateMachine::Handle(TransitionContext& /*context*/, const AttemptStarted& event,
                                    TimePoint /*now*/) {
  if (Attempt* attempt = this->FindOpenAttempt(event.attempt);
      attempt != nullptr && attempt->state == AttemptState::kDispatched) {
    attempt->state = AttemptState::kStarted;
    attempt->may_have_run = true;
  }
  return {Wait{}};
}

Actions RequestStateMachine::Handle(TransitionContext& context, const FirstTokenReceived& event,
                                    TimePoint now) {
  Attempt* attempt = this->FindOpenAttempt(event.attempt);
  const bool expected = attempt != nullptr && (attempt->state == AttemptState::kDispatched ||
                                               attempt->state == AttemptState::kStarted);
  if (!expected) {
    return {Wait{}};
  }
  attempt->state = AttemptState::kStreaming;
  attempt->may_have_run = true;
  attempt->ran = true;
  attempt->first_token = now - attempt->dispatched;
  if (!attempt->streams_to_caller) {
    return {Wait{}};
  }
  this->stream_started = true;
  this->stream_version = attempt->version;
  this->resume_offset.reset();
  const std::vector<AttemptNumber> superseded =
      this->CloseOtherAttempts(context, now, event.attempt, AttemptOutcome::kTimedOut);
  if (superseded.empty()) {
    return {Wait{}};
  }
  return {CancelAttempts{superseded}};
}

Actions RequestStateMachine::Handle(TransitionContext& context, const AttemptFinished& event,
                                    TimePoint now) {
  Attempt* attempt = this->FindOpenAttempt(event.attempt);
  if (attempt == nullptr || attempt->state == AttemptState::kAnswered) {
    return {Wait{}};
  }
  attempt->may_have_run = true;
  attempt->ran = true;
  attempt->state = AttemptState::kAnswered;
  this->ReportResult(context, *attempt,
                     {.outcome = AttemptOutcome::kAnswered, .tokens = event.tokens}, now);
  if (!this->current_step.rate) {
    return this->EndAnswered(context, now, event.attempt, attempt->step,
                             this->current_step.degraded);
  }
  Actions actions;
  if (std::vector<AttemptNumber> superseded =
          this->CloseOtherAttempts(context, now, event.attempt, AttemptOutcome::kTimedOut);
      !superseded.empty()) {
    actions.emplace_back(CancelAttempts{std::move(superseded)});
  }
  const Duration timeout = context.directory.Config().rating.timeout;
  const Duration time_left = std::max(Duration(0), this->traits.deadline - now);
  actions.emplace_back(RequestRating{event.attempt, std::min(timeout, time_left)});
  return actions;
}

Actions RequestStateMachine::Handle(TransitionContext& context, const AttemptFailed& event,
                                    TimePoint now) {
  Attempt* attempt = this->FindOpenAttempt(event.attempt);
  const bool settled = attempt == nullptr || attempt->state == AttemptState::kFencing ||
                       attempt->state == AttemptState::kAnswered;
  if (settled) {
    return {Wait{}};
  }
  const bool never_handed_over =
      attempt->state == AttemptState::kDispatched && event.outcome == AttemptOutcome::kUnreachable;
  attempt->may_have_run = !never_handed_over;
  attempt->ran = attempt->ran || event.answered_error;
  this->ReportResult(context, *attempt, {.outcome = event.outcome}, now);
  attempt->state = AttemptState::kEnded;
  if (never_handed_over) {
    return this->Retry(context, now, HandOverState::kNever, RefusalKind::kNoUpstream);
  }
  if (this->traits.Repeatable()) {
    const RefusalKind cause =
        this->stream_started ? RefusalKind::kAnswerInterrupted : RefusalKind::kUpstreamFailed;
    return this->Retry(context, now, HandOverState::kMayHaveRun, cause);
  }
  if (event.answered_error) {
    this->Record(now, RetryReason::kRefusedMayHaveRun, event.attempt, attempt->upstream.Value());
    return this->EndFailed(context, now, RefusalKind::kUpstreamFailed);
  }
  attempt->state = AttemptState::kFencing;
  return {FenceAttempt{event.attempt, attempt->upstream, Duration(0)}};
}

Actions RequestStateMachine::Handle(TransitionContext& context, const StreamBroken& event,
                                    TimePoint now) {
  Attempt* attempt = this->FindOpenAttempt(event.attempt);
  if (attempt == nullptr || attempt->state == AttemptState::kFencing ||
      attempt->state == AttemptState::kAnswered) {
    return {Wait{}};
  }
  if (this->stream_started && attempt->streams_to_caller && attempt->version) {
    this->resume_offset = event.token_offset;
  }
  attempt->ran = attempt->ran || event.token_offset > 0;
  // The connection existed, so the attempt was handed over even if AttemptStarted was not raised.
  if (attempt->state == AttemptState::kDispatched) {
    attempt->state = AttemptState::kStarted;
  }
  return this->Handle(context, AttemptFailed{event.attempt, AttemptOutcome::kBroken, false}, now);
}

Actions RequestStateMachine::Handle(TransitionContext& context, const FenceResultReceived& event,
                                    TimePoint now) {
  Attempt* attempt = this->FindOpenAttempt(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kFencing) {
    return {Wait{}};
  }
  this->Record(now, event.result, event.attempt, attempt->upstream.Value());
  switch (event.result) {
    case FenceResult::kNeverStarted:
      if (attempt->ran) {
        // Tokens of the attempt were received, so the result of the sidecar is wrong.
        return this->EndFailed(context, now, RefusalKind::kOutcomeUnknown);
      }
      attempt->state = AttemptState::kEnded;
      attempt->may_have_run = false;
      return this->Retry(context, now, HandOverState::kFenced, RefusalKind::kNoUpstream);
    case FenceResult::kDone:
      attempt->ran = true;
      attempt->state = AttemptState::kAnswered;
      return this->EndAnswered(context, now, event.attempt, attempt->step, false);
    case FenceResult::kRunning:
      return {FenceAttempt{event.attempt, attempt->upstream, context.settings.fence_interval}};
    case FenceResult::kUnknownIncarnation:
      break;
  }
  return this->EndFailed(context, now, RefusalKind::kOutcomeUnknown);
}

Actions RequestStateMachine::Handle(TransitionContext& context, const RatingReceived& event,
                                    TimePoint now) {
  Attempt* attempt = this->FindOpenAttempt(event.attempt);
  const auto* target = std::get_if<CascadeTarget>(&this->traits.target);
  const auto& cascades = context.directory.Config().cascades;
  const bool expected = attempt != nullptr && attempt->state == AttemptState::kAnswered;
  if (!expected || target == nullptr) {
    return {Wait{}};
  }
  attempt->state = AttemptState::kEnded;
  const double score = event.rating.outcome == RatingOutcome::kScore ? event.rating.score : 0.0;
  if (!this->best_answer || score > this->best_answer->score) {
    this->best_answer = BestAnswer{event.attempt, attempt->step, score};
  }
  if (event.rating.outcome == RatingOutcome::kScore && context.evidence != nullptr &&
      attempt->version) {
    context.evidence->AddRating(*attempt->version, attempt->failure_domain, score);
  }
  const auto cascade = cascades.find(target->cascade);
  if (cascade == cascades.end()) {
    // A new configuration removed the cascade; the answer was valid under the old configuration.
    return this->EndAnswered(context, now, this->best_answer->attempt, this->best_answer->step,
                             true);
  }
  const CascadeDecision decision = context.cascades.Next(
      this->StatisticsKey(), this->CascadeSteps(context, now), attempt->step, event.rating,
      cascade->second.quality_target, this->traits.deadline - now, context.random);
  this->Record(now, decision.reason, event.attempt);
  if (decision.finish) {
    return this->EndAnswered(context, now, this->best_answer->attempt, this->best_answer->step,
                             decision.degraded);
  }
  this->BeginStep(decision);
  return this->Launch(context, now);
}

Actions RequestStateMachine::Handle(TransitionContext& context, const ClaimRefused& event,
                                    TimePoint now) {
  Attempt* attempt = this->FindOpenAttempt(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kDispatched) {
    return {Wait{}};
  }
  this->ReportResult(context, *attempt, {.outcome = AttemptOutcome::kCancelled}, now);
  attempt->state = AttemptState::kEnded;
  return this->EndFailed(context, now, event.kind);
}

Actions RequestStateMachine::Handle(TransitionContext& context, const HedgeDue& event,
                                    TimePoint now) {
  const Attempt* attempt = this->FindOpenAttempt(event.attempt);
  const bool slow = attempt != nullptr && attempt->state == AttemptState::kStarted;
  const auto started =
      std::count_if(this->attempts.begin(), this->attempts.end(),
                    [](const Attempt& each) { return each.state == AttemptState::kStarted; });
  if (!slow || started != 1 || this->stream_started) {
    return {Wait{}};
  }
  const RetryDecision decision =
      DecideRetry({.repeatable = this->traits.Repeatable(),
                   .hedge = true,
                   .lease_valid = context.lease_valid,
                   .attempts_made = static_cast<std::uint32_t>(this->attempts.size()),
                   .max_attempts = context.settings.max_attempts,
                   .now = now,
                   .deadline = this->traits.deadline},
                  context.retry_budget);
  this->Record(now, decision.reason, event.attempt, attempt->upstream.Value());
  if (!decision.retry) {
    return {Wait{}};
  }
  return this->Launch(context, now, true);
}

Actions RequestStateMachine::Handle(TransitionContext& context, const LeaseLost& /*event*/,
                                    TimePoint now) {
  Actions actions;
  for (Attempt& attempt : this->attempts) {
    if (attempt.state != AttemptState::kDispatched) {
      continue;
    }
    this->ReportResult(context, attempt, {.outcome = AttemptOutcome::kCancelled}, now);
    attempt.state = AttemptState::kEnded;
    actions.emplace_back(CancelAttempts{{attempt.number}});
  }
  if (actions.empty()) {
    return {Wait{}};
  }
  for (Action& action : this->EndFailed(context, now, RefusalKind::kNoLease)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

Actions RequestStateMachine::Handle(TransitionContext& context, const CallerDisconnected& /*event*/,
                                    TimePoint now) {
  return this->EndRefused(context, now, RefusalKind::kCancelled, std::nullopt, {});
}

Actions RequestStateMachine::Handle(TransitionContext& context, const DeadlinePassed& /*event*/,
                                    TimePoint now) {
  const Execution execution = this->ExecutionSoFar();
  const bool unknown = !this->traits.Repeatable() && execution == Execution::kUnknown;
  const RefusalKind kind = unknown ? RefusalKind::kOutcomeUnknown : RefusalKind::kDeadlineExceeded;
  if (this->best_answer && !this->stream_started) {
    this->Record(now, CascadeReason::kEscalationFailed);
    return this->EndAnswered(context, now, this->best_answer->attempt, this->best_answer->step,
                             true);
  }
  return this->EndRefused(context, now, kind, std::nullopt, {});
}

}  // namespace masticrill::routing
