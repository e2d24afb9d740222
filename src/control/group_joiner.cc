#include "control/group_joiner.h"

#include <utility>

#include "masticrill/common/log.h"
#include "masticrill/net/messages.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
/// Interval of the checks while this replica asks for membership. Answers end the wait.
constexpr Duration kAskInterval = milliseconds(50);
constexpr Duration kMemberCheckInterval = seconds(1);
/// A member without a leader for this long asks whether the group still knows it: the entry that
/// removed it may never have reached its log.
constexpr Duration kMaxLeaderless = seconds(2);
constexpr Duration kCallTimeout = seconds(2);
/// One for each other member of the largest group.
constexpr std::size_t kMaxRequests = consensus::kMaxMembers;

std::int64_t ToMs(Duration duration) { return duration_cast<milliseconds>(duration).count(); }

}  // namespace

GroupJoiner::GroupJoiner(const ControlOptions& options, ReplicaRunner& replica,
                         AddressBook& addresses, const ControlHosts& hosts,
                         const GroupFormation& formation)
    : options(options),
      replica(replica),
      addresses(addresses),
      hosts(hosts),
      formation(formation),
      requests(kMaxRequests),
      thread([this] { return this->RunOnce(); }) {}

void GroupJoiner::Stop() {
  this->thread.Stop();
  this->requests.Stop();
}

Duration GroupJoiner::RunOnce() {
  this->TakeAnswers();
  const consensus::ReplicaStatus status = this->replica.Status().replica;
  if (!this->options.auto_join || !this->formation.IsComplete()) {
    return kAskInterval;
  }
  this->LogProgress(status);
  if (status.membership.IsMember(status.id) && !this->IsLeaderless(status)) {
    return this->has_voted || !this->options.may_vote ? kMemberCheckInterval : kAskInterval;
  }
  const TimePoint now = this->clock.Now();
  if (this->accepted_at && now - *this->accepted_at < kMemberCheckInterval) {
    return kAskInterval;
  }
  const std::set<NodeId> known = this->hosts.All();
  if (const auto host = this->schedule.StartNext(known, status.leader.node, now)) {
    this->StartRequest(*host);
    return kAskInterval;
  }
  this->LogRefusals(status, known);
  return kAskInterval;
}

void GroupJoiner::LogProgress(const consensus::ReplicaStatus& status) {
  const TimePoint now = this->clock.Now();
  if (!this->member_at && status.membership.IsMember(status.id)) {
    this->member_at = now;
  }
  if (this->has_voted || !status.membership.IsVoter(status.id)) {
    return;
  }
  this->has_voted = true;
  kLog.Info("This replica is a voter.",
            {{"node", status.id.node},
             {"accepted_ms", ToMs(this->accepted_at.value_or(*this->member_at) - this->started_at)},
             {"member_ms", ToMs(*this->member_at - this->started_at)},
             {"voter_ms", ToMs(now - this->started_at)}});
}

void GroupJoiner::LogRefusals(const consensus::ReplicaStatus& status,
                              const std::set<NodeId>& known) {
  if (!this->schedule.CompletesRound(known)) {
    return;
  }
  const std::optional<std::string> causes = this->report.EndRound(this->clock.Now());
  // A member is refused as long as the whole group is without a leader, which has lines of its own.
  if (causes && !status.membership.IsMember(status.id)) {
    kLog.Warning("No control host accepted the join request of this replica; asking again.",
                 {{"node", status.id.node},
                  {"identity", status.id.identity},
                  {"asked", known.size()},
                  {"causes", *causes}});
  }
}

/// Whether no leader has been known for longer than the limit.
bool GroupJoiner::IsLeaderless(const consensus::ReplicaStatus& status) {
  const TimePoint now = this->clock.Now();
  if (!status.leader.Empty()) {
    this->led_at = now;
  }
  return now - this->led_at > kMaxLeaderless;
}

void GroupJoiner::StartRequest(const NodeId& host) {
  this->requests.Run([this, host] {
    Answer answer = this->Request(host);
    {
      const std::scoped_lock lock(this->mutex);
      this->answers.push_back(std::move(answer));
    }
    this->thread.Wake();
  });
}

GroupJoiner::Answer GroupJoiner::Request(const NodeId& host) {
  return HandleErrors(
      [&]() -> Result<Answer> {
        BOOST_LEAF_AUTO(reply, this->addresses.Client(host)->Call<net::MemberReply>(
                                   net::MemberRequest{net::MemberAction::kJoin, this->options.node,
                                                      this->options.rpc_address},
                                   kCallTimeout));
        return Answer{host, std::move(reply.message), {}};
      },
      [&](const Error& error) {
        return Answer{host, std::nullopt, error};
      });
}

void GroupJoiner::TakeAnswers() {
  std::vector<Answer> taken;
  {
    const std::scoped_lock lock(this->mutex);
    std::swap(taken, this->answers);
  }
  const TimePoint now = this->clock.Now();
  for (const Answer& answer : taken) {
    this->schedule.End(answer.asked, now);
    if (!answer.accepted) {
      this->retired = this->retired || answer.error.kind == ErrorKind::kRetired;
      this->report.Refuse(answer.asked, answer.error);
      continue;
    }
    this->report.Accept();
    this->accepted_at = now;
    // A member that asked because it knows no leader gets the same answer each time.
    if (this->last_answer != *answer.accepted) {
      this->last_answer = *answer.accepted;
      kLog.Info("The leader accepted the join request of this replica.",
                {{"asked", answer.asked}, {"answer", *answer.accepted}});
    }
  }
}

}  // namespace masticrill::control
