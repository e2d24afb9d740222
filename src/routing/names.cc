#include "masticrill/routing/cascade_policy.h"
#include "masticrill/routing/load.h"
#include "masticrill/routing/request_events.h"
#include "masticrill/routing/request_state_machine.h"
#include "masticrill/routing/retry.h"
#include "masticrill/routing/rollout_evaluation.h"
#include "masticrill/routing/upstream_choice.h"
#include "masticrill/routing/version_choice.h"

namespace masticrill::routing {

std::string_view ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kRefusedFull:
      return "refused_full";
    case AttemptOutcome::kRefusedOther:
      return "refused_other";
    case AttemptOutcome::kUnreachable:
      return "unreachable";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view ToString(VersionReason reason) {
  switch (reason) {
    case VersionReason::kNamedByCaller:
      return "named_by_caller";
    case VersionReason::kPinnedBySession:
      return "pinned_by_session";
    case VersionReason::kDefaultVersion:
      return "default_version";
    case VersionReason::kRolloutCandidate:
      return "rollout_candidate";
    case VersionReason::kCandidateUnavailable:
      return "candidate_unavailable";
    case VersionReason::kRepinnedAfterWithdrawal:
      return "repinned_after_withdrawal";
    case VersionReason::kRefusedUnknownModel:
      return "refused_unknown_model";
    case VersionReason::kRefusedNotAllowed:
      return "refused_not_allowed";
    case VersionReason::kRefusedWithdrawn:
      return "refused_withdrawn";
    case VersionReason::kRefusedPinWithdrawn:
      return "refused_pin_withdrawn";
  }
  return "unknown";
}

std::string_view ToString(ChoiceReason reason) {
  switch (reason) {
    case ChoiceReason::kLeastExpectedLatency:
      return "least_expected_latency";
    case ChoiceReason::kSpilled:
      return "spilled";
    case ChoiceReason::kCachedPrefix:
      return "cached_prefix";
    case ChoiceReason::kSessionAffinity:
      return "session_affinity";
    case ChoiceReason::kProbe:
      return "probe";
    case ChoiceReason::kQueued:
      return "queued";
    case ChoiceReason::kRefusedNoneServes:
      return "refused_none_serves";
    case ChoiceReason::kRefusedAllExcluded:
      return "refused_all_excluded";
    case ChoiceReason::kRefusedAllEjected:
      return "refused_all_ejected";
    case ChoiceReason::kRefusedAllFull:
      return "refused_all_full";
  }
  return "unknown";
}

std::string_view ToString(RetryReason reason) {
  switch (reason) {
    case RetryReason::kNeverHandedOver:
      return "never_handed_over";
    case RetryReason::kFencedBeforeStart:
      return "fenced_before_start";
    case RetryReason::kRepeatable:
      return "repeatable";
    case RetryReason::kResumeStream:
      return "resume_stream";
    case RetryReason::kHedge:
      return "hedge";
    case RetryReason::kRefusedMayHaveRun:
      return "refused_may_have_run";
    case RetryReason::kRefusedBudget:
      return "refused_budget";
    case RetryReason::kRefusedDeadline:
      return "refused_deadline";
    case RetryReason::kRefusedNoUpstream:
      return "refused_no_upstream";
    case RetryReason::kRefusedAttempts:
      return "refused_attempts";
    case RetryReason::kRefusedStreamStarted:
      return "refused_stream_started";
    case RetryReason::kRefusedNoLease:
      return "refused_no_lease";
  }
  return "unknown";
}

std::string_view ToString(CascadeReason reason) {
  switch (reason) {
    case CascadeReason::kCheapestFirst:
      return "cheapest_first";
    case CascadeReason::kSampled:
      return "sampled";
    case CascadeReason::kSkippedByCost:
      return "skipped_by_cost";
    case CascadeReason::kSkippedByDeadline:
      return "skipped_by_deadline";
    case CascadeReason::kPassed:
      return "passed";
    case CascadeReason::kLastStep:
      return "last_step";
    case CascadeReason::kEscalated:
      return "escalated";
    case CascadeReason::kNoTimeToEscalate:
      return "no_time_to_escalate";
    case CascadeReason::kEscalationLimited:
      return "escalation_limited";
    case CascadeReason::kEscalationFailed:
      return "escalation_failed";
    case CascadeReason::kSkippedByLoad:
      return "skipped_by_load";
    case CascadeReason::kStepUnavailable:
      return "step_unavailable";
    case CascadeReason::kRatingDownAccepted:
      return "rating_down_accepted";
    case CascadeReason::kRatingDownEscalated:
      return "rating_down_escalated";
    case CascadeReason::kSingleRun:
      return "single_run";
  }
  return "unknown";
}

std::string_view ToString(EvidenceKind kind) {
  switch (kind) {
    case EvidenceKind::kErrors:
      return "errors";
    case EvidenceKind::kSlowFirstToken:
      return "slow_first_token";
    case EvidenceKind::kLowRatings:
      return "low_ratings";
  }
  return "unknown";
}

std::string_view ToString(RolloutReason reason) {
  switch (reason) {
    case RolloutReason::kContinue:
      return "continue";
    case RolloutReason::kErrors:
      return "errors";
    case RolloutReason::kSlowFirstToken:
      return "slow_first_token";
    case RolloutReason::kLowRatings:
      return "low_ratings";
  }
  return "unknown";
}

std::string_view ToString(AttemptRefusal refusal) {
  switch (refusal) {
    case AttemptRefusal::kUnreachable:
      return "unreachable";
    case AttemptRefusal::kFull:
      return "full";
    case AttemptRefusal::kStopping:
      return "stopping";
    case AttemptRefusal::kNotAllowed:
      return "not_allowed";
    case AttemptRefusal::kWithdrawn:
      return "withdrawn";
    case AttemptRefusal::kNoLease:
      return "no_lease";
    case AttemptRefusal::kDeadline:
      return "deadline";
  }
  return "unknown";
}

std::string_view ToString(FenceResult result) {
  switch (result) {
    case FenceResult::kNeverStarted:
      return "never_started";
    case FenceResult::kDone:
      return "done";
    case FenceResult::kRunning:
      return "running";
    case FenceResult::kUnknownIncarnation:
      return "unknown_incarnation";
  }
  return "unknown";
}

std::string_view ToString(const DecisionReason& reason) {
  return std::visit([](const auto& value) { return ToString(value); }, reason);
}

}  // namespace masticrill::routing
