#include "masticrill/routing/service_rollout.h"

#include <algorithm>

namespace masticrill::routing {

double RolloutProgress(const config::ServiceRollout& rollout, WallTimeMs now) {
  const auto duration = std::max<std::int64_t>(rollout.duration.count(), 1);
  const auto elapsed = std::max<std::int64_t>(now - rollout.ordered_at, 0);
  return static_cast<double>(elapsed) / static_cast<double>(duration);
}

double TargetShare(const config::ServiceRollout& rollout, const RolloutPlan& plan, WallTimeMs now) {
  switch (rollout.state) {
    case config::ServiceRolloutState::kCompleted:
      return 1;
    case config::ServiceRolloutState::kRolledBack:
      return 0;
    case config::ServiceRolloutState::kRunning:
      break;
  }
  if (rollout.moved_at != 0 && now >= rollout.moved_at) {
    return 1;
  }
  return RolloutProgress(rollout, now) < plan.trial_from ? 0 : plan.trial_share;
}

}  // namespace masticrill::routing
