#ifndef MASTICRILL_CONTROL_UPKEEP_H_
#define MASTICRILL_CONTROL_UPKEEP_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <set>

#include "control/address_book.h"
#include "control/fleet_view.h"
#include "control/lease_service.h"
#include "control/member_service.h"
#include "control/node_activity_tracker.h"
#include "control/periodic_thread.h"
#include "control/proposer.h"
#include "masticrill/control/control_options.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// What a control host does of its own. Each one keeps its nodes informed on the fleet; the leader
/// puts the bootstrap document in force, promotes learners that
/// have caught up, and closes incarnations of entries that are lost. Runs a thread.
class Upkeep {
 public:
  /// The arguments outlive it.
  Upkeep(const ControlOptions& options, ReplicaRunner& replica, const state::ReplicatedState& state,
         Proposer& proposer, MemberService& members, FleetView& fleet, AddressBook& addresses,
         LeaseService& leases);

  void Stop() { this->thread.Stop(); }
  std::uint64_t ClosedIncarnations() const { return this->closed_incarnations; }
  /// How often the leader's work was done.
  std::uint64_t Rounds() const { return this->rounds; }

 private:
  Duration RunOnce();
  bool BootstrapPending() const;
  void ProposeBootstrapDocument();
  void CloseLostEntries(const std::vector<net::NodeReport>& reports);
  /// Lets the nodes that ask this host know how many share the limits, and whom else to ask.
  void PublishFleet(const std::vector<net::NodeReport>& reports);

  ControlOptions options;
  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  Proposer& proposer;
  MemberService& members;
  FleetView& fleet;
  AddressBook& addresses;
  LeaseService& leases;
  SystemClock clock;
  NodeActivityTracker node_activity;
  std::set<NodeIncarnation> closed;
  std::atomic<std::uint64_t> closed_incarnations = 0;
  std::atomic<std::uint64_t> rounds = 0;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_UPKEEP_H_
