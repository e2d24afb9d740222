#ifndef MASTICRILL_CONTROL_CONTROL_SERVER_H_
#define MASTICRILL_CONTROL_CONTROL_SERVER_H_

#include <memory>
#include <string>
#include <vector>

#include "masticrill/common/result.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// A control host: one replica of the replicated log, with its service for nodes (RPC) and for
/// operators (HTTP). Its methods may be called by any thread.
class ControlServer {
 public:
  /// Fails when an address cannot be bound, when another process uses the data folder, and with
  /// kCorruptStorage when what was durable is damaged.
  static Result<std::unique_ptr<ControlServer>> Start(const ControlOptions& options);

  /// Ends at once, without handing anything over, as a crash would for the other replicas.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /// The bound IP:PORT.
  std::string RpcAddress() const;
  std::string HttpAddress() const;

  /// Whether this replica leads.
  bool IsLeader() const;
  /// Whether this host can serve: a leader is known and confirmed its quorum lately.
  bool IsReady() const;

  /// Makes control hosts known that this one may not know yet.
  void AddPeers(const std::vector<PeerAddress>& peers);

  /// Whether the group has removed this replica for good: the process must empty its data folder
  /// and start again.
  bool IsRetired() const;

  /// A planned stop: takes no new changes, hands leadership over, ends requests in progress and
  /// syncs its files.
  void Stop();

 private:
  struct State;
  explicit ControlServer(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_CONTROL_SERVER_H_
