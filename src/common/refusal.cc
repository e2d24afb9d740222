#include "masticrill/common/refusal.h"

namespace masticrill {
namespace {

struct RefusalTraits {
  std::string_view name;
  int http_status;
};

RefusalTraits Traits(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kBadRequest:
      return {"bad_request", 400};
    case RefusalKind::kUnauthenticated:
      return {"unauthenticated", 401};
    case RefusalKind::kNotAllowed:
      return {"not_allowed", 403};
    case RefusalKind::kUnknownModel:
      return {"unknown_model", 404};
    case RefusalKind::kVersionWithdrawn:
      return {"version_withdrawn", 410};
    case RefusalKind::kKeyConflict:
      return {"key_conflict", 422};
    case RefusalKind::kKeyInProgress:
      return {"key_in_progress", 409};
    case RefusalKind::kTooLarge:
      return {"too_large", 413};
    case RefusalKind::kTeamLimit:
      return {"team_limit", 429};
    case RefusalKind::kOverloaded:
      return {"overloaded", 503};
    case RefusalKind::kNoUpstream:
      return {"no_upstream", 503};
    case RefusalKind::kPromptBlocked:
      return {"prompt_blocked", 503};
    case RefusalKind::kNoLease:
      return {"no_lease", 503};
    case RefusalKind::kStopping:
      return {"stopping", 503};
    case RefusalKind::kDeadlineExceeded:
      return {"deadline_exceeded", 504};
    case RefusalKind::kUpstreamFailed:
      return {"upstream_failed", 502};
    case RefusalKind::kAnswerInterrupted:
      return {"answer_interrupted", 502};
    case RefusalKind::kOutcomeUnknown:
      return {"outcome_unknown", 502};
    case RefusalKind::kControlUnavailable:
      return {"control_unavailable", 503};
    case RefusalKind::kCancelled:
      return {"cancelled", 499};
    case RefusalKind::kInternal:
      return {"internal", 500};
  }
  return {"internal", 500};
}

}  // namespace

std::string_view ToString(RefusalKind kind) { return Traits(kind).name; }

int HttpStatus(RefusalKind kind) { return Traits(kind).http_status; }

std::string_view NotRunText(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "true";
    case Execution::kRan:
      return "false";
    case Execution::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace masticrill
