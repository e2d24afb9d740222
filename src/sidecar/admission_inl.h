#ifndef MASTICRILL_SIDECAR_ADMISSION_INL_H_
#define MASTICRILL_SIDECAR_ADMISSION_INL_H_

#include <algorithm>
#include <utility>

#include "masticrill/sidecar/admission.h"
#include "sidecar/admission_decisions_inl.h"

namespace masticrill::sidecar {

template <PermissionCheck Check, LimitPolicy Policy>
BasicAdmission<Check, Policy>::BasicAdmission(IncarnationId process,
                                              const AdmissionOptions& options, TimePoint now,
                                              const Check& check, const Policy& policy)
    : options(options),
      gate(check),
      registry(std::move(process), options.registry, now),
      receipts(options.receipts),
      queue(options.queue),
      control(policy, options.ramp, options.baseline, now),
      last_event(now),
      last_scan(now) {}

template <PermissionCheck Check, LimitPolicy Policy>
Decision BasicAdmission<Check, Policy>::Submit(const AttemptSpec& spec, TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  if (spec.attempt.Empty() || spec.version.has_value() == spec.service.has_value()) {
    return this->RefuseNow(spec, RefuseReason::kMalformed, now, this->ProcessQueue(now));
  }
  if (const std::optional<RefuseReason> reason = this->registry.Admit(spec)) {
    return this->RefuseNow(spec, *reason, now, this->ProcessQueue(now));
  }
  const bool direct = this->HasFreeSlot() && this->queue.Size() == 0;
  std::optional<RefuseReason> reason =
      direct ? this->StartRefusalReason(spec, now) : this->QueueRefusalReason(spec, now);
  if (reason) {
    // The attempt was never queued, so no wait made it miss its deadline.
    reason = reason == RefuseReason::kDeadlineExceeded ? RefuseReason::kDeadlineTooShort : reason;
    this->registry.MarkNeverStarted(spec.attempt);
    return this->RefuseNow(spec, *reason, now, this->ProcessQueue(now));
  }
  if (!direct) {
    return this->Enqueue(spec, now);
  }
  this->estimator.OnAccepted(spec, now);
  this->queue.Charge(spec);
  this->Start(spec, now);
  return {DecisionKind::kStart, std::nullopt, std::nullopt, this->ProcessQueue(now)};
}

template <PermissionCheck Check, LimitPolicy Policy>
Decision BasicAdmission<Check, Policy>::Enqueue(const AttemptSpec& spec, TimePoint now) {
  const PushResult pushed = this->queue.Push(spec);
  if (!pushed.accepted) {
    this->registry.MarkNeverStarted(spec.attempt);
    return this->RefuseNow(spec, RefuseReason::kQueueFull, now, this->ProcessQueue(now));
  }
  this->estimator.OnAccepted(spec, now);
  Effects effects = this->ProcessQueue(now);
  if (pushed.displaced) {
    this->registry.MarkNeverStarted(pushed.displaced->attempt);
    effects.refused.push_back(this->Refuse(*pushed.displaced, RefuseReason::kDisplaced, now));
  }
  // Slots may have become free since the last event; the new attempt itself may have started.
  if (std::erase(effects.start, spec.attempt) > 0) {
    return {DecisionKind::kStart, std::nullopt, std::nullopt, std::move(effects)};
  }
  const auto refused = std::find_if(
      effects.refused.begin(), effects.refused.end(),
      [&](const RefusedAttempt& candidate) { return candidate.attempt == spec.attempt; });
  if (refused == effects.refused.end()) {
    return {DecisionKind::kQueued, std::nullopt, std::nullopt, std::move(effects)};
  }
  const RefusedAttempt own = *refused;
  effects.refused.erase(refused);
  return {DecisionKind::kRefuse, own.reason, own.retry_after, std::move(effects)};
}

template <PermissionCheck Check, LimitPolicy Policy>
Decision BasicAdmission<Check, Policy>::ConfirmStart(const AttemptId& attempt,
                                                     TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  const auto it = this->running.find(attempt);
  if (it == this->running.end()) {
    return {DecisionKind::kRefuse, RefuseReason::kCancelled, std::nullopt, this->ProcessQueue(now)};
  }
  RunningAttempt& started = it->second;
  if (started.confirmed) {
    return {DecisionKind::kRefuse, RefuseReason::kDuplicate, std::nullopt, this->ProcessQueue(now)};
  }
  std::optional<RefuseReason> reason = this->gate.CheckAttempt(started.spec, now);
  if (!reason && now >= started.spec.deadline) {
    reason = RefuseReason::kDeadlineExceeded;
  }
  if (!reason) {
    started.confirmed = true;
    return {DecisionKind::kStart, std::nullopt, std::nullopt, this->ProcessQueue(now)};
  }
  const AttemptSpec spec = started.spec;
  this->running.erase(it);
  this->receipts.CancelReservation();
  this->registry.MarkNeverStarted(attempt);
  Effects effects = this->ProcessQueue(now);
  return this->RefuseNow(spec, *reason, now, std::move(effects));
}

template <PermissionCheck Check, LimitPolicy Policy>
void BasicAdmission<Check, Policy>::OnFirstToken(const AttemptId& attempt, TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  if (const auto it = this->running.find(attempt); it != this->running.end()) {
    const double share = this->estimator.DeadlineShare(it->second.spec);
    this->control.OnFirstToken(it->second, share, now);
  }
}

template <PermissionCheck Check, LimitPolicy Policy>
Effects BasicAdmission<Check, Policy>::OnFinished(const AttemptId& attempt,
                                                  const Completion& completion,
                                                  TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  this->End(attempt, completion, now);
  return this->ProcessQueue(now);
}

template <PermissionCheck Check, LimitPolicy Policy>
Effects BasicAdmission<Check, Policy>::OnCancel(const AttemptId& attempt, std::uint64_t tokens,
                                                TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  if (this->queue.Remove(attempt)) {
    this->registry.MarkNeverStarted(attempt);
    this->refusals.Add(RefuseReason::kCancelled);
    return this->ProcessQueue(now);
  }
  const auto it = this->running.find(attempt);
  if (it != this->running.end() && !it->second.spec.at_most_once) {
    this->End(attempt, Completion{EngineOutcome::kCancelled, tokens, {}}, now);
  }
  return this->ProcessQueue(now);
}

template <PermissionCheck Check, LimitPolicy Policy>
Effects BasicAdmission<Check, Policy>::OnTick(TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  for (auto& [name, attempt] : this->running) {
    this->control.CheckSlow(attempt, now);
  }
  return this->ProcessQueue(now);
}

template <PermissionCheck Check, LimitPolicy Policy>
Effects BasicAdmission<Check, Policy>::OnConfiguration(config::ConfigurationPtr configuration,
                                                       const UpstreamId& self,
                                                       TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  const config::ConfigurationPtr adopted = configuration;
  if (!this->gate.OnConfiguration(std::move(configuration), self)) {
    return this->ProcessQueue(now);
  }
  if (const auto upstream = adopted->upstreams.find(self); upstream != adopted->upstreams.end()) {
    this->control.SetMaximum(upstream->second.max_concurrency);
  }
  Effects effects;
  this->RefuseQueued([&](const AttemptSpec& spec) { return this->gate.CheckAttempt(spec, now); },
                     now, effects);
  this->StartQueued(now, effects);
  return effects;
}

template <PermissionCheck Check, LimitPolicy Policy>
Effects BasicAdmission<Check, Policy>::OnLease(TimePoint valid_until, TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  this->gate.OnLease(valid_until);
  return this->ProcessQueue(now);
}

template <PermissionCheck Check, LimitPolicy Policy>
Effects BasicAdmission<Check, Policy>::OnEngineStart(WallTimeMs start, TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  this->control.OnEngineStart(start, now);
  return this->ProcessQueue(now);
}

template <PermissionCheck Check, LimitPolicy Policy>
Effects BasicAdmission<Check, Policy>::BeginDrain(TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  this->gate.BeginDrain();
  return this->ProcessQueue(now);
}

template <PermissionCheck Check, LimitPolicy Policy>
bool BasicAdmission<Check, Policy>::Drained() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.Draining() && this->running.empty();
}

template <PermissionCheck Check, LimitPolicy Policy>
FenceDecision BasicAdmission<Check, Policy>::Fence(const FenceRequest& request,
                                                   TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->Advance(event_time);
  FenceDecision decision;
  decision.result = this->registry.Fence(request);
  if (decision.result.state == FenceState::kNeverStartedNowFenced &&
      this->queue.Remove(request.attempt)) {
    this->refusals.Add(RefuseReason::kFenced);
    decision.effects.refused.push_back({request.attempt, RefuseReason::kFenced, std::nullopt});
  }
  Effects processed = this->ProcessQueue(now);
  decision.effects.start = std::move(processed.start);
  std::move(processed.refused.begin(), processed.refused.end(),
            std::back_inserter(decision.effects.refused));
  return decision;
}

template <PermissionCheck Check, LimitPolicy Policy>
std::vector<Receipt> BasicAdmission<Check, Policy>::TakeDueReceipts(std::size_t maximum,
                                                                    TimePoint now) {
  const std::lock_guard lock(this->mutex);
  return this->receipts.TakeDue(maximum, now);
}

template <PermissionCheck Check, LimitPolicy Policy>
void BasicAdmission<Check, Policy>::AcknowledgeReceipt(const AttemptId& attempt) {
  const std::lock_guard lock(this->mutex);
  this->receipts.Acknowledge(attempt);
}

template <PermissionCheck Check, LimitPolicy Policy>
std::size_t BasicAdmission<Check, Policy>::HeldReceipts() const {
  const std::lock_guard lock(this->mutex);
  return this->receipts.Held();
}

template <PermissionCheck Check, LimitPolicy Policy>
LoadReport BasicAdmission<Check, Policy>::Load(TimePoint event_time) {
  const std::lock_guard lock(this->mutex);
  this->Advance(event_time);
  LoadReport report;
  report.in_flight = static_cast<std::uint32_t>(this->running.size());
  for (const RequestClass request_class : kAllRequestClasses) {
    report.queued.at(static_cast<std::size_t>(request_class)) =
        static_cast<std::uint32_t>(this->queue.Size(request_class));
  }
  report.limit = this->control.EffectiveLimit();
  report.cold = this->control.Cold();
  report.draining = this->gate.Draining();
  report.engine_start = this->control.EngineStart();
  report.incarnation = this->registry.Incarnation();
  report.config_number = this->gate.ConfigurationNumber();
  this->load_sequence += 1;
  report.sequence = this->load_sequence;
  return report;
}

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ADMISSION_INL_H_
