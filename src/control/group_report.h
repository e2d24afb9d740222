#ifndef MASTICRILL_CONTROL_GROUP_REPORT_H_
#define MASTICRILL_CONTROL_GROUP_REPORT_H_

#include <array>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "masticrill/common/clock.h"
#include "masticrill/consensus/driver_types.h"

namespace masticrill::control {

/// The part of a replica in the membership that it knows.
enum class MemberPart { kNone, kLearner, kVoter };

inline constexpr std::array kAllMemberParts = {MemberPart::kNone, MemberPart::kLearner,
                                               MemberPart::kVoter};

std::string_view ToString(MemberPart part);
MemberPart PartOf(const consensus::ReplicaStatus& status);

/// The voters that the leader has not heard from within `timeout`. Empty at any other replica.
std::vector<consensus::ReplicaId> SilentVoters(const consensus::ReplicaStatus& status,
                                               Duration timeout, TimePoint now);
/// How many more voters may fall silent before the leader can commit nothing more; negative when it
/// already cannot.
int VotersToSpare(const consensus::Membership& membership, std::size_t silent_count);

/// Node names with the beginning of the identities, as `a:1f2e3d b:99ab01`. Bounded in length.
std::string FormatReplicas(const std::vector<consensus::ReplicaId>& replicas);

enum class GroupEvent {
  kMembershipChanged,  // The replica knows another membership than before.
  kNoLeader,           // The replica has known no leader for some time.
  kSilentVoters,       // At the leader: other voters than before are silent, or still are.
};

struct GroupNotice {
  GroupEvent event = GroupEvent::kMembershipChanged;
  /// For kNoLeader: how long, and, at a voter, the other voters by their answers since the previous
  /// notice.
  Duration without_leader{0};
  std::vector<consensus::ReplicaId> granted = {};
  std::vector<consensus::ReplicaId> refused = {};
  std::vector<consensus::ReplicaId> unanswered = {};
  /// For kSilentVoters.
  std::vector<consensus::ReplicaId> silent = {};

  friend bool operator==(const GroupNotice&, const GroupNotice&) = default;
};

/// Decides from the status of a replica what is worth a log line, at a bounded rate.
class GroupReport {
 public:
  explicit GroupReport(Duration election_timeout) : election_timeout(election_timeout) {}

  /// Takes the status at a time, which does not go back.
  std::vector<GroupNotice> Observe(const consensus::DriverStatus& status, TimePoint now);
  /// How long the replica has been stopped by a storage error, as of the last observation.
  Duration Stopped() const { return this->stopped; }
  /// How long the replica has known no leader, as of the last observation.
  Duration WithoutLeader() const { return this->without_leader; }

 private:
  bool MembershipChanged(const consensus::Membership& current);
  std::optional<GroupNotice> ObserveLeader(const consensus::ReplicaStatus& status, TimePoint now);
  std::optional<GroupNotice> ObserveSilence(const consensus::ReplicaStatus& status, TimePoint now);

  Duration election_timeout;
  consensus::Membership membership;
  std::optional<TimePoint> running_at;
  Duration stopped{0};
  std::optional<TimePoint> leader_known_at;
  Duration without_leader{0};
  std::optional<TimePoint> no_leader_told_at;
  std::set<consensus::ReplicaId> granted;
  std::set<consensus::ReplicaId> refused;
  std::vector<consensus::ReplicaId> silent;
  std::optional<TimePoint> silence_told_at;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_GROUP_REPORT_H_
