#ifndef MASTICRILL_CONTROL_MEMBERSHIP_PLAN_H_
#define MASTICRILL_CONTROL_MEMBERSHIP_PLAN_H_

#include <map>
#include <optional>

#include "masticrill/consensus/replica_types.h"
#include "masticrill/control/control_options.h"

namespace masticrill::control {

/// What a leader does about its group without being asked.
enum class MembershipUpkeep {
  /// It promotes learners only; operators replace unresponsive voters.
  kPromote,
  kReplace,
};

/// The next change by which the leader restores the tolerance of its group, as seen in its status:
/// an unresponsive voter loses its vote where the others are better off without it, a learner that
/// was silent for long is removed, and `successor`, a learner that has caught up and may vote, is
/// promoted. Nothing while the leader has no recent answer of a quorum or a change is not committed
/// yet. Pure.
std::optional<consensus::MembershipChange> PlanMembershipUpkeep(
    const consensus::ReplicaStatus& status, const std::optional<consensus::ReplicaId>& successor,
    MembershipUpkeep upkeep, const ControlTimings& timings, TimePoint now);

/// The next change before the process of a voter ends as planned; nothing once it may end. The
/// group's tolerance never decreases: a voter of an even group gives its vote up, after a successor
/// has made an odd group even, and a voter of an odd group without a successor keeps its vote.
/// Pure.
std::optional<consensus::MembershipChange> PlanLeave(
    const consensus::Membership& membership, const consensus::ReplicaId& leaving,
    const std::optional<consensus::ReplicaId>& successor);

/// Replicas that gave their vote up since their processes end. The leader still hears from one for
/// a moment, and must not promote it again. A new leader has not heard from it. Not thread-safe.
class LeavingReplicas {
 public:
  /// Longer than it takes until a replica that ends counts as silent, and short for one that is
  /// started again.
  static constexpr Duration kHold = seconds(2);

  void Add(const consensus::ReplicaId& replica, TimePoint now);
  bool Contains(const consensus::ReplicaId& replica, TimePoint now) const;

 private:
  std::map<consensus::ReplicaId, TimePoint> left_at;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_MEMBERSHIP_PLAN_H_
