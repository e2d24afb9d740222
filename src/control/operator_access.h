#ifndef MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_
#define MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_

#include <mutex>
#include <optional>
#include <string>

#include "control/fleet_view.h"
#include "control/proposer.h"
#include "control/replica_runner.h"
#include "control/revision_times.h"
#include "masticrill/control/control_options.h"
#include "masticrill/control/operator_access.h"
#include "masticrill/state/commands.h"
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
                           const state::ReplicatedState& state, Proposer& proposer,
                           FleetView& fleet, const RevisionTimes& revision_times)
      : options(options),
        replica(replica),
        state(state),
        proposer(proposer),
        fleet(fleet),
        revision_times(revision_times) {}

  config::ConfigurationPtr ReadCurrent() override;
  ChangeOutcome Change(const Planner& plan, const std::string& author,
                       const std::string& reason) override;
  ChangeOutcome Declare(const config::Declaration& declaration, const std::string& author) override;

 private:
  /// How a declaration is committed.
  enum class DeclarationPath {
    kDelta,
    kWholeText,  // A member's program knows no deltas.
    kUnknown,    // Too few members have told what they know.
  };

  /// The end of an attempt to commit; absent when another change was committed first.
  using CommitEnd = std::optional<ChangeOutcome>;

  CommitEnd Commit(const state::Command& command, const std::string& author,
                   const std::string& reason);
  ChangeOutcome CommitDeclaration(const config::Declaration& declaration, const std::string& author,
                                  const std::string& reason);
  DeclarationPath ChooseDeclarationPath();
  void AwaitEarlierLeases(std::uint64_t revision) const;

  const ControlOptions& options;
  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  Proposer& proposer;
  FleetView& fleet;
  const RevisionTimes& revision_times;
  std::mutex survey_mutex;
  /// Of all answers so far; the last one of each host counts.
  FeatureSurvey survey;
  SystemClock clock;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_
