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
  // Ten tenths must make one whole retry.
  constexpr double kRounding = 1e-9;
  const std::lock_guard lock(this->mutex);
  if (this->balance + kRounding < 1 + reserve) {
    return false;
  }
  this->balance = std::max(0.0, this->balance - 1);
  return true;
}

double RetryBudget::Balance() const {
  const std::lock_guard lock(this->mutex);
  return this->balance;
}

namespace {

RetryReason AllowedReason(const RetryQuestion& question) {
  if (question.hedge) {
    return question.repeatable ? RetryReason::kHedge : RetryReason::kRefusedMayHaveRun;
  }
  switch (question.hand_over) {
    case HandOverState::kNever:
      return RetryReason::kNeverHandedOver;
    case HandOverState::kFenced:
      return RetryReason::kFencedBeforeStart;
    case HandOverState::kMayHaveRun:
      break;
  }
  if (!question.repeatable) {
    return RetryReason::kRefusedMayHaveRun;
  }
  return question.stream_started ? RetryReason::kResumeStream : RetryReason::kRepeatable;
}

}  // namespace

RetryDecision DecideRetry(const RetryQuestion& question, RetryBudget& budget) {
  const RetryReason reason = AllowedReason(question);
  if (reason == RetryReason::kRefusedMayHaveRun) {
    return {false, reason};
  }
  if (question.stream_started && !question.resumable) {
    return {false, RetryReason::kRefusedStreamStarted};
  }
  if (!question.lease_valid) {
    return {false, RetryReason::kRefusedNoLease};
  }
  if (question.attempts_made >= question.max_attempts) {
    return {false, RetryReason::kRefusedAttempts};
  }
  if (question.now + question.least_time >= question.deadline) {
    return {false, RetryReason::kRefusedDeadline};
  }
  if (const bool taken = question.hedge ? budget.TryTakeForHedge() : budget.TryTake(); !taken) {
    return {false, RetryReason::kRefusedBudget};
  }
  return {true, reason};
}

}  // namespace masticrill::routing
