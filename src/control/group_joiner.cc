#include "control/group_joiner.h"

#include "masticrill/common/log.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kRetryInterval = milliseconds(300);
constexpr Duration kMemberCheckInterval = seconds(1);
/// A member without a leader for this long asks whether the group still knows it: the entry that
/// removed it may never have reached its log.
constexpr Duration kMaxLeaderless = seconds(2);
constexpr Duration kCallTimeout = seconds(2);

}  // namespace

GroupJoiner::GroupJoiner(const ControlOptions& options, ReplicaRunner& replica,
                         AddressBook& addresses, const GroupFormation& formation)
    : options(options),
      replica(replica),
      addresses(addresses),
      formation(formation),
      thread([this] { return this->RunOnce(); }) {}

Duration GroupJoiner::RunOnce() {
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  if (!this->options.auto_join || !this->formation.IsComplete()) {
    return kRetryInterval;
  }
  const bool is_member = status.membership.IsMember(status.id);
  if (is_member && !this->IsLeaderless(status)) {
    return kMemberCheckInterval;
  }
  const std::set<NodeId> hosts = this->KnownHosts(status);
  for (const NodeId& host : hosts) {
    if (this->stopping || this->RequestJoin(host)) {
      return kMemberCheckInterval;
    }
  }
  const std::optional<std::string> causes = this->report.EndRound(this->clock.Now());
  // A member is refused as long as the whole group is without a leader, which has lines of its own.
  if (causes && !is_member) {
    kLog.Warning("No control host accepted the join request of this replica; asking again.",
                 {{"node", status.id.node},
                  {"identity", status.id.identity},
                  {"asked", hosts.size()},
                  {"causes", *causes}});
  }
  return is_member ? kMemberCheckInterval : kRetryInterval;
}

/// Whether no leader has been known for longer than the limit.
bool GroupJoiner::IsLeaderless(const consensus::ReplicaStatus& status) {
  const TimePoint now = this->clock.Now();
  if (!status.leader.Empty()) {
    this->led_at = now;
  }
  return now - this->led_at > kMaxLeaderless;
}

/// The other control hosts by name: those with a known address, and the members of the own log, of
/// which some are named by their addresses.
std::set<NodeId> GroupJoiner::KnownHosts(const consensus::ReplicaStatus& status) const {
  std::set<NodeId> hosts;
  for (const PeerAddress& peer : this->addresses.All()) {
    hosts.insert(peer.node);
  }
  for (const auto* members : {&status.membership.voters, &status.membership.learners}) {
    for (const consensus::ReplicaId& member : *members) {
      if (this->addresses.Find(member.node)) {
        hosts.insert(member.node);
      }
    }
  }
  return hosts;
}

bool GroupJoiner::RequestJoin(const NodeId& host) {
  const std::shared_ptr<net::RpcClient> client = this->addresses.Client(host);
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(reply, client->Call<net::MemberReply>(
                                   net::MemberRequest{net::MemberAction::kJoin, this->options.node,
                                                      this->options.rpc_address},
                                   kCallTimeout));
        // A member that asked because it knows no leader gets the same answer each time.
        if (this->last_answer != reply.message) {
          this->last_answer = reply.message;
          kLog.Info("The leader accepted the join request of this replica.",
                    {{"asked", host}, {"answer", reply.message}});
        }
        this->report.Accept();
        return true;
      },
      [&](const Error& error) {
        if (error.kind == ErrorKind::kRetired) {
          this->retired = true;
        }
        this->report.Refuse(host, error);
        return false;
      });
}

}  // namespace masticrill::control
