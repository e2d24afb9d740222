#ifndef MASTICRILL_CONTROL_ENTRY_REPORT_CONTROLLER_H_
#define MASTICRILL_CONTROL_ENTRY_REPORT_CONTROLLER_H_

#include <map>
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
routing::PromptEvidence MergePromptEvidence(const std::vector<net::AgedEntryReport>& reports,
                                            const routing::PromptSettings& settings);

/// Whether each entry that holds a lease and knows other entries has sent a report. One of an
/// earlier program sends none.
bool AllEntriesReport(const std::vector<net::NodeReport>& nodes,
                      const std::vector<net::AgedEntryReport>& reports);

/// The recent demand of each entry, by which they share the limits of upstreams.
std::vector<net::EntryDemand> DemandsOf(const std::vector<net::AgedEntryReport>& reports);

/// The parts that are blocked, with the ages of the decisions.
routing::BlockedParts BlockedPartsOf(const config::Configuration& configuration, WallTimeMs now);

/// The merge patch that blocks the parts and requests of the verdicts and drops the blocks that
/// have expired or are too many, the oldest first; empty when nothing changes. Pure.
std::string PlanPromptBlocks(const config::Configuration& current,
                             const std::vector<routing::PartVerdict>& verdicts, WallTimeMs now);

/// How long a block holds whose verdict is not certain.
inline constexpr Duration kHeldLifetime = seconds(60);

/// A block whose verdict was not certain.
struct HeldBlock {
  TimePoint since;
  /// It has ended. If the request comes under suspicion again, its block lasts as long as others.
  bool has_ended = false;

  friend bool operator==(const HeldBlock&, const HeldBlock&) = default;
};

using HeldBlocks = std::map<PromptPartId, HeldBlock>;

/// The merge patch that removes the blocks whose time is over, of those that are in force; empty
/// when there is none. Pure.
std::string PlanEndOfHeldBlocks(const config::Configuration& current, const HeldBlocks& held,
                                TimePoint now);

/// Joins what entries report. Every control host tells its entries the demand of all, and asks them
/// about prompt parts and requests under which upstreams may end; the leader blocks those that the
/// joint evidence condemns. Owns a thread.
class EntryReportController {
 public:
  /// The arguments must outlive the controller.
  EntryReportController(ReplicaRunner& replica, const state::ReplicatedState& state,
                        FleetView& fleet, LeaseService& leases, OperatorAccess& access);
  void Stop() { this->thread.Stop(); }

 private:
  Duration RunOnce();
  /// Drops the evidence from before the time when this host saw that a block was lifted.
  void ForgetLifted(routing::PromptEvidence& evidence, const config::Configuration& current);
  void Block(const std::vector<routing::PartVerdict>& verdicts, const EntryReports& collected);
  void Commit(const std::vector<routing::PartVerdict>& verdicts);
  void EndHeldBlocks(const config::Configuration& current);

  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  FleetView& fleet;
  LeaseService& leases;
  OperatorAccess& access;
  routing::PromptSettings settings;
  SystemClock clock;
  std::map<PromptPartId, TimePoint> lifted_at;
  /// What this host has blocked on verdicts that are not certain. A new leader does not know it:
  /// the blocks then last as long as others.
  HeldBlocks held;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_ENTRY_REPORT_CONTROLLER_H_
