#include "control/joiner.h"

#include "masticrill/common/log.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kAskInterval = milliseconds(300);
constexpr Duration kMemberCheckInterval = seconds(1);
constexpr Duration kCallTimeout = seconds(2);

}  // namespace

Joiner::Joiner(const ControlOptions& options, ReplicaRunner& replica, AddressBook& addresses,
               const Formation& formation)
    : options(options),
      replica(replica),
      addresses(addresses),
      formation(formation),
      thread([this] { return this->Work(); }) {}

Duration Joiner::Work() {
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  if (!this->options.auto_join || !this->formation.Done()) {
    return kAskInterval;
  }
  if (status.membership.IsMember(status.id)) {
    return kMemberCheckInterval;
  }
  for (const PeerAddress& peer : this->addresses.All()) {
    if (this->Ask(peer)) {
      return kMemberCheckInterval;
    }
  }
  return kAskInterval;
}

bool Joiner::Ask(const PeerAddress& peer) {
  const std::shared_ptr<net::RpcClient> client = this->addresses.Client(peer.node);
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(reply, client->Call<net::MemberReply>(
                                   net::MemberRequest{net::MemberAction::kJoin, this->options.node,
                                                      this->options.rpc_address},
                                   kCallTimeout));
        kLog.Info("The group takes this replica in.",
                  {{"leader", peer.node}, {"answer", reply.message}});
        this->asked_in_vain = false;
        return true;
      },
      [&](const Error& error) {
        if (error.kind == ErrorKind::kRetired) {
          this->retired = true;
        }
        if (!this->asked_in_vain && error.kind != ErrorKind::kNotLeader) {
          kLog.Warning("The group did not take this replica in.",
                       {{"asked", peer.node}, {"cause", error.message}});
          this->asked_in_vain = true;
        }
        return false;
      });
}

}  // namespace masticrill::control
