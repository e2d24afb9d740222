#ifndef MASTICRILL_STATE_CLAIM_PROTOCOL_H_
#define MASTICRILL_STATE_CLAIM_PROTOCOL_H_

#include <cstdint>
#include <optional>

#include "masticrill/common/refusal.h"
#include "masticrill/state/results.h"

/// The decisions of an entry about a request that runs at most once. Pure functions: the entry
/// carries each step out and comes back with what it learnt. docs/design/at_most_once.md has the
/// protocol and what each part must keep to.
namespace masticrill::state {

/// When a caller may ask again about a request that still runs, or that could not be recorded.
inline constexpr milliseconds kClaimRetryAfter{1000};

/// A sidecar's answer to the order to fence an attempt.
enum class FenceStatus : std::uint8_t {
  kNeverStarted,      // It had not started, and the sidecar will never start it.
  kRunning,           // It was handed over and has not ended.
  kAnswered,          // It ended; the answer comes along.
  kOtherIncarnation,  // The sidecar restarted after the claim, so it cannot say.
  kUnreachable,       // No answer in time.
};

struct FenceReply {
  FenceStatus verdict = FenceStatus::kUnreachable;
  RecordedAnswer answer;

  friend bool operator==(const FenceReply&, const FenceReply&) = default;
};

enum class ClaimAction : std::uint8_t {
  kHandOver,     // Hand the attempt over, naming the sidecar incarnation of the claim.
  kFenceHolder,  // Ask the sidecar of `holder` to fence its attempt, then AfterFence.
  kReassign,     // Send ReassignClaim to a new attempt, then AfterClaim.
  kResolve,      // Send ResolveClaim for the attempt of `holder`, then AfterResolve.
  kReply,        // Give the caller `answer`.
  kRefuse,       // Give the caller `refusal`.
};

/// What the entry does next. Only the members that the action names are set.
struct ClaimStep {
  ClaimAction action = ClaimAction::kRefuse;
  ClaimHolder holder;
  ClaimResolution resolution = ClaimResolution::kOutcomeUnknown;
  RecordedAnswer answer;
  Refusal refusal;

  friend bool operator==(const ClaimStep&, const ClaimStep&) = default;
};

/// After OpenClaim or ReassignClaim. Without a result (no control host answered in time) the
/// attempt is not handed over, then or later.
ClaimStep AfterClaim(const std::optional<ClaimResult>& result);

/// After the sidecar of a claim was asked to fence the holder's attempt.
ClaimStep AfterFence(const ClaimHolder& holder, const FenceReply& reply);

/// After the attempt that this entry holds was handed over. `answer` is empty when the reply was
/// lost or the sidecar refused it; the attempt is fenced then.
ClaimStep AfterHandOver(const ClaimHolder& holder, const std::optional<RecordedAnswer>& answer);

/// After ResolveClaim. Without a result the claim stays open; `resolved` is the step that was
/// tried.
ClaimStep AfterResolve(const ClaimStep& resolved, const std::optional<ClaimResult>& result);

}  // namespace masticrill::state

#endif  // MASTICRILL_STATE_CLAIM_PROTOCOL_H_
