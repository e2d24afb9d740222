#ifndef MASTICRILL_CONTROL_MEMBER_SERVICE_H_
#define MASTICRILL_CONTROL_MEMBER_SERVICE_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "control/address_book.h"
#include "control/membership_plan.h"
#include "control/replica_runner.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {

/// Changes the membership of the control group. Thread-safe.
class MemberService {
 public:
  /// The arguments must outlive the service.
  MemberService(ReplicaRunner& replica, AddressBook& addresses, const ControlTimings& timings)
      : replica(replica), addresses(addresses), timings(timings) {}

  /// Makes the change, or forwards it to the leader. Returns a description of what was done.
  Result<std::string> Change(const net::MemberRequest& request);
  /// The same; a leader that is asked must answer within the timeout.
  Result<std::string> Change(const net::MemberRequest& request, Duration timeout);
  /// Makes the change; fails with kNotLeader when another replica leads.
  Result<std::string> ChangeAsLeader(const net::MemberRequest& request);
  /// As the leader, proposes the change of PlanMembershipUpkeep, if there is one.
  void Maintain(MembershipUpkeep upkeep);

 private:
  Result<std::string> Add(const net::MemberRequest& request);
  Result<std::string> AddReplica(const consensus::ReplicaId& replica, bool joins);
  /// A learner that has caught up, may vote and does not end; nullopt when there is none.
  std::optional<consensus::ReplicaId> FindSuccessor(const consensus::ReplicaStatus& status);
  Result<std::string> Remove(const net::MemberRequest& request);
  /// Makes the changes of PlanLeave for the node, one after the other.
  Result<std::string> Leave(const NodeId& node);
  Result<void> Propose(const consensus::MembershipChange& change);
  bool IsLeaving(const consensus::ReplicaId& replica);
  /// Whether a learner may become a voter, which an observer may not; false while the learner does
  /// not answer.
  bool MayVote(const consensus::ReplicaId& learner);

  ReplicaRunner& replica;
  AddressBook& addresses;
  ControlTimings timings;
  /// Held by a request while it makes its changes, so that others see all or none of them.
  std::timed_mutex changes_mutex;
  std::mutex mutex;
  /// Answers of learners for MayVote. The answer for one identity never changes.
  std::map<consensus::ReplicaId, bool> may_vote_by_learner;
  LeavingReplicas leaving;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_MEMBER_SERVICE_H_
