#include "control/lease_service.h"

#include <string>
#include <utility>

namespace masticrill::control {
namespace {

/// Interval at which the replica status is checked while no leader is known; no read is sent then.
constexpr Duration kNoLeaderInterval = milliseconds(50);

/// Interval of the reads that confirm the leader's quorum to this host, and the age at which such a
/// confirmation is too old to grant a lease. The age limits how long a host that is cut off keeps
/// granting an old configuration; no lease is shorter than the full length by more than this age.
constexpr Duration kEvidenceInterval = milliseconds(300);
constexpr Duration kMaxEvidenceAge = seconds(1);

std::string MessageFor(LeaseDecision decision) {
  switch (decision) {
    case LeaseDecision::kGranted:
      return "";
    case LeaseDecision::kNoQuorumEvidence:
      return "This control host has no recent confirmation of a leader with a majority. Ask "
             "another control host.";
    case LeaseDecision::kNoConfiguration:
      return "Nothing is configured yet. Patch the configuration first.";
    case LeaseDecision::kHostBehind:
      return "This control host is behind the node's configuration. Ask another control host.";
    case LeaseDecision::kStopping:
      return "This control host is stopping. Ask another control host.";
  }
  return "";
}

}  // namespace

std::string_view ToString(LeaseDecision decision) {
  switch (decision) {
    case LeaseDecision::kGranted:
      return "granted";
    case LeaseDecision::kNoQuorumEvidence:
      return "no_quorum_evidence";
    case LeaseDecision::kNoConfiguration:
      return "no_configuration";
    case LeaseDecision::kHostBehind:
      return "host_behind";
    case LeaseDecision::kStopping:
      return "stopping";
  }
  return "stopping";
}

LeaseService::LeaseService(ReplicaRunner& replica, const state::ReplicatedState& state,
                           NodeRegistry& nodes, const ListService& lists)
    : replica(replica), state(state), nodes(nodes), lists(lists), evidence_thread([this] {
        return this->RequestEvidence();
      }) {}

net::LeaseReply LeaseService::Handle(const net::LeaseRequest& request) {
  this->nodes.Record(request, this->clock.Now());
  LeaseDecision decision = LeaseDecision::kGranted;
  net::LeaseReply reply = this->Decide(request, decision);
  if (decision == LeaseDecision::kGranted && request.known_number != reply.number) {
    reply.delta = this->state.KeepsTextApart() ? this->WholeDelta()
                                               : this->state.DeltaFrom(request.known_number);
    // A change may have been applied since the number was read; the delta then includes it.
    if (reply.delta) {
      reply.number = reply.delta->to;
    }
  }
  this->decisions.Add(decision);
  return decision == LeaseDecision::kGranted ? reply : this->Refuse(decision);
}

net::RenewReply LeaseService::Renew(const net::RenewRequest& request) {
  this->nodes.Record(request.lease, this->clock.Now());
  LeaseDecision decision = LeaseDecision::kGranted;
  net::RenewReply reply{this->Decide(request.lease, decision)};
  this->decisions.Add(decision);
  if (decision != LeaseDecision::kGranted) {
    reply.lease = this->Refuse(decision);
    return reply;
  }
  if (request.lease.known_number == reply.lease.number) {
    reply.text_digest = request.text_digest;
    return reply;
  }
  state::ConfigurationUpdate update =
      this->state.UpdateFrom(request.lease.known_number, request.text_digest);
  reply.lease.number = update.document.to;
  reply.lease.delta = std::move(update.document);
  reply.text_digest = update.text.digest;
  if (!update.text.changes.empty() || update.text.whole) {
    reply.piece = this->text_updates.NextPiece(request, update.text);
  }
  return reply;
}

std::optional<config::ConfigurationDelta> LeaseService::WholeDelta() const {
  return HandleErrors(
      [&]() -> Result<std::optional<config::ConfigurationDelta>> {
        BOOST_LEAF_AUTO(delta, this->state.WholeDelta());
        return std::optional(std::move(delta));
      },
      [](const Error&) { return std::optional<config::ConfigurationDelta>(); });
}

bool LeaseService::HasQuorumEvidence() const {
  return this->FreshGrant(this->state.Configuration()->number).has_value();
}

/// The lease that this host could grant now; nullopt when the evidence is too old.
std::optional<config::LeaseGrant> LeaseService::FreshGrant(config::Number number) const {
  const std::scoped_lock lock(this->evidence->mutex);
  std::optional<config::LeaseGrant> grant =
      this->evidence->granter.Grant(this->clock.Now(), number);
  if (grant && grant->length < config::kLeaseLength - kMaxEvidenceAge) {
    grant.reset();
  }
  return grant;
}

void LeaseService::SetFleet(FleetInfo info) {
  const std::scoped_lock lock(this->fleet_mutex);
  this->fleet = std::move(info);
}

net::EntryReportReply LeaseService::HandleReport(const net::EntryReport& report) {
  this->nodes.RecordReport(report, this->clock.Now());
  const std::scoped_lock lock(this->fleet_mutex);
  return this->report_reply;
}

void LeaseService::SetReportReply(net::EntryReportReply reply) {
  const std::scoped_lock lock(this->fleet_mutex);
  this->report_reply = std::move(reply);
}

net::LeaseReply LeaseService::Refuse(LeaseDecision decision) const {
  return {.granted = false,
          .length_ms = 0,
          .number = this->state.Configuration()->number,
          .delta = std::nullopt,
          .message = MessageFor(decision),
          .entry_count = 0,
          .control_hosts = {},
          .load_addresses = {},
          .list = {}};
}

net::LeaseReply LeaseService::Decide(const net::LeaseRequest& request,
                                     LeaseDecision& decision) const {
  if (this->stopping) {
    decision = LeaseDecision::kStopping;
    return {};
  }
  config::Number number = this->state.Configuration()->number;
  const std::optional<config::LeaseGrant> grant = this->FreshGrant(number);
  if (!grant) {
    decision = LeaseDecision::kNoQuorumEvidence;
    return {};
  }
  if (number == 0) {
    decision = LeaseDecision::kNoConfiguration;
    return {};
  }
  if (request.known_number > number) {
    decision = LeaseDecision::kHostBehind;
    return {};
  }
  net::LeaseReply reply{.granted = true,
                        .length_ms = duration_cast<milliseconds>(grant->length).count(),
                        .number = number,
                        .delta = std::nullopt,
                        .message = "",
                        .entry_count = 0,
                        .control_hosts = {},
                        .load_addresses = {},
                        .list = {}};
  {
    const std::scoped_lock lock(this->fleet_mutex);
    reply.entry_count = this->fleet.entry_count;
    reply.control_hosts = this->fleet.control_hosts;
    reply.load_addresses = this->fleet.load_addresses;
  }
  reply.list = this->lists.Read(request.known_list_version);
  return reply;
}

Duration LeaseService::RequestEvidence() {
  if (this->replica.Status().replica.leader.Empty()) {
    return kNoLeaderInterval;
  }
  config::LeaseRequestId request = 0;
  {
    const std::scoped_lock lock(this->evidence->mutex);
    request = this->evidence->granter.OnEvidenceRequestSent(this->clock.Now());
  }
  this->replica.Read([evidence = this->evidence, request,
                      &state = this->state](const consensus::ReadResult& result) {
    if (result.rejected) {
      return;
    }
    const std::scoped_lock lock(evidence->mutex);
    evidence->granter.OnEvidence(request, state.Configuration()->number);
  });
  return kEvidenceInterval;
}

}  // namespace masticrill::control
