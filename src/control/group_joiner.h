#ifndef MASTICRILL_CONTROL_GROUP_JOINER_H_
#define MASTICRILL_CONTROL_GROUP_JOINER_H_

#include <atomic>
#include <set>
#include <string>

#include "control/address_book.h"
#include "control/group_formation.h"
#include "control/join_report.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// Requests membership in a running group as long as this replica is not a member, as after a start
/// with an empty data folder, or knows no leader, as when the group removed it meanwhile. Owns a
/// thread.
class GroupJoiner {
 public:
  /// The arguments must outlive the joiner.
  GroupJoiner(const ControlOptions& options, ReplicaRunner& replica, AddressBook& addresses,
              const GroupFormation& formation);
  void Stop() {
    this->stopping = true;
    this->thread.Stop();
  }
  /// Whether the group has permanently removed the identity of this replica: the process must end,
  /// empty its data folder and restart.
  bool IsRetired() const { return this->retired; }
  /// The join requests of this replica, by result.
  const JoinCounter& Requests() const { return this->report.Counts(); }

 private:
  Duration RunOnce();
  bool IsLeaderless(const consensus::ReplicaStatus& status);
  std::set<NodeId> KnownHosts(const consensus::ReplicaStatus& status) const;
  bool RequestJoin(const NodeId& host);

  const ControlOptions& options;
  ReplicaRunner& replica;
  AddressBook& addresses;
  const GroupFormation& formation;
  std::atomic<bool> retired = false;
  std::atomic<bool> stopping = false;
  SystemClock clock;
  /// When a leader was last known; the start of the thread before that.
  TimePoint led_at = this->clock.Now();
  JoinReport report;
  /// The answer to the last accepted request. Used only by the thread.
  std::string last_answer;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_GROUP_JOINER_H_
