#ifndef MASTICRILL_CONTROL_GROUP_MONITOR_H_
#define MASTICRILL_CONTROL_GROUP_MONITOR_H_

#include <mutex>

#include "control/group_report.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// Logs what the data folder held at the start.
void LogDataFolder(const consensus::ReplicaStatus& status);

/// Logs changes of the membership, long elections and silent voters, as this replica sees them.
/// Owns a thread.
class GroupMonitor {
 public:
  /// The replica must outlive the monitor.
  GroupMonitor(const ControlOptions& options, const ReplicaRunner& replica);
  void Stop() { this->thread.Stop(); }
  /// How long this replica has been stopped by a storage error.
  Duration Stopped() const;
  /// How long this replica has known no leader.
  Duration WithoutLeader() const;

 private:
  Duration RunOnce();

  const ReplicaRunner& replica;
  SystemClock clock;
  mutable std::mutex mutex;
  GroupReport report;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_GROUP_MONITOR_H_
