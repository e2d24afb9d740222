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

bool CallRunner::MayHandOver() {
  const GatewayViewPtr newest = this->context.view();
  return !this->context.prompts.FindBlocked(this->parts, this->clock.Now()) &&
         !this->CheckLease(*newest) && !this->UseView(newest) && !this->CheckTimeLeft();
}

bool CallRunner::ConnectNext() {
  bool refused = true;
  while (refused) {
    refused = false;
    if (this->TryConnectNext(refused)) {
      return true;
    }
  }
  return false;
}

bool CallRunner::TryConnectNext(bool& refused) {
  const UpstreamPick pick =
      this->context.pool.Pick(this->MakeQuery(), this->clock.Now(), this->clock.WallNow());
  if (pick.status != PickStatus::kFound) {
    return false;
  }
  auto attempt = std::make_unique<UpstreamAttempt>(pick, this->context.protocol, this->context.pool,
                                                   this->context.buffers, this->context.settings);
  const AttemptEnd end = attempt->Connect(this->caller.Socket(), this->WaitUntil());
  if (end == AttemptEnd::kNotConnected) {
    attempt->SetNotConnected();
    this->tried.insert(pick.upstream.id);
    refused = attempt->ConnectionRefused() && pick.was_healthy;
  }
  // It may have said meanwhile that it leaves, or asked for a pause.
  if (end != AttemptEnd::kAnswered ||
      !this->context.pool.MayStillSend(pick.upstream.id, this->clock.Now())) {
    return false;
  }
  this->next_pick = pick;
  this->next = std::move(attempt);
  return true;
}

bool CallRunner::PrepareMove(std::uint32_t attempts_made) {
  if (!this->MayHandOver()) {
    return false;
  }
  const routing::RetryDecision decision =
      this->TakeRetry(routing::HandOverState::kMayHaveRun, attempts_made);
  if (!decision.retry) {
    return false;
  }
  if (!this->ConnectNext()) {
    this->context.budgets.For(this->service).PutBack();
    return false;
  }
  this->granted_retry = decision;
  this->moved = true;
  return true;
}

bool CallRunner::PrepareEscalation() {
  const std::size_t former_model = std::exchange(this->model_index, this->route->models.size() - 1);
  std::set<UpstreamId> former_tried = std::exchange(this->tried, {});
  if (this->MayHandOver() && this->ConnectNext()) {
    return true;
  }
  this->model_index = former_model;
  this->tried = std::move(former_tried);
  this->context.budgets.For(this->service).PutBack();
  return false;
}

}  // namespace masticrill::gateway
