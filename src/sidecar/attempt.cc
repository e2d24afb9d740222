#include "masticrill/sidecar/attempt.h"

namespace masticrill::sidecar {

std::string_view ToString(RefuseReason reason) {
  switch (reason) {
    case RefuseReason::kMalformed:
      return "malformed";
    case RefuseReason::kDuplicate:
      return "duplicate";
    case RefuseReason::kFenced:
      return "fenced";
    case RefuseReason::kStaleIncarnation:
      return "stale_incarnation";
    case RefuseReason::kRegistryFull:
      return "tokens_full";
    case RefuseReason::kReceiptsFull:
      return "receipts_full";
    case RefuseReason::kNoLease:
      return "no_lease";
    case RefuseReason::kConfigurationBehind:
      return "configuration_behind";
    case RefuseReason::kNotAllowed:
      return "not_allowed";
    case RefuseReason::kUnknownTarget:
      return "unknown_target";
    case RefuseReason::kVersionWithdrawn:
      return "version_withdrawn";
    case RefuseReason::kNotServed:
      return "not_served";
    case RefuseReason::kDomainOut:
      return "domain_out";
    case RefuseReason::kUpstreamLeaving:
      return "upstream_leaving";
    case RefuseReason::kStopping:
      return "stopping";
    case RefuseReason::kQueueFull:
      return "queue_full";
    case RefuseReason::kQueueTooLong:
      return "queue_too_long";
    case RefuseReason::kDeadlineTooShort:
      return "deadline_too_short";
    case RefuseReason::kDeadlineExceeded:
      return "deadline_exceeded";
    case RefuseReason::kDisplaced:
      return "displaced";
    case RefuseReason::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

RefusalKind ToRefusalKind(RefuseReason reason) {
  switch (reason) {
    case RefuseReason::kMalformed:
      return RefusalKind::kBadRequest;
    case RefuseReason::kDuplicate:
      return RefusalKind::kOutcomeUnknown;
    case RefuseReason::kFenced:
    case RefuseReason::kStaleIncarnation:
    case RefuseReason::kNotServed:
    case RefuseReason::kDomainOut:
    case RefuseReason::kUpstreamLeaving:
      return RefusalKind::kNoUpstream;
    case RefuseReason::kNoLease:
    case RefuseReason::kConfigurationBehind:
      return RefusalKind::kNoLease;
    case RefuseReason::kNotAllowed:
      return RefusalKind::kNotAllowed;
    case RefuseReason::kUnknownTarget:
      return RefusalKind::kUnknownModel;
    case RefuseReason::kVersionWithdrawn:
      return RefusalKind::kVersionWithdrawn;
    case RefuseReason::kStopping:
      return RefusalKind::kStopping;
    case RefuseReason::kRegistryFull:
    case RefuseReason::kReceiptsFull:
    case RefuseReason::kQueueFull:
    case RefuseReason::kQueueTooLong:
    case RefuseReason::kDisplaced:
      return RefusalKind::kOverloaded;
    case RefuseReason::kDeadlineTooShort:
    case RefuseReason::kDeadlineExceeded:
      return RefusalKind::kDeadlineExceeded;
    case RefuseReason::kCancelled:
      return RefusalKind::kCancelled;
  }
  return RefusalKind::kInternal;
}

Execution ExecutionOf(RefuseReason reason) {
  return reason == RefuseReason::kDuplicate ? Execution::kUnknown : Execution::kNotRun;
}

bool IsTransient(RefuseReason reason) {
  switch (reason) {
    case RefuseReason::kRegistryFull:
    case RefuseReason::kReceiptsFull:
    case RefuseReason::kNoLease:
    case RefuseReason::kConfigurationBehind:
    case RefuseReason::kStopping:
    case RefuseReason::kQueueFull:
    case RefuseReason::kQueueTooLong:
    case RefuseReason::kDeadlineExceeded:
    case RefuseReason::kDisplaced:
      return true;
    default:
      return false;
  }
}

std::string_view ToString(EngineOutcome outcome) {
  switch (outcome) {
    case EngineOutcome::kOk:
      return "ok";
    case EngineOutcome::kError:
      return "error";
    case EngineOutcome::kOverloaded:
      return "overloaded";
    case EngineOutcome::kTimeout:
      return "timeout";
    case EngineOutcome::kReset:
      return "reset";
    case EngineOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace masticrill::sidecar
