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

/// Forms a new group of replicas, once. A membership lists the identities of the data folders, so a
/// coordinator collects these identities, asks each replica to accept the membership, and forms the
/// group when all have accepted. The first voter by name coordinates; if it does not, as after a
/// restart, the next one does some time later. A replica accepts one membership in the lifetime of
/// its data folder, so two groups that share a replica can never form.
///
/// A replica remembers in its data folder that it takes part in a first start, and goes on with it
/// after a restart, whatever its settings say then.
///
/// A replica whose peers already have a group without it runs as an empty replica and waits until
/// it is added. Thread-safe; owns a thread while the group forms.
class GroupFormation {
 public:
  /// The arguments must outlive the formation.
  GroupFormation(const ControlOptions& options, ReplicaRunner& replica, AddressBook& addresses);
  ~GroupFormation();
  GroupFormation(const GroupFormation&) = delete;
  GroupFormation& operator=(const GroupFormation&) = delete;

  /// Starts the replica, at once or after its group has formed.
  Result<void> Start(const consensus::ReplicaId& self);
  net::FormReply OnRequest(const net::FormRequest& request);
  void Stop();
  /// Whether no attempt to form a group is left: this replica has formed or found its group, or
  /// waits to be added to one.
  bool IsComplete() const { return this->done; }

 private:
  /// The membership that this replica accepted.
  struct AcceptedMembership {
    std::string membership;
    bool formed = false;
  };

  /// Reads, or writes, which members the group is formed of.
  Result<void> LoadFirstStart();
  Result<void> SaveFirstStart();
  /// The initial members of a new group, observers included, sorted by name.
  std::vector<NodeId> InitialMembers() const;
  std::string Path() const;
  Result<void> LoadAccepted();
  bool SaveAccepted(const AcceptedMembership& accepted);
  bool Accept(const std::string& membership);
  Duration TryToForm();
  std::vector<net::FormReply> QueryMembers(const std::string& membership);
  bool JoinExistingGroup(const std::vector<net::FormReply>& replies);
  bool FormAsCoordinator(const std::vector<net::FormReply>& replies);
  /// Whether it is this replica's turn to coordinate. All initial members have answered.
  bool IsCoordinator(const consensus::Membership& membership);
  Result<void> BootstrapAndRun(const std::string& membership);
  bool CompleteFormation(const std::string& membership);

  ControlOptions options;
  ReplicaRunner& replica;
  AddressBook& addresses;
  consensus::ReplicaId self;
  std::mutex mutex;
  std::optional<AcceptedMembership> accepted;
  std::atomic<bool> done = false;
  /// The initial members of the first start in which this replica takes part; empty if it does not.
  std::vector<NodeId> first_start;
  SystemClock clock;
  /// Since when all initial members have answered; used only by the thread.
  std::optional<TimePoint> all_answered_at;
  /// Last logged error of each replica that did not answer; used only by the thread.
  std::map<NodeId, std::string> last_causes;
  std::unique_ptr<PeriodicThread> thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_GROUP_FORMATION_H_
