#ifndef MASTICRILL_CONTROL_CONTROL_SERVER_H_
#define MASTICRILL_CONTROL_CONTROL_SERVER_H_

#include <memory>
#include <string>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// A control host: one replica of the replicated log, with its services for nodes (RPC) and for
/// operators (HTTP). Thread-safe.
class ControlServer {
 public:
  /// Fails when an address cannot be bound, when another process uses the data folder, and with
  /// kCorruptStorage when durable data is damaged.
  static Result<std::unique_ptr<ControlServer>> Start(const ControlOptions& options);

  /// Stops at once without transferring leadership; to the other replicas this looks like a crash.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// The bound IP:PORT.
  std::string RpcAddress() const;
  std::string HttpAddress() const;

  /// Whether this replica is the leader.
  bool IsLeader() const;
  /// Whether this host can serve nodes: a leader is known, and its quorum was confirmed recently.
  bool IsReady() const;

  /// Adds or updates the addresses of other control hosts.
  void AddPeers(const std::vector<PeerAddress>& peers);

  /// Whether the group has permanently removed the identity of this replica: the process must
  /// discard its data and restart.
  bool IsRetired() const;
  /// Makes the next start with this data folder begin without its content, as a new replica. Safe
  /// while this one still writes; durable on return.
  Result<void> DiscardData();
  /// Whether the replica has stopped since its disk failed a write or a sync, and its data folder
  /// takes writes again. The replica never votes again by itself: destroy this server and start
  /// another one, which writes anew what may not be durable. Writes to the disk after such an
  /// error.
  bool NeedsRestart() const;

  /// Planned stop: rejects new changes, transfers leadership, ends requests in progress and syncs
  /// the files.
  void Stop();

 private:
  struct State;
  explicit ControlServer(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_CONTROL_SERVER_H_
