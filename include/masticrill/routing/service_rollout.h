#ifndef MASTICRILL_ROUTING_SERVICE_ROLLOUT_H_
#define MASTICRILL_ROUTING_SERVICE_ROLLOUT_H_

#include "masticrill/common/clock.h"
#include "masticrill/config/configuration.h"

namespace masticrill::routing {

/// The course of a roll-out whose candidate has to be proved by its deadline. Sessions stay on the
/// old version at first. Then a small share of them tries the candidate, so that a bad one reaches
/// few requests; then all move, and the old upstreams finish what they run before they are stopped.
/// A session never moves back while the roll-out runs, and all hosts move it at the same time.
struct RolloutPlan {
  /// The part of the duration after which sessions may move, with a margin for clocks that differ.
  double trial_from = 0.53;
  /// The share of the sessions that moves first.
  double trial_share = 0.12;
  /// The part of the duration after which all move.
  double move_at = 0.72;
  /// The part of the duration at which the roll-out is declared completed.
  double complete_at = 0.90;

  friend bool operator==(const RolloutPlan&, const RolloutPlan&) = default;
};

/// The part of a roll-out's time that is over, at least 0. It passes 1 after the deadline.
double RolloutProgress(const config::ServiceRollout& rollout, WallTimeMs now);

/// The share of sessions, from 0 to 1, that go to the target.
double TargetShare(const config::ServiceRollout& rollout, const RolloutPlan& plan, WallTimeMs now);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_SERVICE_ROLLOUT_H_
