#ifndef MASTICRILL_CONTROL_GROUP_JOINER_H_
#define MASTICRILL_CONTROL_GROUP_JOINER_H_

#include <atomic>

#include "control/address_book.h"
#include "control/group_formation.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// Asks the group to take this replica in, as long as it is no member: after it has come up empty,
/// beside a group that runs. Runs a thread.
class GroupJoiner {
 public:
  /// The arguments outlive it.
  GroupJoiner(const ControlOptions& options, ReplicaRunner& replica, AddressBook& addresses,
              const GroupFormation& formation);
  void Stop() { this->thread.Stop(); }
  /// The group has removed this replica's identity for good: the process must end, empty its data
  /// folder and start again.
  bool IsRetired() const { return this->retired; }

 private:
  Duration RunOnce();
  bool RequestJoin(const PeerAddress& peer);

  const ControlOptions& options;
  ReplicaRunner& replica;
  AddressBook& addresses;
  const GroupFormation& formation;
  std::atomic<bool> retired = false;
  bool refusal_logged = false;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_GROUP_JOINER_H_
