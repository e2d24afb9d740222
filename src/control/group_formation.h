#ifndef MASTICRILL_CONTROL_GROUP_FORMATION_H_
#define MASTICRILL_CONTROL_GROUP_FORMATION_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "control/address_book.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/control/control_options.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {

/// Forms a new group of replicas, once. Replicas are named by the identities of their data folders,
/// so the first voter by name collects the identities of all, asks each to accept the membership,
/// and forms the group when all have. Each replica accepts one membership in the life of its data
/// folder; so no two memberships can ever form that share a replica.
///
/// A replica that finds its peers in a group without it runs as an empty replica and waits to be
/// added. Safe for several threads.
class GroupFormation {
 public:
  /// The arguments outlive the formation.
  GroupFormation(const ControlOptions& options, ReplicaRunner& replica, AddressBook& addresses);
  ~GroupFormation();
  GroupFormation(const GroupFormation&) = delete;
  GroupFormation& operator=(const GroupFormation&) = delete;

  /// Starts the replica, at once or when its group is formed.
  Result<void> Start(const consensus::ReplicaId& self);
  net::FormReply OnRequest(const net::FormRequest& request);
  void Stop();
  /// Whether the question which group this replica belongs to is settled, so that its log runs.
  bool IsComplete() const { return this->done; }

 private:
  /// The membership that this replica accepted.
  struct AcceptedMembership {
    std::string membership;
    bool formed = false;
  };

  std::vector<NodeId> InitialMembers() const;
  std::string Path() const;
  Result<void> LoadAccepted();
  bool SaveAccepted(const AcceptedMembership& accepted);
  bool Accept(const std::string& membership);
  Duration TryToForm();
  std::vector<net::FormReply> QueryMembers(const std::string& membership);
  bool JoinExistingGroup(const std::vector<net::FormReply>& replies);
  bool FormAsCoordinator(const std::vector<net::FormReply>& replies);
  Result<void> BootstrapAndRun(const std::string& membership);
  bool CompleteFormation(const std::string& membership);

  ControlOptions options;
  ReplicaRunner& replica;
  AddressBook& addresses;
  consensus::ReplicaId self;
  std::mutex mutex;
  std::optional<AcceptedMembership> accepted;
  std::atomic<bool> done = false;
  /// Why each replica did not answer last; used by the thread.
  std::map<NodeId, std::string> last_causes;
  std::unique_ptr<PeriodicThread> thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_GROUP_FORMATION_H_
