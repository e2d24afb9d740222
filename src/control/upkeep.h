#ifndef MASTICRILL_CONTROL_UPKEEP_H_
#define MASTICRILL_CONTROL_UPKEEP_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <set>

#include "control/address_book.h"
#include "control/fleet_view.h"
#include "control/lease_service.h"
#include "control/node_activity_tracker.h"
#include "control/periodic_thread.h"
#include "control/proposer.h"
#include "masticrill/control/control_options.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// Periodic upkeep of a control host. Every host updates the fleet information for its nodes. The
/// leader also commits the bootstrap document and closes the incarnations of lost entries. Owns a
/// thread.
class Upkeep {
 public:
  /// The arguments must outlive the upkeep.
  Upkeep(const ControlOptions& options, ReplicaRunner& replica, const state::ReplicatedState& state,
         Proposer& proposer, FleetView& fleet, AddressBook& addresses, LeaseService& leases);

  void Stop() { this->thread.Stop(); }
  std::uint64_t ClosedIncarnations() const { return this->closed_incarnations; }
  /// Number of rounds that this replica completed as the leader.
  std::uint64_t Rounds() const { return this->rounds; }

 private:
  Duration RunOnce();
  bool BootstrapPending() const;
  void ProposeBootstrapDocument();
  void CloseLostEntries(const std::vector<net::NodeReport>& reports);
  /// Sets the fleet information of lease replies: how many entries share the limits, and the
  /// addresses of the control hosts and for load notices.
  void PublishFleet(const std::vector<net::NodeReport>& reports);

  ControlOptions options;
  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  Proposer& proposer;
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
