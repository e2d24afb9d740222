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
#include "control/text_update_cache.h"
#include "masticrill/common/metrics.h"
#include "masticrill/config/lease.h"
#include "masticrill/net/messages.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// Result of a lease request.
enum class LeaseDecision {
  kGranted,
  kNoQuorumEvidence,  // No confirmation of a leader with a quorum within kMaxEvidenceAge.
  kNoConfiguration,   // Nothing is configured yet.
  kHostBehind,        // The node has a newer configuration than this host.
  kStopping,
};

inline constexpr std::array kAllLeaseDecisions = {
    LeaseDecision::kGranted, LeaseDecision::kNoQuorumEvidence, LeaseDecision::kNoConfiguration,
    LeaseDecision::kHostBehind, LeaseDecision::kStopping};

std::string_view ToString(LeaseDecision decision);

/// Facts about the other processes that lease replies carry.
struct FleetInfo {
  std::uint32_t entry_count = 0;
  /// IP:PORT of the control hosts that are voters of the group.
  std::vector<std::string> control_hosts;
  /// Addresses at which entries receive load notices.
  std::vector<std::string> load_addresses;
};

/// Grants configuration leases to nodes while there is recent evidence of a leader with a quorum.
/// The evidence is a linearizable read of the local replica: the leader confirms the read of a
/// follower, and a quorum confirms that of the leader. Thread-safe; owns a thread.
class LeaseService {
 public:
  /// The arguments must outlive the service.
  LeaseService(ReplicaRunner& replica, const state::ReplicatedState& state, NodeRegistry& nodes,
               const ListService& lists);

  /// For nodes of earlier programs: a change of the declaration comes with its whole text.
  net::LeaseReply Handle(const net::LeaseRequest& request);
  net::RenewReply Renew(const net::RenewRequest& request);
  /// Whether the evidence is recent enough to grant a lease, also when nothing is configured yet.
  bool HasQuorumEvidence() const;

  /// Sets the fleet information of the following replies.
  void SetFleet(FleetInfo info);

  /// Answers an entry's report with what was set last.
  net::EntryReportReply HandleReport(const net::EntryReport& report);
  void SetReportReply(net::EntryReportReply reply);

  void StopGranting() { this->stopping = true; }
  /// Ends the evidence thread. Pending reads may still call back on the replica's thread.
  void Stop() { this->evidence_thread.Stop(); }

  const EnumCounter<LeaseDecision, kAllLeaseDecisions.size()>& Decisions() const {
    return this->decisions;
  }

 private:
  /// Shared with pending reads of the replica's thread, which may outlive the service.
  struct Evidence {
    std::mutex mutex;
    config::LeaseGranter granter;
  };

  Duration RequestEvidence();
  std::optional<config::LeaseGrant> FreshGrant(config::Number number) const;
  net::LeaseReply Refuse(LeaseDecision decision) const;
  net::LeaseReply Decide(const net::LeaseRequest& request, LeaseDecision& decision) const;
  std::optional<config::ConfigurationDelta> WholeDelta() const;

  ReplicaRunner& replica;
  const state::ReplicatedState& state;
  NodeRegistry& nodes;
  const ListService& lists;
  SystemClock clock;
  std::atomic<bool> stopping = false;
  EnumCounter<LeaseDecision, kAllLeaseDecisions.size()> decisions{kAllLeaseDecisions};
  mutable std::mutex fleet_mutex;
  FleetInfo fleet;
  net::EntryReportReply report_reply;
  TextUpdateCache text_updates;
  std::shared_ptr<Evidence> evidence = std::make_shared<Evidence>();
  PeriodicThread evidence_thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_LEASE_SERVICE_H_
