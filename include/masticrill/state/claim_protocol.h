#ifndef MASTICRILL_STATE_CLAIM_PROTOCOL_H_
#define MASTICRILL_STATE_CLAIM_PROTOCOL_H_

#include <cstdint>
#include <optional>

#include "masticrill/common/refusal.h"
#include "masticrill/state/results.h"

/// The protocol of an entry for a request that must run at most once. Each function returns the
/// next step; the entry performs that step and passes its result to the next function. The
/// functions are pure. docs/design/at_most_once.md describes the protocol and the duties of each
/// role.
namespace masticrill::state {

/// The delay after which a caller may resend a request that still runs or was not recorded.
inline constexpr milliseconds kClaimRetryAfter{1000};

/// A sidecar's answer to the request to fence an attempt, that is, to never start it.
enum class FenceStatus : std::uint8_t {
  kNeverStarted,      // The attempt had not started, and the sidecar will never start it.
  kRunning,           // The attempt was handed over and has not ended.
  kAnswered,          // The attempt ended; the reply has its answer.
  kOtherIncarnation,  // The sidecar restarted after the claim; whether the attempt ran is unknown.
  kUnreachable,       // The sidecar did not answer in time.
};

struct FenceReply {
  FenceStatus status = FenceStatus::kUnreachable;
  /// Set for kAnswered only.
  RecordedAnswer answer;

  friend bool operator==(const FenceReply&, const FenceReply&) = default;
};

enum class ClaimAction : std::uint8_t {
  kHandOver,     // Hand the attempt of `holder` over to the sidecar incarnation in `holder`.
  kFenceHolder,  // Ask the sidecar of `holder` to fence its attempt, then call AfterFence.
  kReassign,     // Send ReassignClaim from `holder` to a new attempt, then call AfterClaim.
  kResolve,      // Send ResolveClaim with `holder`, `resolution`, `answer`; call AfterResolve.
  kReply,        // Send `answer` to the caller.
  kRefuse,       // Send `refusal` to the caller.
};

/// The next step of the entry. Only the members that the action mentions are set.
struct ClaimStep {
  ClaimAction action = ClaimAction::kRefuse;
  ClaimHolder holder;
  ClaimResolution resolution = ClaimResolution::kOutcomeUnknown;
  RecordedAnswer answer;
  Refusal refusal;

  friend bool operator==(const ClaimStep&, const ClaimStep&) = default;
};

/// Returns the step after OpenClaim or ReassignClaim. `result` is empty when no control host
/// answered in time; the attempt must then never be handed over.
ClaimStep AfterClaim(const std::optional<ClaimResult>& result);

/// Returns the step after the sidecar of a claim was asked to fence the holder's attempt.
ClaimStep AfterFence(const ClaimHolder& holder, const FenceReply& reply);

/// Returns the step after the attempt of this entry was handed over. `answer` is empty when the
/// reply was lost or the sidecar refused the attempt; the attempt is then fenced.
ClaimStep AfterHandOver(const ClaimHolder& holder, const std::optional<RecordedAnswer>& answer);

/// Returns the step after ResolveClaim, which the step `resolved` requested. `result` is empty when
/// no control host answered in time; the claim may then still be open.
ClaimStep AfterResolve(const ClaimStep& resolved, const std::optional<ClaimResult>& result);

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_CLAIM_PROTOCOL_H_
