#include "control/group_report.h"

#include <algorithm>

namespace masticrill::control {
namespace {

constexpr std::size_t kMaxListed = 8;
constexpr std::size_t kMaxNodeLength = 48;
constexpr std::size_t kIdentityLength = 6;
/// An election under normal conditions is over by then.
constexpr Duration kNoLeaderAfter = seconds(2);
constexpr Duration kNoLeaderInterval = seconds(5);
constexpr Duration kSilenceMinInterval = seconds(1);
constexpr Duration kSilenceInterval = seconds(10);

bool IsDue(const std::optional<TimePoint>& told_at, Duration interval, TimePoint now) {
  return !told_at || now - *told_at >= interval;
}

}  // namespace

std::string_view ToString(MemberPart part) {
  switch (part) {
    case MemberPart::kNone:
      return "none";
    case MemberPart::kLearner:
      return "learner";
    case MemberPart::kVoter:
      return "voter";
  }
  return "none";
}

MemberPart PartOf(const consensus::ReplicaStatus& status) {
  if (status.membership.IsVoter(status.id)) {
    return MemberPart::kVoter;
  }
  return status.membership.IsLearner(status.id) ? MemberPart::kLearner : MemberPart::kNone;
}

std::vector<consensus::ReplicaId> SilentVoters(const consensus::ReplicaStatus& status,
                                               Duration timeout, TimePoint now) {
  std::vector<consensus::ReplicaId> silent;
  if (status.role != consensus::Role::kLeader) {
    return silent;
  }
  for (const consensus::PeerStatus& peer : status.peers) {
    if (status.membership.IsVoter(peer.replica) && now - peer.heard_at > timeout) {
      silent.push_back(peer.replica);
    }
  }
  return silent;
}

int VotersToSpare(const consensus::Membership& membership, std::size_t silent_count) {
  return static_cast<int>(membership.voters.size()) - static_cast<int>(silent_count) -
         static_cast<int>(membership.Quorum());
}

std::string FormatReplicas(const std::vector<consensus::ReplicaId>& replicas) {
  std::string text;
  const std::size_t listed = std::min(replicas.size(), kMaxListed);
  for (std::size_t place = 0; place < listed; ++place) {
    const auto& [node, identity] = replicas[place];
    text += (place == 0 ? "" : " ") + node.Value().substr(0, kMaxNodeLength) + ":" +
            identity.Value().substr(0, kIdentityLength);
  }
  if (replicas.size() > listed) {
    text += " and " + std::to_string(replicas.size() - listed) + " more";
  }
  return text;
}

std::vector<GroupNotice> GroupReport::Observe(const consensus::DriverStatus& status,
                                              TimePoint now) {
  if (!status.stopped || !this->running_at) {
    this->running_at = now;
  }
  this->stopped = now - *this->running_at;
  std::vector<GroupNotice> notices;
  if (this->MembershipChanged(status.replica.membership)) {
    notices.push_back({.event = GroupEvent::kMembershipChanged});
  }
  if (auto notice = this->ObserveLeader(status.replica, now)) {
    notices.push_back(std::move(*notice));
  }
  if (auto notice = this->ObserveSilence(status.replica, now)) {
    notices.push_back(std::move(*notice));
  }
  return notices;
}

bool GroupReport::MembershipChanged(const consensus::Membership& current) {
  const bool same =
      current.voters == this->membership.voters && current.learners == this->membership.learners;
  this->membership = current;
  return !same;
}

std::optional<GroupNotice> GroupReport::ObserveLeader(const consensus::ReplicaStatus& status,
                                                      TimePoint now) {
  if (!status.leader.Empty() || !this->leader_known_at) {
    this->leader_known_at = now;
  }
  this->without_leader = now - *this->leader_known_at;
  if (!status.leader.Empty()) {
    this->no_leader_told_at.reset();
    this->granted.clear();
    this->refused.clear();
    return std::nullopt;
  }
  this->granted.insert(status.votes.begin(), status.votes.end());
  this->refused.insert(status.refusals.begin(), status.refusals.end());
  if (this->without_leader < kNoLeaderAfter ||
      !IsDue(this->no_leader_told_at, kNoLeaderInterval, now)) {
    return std::nullopt;
  }
  this->no_leader_told_at = now;
  GroupNotice notice{.event = GroupEvent::kNoLeader, .without_leader = this->without_leader};
  const bool asks = status.membership.IsVoter(status.id);
  for (const consensus::ReplicaId& voter : status.membership.voters) {
    if (!asks || voter == status.id) {
      continue;
    }
    const bool grants = this->granted.contains(voter);
    const bool refuses = this->refused.contains(voter);
    (grants ? notice.granted : refuses ? notice.refused : notice.unanswered).push_back(voter);
  }
  this->granted.clear();
  this->refused.clear();
  return notice;
}

std::optional<GroupNotice> GroupReport::ObserveSilence(const consensus::ReplicaStatus& status,
                                                       TimePoint now) {
  std::vector<consensus::ReplicaId> current = SilentVoters(status, this->election_timeout, now);
  if (status.role != consensus::Role::kLeader) {
    this->silent.clear();
    return std::nullopt;
  }
  const bool changed = current != this->silent;
  const Duration interval = changed ? kSilenceMinInterval : kSilenceInterval;
  if ((!changed && current.empty()) || !IsDue(this->silence_told_at, interval, now)) {
    return std::nullopt;
  }
  this->silence_told_at = now;
  this->silent = current;
  return GroupNotice{.event = GroupEvent::kSilentVoters, .silent = std::move(current)};
}

}  // namespace masticrill::control
