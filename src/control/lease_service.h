#ifndef MASTICRILL_CONTROL_LEASE_SERVICE_H_
#define MASTICRILL_CONTROL_LEASE_SERVICE_H_

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>

#include "control/list_service.h"
#include "control/node_registry.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/common/metrics.h"
#include "masticrill/config/lease.h"
#include "masticrill/net/messages.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// How a lease request ended.
enum class LeaseDecision {
  kGranted,
  kNoQuorumEvidence,  // The leader has not confirmed its quorum to this host lately.
  kNoConfiguration,   // Nothing is configured yet.
  kHostBehind,        // The node knows a later number than this host.
  kStopping,
};

inline constexpr std::array kAllLeaseDecisions = {
    LeaseDecision::kGranted, LeaseDecision::kNoQuorumEvidence, LeaseDecision::kNoConfiguration,
    LeaseDecision::kHostBehind, LeaseDecision::kStopping};

std::string_view ToString(LeaseDecision decision);

/// What this host knows of the other processes, for the nodes that ask it.
struct FleetInfo {
  std::uint32_t entry_count = 0;
  /// IP:PORT of the control hosts of the group.
  std::vector<std::string> control_hosts;
  /// Where entries take load notices.
  std::vector<std::string> load_addresses;
};

/// Grants configuration leases to nodes. The evidence of the leader's quorum is a linearizable read
/// of the local replica, which a follower has confirmed by the leader and the leader by a quorum.
/// Safe for several threads.
class LeaseService {
 public:
  /// The arguments outlive the service.
  LeaseService(ReplicaRunner& replica, const state::ReplicatedState& state, NodeRegistry& nodes,
               const ListService& lists);

  net::LeaseReply Handle(const net::LeaseRequest& request);
  /// Whether a lease could be granted now, configuration or not.
  bool HasQuorumEvidence() const;

  /// Sets what the next replies tell of the fleet.
  void SetFleet(FleetInfo info);

  void StopGranting() { this->stopping = true; }
  /// Ends the thread that gathers evidence. The replica's thread may still call back.
  void Stop() { this->evidence_thread.Stop(); }

  const EnumCounter<LeaseDecision, kAllLeaseDecisions.size()>& Decisions() const {
    return this->decisions;
  }

 private:
  /// Outlives the service where the replica's thread still holds a read.
  struct Evidence {
    std::mutex mutex;
    config::LeaseGranter granter;
  };

  Duration RequestEvidence();
  std::optional<config::LeaseGrant> FreshGrant(config::Number number) const;
  net::LeaseReply Refuse(LeaseDecision decision) const;
  net::LeaseReply Decide(const net::LeaseRequest& request, LeaseDecision& decision) const;

  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  NodeRegistry& nodes;
  const ListService& lists;
  SystemClock clock;
  std::atomic<bool> stopping = false;
  EnumCounter<LeaseDecision, kAllLeaseDecisions.size()> decisions{kAllLeaseDecisions};
  mutable std::mutex fleet_mutex;
  FleetInfo fleet;
  std::shared_ptr<Evidence> evidence = std::make_shared<Evidence>();
  PeriodicThread evidence_thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_LEASE_SERVICE_H_
