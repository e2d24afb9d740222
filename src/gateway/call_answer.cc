// The part of CallRunner that relays an upstream's answer, or discards it.
#include <utility>

#include "gateway/call_runner.h"
#include "gateway/call_status.h"
#include "masticrill/common/log.h"

namespace masticrill::gateway {
namespace {

constexpr Logger kLog(LogPart::kGateway);
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return status >= kFirstSuccess && status < kFirstRedirect;
}

std::string ContentType(const net::AnswerHead& head) {
  return std::string(head.Header("Content-Type").value_or(""));
}

}  // namespace

/// Records the result of an attempt for the health of its upstream and the evidence on its version.
void CallRunner::RecordVerdict(UpstreamAttempt& attempt, bool good) {
  attempt.SetVerdict(good ? AttemptVerdict::kSuccess : AttemptVerdict::kFailure);
  const ListedUpstream& upstream = attempt.Upstream();
  routing::AttemptResult result;
  result.outcome = good ? routing::AttemptOutcome::kAnswered : routing::AttemptOutcome::kFailed;
  this->context.evidence.Add(VersionOf(upstream), upstream.failure_domain, result);
}

void CallRunner::RecordLostStart(const UpstreamAttempt& attempt) {
  const TimePoint now = this->clock.Now();
  const std::optional<Duration> age =
      attempt.AnswerBegun() ? std::optional(attempt.AnswerAge(now)) : std::nullopt;
  if (!age || *age < this->context.prompts.Settings().survival_time) {
    ++this->context.metrics.early_breaks;
  }
  this->context.prompts.OnLost(attempt.Upstream(), this->parts, age, now);
}

void CallRunner::RecordSurvival(const UpstreamAttempt& attempt, bool is_complete) {
  const TimePoint now = this->clock.Now();
  const Duration age = attempt.AnswerAge(now);
  if (this->survival_recorded ||
      (!is_complete && age < this->context.prompts.Settings().survival_time)) {
    return;
  }
  this->survival_recorded = true;
  this->context.prompts.OnSurvived(this->parts, now - age, now);
}

/// Records the time to the start of an answer as evidence on its version.
void CallRunner::RecordFirstToken(const UpstreamAttempt& attempt) {
  const ListedUpstream& upstream = attempt.Upstream();
  this->context.evidence.AddFirstToken(VersionOf(upstream), upstream.failure_domain, this->Group(),
                                       attempt.AnswerLatency());
}

CallRunner::NextStep CallRunner::OnAnswer(UpstreamAttempt& attempt) {
  const int status = attempt.Head().status;
  this->may_have_run = true;
  this->confidence = attempt.Metadata().confidence;
  const bool failed = status >= kFirstServerError;
  if (failed) {
    this->RecordVerdict(attempt, false);
    // Where a second run is harmless, another upstream may succeed.
    if (this->route->Repeatable() && !this->caller.Begun()) {
      const routing::RetryDecision decision =
          this->TakeRetry(routing::HandOverState::kMayHaveRun, this->attempts);
      this->context.metrics.retries.Add(decision.reason);
      if (decision.retry) {
        kLog.Info("An upstream answered with a server error; retrying elsewhere.",
                  {{"request", this->metadata.request},
                   {"upstream", attempt.Upstream().id},
                   {"status", status}});
        return NextStep::kTryAgain;
      }
    }
  }
  if (this->caller.Begun() && !this->ContinuesStream(attempt.Head())) {
    return this->RetryOrRefuse(attempt, AttemptEnd::kBroken, RefusalKind::kAnswerInterrupted);
  }
  if (IsSuccess(status)) {
    this->context.lateness.Add(this->service, attempt.AnswerLatency(), this->LatenessTarget(),
                               this->clock.Now());
    this->context.patience.OnAnswerStart(this->service);
    this->RecordFirstToken(attempt);
    this->RecordConfidence();
  }
  if (IsSuccess(status) && !this->caller.Begun() && this->context.prompts.MayRetry(this->parts) &&
      this->ShouldEscalate(attempt) && this->PrepareEscalation()) {
    attempt.SetVerdict(AttemptVerdict::kSuccess);
    this->discarded_confidence = attempt.Metadata().confidence;
    this->context.prompts.OnDiscarded(attempt.Upstream(), this->parts, this->clock.Now());
    ++this->context.metrics.escalated;
    return NextStep::kTryAgain;
  }
  if (this->route->kind == RouteKind::kStream && IsSuccess(status)) {
    return this->RelayStream(attempt);
  }
  return this->RelayWhole(attempt);
}

/// The name in the budget under which answers of the request's service are held.
std::string CallRunner::AnswerOwner() const { return "service " + this->service.Value(); }

void CallRunner::LogEndless(const UpstreamAttempt& attempt, std::size_t bytes) const {
  kLog.Warning("An upstream's answer does not end within its share of memory; cut off.",
               {{"request", this->metadata.request},
                {"upstream", attempt.Upstream().id},
                {"service", this->service},
                {"bytes", bytes},
                {"held_bytes", this->context.buffers.HeldBytes()}});
}

/// Records how confident the model is of the answer, for the choice of the model of later requests.
void CallRunner::RecordConfidence() {
  if (this->confidence && this->metadata.any_model && !this->route->models.empty()) {
    this->context.model_confidence.Add(
        this->GroupBySize(), this->route->models.at(this->model_index), *this->confidence);
  }
}

double CallRunner::ConfidenceTarget() const {
  const auto& targets = this->context.settings.confidence_targets;
  return ConfidenceTargetUnderLoad(
      targets.at(std::min<std::size_t>(this->route->rank, targets.size() - 1)),
      LatenessForSecondStep(this->OwnUrgency(), this->Lateness()));
}

/// Whether the answer, of which the caller has received nothing yet, is discarded for a stronger
/// model's.
bool CallRunner::ShouldEscalate(const UpstreamAttempt& attempt) {
  const std::optional<double> confidence = attempt.Metadata().confidence;
  if (!this->metadata.any_model || this->model_index + 1 >= this->route->models.size() ||
      !confidence || *confidence >= this->ConfidenceTarget()) {
    return false;
  }
  const std::chrono::duration<double> expected = this->LatenessTarget() * this->Lateness();
  if (this->OwnUrgency() != Urgency::kAlike &&
      this->clock.Now() + duration_cast<Duration>(expected) > this->LatencyBound(1)) {
    return false;
  }
  // A further run like any other: not for a request that must not run twice.
  return this->TakeRetry(routing::HandOverState::kMayHaveRun, this->attempts).retry;
}

CallRunner::NextStep CallRunner::RelayWhole(UpstreamAttempt& attempt) {
  std::string answer;
  const AttemptTimes times = this->MakeTimes(this->attempts);
  AttemptEnd end = AttemptEnd::kAnswered;
  BufferShare held(this->context.buffers, BufferKind::kAnswerBody, this->AnswerOwner());
  while (end == AttemptEnd::kAnswered && answer.size() <= this->context.settings.max_answer_bytes) {
    std::string part;
    end = attempt.ReadPart(part, this->caller.Socket(), times);
    answer += part;
    if (!held.Resize(answer.capacity())) {
      this->LogEndless(attempt, answer.size());
      end = AttemptEnd::kBroken;
    }
  }
  if (end != AttemptEnd::kFinished) {
    return this->OnEnd(attempt, end == AttemptEnd::kAnswered ? AttemptEnd::kBroken : end);
  }
  const net::AnswerHead& head = attempt.Head();
  if (ImpliesNotRun(head.status)) {
    // The upstream has run the request or does not say, while its status would imply the opposite.
    this->Refuse(RefusalKind::kUpstreamFailed,
                 "The upstream failed the request and may have run it.");
    return NextStep::kStop;
  }
  if (head.status < kFirstServerError) {
    this->RecordVerdict(attempt, true);
  }
  this->RecordSurvival(attempt, true);
  this->first_byte = this->clock.Now() - this->arrived_at;
  this->caller.SendWhole(head.status, net::WithoutConnectionFields(head.headers), answer,
                         this->deadline + kFinalAnswerGrace);
  this->RecordEnd("answered", head.status, "");
  return NextStep::kStop;
}

bool CallRunner::BeginStream(const UpstreamAttempt& attempt) {
  this->stream_begun_at = this->clock.Now();
  this->first_byte = this->stream_begun_at - this->arrived_at;
  const net::AnswerHead& head = attempt.Head();
  this->stream_status = head.status;
  this->stream_type = ContentType(head);
  this->slot.Reach(CallStage::kAnswering);
  return this->caller.Begin(head.status, net::WithoutConnectionFields(head.headers),
                            this->WaitUntil());
}

bool CallRunner::ContinuesStream(const net::AnswerHead& head) const {
  return head.status == this->stream_status && ContentType(head) == this->stream_type;
}

CallRunner::NextStep CallRunner::RelayStream(UpstreamAttempt& attempt) {
  const AttemptTimes times = this->MakeTimes(this->attempts);
  BufferShare held(this->context.buffers, BufferKind::kEvent, this->AnswerOwner());
  this->events.Resume();
  const std::uint64_t events_before = this->events.EventCount();
  while (true) {
    std::string part;
    AttemptEnd end = attempt.ReadPart(part, this->caller.Socket(), times);
    const std::string events_now = this->events.Feed(part);
    const bool has_room = held.Resize(this->events.HeldBytes());
    if (!has_room || this->events.TooLong()) {
      this->LogEndless(attempt, this->events.Pending().size());
    }
    if (!has_room || this->events.TooLong() || this->events.Misplaced()) {
      end = AttemptEnd::kBroken;
    }
    if (!events_now.empty()) {
      if ((!this->caller.Begun() && !this->BeginStream(attempt)) ||
          !this->caller.WritePart(events_now, this->WaitUntil())) {
        return this->OnEnd(attempt, AttemptEnd::kCallerDisconnected);
      }
    }
    if (end == AttemptEnd::kAnswered) {
      this->RecordSurvival(attempt, false);
      continue;
    }
    // A connection that ends before the first event of a resumed stream does not tell its end.
    const bool is_told = !attempt.EndsWithConnection() || this->events.EventCount() > events_before;
    if (end == AttemptEnd::kFinished && is_told && this->events.Pending().empty() &&
        this->caller.Begun()) {
      this->RecordVerdict(attempt, true);
      this->RecordSurvival(attempt, true);
      this->context.pace.Add(this->service, this->events.EventCount(),
                             this->clock.Now() - this->stream_begun_at);
      this->caller.End(this->deadline + kFinalAnswerGrace);
      this->RecordEnd("answered", attempt.Head().status, "");
      return NextStep::kStop;
    }
    if (end == AttemptEnd::kTimeout && this->caller.Begun()) {
      this->context.metrics.refusals.Add(RefusalKind::kDeadlineExceeded);
      this->Cut("deadline_exceeded");
      return NextStep::kStop;
    }
    if (end == AttemptEnd::kFinished) {
      end = AttemptEnd::kBroken;
    }
    if (this->caller.Begun() && (end == AttemptEnd::kBroken || end == AttemptEnd::kSilent)) {
      ++this->context.metrics.resumed;
    }
    return this->OnEnd(attempt, end);
  }
}

}  // namespace masticrill::gateway
