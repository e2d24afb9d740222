#ifndef MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_
#define MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_

#include <mutex>
#include <optional>
#include <string>
#include <utility>

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

/// Reads and changes the configuration through the replicated log. Its own changes are those of
/// this host; those of an operator's request go through a RequestAccess. Thread-safe.
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
  /// Change on behalf of a request. Each attempt commits on a number that was read while the sender
  /// still waited. What needs no change takes a number as well, so that no change that was planned
  /// before this acknowledgement can be committed after it.
  ChangeOutcome ChangeForRequest(const Planner& plan, const std::string& author,
                                 const std::string& reason, const SenderWaits& sender_waits);

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
  CommitEnd CommitPatch(config::Number expected_number, const std::string& merge_patch,
                        const std::string& author, const std::string& reason);
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

/// The access of one operator's request, whose sender moves on to another host when it has waited
/// too long. Used by the thread that handles the request.
class RequestAccess : public OperatorAccess {
 public:
  /// The access must outlive this object.
  RequestAccess(ReplicatedOperatorAccess& access, SenderWaits sender_waits)
      : access(access), sender_waits(std::move(sender_waits)) {}

  config::ConfigurationPtr ReadCurrent() override { return this->access.ReadCurrent(); }
  ChangeOutcome Change(const Planner& plan, const std::string& author,
                       const std::string& reason) override {
    return this->access.ChangeForRequest(plan, author, reason, this->sender_waits);
  }
  /// A late declaration is harmless: only a higher revision takes effect.
  ChangeOutcome Declare(const config::Declaration& declaration,
                        const std::string& author) override {
    return this->access.Declare(declaration, author);
  }

 private:
  ReplicatedOperatorAccess& access;
  SenderWaits sender_waits;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_REPLICATED_OPERATOR_ACCESS_H_
