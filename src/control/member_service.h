#ifndef MASTICRILL_CONTROL_MEMBER_SERVICE_H_
#define MASTICRILL_CONTROL_MEMBER_SERVICE_H_

#include <map>
#include <mutex>
#include <string>

#include "control/address_book.h"
#include "control/replica_runner.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {

/// Changes the group of control replicas. Safe for several threads.
class MemberService {
 public:
  /// The arguments outlive the service.
  MemberService(ReplicaRunner& replica, AddressBook& addresses, const ControlTimings& timings)
      : replica(replica), addresses(addresses), timings(timings) {}

  /// Carries the change out here, or asks the leader to. Returns what was done.
  Result<std::string> Change(const net::MemberRequest& request);
  /// Carries the change out; fails with kNotLeader when another replica leads.
  Result<std::string> ChangeAsLeader(const net::MemberRequest& request);
  /// Proposes to promote the learners that have caught up and may vote, when this replica leads.
  void PromoteLearners();
  /// Proposes to remove a voter that is gone, or an observer that was gone for long, when this
  /// replica leads. Returns whether it did.
  bool RemoveUnresponsiveMember();

 private:
  Result<std::string> Add(const net::MemberRequest& request);
  Result<std::string> Remove(const net::MemberRequest& request);
  Result<void> Propose(const consensus::MembershipChange& change);
  /// Whether a learner is a future voter and no observer; no while it cannot be asked.
  bool MayVote(const consensus::ReplicaId& learner);

  ReplicaRunner& replica;
  AddressBook& addresses;
  ControlTimings timings;
  std::mutex mutex;
  /// What learners answered to MayVote. It never changes for one identity.
  std::map<consensus::ReplicaId, bool> may_vote_by_learner;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_MEMBER_SERVICE_H_
