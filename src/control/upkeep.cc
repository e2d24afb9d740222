#include "control/upkeep.h"

#include <vector>

#include "masticrill/common/log.h"
#include "masticrill/state/codec.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kBootstrapPollInterval = milliseconds(20);
constexpr const char* kBootstrapAuthor = "bootstrap";
constexpr const char* kBootstrapPatchId = "bootstrap-document";

}  // namespace

Upkeep::Upkeep(const ControlOptions& options, ReplicaRunner& replica,
               const state::ReplicatedState& state, Proposer& proposer, FleetView& fleet,
               AddressBook& addresses, LeaseService& leases)
    : options(options),
      replica(replica),
      state(state),
      proposer(proposer),
      fleet(fleet),
      addresses(addresses),
      leases(leases),
      thread([this] { return this->RunOnce(); }) {}

Duration Upkeep::RunOnce() {
  if (this->replica.Status().replica.role != consensus::Role::kLeader) {
    this->node_activity.Clear();
    this->closed.clear();
    if (!this->BootstrapPending()) {
      this->PublishFleet(this->fleet.CollectReports());
    }
    return this->BootstrapPending() ? kBootstrapPollInterval
                                    : this->options.timings.upkeep_interval;
  }
  if (this->BootstrapPending()) {
    this->ProposeBootstrapDocument();
  }
  const std::vector<net::NodeReport> reports = this->fleet.CollectReports();
  this->PublishFleet(reports);
  this->CloseLostEntries(reports);
  ++this->rounds;
  return this->options.timings.upkeep_interval;
}

bool Upkeep::BootstrapPending() const {
  return !this->options.bootstrap_document.empty() && this->state.Configuration()->number == 0;
}

/// The patch id is the same on every replica, so the document is committed once.
void Upkeep::ProposeBootstrapDocument() {
  const CommitOutcome outcome = this->proposer.ProposeAndWait({state::EncodeCommand(
      state::PatchConfiguration{.patch_id = state::PatchId(kBootstrapPatchId),
                                .expected_number = 0,
                                .merge_patch = this->options.bootstrap_document,
                                .author = OperatorId(kBootstrapAuthor),
                                .reason = "The first document of the settings.",
                                .at = this->clock.WallNow()})});
  if (outcome.status != CommitStatus::kCommitted) {
    return;
  }
  HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(result, state::DecodeResult(outcome.results.front()));
        const auto* patched = std::get_if<state::PatchResult>(&result);
        if (patched != nullptr && patched->status == state::PatchStatus::kInvalid) {
          kLog.Error("The bootstrap document is invalid and was not committed.",
                     {{"cause", patched->message}});
        }
        return true;
      },
      [](const Error&) { return false; });
}

void Upkeep::PublishFleet(const std::vector<net::NodeReport>& reports) {
  FleetInfo info;
  const std::int64_t lease_ms = duration_cast<milliseconds>(config::kLeaseLength).count();
  for (const net::NodeReport& report : LatestIncarnations(reports)) {
    const bool holds_lease = report.age_ms <= lease_ms;
    if (report.role != net::NodeRole::kEntry || !holds_lease) {
      continue;
    }
    ++info.entry_count;
    if (!report.load_address.empty()) {
      info.load_addresses.push_back(report.load_address);
    }
  }
  const consensus::Membership membership = this->replica.Status().replica.membership;
  for (const consensus::ReplicaId& voter : membership.voters) {
    const bool is_self = voter.node == this->options.node;
    if (const auto address =
            is_self ? std::optional(this->options.rpc_address) : this->addresses.Find(voter.node)) {
      info.control_hosts.push_back(*address);
    }
  }
  this->leases.SetFleet(std::move(info));
}

void Upkeep::CloseLostEntries(const std::vector<net::NodeReport>& reports) {
  this->node_activity.Observe(reports, this->clock.Now());
  for (const NodeIncarnation& incarnation : this->node_activity.LostEntries(
           this->options.timings.lost_entry_timeout, this->clock.Now())) {
    if (this->closed.contains(incarnation)) {
      continue;
    }
    const CommitOutcome outcome = this->proposer.ProposeAndWait(
        {state::EncodeCommand(state::CloseIncarnation{.entry = incarnation.node,
                                                      .incarnation = incarnation.incarnation,
                                                      .at = this->clock.WallNow()})});
    if (outcome.status != CommitStatus::kCommitted) {
      return;
    }
    kLog.Info("Closed the incarnation of a lost entry.",
              {{"node", incarnation.node}, {"incarnation", incarnation.incarnation}});
    this->closed.insert(incarnation);
    ++this->closed_incarnations;
  }
}

}  // namespace masticrill::control
