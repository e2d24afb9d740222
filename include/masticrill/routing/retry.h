#ifndef MASTICRILL_ROUTING_RETRY_H_
#define MASTICRILL_ROUTING_RETRY_H_

#include <array>
#include <cstdint>
#include <mutex>
#include <string_view>

#include "masticrill/common/clock.h"

namespace masticrill::routing {

struct RetryBudgetSettings {
  /// Tokens that each request adds to the bucket; one further attempt costs 1.
  double retries_per_request = 0.1;
  /// The capacity of the bucket, and its level at the start.
  double max_balance = 30;
  double initial_balance = 0;
  /// The balance that hedges must leave for retries of failed attempts.
  double hedge_reserve = 10;

  friend bool operator==(const RetryBudgetSettings&, const RetryBudgetSettings&) = default;
};

/// A token bucket: each request adds to it; each retry and hedge takes from it, whatever the cause.
/// The first attempt of a cascade step takes nothing. Safe for use by several threads.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  /// Called for each request that arrives; adds `retries_per_request`.
  void OnRequest();
  /// Takes the cost of one more attempt, or returns false and takes nothing.
  bool TryTake();
  /// Like TryTake for a hedge, which must leave `hedge_reserve` in the bucket.
  bool TryTakeForHedge();
  /// Returns the cost of an attempt that was granted and not made.
  void PutBack();
  double Balance() const;

 private:
  bool TryTakeAbove(double reserve);

  RetryBudgetSettings settings;
  mutable std::mutex mutex;
  double balance;
};

/// Why another attempt is made or refused.
enum class RetryReason {
  kNeverHandedOver,       // Nothing ran: no connection, or the sidecar refused.
  kFencedBeforeStart,     // The sidecar proved that the attempt never starts.
  kRepeatable,            // A second run is harmless.
  kResumeStream,          // Resumes at the token offset on the same version.
  kHedge,                 // A second attempt beside a slow one.
  kRefusedMayHaveRun,     // Not repeatable, and an earlier attempt may have run.
  kRefusedBudget,         // The retry budget is empty.
  kRefusedDeadline,       // The deadline leaves no time for another attempt.
  kRefusedNoUpstream,     // No other upstream can be chosen now.
  kRefusedAttempts,       // The request used up its attempts.
  kRefusedStreamStarted,  // The caller has part of the answer, and it can't be resumed.
  kRefusedNoLease,        // The configuration lease is lost.
};

inline constexpr std::array kAllRetryReasons = {
    RetryReason::kNeverHandedOver,
    RetryReason::kFencedBeforeStart,
    RetryReason::kRepeatable,
    RetryReason::kResumeStream,
    RetryReason::kHedge,
    RetryReason::kRefusedMayHaveRun,
    RetryReason::kRefusedBudget,
    RetryReason::kRefusedDeadline,
    RetryReason::kRefusedNoUpstream,
    RetryReason::kRefusedAttempts,
    RetryReason::kRefusedStreamStarted,
    RetryReason::kRefusedNoLease,
};

std::string_view ToString(RetryReason reason);

/// What is known about the hand-over of an attempt that ended.
enum class HandOverState { kNever, kFenced, kMayHaveRun };

/// The state of a request on which a retry decision depends.
struct RetryConditions {
  HandOverState hand_over = HandOverState::kMayHaveRun;
  bool repeatable = false;
  /// Part of the answer was sent to the caller.
  bool stream_started = false;
  /// The stream can be resumed at its token offset.
  bool resumable = false;
  /// The attempt is a hedge beside one that is still running.
  bool hedge = false;
  bool lease_valid = true;
  std::uint32_t attempts_made = 1;
  std::uint32_t max_attempts = 4;
  TimePoint now = {};
  TimePoint deadline = {};
  /// The minimum time before the deadline for another attempt to be worth starting.
  Duration min_time_left = milliseconds(5);

  friend bool operator==(const RetryConditions&, const RetryConditions&) = default;
};

struct RetryDecision {
  bool retry = false;
  RetryReason reason = RetryReason::kRefusedMayHaveRun;

  friend bool operator==(const RetryDecision&, const RetryDecision&) = default;
};

/// Decides whether another attempt may be made, and takes its cost from the budget if so.
RetryDecision DecideRetry(const RetryConditions& conditions, RetryBudget& budget);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_RETRY_H_
