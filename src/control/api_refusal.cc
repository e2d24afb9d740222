#include "control/operator_api.h"

namespace masticrill::control {

std::string_view ToString(ApiRefusal refusal) {
  switch (refusal) {
    case ApiRefusal::kUnauthenticated:
      return "unauthenticated";
    case ApiRefusal::kForbidden:
      return "forbidden";
    case ApiRefusal::kNotFound:
      return "not_found";
    case ApiRefusal::kMethodNotAllowed:
      return "method_not_allowed";
    case ApiRefusal::kMalformed:
      return "malformed";
    case ApiRefusal::kTooLarge:
      return "too_large";
    case ApiRefusal::kPreconditionMissing:
      return "precondition_missing";
    case ApiRefusal::kStale:
      return "stale";
    case ApiRefusal::kInvalid:
      return "invalid";
    case ApiRefusal::kConflict:
      return "conflict";
    case ApiRefusal::kNoQuorum:
      return "no_quorum";
    case ApiRefusal::kUnavailable:
      return "unavailable";
    case ApiRefusal::kUnknownOutcome:
      return "unknown_outcome";
  }
  return "unavailable";
}

int HttpStatus(ApiRefusal refusal) {
  switch (refusal) {
    case ApiRefusal::kUnauthenticated:
      return 401;
    case ApiRefusal::kForbidden:
      return 403;
    case ApiRefusal::kNotFound:
      return 404;
    case ApiRefusal::kMethodNotAllowed:
      return 405;
    case ApiRefusal::kMalformed:
      return 400;
    case ApiRefusal::kTooLarge:
      return 413;
    case ApiRefusal::kPreconditionMissing:
      return 428;
    case ApiRefusal::kStale:
      return 412;
    case ApiRefusal::kInvalid:
      return 422;
    case ApiRefusal::kConflict:
      return 409;
    case ApiRefusal::kNoQuorum:
    case ApiRefusal::kUnavailable:
    case ApiRefusal::kUnknownOutcome:
      return 503;
  }
  return 503;
}

}  // namespace masticrill::control
