#ifndef MASTICRILL_SIDECAR_ATTEMPT_H_
#define MASTICRILL_SIDECAR_ATTEMPT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/refusal.h"
#include "masticrill/common/request_class.h"
#include "masticrill/config/configuration.h"

namespace masticrill::sidecar {

/// One hand-over of a request to the sidecar's upstream, as its sender describes it.
struct AttemptSpec {
  /// Also the token that can be fenced. Unique for ever.
  AttemptId attempt;
  RequestId request;
  TeamId team;
  /// The team's share relative to the other teams'. 0 counts as 1.
  std::uint32_t team_weight = 1;
  RequestClass request_class = RequestClass::kTag;
  /// Exactly one of version and service is set.
  std::optional<ModelVersion> version;
  std::optional<ServiceId> service;
  bool at_most_once = false;
  /// The incarnation of the sidecar that the sender means, from its latest load report. Required
  /// with at_most_once, where it is the one that the claim names.
  IncarnationId incarnation;
  /// When the whole answer is due, on this process's clock.
  TimePoint deadline;
  /// The configuration under which the sender checked the permission.
  config::Number config_number = 0;
  /// Tokens to generate; for a plain service 1.
  std::uint32_t expected_tokens = 1;

  friend bool operator==(const AttemptSpec&, const AttemptSpec&) = default;
};

/// Why an attempt was not started. After each reason but kDuplicate the attempt never ran here and
/// never will.
enum class RefuseReason {
  kMalformed,            // Neither or both of version and service, or an empty token.
  kDuplicate,            // The token was submitted before. Ask its state with Fence.
  kFenced,               // The token was fenced before it arrived.
  kStaleIncarnation,     // The claim names an incarnation that this process does not vouch for.
  kRegistryFull,         // No room to remember another attempt that may run at most once.
  kReceiptsFull,         // No room for another unacknowledged receipt.
  kNoLease,              // The process cannot show that its configuration is current.
  kConfigurationBehind,  // The sender knows a newer configuration that may allow the attempt.
  kNotAllowed,           // The team may not use the version or service.
  kUnknownTarget,        // The configuration has no such version or service.
  kVersionWithdrawn,     // The version was withdrawn.
  kNotServed,            // This upstream does not serve the version or service.
  kDomainOut,            // The failure domain is out.
  kUpstreamLeaving,      // The upstream is leaving.
  kStopping,             // The process is draining.
  kQueueFull,            // The queue is full and holds nothing less urgent.
  kQueueTooLong,         // The estimated wait exceeds the deadline.
  kDeadlineTooShort,     // The deadline is shorter than the work itself.
  kDeadlineExceeded,     // The deadline came too close while the attempt was queued.
  kDisplaced,            // A more urgent attempt took its place in the queue.
  kCancelled,            // The caller went away.
};

inline constexpr std::array kAllRefuseReasons = {
    RefuseReason::kMalformed,        RefuseReason::kDuplicate,
    RefuseReason::kFenced,           RefuseReason::kStaleIncarnation,
    RefuseReason::kRegistryFull,     RefuseReason::kReceiptsFull,
    RefuseReason::kNoLease,          RefuseReason::kConfigurationBehind,
    RefuseReason::kNotAllowed,       RefuseReason::kUnknownTarget,
    RefuseReason::kVersionWithdrawn, RefuseReason::kNotServed,
    RefuseReason::kDomainOut,        RefuseReason::kUpstreamLeaving,
    RefuseReason::kStopping,         RefuseReason::kQueueFull,
    RefuseReason::kQueueTooLong,     RefuseReason::kDeadlineTooShort,
    RefuseReason::kDeadlineExceeded, RefuseReason::kDisplaced,
    RefuseReason::kCancelled,
};

/// The name in logs, metrics and on the wire: "queue_full".
std::string_view ToString(RefuseReason reason);

/// The word to the caller when no other upstream takes the request.
RefusalKind ToRefusalKind(RefuseReason reason);

/// What the refusal proves about the attempt: kUnknown for kDuplicate, else kNotRun.
Execution ExecutionOf(RefuseReason reason);

/// Whether a later try at this upstream may succeed. These refusals carry retry_after.
bool IsTransient(RefuseReason reason);

/// An attempt that will never start.
struct RefusedAttempt {
  AttemptId attempt;
  RefuseReason reason = RefuseReason::kMalformed;
  /// When this upstream expects to take such an attempt; present if and only if IsTransient.
  std::optional<milliseconds> retry_after;

  friend bool operator==(const RefusedAttempt&, const RefusedAttempt&) = default;
};

/// What an event makes due for attempts that were queued before. The process hands each started
/// attempt to the upstream and answers each refused one, once.
struct Effects {
  std::vector<AttemptId> start;
  std::vector<RefusedAttempt> refused;

  friend bool operator==(const Effects&, const Effects&) = default;
};

enum class DecisionKind { kStart, kQueued, kRefuse };

/// The answer to a submitted attempt.
struct Decision {
  DecisionKind kind = DecisionKind::kRefuse;
  /// Set when refused.
  std::optional<RefuseReason> reason;
  std::optional<milliseconds> retry_after;
  /// What the event makes due for other attempts, such as one that was displaced.
  Effects effects;

  friend bool operator==(const Decision&, const Decision&) = default;
};

/// How the upstream ended an attempt.
enum class EngineOutcome {
  kOk,
  kError,       // It answered with an error.
  kOverloaded,  // It said that it is overloaded.
  kTimeout,     // It did not answer in time.
  kReset,       // It closed the connection without a whole answer.
  kCancelled,   // The caller went away and the attempt was cancelled.
};

inline constexpr std::array kAllEngineOutcomes = {
    EngineOutcome::kOk,      EngineOutcome::kError, EngineOutcome::kOverloaded,
    EngineOutcome::kTimeout, EngineOutcome::kReset, EngineOutcome::kCancelled,
};

std::string_view ToString(EngineOutcome outcome);

/// The end of an attempt that was handed over.
struct Completion {
  EngineOutcome outcome = EngineOutcome::kError;
  /// Tokens generated; for a plain service 1 if it answered.
  std::uint64_t tokens = 0;
  /// The whole answer. Kept only for an attempt that may run at most once.
  std::string answer;

  friend bool operator==(const Completion&, const Completion&) = default;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ATTEMPT_H_
