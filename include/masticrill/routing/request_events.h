#ifndef MASTICRILL_ROUTING_REQUEST_EVENTS_H_
#define MASTICRILL_ROUTING_REQUEST_EVENTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/refusal.h"
#include "masticrill/routing/cascade_policy.h"
#include "masticrill/routing/load.h"

namespace masticrill::routing {

/// Numbers the attempts of one request from 1.
using AttemptNumber = std::uint32_t;

/// Why a sidecar did not take an attempt, or why it never reached one.
enum class AttemptRefusal {
  kUnreachable,
  kFull,
  kStopping,
  kNotAllowed,
  kWithdrawn,
  kNoLease,
  kDeadline,
};

std::string_view ToString(AttemptRefusal refusal);

// Events. Each names the attempt it is about; events of ended attempts are ignored.

/// The attempt never started: refused by the sidecar, or no connection was made.
struct AttemptRefused {
  AttemptNumber attempt = 0;
  AttemptRefusal refusal = AttemptRefusal::kUnreachable;
  std::optional<milliseconds> retry_after = {};

  friend bool operator==(const AttemptRefused&, const AttemptRefused&) = default;
};
/// The attempt is about to be handed over: from now on it may run. Raised before the first byte.
struct AttemptStarted {
  AttemptNumber attempt = 0;

  friend bool operator==(const AttemptStarted&, const AttemptStarted&) = default;
};
/// The first token came, and goes to the caller where the attempt streams to it.
struct FirstTokenReceived {
  AttemptNumber attempt = 0;

  friend bool operator==(const FirstTokenReceived&, const FirstTokenReceived&) = default;
};
/// The whole answer came.
struct AttemptFinished {
  AttemptNumber attempt = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const AttemptFinished&, const AttemptFinished&) = default;
};
/// The attempt failed after the hand-over. The upstream's own error answer has `answered_error`: it
/// ran, and its end is known.
struct AttemptFailed {
  AttemptNumber attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  bool answered_error = false;

  friend bool operator==(const AttemptFailed&, const AttemptFailed&) = default;
};
/// The stream broke after `token_offset` tokens were received whole and in order.
struct StreamBroken {
  AttemptNumber attempt = 0;
  std::uint32_t token_offset = 0;

  friend bool operator==(const StreamBroken&, const StreamBroken&) = default;
};
/// The answer to FenceAttempt. kUnknownIncarnation: the sidecar restarted, or cannot be reached.
enum class FenceResult { kNeverStarted, kDone, kRunning, kUnknownIncarnation };
struct FenceResultReceived {
  AttemptNumber attempt = 0;
  FenceResult result = FenceResult::kUnknownIncarnation;

  friend bool operator==(const FenceResultReceived&, const FenceResultReceived&) = default;
};
/// The answer to RequestRating.
struct RatingReceived {
  AttemptNumber attempt = 0;
  Rating rating = {};

  friend bool operator==(const RatingReceived&, const RatingReceived&) = default;
};
/// The durable claim of an at-most-once request was refused before the hand-over.
struct ClaimRefused {
  AttemptNumber attempt = 0;
  RefusalKind kind = RefusalKind::kControlUnavailable;

  friend bool operator==(const ClaimRefused&, const ClaimRefused&) = default;
};
/// The hedge time of a Dispatch passed without a first token.
struct HedgeDue {
  AttemptNumber attempt = 0;

  friend bool operator==(const HedgeDue&, const HedgeDue&) = default;
};
/// The configuration lease was lost. Attempts that run go on; none is started.
struct LeaseLost {
  friend bool operator==(const LeaseLost&, const LeaseLost&) = default;
};
struct CallerDisconnected {
  friend bool operator==(const CallerDisconnected&, const CallerDisconnected&) = default;
};
struct DeadlinePassed {
  friend bool operator==(const DeadlinePassed&, const DeadlinePassed&) = default;
};

using RequestEvent =
    std::variant<AttemptRefused, AttemptStarted, FirstTokenReceived, AttemptFinished, AttemptFailed,
                 StreamBroken, FenceResultReceived, RatingReceived, ClaimRefused, HedgeDue,
                 LeaseLost, CallerDisconnected, DeadlinePassed>;

// Actions, carried out in their order.

/// Hand the request to an upstream. For an at-most-once request the claim comes first.
struct Dispatch {
  AttemptNumber attempt = 0;
  UpstreamId upstream = {};
  /// Absent for a plain service.
  std::optional<ModelVersion> version = {};
  std::size_t cascade_step = 0;
  /// Tokens that the caller already has; the upstream goes on after them.
  std::uint32_t resume_offset = 0;
  TimePoint deadline = {};
  /// Tokens go to the caller as they come; otherwise the answer is kept until it is rated.
  bool stream_to_caller = true;
  bool at_most_once = false;
  /// The session is pinned to the version by this dispatch.
  bool pin_session = false;
  /// HedgeDue is raised when no token came within this time.
  std::optional<Duration> hedge_after = {};
  /// The node's lease was valid when this was decided; it is checked again before the hand-over.
  bool lease_checked = false;

  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};
/// Ask the attempt's sidecar, after a pause, to fence its token and to say how far it came.
struct FenceAttempt {
  AttemptNumber attempt = 0;
  UpstreamId upstream = {};
  Duration after{0};

  friend bool operator==(const FenceAttempt&, const FenceAttempt&) = default;
};
/// Have the kept answer rated.
struct RequestRating {
  AttemptNumber attempt = 0;
  Duration timeout{0};

  friend bool operator==(const RequestRating&, const RequestRating&) = default;
};
/// Give the caller the answer of this attempt. The request is over.
struct Answer {
  AttemptNumber attempt = 0;
  std::size_t cascade_step = 0;
  /// Below the quality target, or not rated.
  bool degraded = false;

  friend bool operator==(const Answer&, const Answer&) = default;
};
/// Refuse. The request is over.
struct Refuse {
  Refusal refusal = {};

  friend bool operator==(const Refuse&, const Refuse&) = default;
};
/// Cancel the attempts that still run.
struct CancelAttempts {
  std::vector<AttemptNumber> attempts = {};

  friend bool operator==(const CancelAttempts&, const CancelAttempts&) = default;
};
/// Nothing to do until the next event.
struct Wait {
  friend bool operator==(const Wait&, const Wait&) = default;
};

using Action =
    std::variant<Dispatch, FenceAttempt, RequestRating, Answer, Refuse, CancelAttempts, Wait>;
using Actions = std::vector<Action>;

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_REQUEST_EVENTS_H_
