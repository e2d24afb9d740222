#ifndef MASTICRILL_ROUTING_RETRY_H_
#define MASTICRILL_ROUTING_RETRY_H_

#include <array>
#include <cstdint>
#include <mutex>
#include <string_view>

#include "masticrill/common/clock.h"

namespace masticrill::routing {

struct RetryBudgetSettings {
  /// Attempts beyond the first that each request pays for.
  double retries_per_request = 0.1;
  /// The most that can be saved up, and what is there at the start.
  double max_balance = 30;
  double initial_balance = 0;
  /// A hedge leaves at least this much for attempts that fail.
  double hedge_reserve = 10;

  friend bool operator==(const RetryBudgetSettings&, const RetryBudgetSettings&) = default;
};

/// A token bucket that requests fill and that every second attempt draws from, whatever its cause.
/// Safe for use by several threads.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  /// A request arrived.
  void OnRequest();
  /// Takes the price of one more attempt, or returns false and takes nothing.
  bool TryTake();
  /// The same for a hedge, which leaves the reserve untouched.
  bool TryTakeForHedge();
  double Balance() const;

 private:
  bool TryTakeAbove(double reserve);

  RetryBudgetSettings settings;
  mutable std::mutex mutex;
  double balance;
};

/// Why one more attempt is made or not.
enum class RetryReason {
  kNeverHandedOver,       // Nothing ran: no connection, or the sidecar refused.
  kFencedBeforeStart,     // The sidecar proved that the attempt never starts.
  kRepeatable,            // A second run is harmless.
  kResumeStream,          // Goes on at the token offset on the same version.
  kHedge,                 // A second attempt beside a slow one.
  kRefusedMayHaveRun,     // Not repeatable, and the first attempt may have run.
  kRefusedBudget,         // The retry budget is empty.
  kRefusedDeadline,       // The deadline leaves no time for another attempt.
  kRefusedNoUpstream,     // Every other upstream is excluded, ejected or full.
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

/// What is known of the attempt that ended.
enum class HandOverState { kNever, kFenced, kMayHaveRun };

/// The facts from which a retry is decided.
struct RetryQuestion {
  HandOverState hand_over = HandOverState::kMayHaveRun;
  bool repeatable = false;
  /// Some of the answer has gone to the caller.
  bool stream_started = false;
  /// The stream can go on at its token offset.
  bool resumable = false;
  /// A second attempt beside one that still runs.
  bool hedge = false;
  bool lease_valid = true;
  std::uint32_t attempts_made = 1;
  std::uint32_t max_attempts = 4;
  TimePoint now = {};
  TimePoint deadline = {};
  /// The shortest time in which another attempt is worth starting.
  Duration least_time = milliseconds(5);

  friend bool operator==(const RetryQuestion&, const RetryQuestion&) = default;
};

struct RetryDecision {
  bool retry = false;
  RetryReason reason = RetryReason::kRefusedMayHaveRun;

  friend bool operator==(const RetryDecision&, const RetryDecision&) = default;
};

/// Decides whether one more attempt may be made, and takes its price from the budget if so.
RetryDecision DecideRetry(const RetryQuestion& question, RetryBudget& budget);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_RETRY_H_
