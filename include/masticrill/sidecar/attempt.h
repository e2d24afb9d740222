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

/// One attempt to serve a request on the sidecar's upstream, as described by the sender.
struct AttemptSpec {
  /// Identifies the attempt in fence requests. Never reused.
  AttemptId attempt;
  RequestId request;
  TeamId team;
  /// The team's weight relative to the weights of other teams. 0 counts as 1.
  std::uint32_t team_weight = 1;
  RequestClass request_class = RequestClass::kTag;
  /// Exactly one of version and service is set.
  std::optional<ModelVersion> version;
  std::optional<ServiceId> service;
  bool at_most_once = false;
  /// The sidecar incarnation that the sender addresses, from the latest load report. Required with
  /// at_most_once, where it is the incarnation that the claim names.
  IncarnationId incarnation;
  /// When the whole answer is due, on this process's clock.
  TimePoint deadline;
  /// Number of the configuration under which the sender checked the permission.
  config::Number config_number = 0;
  /// Expected number of generated tokens; for a plain service 1.
  std::uint32_t expected_tokens = 1;

  friend bool operator==(const AttemptSpec&, const AttemptSpec&) = default;
};

/// Why an attempt was not started. After each reason but kDuplicate the attempt never ran here and
/// never will.
enum class RefuseReason {
  kMalformed,            // Neither or both of version and service, or an empty attempt id.
  kDuplicate,            // The attempt was submitted before. Query its state with Fence.
  kFenced,               // The attempt was fenced, or refused or cancelled before.
  kStaleIncarnation,     // The incarnation named by the attempt is not retained here.
  kRegistryFull,         // No room to record another at-most-once attempt.
  kReceiptsFull,         // No room for another unacknowledged receipt.
  kNoLease,              // No valid lease, so the configuration may be out of date.
  kConfigurationBehind,  // The sender knows a newer configuration that may allow the attempt.
  kNotAllowed,           // The team may not use the version or service.
  kUnknownTarget,        // The configuration has no such version or service.
  kVersionWithdrawn,     // The version was withdrawn.
  kNotServed,            // This upstream does not serve the version or service.
  kDomainOut,            // The failure domain is out of service or unknown.
  kUpstreamLeaving,      // The upstream is leaving or not in the configuration.
  kStopping,             // The process is draining.
  kQueueFull,            // The queue is full and the attempt may not displace another one.
  kQueueTooLong,         // The estimated wait plus the service time exceeds the deadline.
  kDeadlineTooShort,     // The deadline is shorter than the estimated service time.
  kDeadlineExceeded,     // The deadline could no longer be met while the attempt was queued.
  kDisplaced,            // Another attempt took the queue position in a full queue.
  kCancelled,            // The caller disconnected.
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

/// The refusal reported to the caller when no other upstream accepts the request.
RefusalKind ToRefusalKind(RefuseReason reason);

/// What the refusal proves about the attempt: kUnknown for kDuplicate, else kNotRun.
Execution ExecutionOf(RefuseReason reason);

/// Whether a later attempt at this upstream may succeed. Such refusals carry retry_after.
bool IsTransient(RefuseReason reason);

/// An attempt that will never start.
struct RefusedAttempt {
  AttemptId attempt;
  RefuseReason reason = RefuseReason::kMalformed;
  /// Estimated delay until this upstream accepts such an attempt; present if and only if the reason
  /// is transient (see IsTransient).
  std::optional<milliseconds> retry_after;

  friend bool operator==(const RefusedAttempt&, const RefusedAttempt&) = default;
};

/// Effects of an event on attempts that were queued before. The caller sends each started attempt
/// to the upstream and answers each refused one, exactly once.
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
  /// Effects on other attempts, such as a displaced one.
  Effects effects;

  friend bool operator==(const Decision&, const Decision&) = default;
};

/// How an attempt ended after its start.
enum class EngineOutcome {
  kOk,
  kError,       // The upstream answered with an error.
  kOverloaded,  // The upstream reported that it is overloaded.
  kTimeout,     // The upstream did not answer in time.
  kReset,       // The connection closed before the answer was complete.
  kCancelled,   // The caller disconnected and the attempt was cancelled.
};

inline constexpr std::array kAllEngineOutcomes = {
    EngineOutcome::kOk,      EngineOutcome::kError, EngineOutcome::kOverloaded,
    EngineOutcome::kTimeout, EngineOutcome::kReset, EngineOutcome::kCancelled,
};

std::string_view ToString(EngineOutcome outcome);

/// The result of an attempt that was sent to the upstream.
struct Completion {
  EngineOutcome outcome = EngineOutcome::kError;
  /// Number of generated tokens; for a plain service 1 if it answered.
  std::uint64_t tokens = 0;
  /// The complete answer. Recorded only for an at-most-once attempt.
  std::string answer;

  friend bool operator==(const Completion&, const Completion&) = default;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_ATTEMPT_H_
