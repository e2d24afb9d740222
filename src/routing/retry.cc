#include "masticrill/routing/retry.h"

#include <algorithm>

namespace masticrill::routing {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : settings(settings), balance(settings.initial_balance) {}

void RetryBudget::OnRequest() {
  const std::lock_guard lock(this->mutex);
  this->balance =
      std::min(this->balance + this->settings.retries_per_request, this->settings.max_balance);
}

bool RetryBudget::TryTake() { return this->TryTakeAbove(0); }

bool RetryBudget::TryTakeForHedge() { return this->TryTakeAbove(this->settings.hedge_reserve); }

bool RetryBudget::TryTakeAbove(double reserve) {
  // Deposits that add up to 1 may sum to slightly less in floating point, but must pay for a retry.
  constexpr double kRoundingTolerance = 1e-9;
  const std::lock_guard lock(this->mutex);
  if (this->balance + kRoundingTolerance < 1 + reserve) {
    return false;
  }
  this->balance = std::max(0.0, this->balance - 1);
  return true;
}

void RetryBudget::PutBack() {
  const std::lock_guard lock(this->mutex);
  this->balance = std::min(this->balance + 1, this->settings.max_balance);
}

double RetryBudget::Balance() const {
  const std::lock_guard lock(this->mutex);
  return this->balance;
}

namespace {

RetryReason AllowedReason(const RetryConditions& conditions) {
  if (conditions.hedge) {
    return conditions.repeatable ? RetryReason::kHedge : RetryReason::kRefusedMayHaveRun;
  }
  switch (conditions.hand_over) {
    case HandOverState::kNever:
      return RetryReason::kNeverHandedOver;
    case HandOverState::kFenced:
      return RetryReason::kFencedBeforeStart;
    case HandOverState::kMayHaveRun:
      break;
  }
  if (!conditions.repeatable) {
    return RetryReason::kRefusedMayHaveRun;
  }
  return conditions.stream_started ? RetryReason::kResumeStream : RetryReason::kRepeatable;
}

}  // namespace

RetryDecision DecideRetry(const RetryConditions& conditions, RetryBudget& budget) {
  const RetryReason reason = AllowedReason(conditions);
  if (reason == RetryReason::kRefusedMayHaveRun) {
    return {false, reason};
  }
  if (conditions.stream_started && !conditions.resumable) {
    return {false, RetryReason::kRefusedStreamStarted};
  }
  if (!conditions.lease_valid) {
    return {false, RetryReason::kRefusedNoLease};
  }
  if (conditions.attempts_made >= conditions.max_attempts) {
    return {false, RetryReason::kRefusedAttempts};
  }
  if (conditions.now + conditions.min_time_left >= conditions.deadline) {
    return {false, RetryReason::kRefusedDeadline};
  }
  if (const bool taken = conditions.hedge ? budget.TryTakeForHedge() : budget.TryTake(); !taken) {
    return {false, RetryReason::kRefusedBudget};
  }
  return {true, reason};
}

}  // namespace masticrill::routing
