#include "control/operator_api.h"
#include "masticrill/net/traffic.h"

namespace masticrill::control {

net::HttpAnswer OperatorApi::Metrics() {
  const consensus::DriverStatus status = this->parts.replica.Status();
  const state::StateSizes sizes = this->parts.state.Sizes();
  MetricsWriter writer;
  writer.EnumCounters("masticrill_control_lease_requests_total",
                      "Lease requests of nodes, by decision.", "decision",
                      this->parts.leases.Decisions());
  writer.EnumCounters("masticrill_control_proposals_total",
                      "Requests to commit commands, by result.", "end",
                      this->parts.proposer.StatusCounts());
  writer.EnumCounters("masticrill_control_refusals_total",
                      "Refused requests of operators, by reason.", "reason", this->refusals);
  writer.Counter("masticrill_control_forwarded_commands_total", "Commands forwarded to the leader.",
                 this->parts.proposer.Forwarded());
  writer.Counter("masticrill_control_closed_incarnations_total",
                 "Incarnations of lost entries that this replica closed.",
                 this->parts.upkeep.ClosedIncarnations());
  writer.Counter("masticrill_control_upkeep_rounds_total",
                 "Rounds of upkeep that this replica completed as the leader.",
                 this->parts.upkeep.Rounds());
  net::WriteTraffic(writer, net::Sent());
  writer.Counter("masticrill_control_commands_applied_total", "Commands applied.",
                 status.counters.commands_applied);
  writer.Counter("masticrill_control_syncs_total", "Syncs of the replica's files.",
                 status.counters.syncs);
  writer.Counter("masticrill_control_snapshots_taken_total", "Snapshots taken.",
                 status.counters.snapshots_taken);
  writer.Counter("masticrill_control_snapshots_installed_total", "Snapshots installed.",
                 status.counters.snapshots_installed);
  writer.Counter("masticrill_control_peer_messages_total", "Messages for other replicas.",
                 status.counters.messages_sent);
  writer.Counter("masticrill_control_peer_messages_dropped_total",
                 "Messages for other replicas that were dropped.", this->parts.transport.Dropped());
  writer.Counter("masticrill_control_peer_bytes_total", "Bytes sent to other replicas.",
                 this->parts.transport.SentBytes());
  writer.Gauge("masticrill_control_term", "The replica's term.",
               static_cast<double>(status.replica.term));
  writer.Gauge("masticrill_control_leader", "1 when this replica leads.",
               status.replica.role == consensus::Role::kLeader ? 1 : 0);
  writer.Gauge("masticrill_control_commit_index", "The highest committed index known.",
               static_cast<double>(status.replica.commit));
  writer.Gauge("masticrill_control_applied_index", "The highest applied index.",
               static_cast<double>(status.applied));
  writer.Gauge("masticrill_control_configuration_number", "The configuration number applied.",
               static_cast<double>(this->parts.state.Configuration()->number));
  writer.Gauge("masticrill_control_stopped", "1 after a storage error.", status.stopped ? 1 : 0);
  writer.Gauge("masticrill_control_stopped_seconds", "Time since the replica stopped.",
               std::chrono::duration<double>(this->parts.monitor.Stopped()).count());
  this->WriteGroupMetrics(writer, status.replica);
  writer.Gauge("masticrill_control_claims", "At-most-once claims kept.",
               static_cast<double>(sizes.claims));
  writer.Gauge("masticrill_control_pins", "Session pins kept.", static_cast<double>(sizes.pins));
  writer.Gauge("masticrill_control_charges", "Charges kept.", static_cast<double>(sizes.charges));
  writer.Gauge("masticrill_control_outcome_sequence", "The last record in the outcome log's files.",
               static_cast<double>(this->parts.outcomes.LastSequence()));
  writer.Gauge("masticrill_control_outcome_log_failed", "1 when the outcome log cannot be written.",
               this->parts.outcomes.Failed() ? 1 : 0);
  writer.Summary("masticrill_control_apply_seconds", "Time to apply a command.",
                 this->parts.replica.ApplyLatency());
  writer.Summary("masticrill_control_sync_seconds", "Time to sync the log.",
                 this->parts.replica.SyncLatency());
  writer.Summary("masticrill_control_change_seconds",
                 "Time from an operator's change to its result.", this->patch_latency);
  return {200, {{"Content-Type", "text/plain; charset=utf-8"}}, writer.Text()};
}

/// The group as this replica knows it. What only a leader knows is left out at other replicas.
void OperatorApi::WriteGroupMetrics(MetricsWriter& writer,
                                    const consensus::ReplicaStatus& status) const {
  writer.Gauge("masticrill_control_voters", "Voters of the group.",
               static_cast<double>(status.membership.voters.size()));
  writer.Gauge("masticrill_control_learners", "Learners of the group.",
               static_cast<double>(status.membership.learners.size()));
  if (status.role == consensus::Role::kLeader) {
    const std::size_t silent =
        SilentVoters(status, this->parts.options.timings.election_timeout, this->clock.Now())
            .size();
    writer.Gauge("masticrill_control_voters_heard",
                 "Voters, the leader included, that it heard from within an election timeout.",
                 static_cast<double>(status.membership.voters.size() - silent));
    writer.Gauge("masticrill_control_voters_to_spare",
                 "Voters that may still be lost before commits stop.",
                 VotersToSpare(status.membership, silent));
  }
  writer.Header("masticrill_control_part", "1 for this replica's part in the group.", "gauge");
  for (const MemberPart part : kAllMemberParts) {
    writer.Labelled("masticrill_control_part", "part", ToString(part),
                    PartOf(status) == part ? 1 : 0);
  }
  writer.Gauge("masticrill_control_seconds_without_leader",
               "Time since this replica knew a leader.",
               std::chrono::duration<double>(this->parts.monitor.WithoutLeader()).count());
  writer.EnumCounters("masticrill_control_join_requests_total",
                      "Join requests of this replica, by result.", "result",
                      this->parts.joiner.Requests());
}

}  // namespace masticrill::control
