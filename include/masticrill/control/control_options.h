#ifndef MASTICRILL_CONTROL_CONTROL_OPTIONS_H_
#define MASTICRILL_CONTROL_CONTROL_OPTIONS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/result.h"
#include "masticrill/config/lease.h"
#include "masticrill/control/operator_access.h"
#include "masticrill/net/http_server.h"
#include "masticrill/routing/service_rollout.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// A control replica and the IP:PORT at which it accepts RPC connections.
struct PeerAddress {
  NodeId node;
  std::string address;

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

/// Handles one HTTP request of an operator. The access belongs to that request.
using OperatorFrontend = std::function<net::HttpAnswer(const net::HttpRequest&, OperatorAccess&)>;

/// Reads the list of upstreams that is distributed to all nodes, as bytes. Fails when the source of
/// the list cannot be read.
using SharedListReader = std::function<Result<std::string>()>;

/// Time-outs, intervals and snapshot limits of a control host.
struct ControlTimings {
  Duration heartbeat_interval = milliseconds(100);
  Duration election_timeout = milliseconds(600);
  /// Maximum wait for the commit of a change by an operator or a node.
  Duration propose_timeout = seconds(5);
  /// Maximum wait of a read for the leader's confirmation.
  Duration read_timeout = seconds(2);
  /// Maximum wait of a planned stop for another replica to become leader.
  Duration leadership_transfer_timeout = seconds(3);
  /// An entry that has not requested a lease from any control host for this long is considered
  /// lost.
  Duration lost_entry_timeout = seconds(60);
  /// A voter that the leader has not heard from becomes a learner if at least three voters are
  /// left: after the shorter time in a group of an even number, which tolerates no more losses than
  /// without that voter, and after the longer time in a group of an odd number. It is promoted
  /// again when it has caught up.
  Duration demote_surplus_voter_after = seconds(3);
  Duration demote_voter_after = seconds(10);
  /// A learner that the leader has not heard from for this long is removed for good. The limit is
  /// longer than those of voters: a learner has no vote, so it can stay listed, and one that was
  /// only cut off then need not join again.
  Duration remove_learner_after = seconds(60);
  /// How often the leader reads the shared list, and how often the other control hosts poll the
  /// leader for it.
  Duration list_read_interval = milliseconds(700);
  Duration list_poll_interval = milliseconds(200);
  /// Maximum wait of a planned stop for the group to take this replica's vote.
  Duration leave_timeout = seconds(2);
  /// How often the leader checks for voters that are gone and learners that have caught up.
  Duration member_upkeep_interval = milliseconds(250);
  /// How often the leader checks for lost entries, and every control host updates the fleet
  /// information for its nodes.
  Duration upkeep_interval = seconds(1);
  /// A snapshot is taken after this many commands or bytes of commands.
  std::size_t snapshot_after_entries = 100'000;
  std::size_t snapshot_after_bytes = std::size_t{64} << 20U;
};

/// Start options of a control host.
struct ControlOptions {
  NodeId node;
  FailureDomainId failure_domain;
  /// IP:PORT for nodes and other replicas; port 0 lets the system choose.
  std::string rpc_address = "127.0.0.1:0";
  /// IP:PORT for operators.
  std::string http_address = "127.0.0.1:0";
  /// Folder of the replica's files; created when missing.
  std::string data_folder;
  /// The replicas of the group. This replica's own name may be among them.
  std::vector<PeerAddress> peers;
  /// The members of a new group, by node name; when empty, the peers and this replica. Observers
  /// among them get no vote. A replica that is not listed, or whose data folder was lost, waits
  /// until it is added to the group.
  std::vector<NodeId> initial_members;
  /// Wait to be added to a running group instead of forming one.
  bool join = false;
  /// Whether this replica requests membership in a running group when it is not a member, and, as
  /// the leader, replaces unresponsive members by new ones. When false, operators do both.
  bool auto_join = false;
  /// False for an observer: a replica that follows the log and serves requests, but never votes,
  /// since its data folder does not outlive its process. An observer joins a running group and
  /// never forms one.
  bool may_vote = true;
  /// Called only by the leader, on behalf of all nodes; empty when no list is shared.
  SharedListReader read_list = {};
  /// Replaces the built-in HTTP interface for operators; empty for the built-in one.
  OperatorFrontend operator_frontend = {};
  /// Secret that is shared by all processes of the system.
  std::string shared_secret;
  /// Configuration document that is committed when the group has no configuration; empty for none.
  std::string bootstrap_document;
  /// Key that may change the configuration as long as the configuration lists no operator; empty
  /// for none.
  std::string bootstrap_operator_key;
  /// The longest time after the acknowledgement of a declaration for which a node may act on an
  /// earlier one. A shorter bound delays the acknowledgement.
  Duration change_bound = config::kLeaseLength;
  int max_rpc_connections = 1200;
  int max_http_connections = 64;
  /// All that is held of operators' requests at the same time.
  std::size_t max_http_bytes = std::size_t{64} << 20U;
  ControlTimings timings = {};
  routing::RolloutPlan rollout = {};
  /// Equal on all replicas of a group.
  state::Limits state_limits = {};
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_CONTROL_OPTIONS_H_
