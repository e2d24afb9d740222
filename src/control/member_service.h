#ifndef MASTICRILL_CONTROL_MEMBER_SERVICE_H_
#define MASTICRILL_CONTROL_MEMBER_SERVICE_H_

#include <map>
#include <mutex>
#include <string>

#include "control/address_book.h"
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
  /// Makes the change; fails with kNotLeader when another replica leads.
  Result<std::string> ChangeAsLeader(const net::MemberRequest& request);
  /// As the leader, proposes to promote one learner that has caught up and may vote. Returns
  /// whether it did.
  bool PromoteLearner();
  /// As the leader, proposes to demote a voter or to remove a learner that it has not heard from
  /// for longer than the limit in ControlTimings.
  void RetireUnresponsiveMember();

 private:
  Result<std::string> Add(const net::MemberRequest& request);
  Result<std::string> Remove(const net::MemberRequest& request);
  Result<void> Propose(const consensus::MembershipChange& change);
  /// Whether a learner may become a voter, which an observer may not; false while the learner does
  /// not answer.
  bool MayVote(const consensus::ReplicaId& learner);

  ReplicaRunner& replica;
  AddressBook& addresses;
  ControlTimings timings;
  std::mutex mutex;
  /// Answers of learners for MayVote. The answer for one identity never changes.
  std::map<consensus::ReplicaId, bool> may_vote_by_learner;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_MEMBER_SERVICE_H_
