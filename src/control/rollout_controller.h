#ifndef MASTICRILL_CONTROL_ROLLOUT_CONTROLLER_H_
#define MASTICRILL_CONTROL_ROLLOUT_CONTROLLER_H_

#include <vector>

#include "control/fleet_view.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/control/operator_access.h"
#include "masticrill/routing/rollout_judge.h"
#include "masticrill/routing/service_rollout.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// What becomes of a running roll-out.
enum class RolloutVerdict { kContinue, kComplete, kRollBack };

/// The evidence of all entries on one roll-out, joined.
struct RolloutEvidence {
  routing::VersionEvidence candidate;
  routing::VersionEvidence baseline;

  friend bool operator==(const RolloutEvidence&, const RolloutEvidence&) = default;
};

/// Joins the latest reports of all entries on a service's roll-out to that target.
RolloutEvidence JoinEvidence(const std::vector<net::NodeReport>& reports, const ServiceId& service,
                             const VersionId& target);

/// Decides on the joined evidence. A candidate that is worse is rolled back at once; one that is
/// not, and was tried, is completed when its time has come. Pure.
struct RolloutJudgement {
  RolloutVerdict verdict = RolloutVerdict::kContinue;
  std::string reason;
};
RolloutJudgement JudgeServiceRollout(const config::ServiceRollout& rollout,
                                     const RolloutEvidence& evidence,
                                     const routing::RolloutPlan& plan, WallTimeMs now);

/// At the leader: watches the roll-outs of services that run, and ends them. Runs a thread.
class RolloutController {
 public:
  /// The arguments outlive it.
  RolloutController(ReplicaRunner& replica, const state::ReplicatedState& state, FleetView& fleet,
                    OperatorAccess& access);
  void Stop() { this->thread.Stop(); }

 private:
  Duration RunOnce();
  void EndRollout(const ServiceId& service, const config::ServiceRollout& rollout,
                  const RolloutJudgement& judgement);

  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  FleetView& fleet;
  OperatorAccess& access;
  routing::RolloutPlan plan;
  SystemClock clock;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_ROLLOUT_CONTROLLER_H_
