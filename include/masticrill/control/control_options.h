#ifndef MASTICRILL_CONTROL_CONTROL_OPTIONS_H_
#define MASTICRILL_CONTROL_CONTROL_OPTIONS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"
#include "masticrill/common/result.h"
#include "masticrill/control/operator_access.h"
#include "masticrill/net/http_server.h"
#include "masticrill/state/replicated_state.h"

namespace masticrill::control {

/// A control replica and the IP:PORT at which it takes messages.
struct PeerAddress {
  NodeId node;
  std::string address;

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

/// Answers one request of an operator.
using OperatorFrontend = std::function<net::HttpAnswer(const net::HttpRequest&, OperatorAccess&)>;

/// Reads the list of upstreams that is shared with all nodes, as bytes. Fails when it cannot be
/// had.
using SharedListReader = std::function<Result<std::string>()>;

/// Times and limits of a control host.
struct ControlTimings {
  Duration heartbeat_interval = milliseconds(100);
  Duration election_timeout = milliseconds(600);
  /// How long an operator's or a node's change may wait for its commit.
  Duration propose_timeout = seconds(5);
  /// How long a read may wait for the leader's confirmation.
  Duration read_timeout = seconds(2);
  /// How long a planned stop waits for another replica to take over.
  Duration leadership_transfer_timeout = seconds(3);
  /// An entry that asked no control host for a lease for this long is taken as lost.
  Duration lost_entry_timeout = seconds(60);
  /// A voter that the leader has not heard for this long is removed when another replica is ready
  /// to take its place; and after the longer time also without one, if enough others are left.
  Duration replace_voter_after = seconds(3);
  Duration remove_voter_after = seconds(10);
  /// A learner that was silent for this long is removed. It holds no vote, so there is no hurry,
  /// and one that was only cut off need not start anew.
  Duration remove_learner_after = seconds(60);
  /// How often the leader reads the shared list, and the others ask it for that.
  Duration list_read_interval = milliseconds(500);
  Duration list_poll_interval = milliseconds(200);
  /// How often the leader looks for lost incarnations and for learners that caught up.
  Duration upkeep_interval = seconds(1);
  /// A snapshot is taken after this many commands or bytes of commands.
  std::size_t snapshot_after_entries = 100'000;
  std::size_t snapshot_after_bytes = std::size_t{64} << 20U;
};

/// What a control host is started with.
struct ControlOptions {
  NodeId node;
  FailureDomainId failure_domain;
  /// IP:PORT for nodes and other replicas; port 0 lets the system choose.
  std::string rpc_address = "127.0.0.1:0";
  /// IP:PORT for operators.
  std::string http_address = "127.0.0.1:0";
  /// Where the replica keeps its files; made when missing.
  std::string data_folder;
  /// The replicas of the group. This replica's own name may be among them.
  std::vector<PeerAddress> peers;
  /// The voters of a new group, by node name; empty for the peers and this replica. A replica that
  /// is not listed, or whose data folder was lost, waits until it is added to the group.
  std::vector<NodeId> initial_members;
  /// Wait to be added to a running group instead of forming one.
  bool join = false;
  /// While this replica is no member of a running group, ask the group to take it in; and as the
  /// leader, replace members that are gone by those that have come. Otherwise operators do both.
  bool auto_join = false;
  /// False for an observer: it follows the log and answers like any replica, but never votes, since
  /// its data folder does not outlive its process. It joins by itself and forms no group.
  bool may_vote = true;
  /// Called by the leader alone, for all nodes; empty where no list is shared.
  SharedListReader read_list = {};
  /// Answers operators in place of the own interface; empty for the own one.
  OperatorFrontend operator_frontend = {};
  /// Shared by all processes of the system.
  std::string shared_secret;
  /// The first document, put in force when the group has no configuration; empty for none.
  std::string bootstrap_document;
  /// A key that may change the configuration as long as it lists no operator; empty for none.
  std::string bootstrap_operator_key;
  int max_rpc_connections = 1200;
  int max_http_connections = 64;
  ControlTimings timings = {};
  /// Equal on all replicas of a group.
  state::Limits state_limits = {};
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_CONTROL_OPTIONS_H_
