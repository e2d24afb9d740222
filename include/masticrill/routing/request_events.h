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

/// Why a sidecar refused an attempt; kUnreachable if the attempt did not reach a sidecar.
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

// Events. An event of an attempt carries its number and is ignored once the attempt has ended.

/// The attempt never started: the sidecar refused it, or no connection was established.
struct AttemptRefused {
  AttemptNumber attempt = 0;
  AttemptRefusal refusal = AttemptRefusal::kUnreachable;
  std::optional<milliseconds> retry_after = {};

  friend bool operator==(const AttemptRefused&, const AttemptRefused&) = default;
};
/// The attempt is about to be handed over: from now on it may run. Raised before the first byte is
/// sent.
struct AttemptStarted {
  AttemptNumber attempt = 0;

  friend bool operator==(const AttemptStarted&, const AttemptStarted&) = default;
};
/// The first token was received; it is sent to the caller if the attempt streams to the caller.
struct FirstTokenReceived {
  AttemptNumber attempt = 0;

  friend bool operator==(const FirstTokenReceived&, const FirstTokenReceived&) = default;
};
/// The complete answer was received.
struct AttemptFinished {
  AttemptNumber attempt = 0;
  std::uint32_t tokens = 0;

  friend bool operator==(const AttemptFinished&, const AttemptFinished&) = default;
};
/// The attempt failed, before the hand-over if it is not started and `outcome` is kUnreachable.
/// `answered_error`: the upstream answered with an error, so the request ran, with a known outcome.
struct AttemptFailed {
  AttemptNumber attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  bool answered_error = false;

  friend bool operator==(const AttemptFailed&, const AttemptFailed&) = default;
};
/// The stream broke after `token_offset` tokens had been received completely and in order.
struct StreamBroken {
  AttemptNumber attempt = 0;
  std::uint32_t token_offset = 0;

  friend bool operator==(const StreamBroken&, const StreamBroken&) = default;
};
/// The answer to FenceAttempt. kUnknownIncarnation: the sidecar restarted, cannot be reached, or
/// has kept no answer of an attempt that is done.
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
/// The durable claim of an at-most-once request was refused or not recorded before the hand-over.
struct ClaimRefused {
  AttemptNumber attempt = 0;
  RefusalKind kind = RefusalKind::kControlUnavailable;

  friend bool operator==(const ClaimRefused&, const ClaimRefused&) = default;
};
/// The `hedge_after` time of a Dispatch passed without a first token.
struct HedgeDue {
  AttemptNumber attempt = 0;

  friend bool operator==(const HedgeDue&, const HedgeDue&) = default;
};
/// The configuration lease was lost. Running attempts continue; no new attempt is started.
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

/// Send the request to an upstream. An at-most-once request is claimed first.
struct Dispatch {
  AttemptNumber attempt = 0;
  UpstreamId upstream = {};
  /// Absent for a plain service.
  std::optional<ModelVersion> version = {};
  std::size_t cascade_step = 0;
  /// The number of tokens that the caller already has; the upstream continues after them.
  std::uint32_t resume_offset = 0;
  TimePoint deadline = {};
  /// Tokens are sent to the caller as they arrive; otherwise the answer is buffered until it is
  /// complete, and rated where the cascade asks for a rating.
  bool stream_to_caller = true;
  bool at_most_once = false;
  /// The session is pinned to the version by this dispatch.
  bool pin_session = false;
  /// HedgeDue is raised if no token is received within this time.
  std::optional<Duration> hedge_after = {};
  /// The lease of the node was valid at the decision; it is checked again before the hand-over.
  bool lease_checked = false;

  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};
/// After the given delay, ask the sidecar of the attempt to fence it, so that it can no longer
/// start, and to report its progress.
struct FenceAttempt {
  AttemptNumber attempt = 0;
  UpstreamId upstream = {};
  Duration after{0};

  friend bool operator==(const FenceAttempt&, const FenceAttempt&) = default;
};
/// Have the buffered answer rated.
struct RequestRating {
  AttemptNumber attempt = 0;
  Duration timeout{0};

  friend bool operator==(const RequestRating&, const RequestRating&) = default;
};
/// Return the answer of this attempt to the caller. The request has ended.
struct Answer {
  AttemptNumber attempt = 0;
  std::size_t cascade_step = 0;
  /// The answer may be below the quality target of the cascade.
  bool degraded = false;

  friend bool operator==(const Answer&, const Answer&) = default;
};
/// Refuse the request. The request has ended.
struct Refuse {
  Refusal refusal = {};

  friend bool operator==(const Refuse&, const Refuse&) = default;
};
/// Cancel these attempts, which are still running.
struct CancelAttempts {
  std::vector<AttemptNumber> attempts = {};

  friend bool operator==(const CancelAttempts&, const CancelAttempts&) = default;
};
/// There is nothing to do until the next event.
struct Wait {
  friend bool operator==(const Wait&, const Wait&) = default;
};

using Action =
    std::variant<Dispatch, FenceAttempt, RequestRating, Answer, Refuse, CancelAttempts, Wait>;
using Actions = std::vector<Action>;

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_REQUEST_EVENTS_H_
