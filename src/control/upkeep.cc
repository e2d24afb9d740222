#include "control/upkeep.h"

#include <vector>

#include "masticrill/common/log.h"
#include "masticrill/state/codec.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kBootstrapPause = milliseconds(20);
constexpr const char* kBootstrapAuthor = "bootstrap";
constexpr const char* kBootstrapPatch = "bootstrap-document";

}  // namespace

Upkeep::Upkeep(const ControlOptions& options, ReplicaRunner& replica,
               const state::ReplicatedState& state, Proposer& proposer, MemberService& members,
               FleetView& fleet, AddressBook& addresses, LeaseService& leases)
    : options(options),
      replica(replica),
      state(state),
      proposer(proposer),
      members(members),
      fleet(fleet),
      addresses(addresses),
      leases(leases),
      thread([this] { return this->Work(); }) {}

Duration Upkeep::Work() {
  if (this->replica.Status().replica.role != consensus::Role::kLeader) {
    this->memory.Clear();
    this->closed.clear();
    if (!this->BootstrapPending()) {
      this->PublishFleet(this->fleet.Gather());
    }
    return this->BootstrapPending() ? kBootstrapPause : this->options.timings.upkeep_interval;
  }
  if (this->BootstrapPending()) {
    this->ProposeBootstrapDocument();
  }
  if (!this->options.auto_join || !this->members.RemoveSilentMember()) {
    this->members.PromoteLearners();
  }
  const std::vector<net::NodeReport> reports = this->fleet.Gather();
  this->PublishFleet(reports);
  this->CloseLostEntries(reports);
  ++this->rounds;
  return this->options.timings.upkeep_interval;
}

bool Upkeep::BootstrapPending() const {
  return !this->options.bootstrap_document.empty() && this->state.Configuration()->number == 0;
}

/// The patch id is the same on every replica, so the document is put in force once.
void Upkeep::ProposeBootstrapDocument() {
  const CommitOutcome outcome = this->proposer.ProposeAndWait({state::EncodeCommand(
      state::PatchConfiguration{.patch_id = state::PatchId(kBootstrapPatch),
                                .expected_number = 0,
                                .merge_patch = this->options.bootstrap_document,
                                .author = OperatorId(kBootstrapAuthor),
                                .reason = "The first document of the settings.",
                                .at = this->clock.WallNow()})});
  if (outcome.end != ProposalEnd::kCommitted) {
    return;
  }
  HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(result, state::DecodeResult(outcome.results.front()));
        const auto* patched = std::get_if<state::PatchResult>(&result);
        if (patched != nullptr && patched->status == state::PatchStatus::kInvalid) {
          kLog.Error("The bootstrap document is invalid.", {{"cause", patched->message}});
        }
        return true;
      },
      [](const Error&) { return false; });
}

void Upkeep::PublishFleet(const std::vector<net::NodeReport>& reports) {
  FleetFacts facts;
  const std::int64_t lease_ms = duration_cast<milliseconds>(config::kLeaseLength).count();
  for (const net::NodeReport& report : LatestStarts(reports)) {
    const bool holds_lease = report.age_ms <= lease_ms;
    if (report.role != net::NodeRole::kEntry || !holds_lease) {
      continue;
    }
    ++facts.entry_count;
    if (!report.load_address.empty()) {
      facts.load_addresses.push_back(report.load_address);
    }
  }
  const consensus::Membership membership = this->replica.Status().replica.membership;
  for (const consensus::ReplicaId& voter : membership.voters) {
    const bool is_self = voter.node == this->options.node;
    if (const auto address =
            is_self ? std::optional(this->options.rpc_address) : this->addresses.Find(voter.node)) {
      facts.control_hosts.push_back(*address);
    }
  }
  this->leases.SetFleet(std::move(facts));
}

void Upkeep::CloseLostEntries(const std::vector<net::NodeReport>& reports) {
  this->memory.Observe(reports, this->clock.Now());
  for (const NodeStart& start :
       this->memory.LostEntries(this->options.timings.incarnation_silence, this->clock.Now())) {
    if (this->closed.contains(start)) {
      continue;
    }
    const CommitOutcome outcome =
        this->proposer.ProposeAndWait({state::EncodeCommand(state::CloseIncarnation{
            .entry = start.node, .incarnation = start.incarnation, .at = this->clock.WallNow()})});
    if (outcome.end != ProposalEnd::kCommitted) {
      return;
    }
    kLog.Info("A lost entry was closed.",
              {{"node", start.node}, {"incarnation", start.incarnation}});
    this->closed.insert(start);
    ++this->closed_incarnations;
  }
}

}  // namespace masticrill::control
