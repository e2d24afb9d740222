#ifndef MASTICRILL_CONTROL_ROLLOUT_CONTROLLER_H_
#define MASTICRILL_CONTROL_ROLLOUT_CONTROLLER_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/control/operator_access.h"
#include "masticrill/routing/rollout_evaluation.h"
#include "masticrill/routing/service_rollout.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// Decision on a running roll-out.
enum class RolloutVerdict { kContinue, kMoveAll, kComplete, kRollBack };

/// The merged evidence of all entries on one roll-out.
struct RolloutEvidence {
  routing::VersionEvidence candidate;
  routing::VersionEvidence baseline;

  friend bool operator==(const RolloutEvidence&, const RolloutEvidence&) = default;
};

/// Merges the recent reports of all entries on the roll-out of `service` to `target`. The waits of
/// an entry come beside its report; one of an earlier program sends none.
RolloutEvidence MergeEvidence(const std::vector<net::NodeReport>& reports,
                              const std::vector<net::AgedEntryReport>& entry_reports,
                              const ServiceId& service, const VersionId& target);

/// Decision of JudgeServiceRollout on the merged evidence: a candidate that is worse than the
/// baseline is rolled back at once. One that is shown to be sound gets all sessions, and is
/// completed when the old upstreams had time to finish; one of which little is known gets them
/// later. While the evidence leans against the candidate, its share is held; if it still does when
/// the roll-out should be completed, the candidate is rolled back. The function is pure.
struct RolloutJudgement {
  RolloutVerdict verdict = RolloutVerdict::kContinue;
  std::string reason;
};
RolloutJudgement JudgeServiceRollout(const config::ServiceRollout& rollout,
                                     const RolloutEvidence& evidence,
                                     const routing::RolloutPlan& plan, WallTimeMs now);

/// On the leader, checks the running roll-outs of services, and completes them or rolls them back.
/// Owns a thread.
class RolloutController {
 public:
  /// The arguments must outlive the controller.
  RolloutController(ReplicaRunner& replica, const state::ReplicatedState& state, FleetView& fleet,
                    OperatorAccess& access, const routing::RolloutPlan& plan);
  void Stop() { this->thread.Stop(); }

 private:
  Duration RunOnce();
  void MoveAll(const ServiceId& service, const config::ServiceRollout& rollout,
               const RolloutJudgement& judgement);
  void EndRollout(const ServiceId& service, const config::ServiceRollout& rollout,
                  const RolloutJudgement& judgement);
  void CommitUnlessChanged(const ServiceId& service, const config::ServiceRollout& rollout,
                           const nlohmann::json& change, const std::string& reason);

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
