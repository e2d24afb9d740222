// The part of CallRunner that moves a request from a silent or slow upstream to another one.
#include <condition_variable>
#include <mutex>
#include <utility>

#include "gateway/call_runner.h"

namespace masticrill::gateway {

void CallRunner::Pause(Duration duration) {
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock lock(mutex);
  never.wait_for(lock, duration);
}

bool CallRunner::KeepsLooking() const { return this->caller.Begun() || this->moved; }

bool CallRunner::PauseToResume() {
  const Duration pause(this->context.settings.resume_check);
  if (!this->KeepsLooking() || this->clock.Now() + pause >= this->WaitUntil() ||
      this->caller.Socket().PeerLeft()) {
    return false;
  }
  Pause(pause);
  return true;
}

bool CallRunner::AwaitRetryBudget() {
  while (this->PauseToResume()) {
    const routing::RetryDecision decision =
        this->TakeRetry(routing::HandOverState::kMayHaveRun, this->attempts);
    if (decision.retry || decision.reason != routing::RetryReason::kRefusedBudget) {
      this->context.metrics.retries.Add(decision.reason);
      return decision.retry;
    }
  }
  return false;
}

bool CallRunner::PrepareMove(std::uint32_t attempts_made) {
  const GatewayViewPtr newest = this->context.view();
  if (this->context.prompts.FindBlocked(this->parts, this->clock.Now()) ||
      this->CheckLease(*newest) || this->UseView(newest) || this->CheckTimeLeft()) {
    return false;
  }
  const routing::RetryDecision decision =
      this->TakeRetry(routing::HandOverState::kMayHaveRun, attempts_made);
  if (!decision.retry) {
    return false;
  }
  const UpstreamPick pick =
      this->context.pool.Pick(this->MakeQuery(), this->clock.Now(), this->clock.WallNow());
  if (pick.status != PickStatus::kFound) {
    this->context.budgets.For(this->service).PutBack();
    return false;
  }
  auto attempt = std::make_unique<UpstreamAttempt>(pick, this->context.protocol, this->context.pool,
                                                   this->context.settings);
  const AttemptEnd end = attempt->Connect(this->caller.Socket(), this->WaitUntil());
  // It may have said meanwhile that it leaves, or asked for a pause.
  const bool is_ready = end == AttemptEnd::kAnswered &&
                        this->context.pool.MayStillSend(pick.upstream.id, this->clock.Now());
  if (!is_ready) {
    this->context.budgets.For(this->service).PutBack();
    if (end == AttemptEnd::kNotConnected) {
      attempt->SetVerdict(AttemptVerdict::kFailure);
      this->tried.insert(pick.upstream.id);
    }
    return false;
  }
  this->granted_retry = decision;
  this->next_pick = pick;
  this->next = std::move(attempt);
  this->moved = true;
  return true;
}

}  // namespace masticrill::gateway
