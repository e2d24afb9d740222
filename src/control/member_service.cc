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
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  if (status.role == consensus::Role::kLeader) {
    return this->ChangeAsLeader(request);
  }
  const std::shared_ptr<net::RpcClient> client =
      status.leader.Empty() ? nullptr : this->addresses.Client(status.leader.node);
  if (client == nullptr) {
    return Fail(ToError(consensus::RejectReason::kNoLeader));
  }
  BOOST_LEAF_AUTO(reply,
                  client->Call<net::MemberReply>(request, 2 * this->timings.propose_timeout));
  return reply.message;
}

Result<std::string> MemberService::ChangeAsLeader(const net::MemberRequest& request) {
  if (this->replica.Status().replica.role != consensus::Role::kLeader) {
    return Fail(ToError(consensus::RejectReason::kNotLeader));
  }
  return request.action == net::MemberAction::kRemove ? this->Remove(request) : this->Add(request);
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
  const consensus::Membership membership = this->replica.Status().replica.membership;
  const bool joins = request.action == net::MemberAction::kJoin;
  if (joins && membership.IsMember(replica)) {
    return request.node.Value() + " is a member already.";
  }
  if (const consensus::ReplicaId* former = membership.FindNode(request.node);
      joins && former != nullptr && !membership.IsRetired(replica.identity)) {
    // The node has lost its data folder, and with it its former identity.
    kLog.Info("A node rejoins with an empty data folder; removing its former identity.",
              {{"node", request.node}, {"identity", former->identity}});
    BOOST_LEAF_CHECK(this->Propose({consensus::MembershipChangeKind::kRemove, *former}));
  }
  BOOST_LEAF_CHECK(this->Propose({consensus::MembershipChangeKind::kAddLearner, replica}));
  return "Added " + request.node.Value() + " as a learner. It votes once it has caught up.";
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

namespace {

/// Of the matching peers that the leader has not heard from for more than `timeout`, the one that
/// it heard from the longest time ago.
template <typename Predicate>
std::optional<consensus::ReplicaId> FindUnresponsive(const consensus::ReplicaStatus& status,
                                                     Duration timeout, TimePoint now,
                                                     const Predicate& matches) {
  std::optional<consensus::ReplicaId> found;
  TimePoint oldest = now - timeout;
  for (const consensus::PeerStatus& peer : status.peers) {
    if (matches(peer.replica) && peer.heard_at < oldest) {
      found = peer.replica;
      oldest = peer.heard_at;
    }
  }
  return found;
}

/// The voter that the group is better off without; nullopt when there is none.
std::optional<consensus::ReplicaId> FindVoterToDemote(const consensus::ReplicaStatus& status,
                                                      const ControlTimings& timings,
                                                      TimePoint now) {
  // What is left must still tolerate the loss of another voter.
  constexpr std::size_t kMinVotersLeft = 3;
  const std::size_t count = status.membership.voters.size();
  if (count <= kMinVotersLeft) {
    return std::nullopt;
  }
  // An even group tolerates no more losses than the group without the unresponsive voter.
  const bool is_even = count % 2 == 0;
  return FindUnresponsive(
      status, is_even ? timings.demote_surplus_voter_after : timings.demote_voter_after, now,
      [&](const consensus::ReplicaId& replica) { return status.membership.IsVoter(replica); });
}

}  // namespace

void MemberService::RetireUnresponsiveMember() {
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  const TimePoint now = SystemClock().Now();
  if (const auto voter = FindVoterToDemote(status, this->timings, now)) {
    kLog.Info("Demoting a voter that the leader has not heard from within the limit.",
              {{"node", voter->node}, {"voters", status.membership.voters.size()}});
    this->replica.ProposeMembership({consensus::MembershipChangeKind::kDemote, *voter},
                                    [](const consensus::ProposalResult&) {});
    return;
  }
  // An observer restarts under a new identity; its former identity is still listed as a learner.
  const auto learner = FindUnresponsive(
      status, this->timings.remove_learner_after, now,
      [&](const consensus::ReplicaId& replica) { return status.membership.IsLearner(replica); });
  if (learner) {
    kLog.Info("Removing a learner that the leader has not heard from within the limit.",
              {{"node", learner->node}});
    this->replica.ProposeMembership({consensus::MembershipChangeKind::kRemove, *learner},
                                    [](const consensus::ProposalResult&) {});
  }
}

bool MemberService::PromoteLearner() {
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  if (status.membership.voters.size() >= consensus::kMaxVoters) {
    return false;
  }
  for (const consensus::PeerStatus& peer : status.peers) {
    if (!peer.caught_up || !status.membership.IsLearner(peer.replica) ||
        !this->MayVote(peer.replica)) {
      continue;
    }
    kLog.Info("Promoting a learner that has caught up to a voter.", {{"node", peer.replica.node}});
    this->replica.ProposeMembership({consensus::MembershipChangeKind::kPromote, peer.replica},
                                    [](const consensus::ProposalResult&) {});
    return true;
  }
  return false;
}

}  // namespace masticrill::control
