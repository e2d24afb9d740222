#ifndef MASTICRILL_COMMON_REFUSAL_H_
#define MASTICRILL_COMMON_REFUSAL_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "masticrill/common/clock.h"

namespace masticrill {

/// The closed list of reasons for which a request ends without its answer.
enum class RefusalKind {
  kBadRequest,          // The request is malformed.
  kUnauthenticated,     // No valid team key.
  kNotAllowed,          // The team may not use this model, version, cascade or service.
  kUnknownModel,        // No such model, version, cascade or service.
  kVersionWithdrawn,    // The version, or the one the session is pinned to, was withdrawn.
  kKeyConflict,         // The idempotency key was used with another body.
  kKeyInProgress,       // A request with the same idempotency key is still running.
  kTooLarge,            // The body is over the limit.
  kTeamLimit,           // The team is at its limit of requests in flight.
  kOverloaded,          // Every allowed upstream is full and the queue cannot make the deadline.
  kNoUpstream,          // No allowed upstream is healthy, in service and reachable.
  kNoLease,             // The node cannot show that its configuration is current.
  kStopping,            // The node is stopping.
  kDeadlineExceeded,    // The request's deadline passed.
  kUpstreamFailed,      // The upstream failed after the hand-over and no retry was allowed.
  kAnswerInterrupted,   // The stream broke and could not be resumed.
  kOutcomeUnknown,      // A request that may run at most once was handed over; its end is unknown.
  kControlUnavailable,  // The control replicas cannot record the request.
  kCancelled,           // The caller went away.
  kInternal,            // A defect.
  kPromptBlocked,       // Upstreams end under a part of the prompt.
};

inline constexpr std::array kAllRefusalKinds = {
    RefusalKind::kBadRequest,       RefusalKind::kUnauthenticated,
    RefusalKind::kNotAllowed,       RefusalKind::kUnknownModel,
    RefusalKind::kVersionWithdrawn, RefusalKind::kKeyConflict,
    RefusalKind::kKeyInProgress,    RefusalKind::kTooLarge,
    RefusalKind::kTeamLimit,        RefusalKind::kOverloaded,
    RefusalKind::kNoUpstream,       RefusalKind::kNoLease,
    RefusalKind::kStopping,         RefusalKind::kDeadlineExceeded,
    RefusalKind::kUpstreamFailed,   RefusalKind::kAnswerInterrupted,
    RefusalKind::kOutcomeUnknown,   RefusalKind::kControlUnavailable,
    RefusalKind::kCancelled,        RefusalKind::kInternal,
    RefusalKind::kPromptBlocked,
};

/// Whether the request ran. kNotRun is claimed only when it was never handed to an upstream, or
/// when every hand-over was fenced before it started.
enum class Execution { kNotRun, kRan, kUnknown };

/// The final word on a request that gets no answer.
struct Refusal {
  RefusalKind kind = RefusalKind::kInternal;
  Execution execution = Execution::kUnknown;
  std::string message;
  /// When the caller may come back; absent where waiting does not help.
  std::optional<milliseconds> retry_after;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// The name on the wire, in logs and in metrics: "no_upstream".
std::string_view ToString(RefusalKind kind);

/// The value of "not_run" in a refusal body: "true", "false" or "unknown".
std::string_view NotRunText(Execution execution);

/// The HTTP status code that carries the refusal.
int HttpStatus(RefusalKind kind);

}  // namespace masticrill

#endif  // MASTICRILL_COMMON_REFUSAL_H_
