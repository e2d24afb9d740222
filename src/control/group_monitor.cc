#include "control/group_monitor.h"

#include "masticrill/common/log.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kObserveInterval = milliseconds(100);

std::string WaitingLearners(const consensus::ReplicaStatus& status) {
  std::vector<consensus::ReplicaId> caught_up;
  for (const consensus::PeerStatus& peer : status.peers) {
    if (peer.caught_up && status.membership.IsLearner(peer.replica)) {
      caught_up.push_back(peer.replica);
    }
  }
  return FormatReplicas(caught_up);
}

void LogMembership(const consensus::ReplicaStatus& status) {
  kLog.Info("The membership changed.", {{"node", status.id.node},
                                        {"identity", status.id.identity},
                                        {"own_part", ToString(PartOf(status))},
                                        {"voters", FormatReplicas(status.membership.voters)},
                                        {"learners", FormatReplicas(status.membership.learners)},
                                        {"index", status.membership_index},
                                        {"committed", status.membership_committed}});
}

void LogNoLeader(const GroupNotice& notice, const consensus::DriverStatus& status) {
  const consensus::ReplicaStatus& replica = status.replica;
  kLog.Warning("No leader is known.",
               {{"node", replica.id.node},
                {"identity", replica.id.identity},
                {"own_part", ToString(PartOf(replica))},
                {"role", ToString(replica.role)},
                {"term", replica.term},
                {"last_index", replica.last_index},
                {"ms", duration_cast<milliseconds>(notice.without_leader).count()},
                {"voters", FormatReplicas(replica.membership.voters)},
                {"granted", FormatReplicas(notice.granted)},
                {"refused", FormatReplicas(notice.refused)},
                {"unanswered", FormatReplicas(notice.unanswered)},
                {"stopped", status.stopped ? status.stopped->message : ""}});
}

void LogSilence(const GroupNotice& notice, const consensus::ReplicaStatus& status) {
  const int to_spare = VotersToSpare(status.membership, notice.silent.size());
  if (notice.silent.empty()) {
    kLog.Info("All voters answer the leader.",
              {{"voters", FormatReplicas(status.membership.voters)}, {"to_spare", to_spare}});
    return;
  }
  kLog.Warning("Voters do not answer the leader.",
               {{"silent", FormatReplicas(notice.silent)},
                {"voters", FormatReplicas(status.membership.voters)},
                {"to_spare", to_spare},
                {"learners_caught_up", WaitingLearners(status)},
                {"term", status.term}});
}

}  // namespace

void LogDataFolder(const consensus::ReplicaStatus& status) {
  kLog.Info("The data folder was read.",
            {{"node", status.id.node},
             {"identity", status.id.identity},
             {"empty", status.last_index == 0 && status.term == 0},
             {"term", status.term},
             {"last_index", status.last_index},
             {"snapshot_index", status.snapshot_index},
             {"own_part", ToString(PartOf(status))},
             {"voters", FormatReplicas(status.membership.voters)},
             {"learners", FormatReplicas(status.membership.learners)}});
}

GroupMonitor::GroupMonitor(const ControlOptions& options, const ReplicaRunner& replica)
    : replica(replica),
      report(options.timings.election_timeout),
      thread([this] { return this->RunOnce(); }) {}

Duration GroupMonitor::WithoutLeader() const {
  const std::scoped_lock lock(this->mutex);
  return this->report.WithoutLeader();
}

Duration GroupMonitor::Stopped() const {
  const std::scoped_lock lock(this->mutex);
  return this->report.Stopped();
}

Duration GroupMonitor::RunOnce() {
  const consensus::DriverStatus status = this->replica.Status();
  std::vector<GroupNotice> notices;
  {
    const std::scoped_lock lock(this->mutex);
    notices = this->report.Observe(status, this->clock.Now());
  }
  for (const GroupNotice& notice : notices) {
    switch (notice.event) {
      case GroupEvent::kMembershipChanged:
        LogMembership(status.replica);
        break;
      case GroupEvent::kNoLeader:
        LogNoLeader(notice, status);
        break;
      case GroupEvent::kSilentVoters:
        LogSilence(notice, status.replica);
        break;
    }
  }
  return kObserveInterval;
}

}  // namespace masticrill::control
