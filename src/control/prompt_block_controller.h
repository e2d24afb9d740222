#ifndef MASTICRILL_CONTROL_PROMPT_BLOCK_CONTROLLER_H_
#define MASTICRILL_CONTROL_PROMPT_BLOCK_CONTROLLER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/fleet_view.h"
#include "control/lease_service.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/control/operator_access.h"
#include "masticrill/routing/prompt_evidence.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// The evidence of all entries on prompt parts.
routing::PromptEvidence MergePromptEvidence(const std::vector<net::NodeReport>& reports,
                                            const routing::PromptSettings& settings);

/// The parts that are blocked, with the ages of the decisions.
routing::BlockedParts BlockedPartsOf(const config::Configuration& configuration, WallTimeMs now);

/// The merge patch that blocks the part of a verdict, if there is one, and drops the blocks that
/// have expired or are too many, the oldest first; empty when nothing changes. Pure.
std::string PlanPromptBlocks(const config::Configuration& current,
                             const std::optional<routing::PartVerdict>& verdict, WallTimeMs now);

/// Finds the parts of prompts under which upstreams end. Every control host asks its entries about
/// suspect parts; the leader blocks those that the joint evidence condemns. Owns a thread.
class PromptBlockController {
 public:
  /// The arguments must outlive the controller.
  PromptBlockController(ReplicaRunner& replica, const state::ReplicatedState& state,
                        FleetView& fleet, LeaseService& leases, OperatorAccess& access);
  void Stop() { this->thread.Stop(); }

 private:
  Duration RunOnce();
  /// Drops the evidence from before the time when this host saw that a block was lifted.
  void ForgetLifted(routing::PromptEvidence& evidence, const config::Configuration& current);
  void Commit(const std::optional<routing::PartVerdict>& verdict);
  bool HasExpired(const config::Configuration& current) const;

  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  FleetView& fleet;
  LeaseService& leases;
  OperatorAccess& access;
  routing::PromptSettings settings;
  SystemClock clock;
  std::map<PromptPartId, TimePoint> lifted_at;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_PROMPT_BLOCK_CONTROLLER_H_
