#include "masticrill/state/claim_protocol.h"

#include <string>
#include <utility>

namespace masticrill::state {
namespace {

ClaimStep Refuse(RefusalKind kind, Execution execution, std::string message,
                 std::optional<milliseconds> retry_after = std::nullopt) {
  ClaimStep step;
  step.action = ClaimAction::kRefuse;
  step.refusal = {kind, execution, std::move(message), retry_after};
  return step;
}

ClaimStep RefuseUnrecorded() {
  return Refuse(RefusalKind::kControlUnavailable, Execution::kNotRun,
                "The control hosts could not record the request, so it was not run. Send it again "
                "with the same Idempotency-Key.",
                kClaimRetryAfter);
}

ClaimStep RefuseUnknown() {
  return Refuse(RefusalKind::kOutcomeUnknown, Execution::kUnknown,
                "The request was handed over and its end is unknown. It is not run again under "
                "this Idempotency-Key; look up what it was to change.");
}

ClaimStep Reply(const RecordedAnswer& answer) {
  if (!answer.body_kept) {
    return Refuse(RefusalKind::kOutcomeUnknown, Execution::kRan,
                  "The request ran and was answered with status " +
                      std::to_string(answer.http_status) +
                      ", but its body was too large to keep. Look up what it changed.");
  }
  ClaimStep step;
  step.action = ClaimAction::kReply;
  step.answer = answer;
  return step;
}

ClaimStep Resolve(const ClaimHolder& holder, ClaimResolution resolution,
                  const RecordedAnswer& answer = {}) {
  ClaimStep step;
  step.action = ClaimAction::kResolve;
  step.holder = holder;
  step.resolution = resolution;
  step.answer = answer;
  return step;
}

ClaimStep WithHolder(ClaimAction action, const ClaimHolder& holder) {
  ClaimStep step;
  step.action = action;
  step.holder = holder;
  return step;
}

}  // namespace

ClaimStep AfterClaim(const std::optional<ClaimResult>& result) {
  if (!result) {
    return RefuseUnrecorded();
  }
  switch (result->status) {
    case ClaimStatus::kGranted:
      return WithHolder(ClaimAction::kHandOver, result->holder);
    case ClaimStatus::kInProgress:
      return WithHolder(ClaimAction::kFenceHolder, result->holder);
    case ClaimStatus::kAnswered:
      return Reply(result->answer);
    case ClaimStatus::kConflict:
      return Refuse(RefusalKind::kKeyConflict, Execution::kNotRun,
                    "The Idempotency-Key was used with another request. Use a new key.");
    case ClaimStatus::kOutcomeUnknown:
      return RefuseUnknown();
    case ClaimStatus::kReleased:
    case ClaimStatus::kNotFound:
    case ClaimStatus::kFull:
      return RefuseUnrecorded();
  }
  return RefuseUnrecorded();
}

ClaimStep AfterFence(const ClaimHolder& holder, const FenceReply& reply) {
  switch (reply.verdict) {
    case FenceStatus::kNeverStarted:
      return WithHolder(ClaimAction::kReassign, holder);
    case FenceStatus::kRunning:
      return Refuse(RefusalKind::kKeyInProgress, Execution::kRan,
                    "A request with this Idempotency-Key is running. Send it again later for its "
                    "answer.",
                    kClaimRetryAfter);
    case FenceStatus::kAnswered:
      return Resolve(holder, ClaimResolution::kAnswered, reply.answer);
    case FenceStatus::kOtherIncarnation:
      return Resolve(holder, ClaimResolution::kOutcomeUnknown);
    case FenceStatus::kUnreachable:
      return Refuse(RefusalKind::kKeyInProgress, Execution::kUnknown,
                    "A request with this Idempotency-Key was recorded and its upstream cannot be "
                    "asked now. Send it again later.",
                    kClaimRetryAfter);
  }
  return RefuseUnknown();
}

ClaimStep AfterHandOver(const ClaimHolder& holder, const std::optional<RecordedAnswer>& answer) {
  if (!answer) {
    return WithHolder(ClaimAction::kFenceHolder, holder);
  }
  return Resolve(holder, ClaimResolution::kAnswered, *answer);
}

ClaimStep AfterResolve(const ClaimStep& resolved, const std::optional<ClaimResult>& result) {
  const bool recorded = result && (result->status == ClaimStatus::kAnswered ||
                                   result->status == ClaimStatus::kOutcomeUnknown);
  if (resolved.resolution == ClaimResolution::kAnswered) {
    // The answer in hand is the request's own, whatever was recorded. The sidecar repeats it until
    // it is recorded.
    return Reply(resolved.answer);
  }
  if (resolved.resolution == ClaimResolution::kReleased) {
    return RefuseUnrecorded();
  }
  return recorded ? AfterClaim(result) : RefuseUnknown();
}

}  // namespace masticrill::state
