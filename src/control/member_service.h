#ifndef MASTICRILL_CONTROL_MEMBER_SERVICE_H_
#define MASTICRILL_CONTROL_MEMBER_SERVICE_H_

#include <map>
#include <mutex>
#include <optional>
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
  /// The same; a leader that is asked must answer within the timeout.
  Result<std::string> Change(const net::MemberRequest& request, Duration timeout);
  /// Makes the change; fails with kNotLeader when another replica leads.
  Result<std::string> ChangeAsLeader(const net::MemberRequest& request);
  /// As the leader, proposes to promote one learner that has caught up and may vote. With
  /// `waits_for_voters`, not while an odd group has a voter that does not answer.
  void PromoteLearner(bool waits_for_voters);
  /// As the leader, proposes to demote a voter or to remove a learner that it has not heard from
  /// for longer than the limit in ControlTimings. Returns whether it did.
  bool RetireUnresponsiveMember();

 private:
  Result<std::string> Add(const net::MemberRequest& request);
  /// A learner that has caught up and may vote; nullopt when there is none.
  std::optional<consensus::ReplicaId> FindSuccessor(const consensus::ReplicaStatus& status);
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
