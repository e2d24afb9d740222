// The part of CallRunner that moves a request from a silent or slow upstream to another one.
#include <utility>

#include "gateway/call_runner.h"

namespace masticrill::gateway {

bool CallRunner::PrepareMove(std::uint32_t attempts_made) {
  if (this->context.prompts.FindBlocked(this->parts, this->clock.Now()) || this->UseNewestView() ||
      this->CheckTimeLeft()) {
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
  if (end != AttemptEnd::kAnswered) {
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
  return true;
}

}  // namespace masticrill::gateway
