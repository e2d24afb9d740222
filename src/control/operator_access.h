#ifndef MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_
#define MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_

#include <string>

#include "control/proposer.h"
#include "control/replica_runner.h"
#include "masticrill/control/control_options.h"
#include "masticrill/control/operator_access.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// Waits until the local state includes all that was committed before the call, for at most
/// `timings.read_timeout`. Returns false when no leader confirms that in time.
bool AwaitCurrentState(ReplicaRunner& replica, const ControlTimings& timings);

/// Reads and changes the configuration through the replicated log.
class ReplicatedOperatorAccess : public OperatorAccess {
 public:
  /// The arguments must outlive this object.
  ReplicatedOperatorAccess(const ControlOptions& options, ReplicaRunner& replica,
                           const state::ReplicatedState& state, Proposer& proposer)
      : options(options), replica(replica), state(state), proposer(proposer) {}

  config::ConfigurationPtr ReadCurrent() override;
  ChangeOutcome Change(const Planner& plan, const std::string& author,
                       const std::string& reason) override;

 private:
  const ControlOptions& options;
  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  Proposer& proposer;
  SystemClock clock;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_
