#ifndef MASTICRILL_CONTROL_GROUP_JOINER_H_
#define MASTICRILL_CONTROL_GROUP_JOINER_H_

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/address_book.h"
#include "control/control_hosts.h"
#include "control/group_formation.h"
#include "control/join_report.h"
#include "control/join_schedule.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/common/worker_pool.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// Requests membership in a running group as long as this replica is not a member, as after a start
/// with an empty data folder, or knows no leader, as when the group removed it meanwhile. Owns a
/// thread, and one for each request in flight.
class GroupJoiner {
 public:
  /// The arguments must outlive the joiner.
  GroupJoiner(const ControlOptions& options, ReplicaRunner& replica, AddressBook& addresses,
              const ControlHosts& hosts, const GroupFormation& formation);
  ~GroupJoiner() { this->Stop(); }
  GroupJoiner(const GroupJoiner&) = delete;
  GroupJoiner& operator=(const GroupJoiner&) = delete;

  /// Ends the threads. Waits for requests in flight, which time out together.
  void Stop();
  /// Whether the group has permanently removed the identity of this replica: the process must end,
  /// empty its data folder and restart.
  bool IsRetired() const { return this->retired; }
  /// The join requests of this replica, by result.
  const JoinCounter& Requests() const { return this->report.Counts(); }

 private:
  /// The result of one request.
  struct Answer {
    NodeId asked;
    /// The leader's message; nothing if the request failed.
    std::optional<std::string> accepted;
    Error error;
  };

  Duration RunOnce();
  bool IsLeaderless(const consensus::ReplicaStatus& status);
  /// Sends a request on a thread of the pool.
  void StartRequest(const NodeId& host);
  Answer Request(const NodeId& host);
  void TakeAnswers();
  void LogRefusals(const consensus::ReplicaStatus& status, const std::set<NodeId>& known);
  /// Logs how long it took from the start to the membership and to the vote.
  void LogProgress(const consensus::ReplicaStatus& status);

  const ControlOptions& options;
  ReplicaRunner& replica;
  AddressBook& addresses;
  const ControlHosts& hosts;
  const GroupFormation& formation;
  std::atomic<bool> retired = false;
  SystemClock clock;
  const TimePoint started_at = this->clock.Now();
  std::mutex mutex;
  std::vector<Answer> answers;

  // Used only by the thread.
  /// When a leader was last known; the start of the thread before that.
  TimePoint led_at = this->started_at;
  /// When a request was last accepted: the membership follows with the log.
  std::optional<TimePoint> accepted_at;
  std::optional<TimePoint> member_at;
  bool has_voted = false;
  JoinSchedule schedule;
  JoinReport report;
  /// The answer to the last accepted request.
  std::string last_answer;

  WorkerPool requests;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_GROUP_JOINER_H_
