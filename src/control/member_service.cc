#include "control/member_service.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

#include "masticrill/common/log.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
/// Short, since a learner that has caught up answers at once.
constexpr Duration kMayVoteTimeout = milliseconds(300);

Error ToError(consensus::RejectReason reason) {
  const std::string name(consensus::ToString(reason));
  switch (reason) {
    case consensus::RejectReason::kNotLeader:
    case consensus::RejectReason::kTransferInProgress:
      return {ErrorKind::kNotLeader,
              "The group is electing or transferring its leader; nothing was changed. Retry after "
              "1 s."};
    case consensus::RejectReason::kNoLeader:
    case consensus::RejectReason::kTimeout:
      return {ErrorKind::kNoQuorum,
              "No leader with a majority of the replicas is known; nothing was changed. Retry "
              "after 1 s."};
    case consensus::RejectReason::kRetiredIdentity:
      return {ErrorKind::kRetired,
              "The replica's data folder belongs to an identity that was removed. Empty the folder "
              "and start the replica again."};
    case consensus::RejectReason::kAlreadyMember:
      return {ErrorKind::kConflict,
              "The node is a member already. If its data folder was lost, remove it first."};
    case consensus::RejectReason::kLeaderCannotLeave:
      return {ErrorKind::kConflict,
              "The replica is the leader. Stop it to transfer leadership, and then remove it."};
    default:
      return {ErrorKind::kConflict, "The group cannot be changed now (" + name +
                                        "). See the members at /v1/status and retry later."};
  }
}

struct Waiter {
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<consensus::ProposalResult> result;
};

}  // namespace

Result<std::string> MemberService::Change(const net::MemberRequest& request) {
  return this->Change(request, 2 * this->timings.propose_timeout);
}

Result<std::string> MemberService::Change(const net::MemberRequest& request, Duration timeout) {
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  if (status.role == consensus::Role::kLeader) {
    return this->ChangeAsLeader(request);
  }
  const std::optional<std::string> address =
      status.leader.Empty() ? std::nullopt : this->addresses.Find(status.leader.node);
  if (!address) {
    return Fail(ToError(consensus::RejectReason::kNoLeader));
  }
  // A connection of its own: the leader answers the requests of a connection in turn, and a change
  // of members takes long where the joining host is slow.
  net::RpcClient client(*address, this->addresses.Credentials(), {});
  BOOST_LEAF_AUTO(reply, client.Call<net::MemberReply>(request, timeout));
  return reply.message;
}

Result<std::string> MemberService::ChangeAsLeader(const net::MemberRequest& request) {
  if (this->replica.Status().replica.role != consensus::Role::kLeader) {
    return Fail(ToError(consensus::RejectReason::kNotLeader));
  }
  switch (request.action) {
    case net::MemberAction::kRemove:
      return this->Remove(request);
    case net::MemberAction::kLeave:
      return this->Leave(request.node);
    case net::MemberAction::kAdd:
    case net::MemberAction::kJoin:
      break;
  }
  return this->Add(request);
}

/// Asks the replica for the identity of its data folder and adds it as a learner.
Result<std::string> MemberService::Add(const net::MemberRequest& request) {
  net::RpcClient client(request.address, this->addresses.Credentials(), {});
  BOOST_LEAF_AUTO(reply,
                  client.Call<net::FormReply>(net::FormRequest{}, this->timings.propose_timeout));
  if (reply.node != request.node) {
    return Fail(ErrorKind::kInvalidArgument, "The replica at " + request.address + " is " +
                                                 reply.node.Value() + ", not " +
                                                 request.node.Value() + ". Check the address.");
  }
  this->addresses.Set(request.node, request.address);
  const consensus::ReplicaId replica{reply.node, storage::DataFolderId(reply.identity)};
  return this->AddReplica(replica, request.action == net::MemberAction::kJoin);
}

Result<std::string> MemberService::AddReplica(const consensus::ReplicaId& replica, bool joins) {
  // A joining host asks several hosts, and each forwards its request.
  std::unique_lock changing(this->changes_mutex, std::defer_lock);
  if (!changing.try_lock_for(this->timings.propose_timeout)) {
    return Fail(ToError(consensus::RejectReason::kChangeInProgress));
  }
  const consensus::Membership membership = this->replica.Status().replica.membership;
  if (joins && membership.IsMember(replica)) {
    return replica.node.Value() + " is a member already.";
  }
  if (const consensus::ReplicaId* former = membership.FindNode(replica.node);
      joins && former != nullptr && !membership.IsRetired(replica.identity)) {
    // The node has lost its data folder, and with it its former identity.
    kLog.Info("A node rejoins with an empty data folder; removing its former identity.",
              {{"node", replica.node}, {"identity", former->identity}});
    BOOST_LEAF_CHECK(this->Propose({consensus::MembershipChangeKind::kRemove, *former}));
  }
  BOOST_LEAF_CHECK(this->Propose({consensus::MembershipChangeKind::kAddLearner, replica}));
  return "Added " + replica.node.Value() + " as a learner. It votes once it has caught up.";
}

Result<std::string> MemberService::Remove(const net::MemberRequest& request) {
  const consensus::Membership membership = this->replica.Status().replica.membership;
  const consensus::ReplicaId* member = membership.FindNode(request.node);
  if (member == nullptr) {
    return Fail(ErrorKind::kNotFound, "The node " + request.node.Value() +
                                          " is no member. See the members at /v1/status.");
  }
  BOOST_LEAF_CHECK(this->Propose({consensus::MembershipChangeKind::kRemove, *member}));
  return "Removed " + request.node.Value() + ".";
}

Result<std::string> MemberService::Leave(const NodeId& node) {
  std::unique_lock changing(this->changes_mutex, std::defer_lock);
  if (!changing.try_lock_for(this->timings.propose_timeout)) {
    return Fail(ToError(consensus::RejectReason::kChangeInProgress));
  }
  while (true) {
    const consensus::ReplicaStatus status = this->replica.Status().replica;
    const consensus::ReplicaId* member = status.membership.FindNode(node);
    if (member == nullptr || !status.membership.IsVoter(*member)) {
      return node.Value() + " has no vote.";
    }
    const auto change = PlanLeave(status.membership, *member, this->FindSuccessor(status));
    if (!change) {
      return node.Value() + " keeps its vote: the group tolerates no more losses without it.";
    }
    kLog.Info("Changing the voters before one of them ends as planned.",
              {{"leaving", node},
               {"changed", change->replica.node},
               {"voters", status.membership.voters.size()}});
    if (change->replica == *member) {
      const std::scoped_lock lock(this->mutex);
      this->leaving.Add(*member, SystemClock().Now());
    }
    BOOST_LEAF_CHECK(this->Propose(*change));
  }
}

Result<void> MemberService::Propose(const consensus::MembershipChange& change) {
  const auto waiter = std::make_shared<Waiter>();
  this->replica.ProposeMembership(change, [waiter](const consensus::ProposalResult& result) {
    const std::scoped_lock lock(waiter->mutex);
    waiter->result = result;
    waiter->changed.notify_one();
  });
  std::unique_lock lock(waiter->mutex);
  waiter->changed.wait_for(lock, this->timings.propose_timeout,
                           [&] { return waiter->result.has_value(); });
  if (!waiter->result || waiter->result->outcome == consensus::ProposalOutcome::kUnknown) {
    return Fail(ErrorKind::kTimeout,
                "The change was not confirmed in time; it may take effect. See /v1/status.");
  }
  if (waiter->result->outcome == consensus::ProposalOutcome::kRejected) {
    return Fail(ToError(waiter->result->reason));
  }
  return {};
}

bool MemberService::IsLeaving(const consensus::ReplicaId& replica) {
  const std::scoped_lock lock(this->mutex);
  return this->leaving.Contains(replica, SystemClock().Now());
}

bool MemberService::MayVote(const consensus::ReplicaId& learner) {
  {
    const std::scoped_lock lock(this->mutex);
    if (const auto known = this->may_vote_by_learner.find(learner);
        known != this->may_vote_by_learner.end()) {
      return known->second;
    }
  }
  const std::shared_ptr<net::RpcClient> client = this->addresses.Client(learner.node);
  if (client == nullptr) {
    return false;
  }
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(reply, client->Call<net::FormReply>(net::FormRequest{}, kMayVoteTimeout));
        if (reply.identity != learner.identity.Value()) {
          // The node now has another data folder, and joins under the identity of that folder.
          return false;
        }
        const std::scoped_lock lock(this->mutex);
        this->may_vote_by_learner.insert_or_assign(learner, reply.may_vote);
        return reply.may_vote;
      },
      [&](const Error& error) {
        kLog.Debug("A learner did not answer whether it may vote; asking again.",
                   {{"node", learner.node}, {"cause", error.message}});
        return false;
      });
}

std::optional<consensus::ReplicaId> MemberService::FindSuccessor(
    const consensus::ReplicaStatus& status) {
  for (const consensus::PeerStatus& peer : status.peers) {
    if (peer.caught_up && status.membership.IsLearner(peer.replica) &&
        !this->IsLeaving(peer.replica) && this->MayVote(peer.replica)) {
      return peer.replica;
    }
  }
  return std::nullopt;
}

void MemberService::Maintain(MembershipUpkeep upkeep) {
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  if (status.role != consensus::Role::kLeader) {
    return;
  }
  const auto successor = this->FindSuccessor(status);
  const auto change =
      PlanMembershipUpkeep(status, successor, upkeep, this->timings, SystemClock().Now());
  if (!change) {
    return;
  }
  kLog.Info("Changing the membership.", {{"change", ToString(change->kind)},
                                         {"node", change->replica.node},
                                         {"voters", status.membership.voters.size()},
                                         {"has_successor", successor.has_value()}});
  this->replica.ProposeMembership(*change, [](const consensus::ProposalResult&) {});
}

}  // namespace masticrill::control
