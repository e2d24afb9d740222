#include "masticrill/routing/service_rollout.h"

#include <algorithm>

namespace masticrill::routing {

double RolloutProgress(const config::ServiceRollout& rollout, WallTimeMs now) {
  const auto duration = std::max<std::int64_t>(rollout.duration.count(), 1);
  const auto elapsed = std::max<std::int64_t>(now - rollout.ordered_at, 0);
  return static_cast<double>(elapsed) / static_cast<double>(duration);
}

RolloutPlan PlanWithinBound(double exposed_share, double exposed_slack) {
  RolloutPlan plan;
  plan.exposed_share = exposed_share;
  plan.exposed_slack = exposed_slack;
  plan.trial_share =
      std::min(plan.trial_share, exposed_share / 2 / (plan.complete_at - plan.trial_from));
  return plan;
}

bool MayMoveUnproven(const RolloutTraffic& traffic, const config::ServiceRollout& rollout,
                     const RolloutPlan& plan, double progress) {
  if (progress <= 0) {
    return false;
  }
  const double whole_traffic = static_cast<double>(traffic.all) / progress;
  const double notice = static_cast<double>(plan.move_notice.count()) /
                        static_cast<double>(std::max<std::int64_t>(rollout.duration.count(), 1));
  const double share_to_come = plan.trial_share * notice + std::max(1 - progress - notice, 0.0);
  return static_cast<double>(traffic.candidate) + share_to_come * whole_traffic <=
         plan.exposed_share * whole_traffic + plan.exposed_slack;
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
