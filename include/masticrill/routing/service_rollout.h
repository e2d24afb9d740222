#ifndef MASTICRILL_ROUTING_SERVICE_ROLLOUT_H_
#define MASTICRILL_ROUTING_SERVICE_ROLLOUT_H_

#include <cstdint>

#include "masticrill/common/clock.h"
#include "masticrill/config/configuration.h"

namespace masticrill::routing {

/// The schedule of a service roll-out with a deadline. Sessions stay on the old version at first.
/// Then a small share of them moves to the candidate, so that a bad candidate reaches few requests.
/// When the trial was judged good, all move, and the old upstreams finish their running requests
/// before they are stopped. A session never moves back while the roll-out runs, and all hosts move
/// it at the same time.
struct RolloutPlan {
  /// The part of the duration after which sessions may move, with a margin for clock differences.
  double trial_from = 0.53;
  /// The share of the sessions that moves at `trial_from`.
  double trial_share = 0.12;
  /// The part of the duration after which all sessions move to a candidate that is shown sound.
  double judge_from = 0.66;
  /// The part of the duration after which they also move to one of which too little is known, if
  /// the bound on exposed requests allows it.
  double judge_any_from = 0.80;
  /// The part of the duration at which the roll-out is declared completed.
  double complete_at = 0.90;
  /// The part of the duration that the old upstreams get to finish their requests.
  double settle = 0.08;
  /// The latest part of the duration to which `settle` postpones the completion.
  double latest_complete_at = 0.96;
  /// The bound on the requests that a bad candidate may get: this share of all requests of the
  /// service during the roll-out, and this many more.
  double exposed_share = 0.12;
  double exposed_slack = 30;
  /// The time from the judgement until all sessions move: every host learns of it with its next
  /// lease.
  milliseconds move_notice{1200};

  friend bool operator==(const RolloutPlan&, const RolloutPlan&) = default;
};

/// A plan under the given bound. Where it is small, so is the trial share: the trial alone, if it
/// goes on until the roll-out should be completed, takes at most half of the bound's share.
RolloutPlan PlanWithinBound(double exposed_share, double exposed_slack);

/// The requests of a roll-out that have been started until now.
struct RolloutTraffic {
  std::uint64_t candidate = 0;
  std::uint64_t all = 0;

  friend bool operator==(const RolloutTraffic&, const RolloutTraffic&) = default;
};

/// Whether the candidate's requests stay within the bound of the plan if all sessions move after
/// the notice that begins at `progress`, and if nothing stops the roll-out before its deadline. The
/// traffic is taken to go on as it was.
bool MayMoveUnproven(const RolloutTraffic& traffic, const config::ServiceRollout& rollout,
                     const RolloutPlan& plan, double progress);

/// The elapsed part of the roll-out's duration, at least 0. It is above 1 after the deadline.
double RolloutProgress(const config::ServiceRollout& rollout, WallTimeMs now);

/// The share of sessions, from 0 to 1, that are routed to the target version.
double TargetShare(const config::ServiceRollout& rollout, const RolloutPlan& plan, WallTimeMs now);

}  // namespace masticrill::routing

#endif  // MASTICRILL_ROUTING_SERVICE_ROLLOUT_H_
