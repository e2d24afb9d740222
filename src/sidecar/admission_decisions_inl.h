#ifndef MASTICRILL_SIDECAR_ADMISSION_DECISIONS_INL_H_
#define MASTICRILL_SIDECAR_ADMISSION_DECISIONS_INL_H_

// Private members of BasicAdmission: which attempts start, which are refused, and the Retry-After.

#include <algorithm>
#include <utility>

#include "masticrill/sidecar/admission.h"

namespace masticrill::sidecar {

template <PermissionCheck Check, LimitPolicy Policy>
TimePoint BasicAdmission<Check, Policy>::Advance(TimePoint now) {
  this->last_event = std::max(this->last_event, now);
  this->registry.Advance(this->last_event);
  return this->last_event;
}

template <PermissionCheck Check, LimitPolicy Policy>
Effects BasicAdmission<Check, Policy>::ProcessQueue(TimePoint now) {
  Effects effects;
  if (const std::optional<RefuseReason> closed = this->gate.CheckNode(now)) {
    this->RefuseQueued([&](const AttemptSpec& /*spec*/) { return closed; }, now, effects);
    return effects;
  }
  this->StartQueued(now, effects);
  if (now - this->last_scan >= this->options.scan_period) {
    this->last_scan = now;
    this->RefuseExpired(now, effects);
  }
  return effects;
}

template <PermissionCheck Check, LimitPolicy Policy>
void BasicAdmission<Check, Policy>::StartQueued(TimePoint now, Effects& effects) {
  while (this->HasFreeSlot()) {
    const std::optional<AttemptSpec> spec = this->queue.Pop();
    if (!spec) {
      return;
    }
    if (const std::optional<RefuseReason> reason = this->StartRefusalReason(*spec, now)) {
      this->registry.MarkNeverStarted(spec->attempt);
      this->queue.CorrectCharge(*spec, 0);
      effects.refused.push_back(this->Refuse(*spec, *reason, now));
      continue;
    }
    this->Start(*spec, now);
    effects.start.push_back(spec->attempt);
  }
}

template <PermissionCheck Check, LimitPolicy Policy>
void BasicAdmission<Check, Policy>::RefuseExpired(TimePoint now, Effects& effects) {
  this->RefuseQueued(
      [&](const AttemptSpec& spec) -> std::optional<RefuseReason> {
        if (this->MissesDeadline(spec, now)) {
          return RefuseReason::kDeadlineExceeded;
        }
        return std::nullopt;
      },
      now, effects);
}

template <PermissionCheck Check, LimitPolicy Policy>
template <typename Reason>
void BasicAdmission<Check, Policy>::RefuseQueued(const Reason& reason_of, TimePoint now,
                                                 Effects& effects) {
  const std::vector<AttemptSpec> removed =
      this->queue.RemoveIf([&](const AttemptSpec& spec) { return reason_of(spec).has_value(); });
  for (const AttemptSpec& spec : removed) {
    this->registry.MarkNeverStarted(spec.attempt);
    effects.refused.push_back(this->Refuse(spec, *reason_of(spec), now));
  }
}

template <PermissionCheck Check, LimitPolicy Policy>
Decision BasicAdmission<Check, Policy>::RefuseNow(const AttemptSpec& spec, RefuseReason reason,
                                                  TimePoint now, Effects effects) {
  const RefusedAttempt refused = this->Refuse(spec, reason, now);
  return {DecisionKind::kRefuse, reason, refused.retry_after, std::move(effects)};
}

template <PermissionCheck Check, LimitPolicy Policy>
RefusedAttempt BasicAdmission<Check, Policy>::Refuse(const AttemptSpec& spec, RefuseReason reason,
                                                     TimePoint now) {
  this->refusals.Add(reason);
  return {spec.attempt, reason, this->RetryAfter(spec, reason, now)};
}

template <PermissionCheck Check, LimitPolicy Policy>
std::optional<RefuseReason> BasicAdmission<Check, Policy>::StartRefusalReason(
    const AttemptSpec& spec, TimePoint now) const {
  if (const std::optional<RefuseReason> reason = this->gate.CheckAttempt(spec, now)) {
    return reason;
  }
  if (this->MissesDeadline(spec, now)) {
    return RefuseReason::kDeadlineExceeded;
  }
  if (!this->receipts.HasCapacity()) {
    return RefuseReason::kReceiptsFull;
  }
  return std::nullopt;
}

template <PermissionCheck Check, LimitPolicy Policy>
bool BasicAdmission<Check, Policy>::MissesDeadline(const AttemptSpec& spec, TimePoint now) const {
  // With few attempts running, the estimate is not used: attempts are then faster than it, and only
  // new attempts can correct it.
  const bool underused = this->running.size() <= this->control.EffectiveLimit() / 2;
  const Duration needed = underused ? Duration::zero() : this->estimator.SafeServiceTime(spec);
  return now + needed >= spec.deadline;
}

template <PermissionCheck Check, LimitPolicy Policy>
std::optional<RefuseReason> BasicAdmission<Check, Policy>::QueueRefusalReason(
    const AttemptSpec& spec, TimePoint now) const {
  if (const std::optional<RefuseReason> reason = this->gate.CheckAttempt(spec, now)) {
    return reason;
  }
  // Uses ServiceTime here, and SafeServiceTime once a slot is free: an attempt that may miss its
  // deadline waits in the queue, so that a less urgent class does not get the slot meanwhile.
  const Duration service = this->estimator.ServiceTime(spec);
  if (now + service >= spec.deadline) {
    return RefuseReason::kDeadlineTooShort;
  }
  if (now + this->ExpectedWait(spec, now) + service >= spec.deadline) {
    return RefuseReason::kQueueTooLong;
  }
  return std::nullopt;
}

template <PermissionCheck Check, LimitPolicy Policy>
Duration BasicAdmission<Check, Policy>::ExpectedWait(const AttemptSpec& spec, TimePoint now) const {
  const std::uint32_t slots = this->control.EffectiveLimit();
  const Duration first_free =
      this->HasFreeSlot() ? Duration::zero() : this->estimator.ServiceTime(spec) / slots;
  return first_free + this->estimator.Wait(spec, this->queue.TokensAhead(spec), slots, now);
}

template <PermissionCheck Check, LimitPolicy Policy>
std::optional<milliseconds> BasicAdmission<Check, Policy>::RetryAfter(const AttemptSpec& spec,
                                                                      RefuseReason reason,
                                                                      TimePoint now) const {
  const auto at_least_1_ms = [](Duration duration) {
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(duration));
  };
  switch (reason) {
    case RefuseReason::kNoLease:
    case RefuseReason::kConfigurationBehind:
      return this->options.lease_retry;
    case RefuseReason::kStopping:
      return this->options.stopping_retry;
    case RefuseReason::kReceiptsFull:
      return at_least_1_ms(this->options.receipts.resend_after);
    case RefuseReason::kRegistryFull:
      return at_least_1_ms(this->registry.NextGenerationStart() - now);
    case RefuseReason::kQueueTooLong: {
      const Duration needed = this->ExpectedWait(spec, now) + this->estimator.ServiceTime(spec);
      return at_least_1_ms(needed - (spec.deadline - now));
    }
    case RefuseReason::kQueueFull:
    case RefuseReason::kDisplaced:
    case RefuseReason::kDeadlineExceeded:
      return at_least_1_ms(this->ExpectedWait(spec, now));
    default:
      return std::nullopt;
  }
}

template <PermissionCheck Check, LimitPolicy Policy>
void BasicAdmission<Check, Policy>::Start(const AttemptSpec& spec, TimePoint now) {
  this->receipts.Reserve();
  this->registry.MarkRunning(spec.attempt);
  const auto in_flight = static_cast<std::uint32_t>(this->running.size() + 1);
  this->running.emplace(spec.attempt, this->control.OnStart(spec, in_flight, now));
}

template <PermissionCheck Check, LimitPolicy Policy>
void BasicAdmission<Check, Policy>::End(const AttemptId& attempt, const Completion& completion,
                                        TimePoint now) {
  const auto it = this->running.find(attempt);
  if (it == this->running.end()) {
    return;
  }
  RunningAttempt ended = std::move(it->second);
  this->running.erase(it);
  const AttemptSpec& spec = ended.spec;
  this->control.OnEnd(ended, completion.outcome, this->estimator.DeadlineShare(spec), now);
  if (completion.outcome == EngineOutcome::kOk) {
    this->estimator.OnCompleted(spec, now - ended.started_at);
  }
  const double used = static_cast<double>(completion.tokens);
  // An attempt that failed stays charged with the expected tokens, unless it used more.
  if (completion.outcome == EngineOutcome::kOk || used > spec.expected_tokens) {
    this->queue.CorrectCharge(spec, used);
  }
  this->registry.MarkDone(spec.attempt, completion);
  this->receipts.Add({spec.attempt, spec.request, spec.team, spec.version, spec.service,
                      completion.tokens, completion.outcome});
}

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ADMISSION_DECISIONS_INL_H_
