#include "control/group_formation.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "control/durable_file.h"
#include "masticrill/common/log.h"
#include "masticrill/consensus/codec.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr Duration kRetryInterval = milliseconds(100);
constexpr Duration kNoNextAttempt = std::chrono::hours(24);
constexpr Duration kCallTimeout = seconds(1);
/// How long the next voter by name waits for the one before it to coordinate.
constexpr Duration kTakeOverDelay = seconds(1);
constexpr const char* kFileName = "formation";
constexpr const char* kFirstStartFileName = "first_start";
constexpr char kFormedMark = 'F';
constexpr char kAcceptedMark = 'A';

std::optional<consensus::Membership> Decode(const std::string& bytes) {
  return HandleErrors(
      [&]() -> Result<std::optional<consensus::Membership>> {
        BOOST_LEAF_AUTO(membership, consensus::DecodeMembership(bytes));
        return std::optional(std::move(membership));
      },
      [](const Error&) { return std::optional<consensus::Membership>(); });
}

bool NamesVoter(const std::string& bytes, const consensus::ReplicaId& replica) {
  const std::optional<consensus::Membership> membership = Decode(bytes);
  return membership && membership->IsVoter(replica);
}

bool Succeeds(const std::function<Result<void>()>& action) {
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(action());
        return true;
      },
      [](const Error& error) {
        kLog.Error("Forming the control group failed.", {{"cause", error.message}});
        return false;
      });
}

}  // namespace

GroupFormation::GroupFormation(const ControlOptions& options, ReplicaRunner& replica,
                               AddressBook& addresses)
    : options(options), replica(replica), addresses(addresses) {}

GroupFormation::~GroupFormation() { this->Stop(); }

void GroupFormation::Stop() {
  if (this->thread != nullptr) {
    this->thread->Stop();
  }
}

std::string GroupFormation::Path() const { return this->options.data_folder + "/" + kFileName; }

Result<void> GroupFormation::LoadFirstStart() {
  BOOST_LEAF_AUTO(content, ReadIfPresent(this->options.data_folder + "/" + kFirstStartFileName));
  std::istringstream names(content);
  for (std::string name; std::getline(names, name);) {
    this->first_start.emplace_back(name);
  }
  return {};
}

Result<void> GroupFormation::SaveFirstStart() {
  this->first_start = this->InitialMembers();
  std::string names;
  for (const NodeId& member : this->first_start) {
    names += member.Value() + "\n";
  }
  return WriteDurably(this->options.data_folder, kFirstStartFileName, names);
}

std::vector<NodeId> GroupFormation::InitialMembers() const {
  if (!this->first_start.empty()) {
    return this->first_start;
  }
  std::vector<NodeId> members = this->options.initial_members;
  if (members.empty()) {
    members.push_back(this->options.node);
    for (const PeerAddress& peer : this->options.peers) {
      members.push_back(peer.node);
    }
  }
  std::sort(members.begin(), members.end());
  members.erase(std::unique(members.begin(), members.end()), members.end());
  return members;
}

Result<void> GroupFormation::Start(const consensus::ReplicaId& own) {
  this->self = own;
  BOOST_LEAF_CHECK(this->LoadAccepted());
  BOOST_LEAF_CHECK(this->LoadFirstStart());
  const std::vector<NodeId> members = this->InitialMembers();
  const bool listed = std::find(members.begin(), members.end(), own.node) != members.end();
  // The others may still wait for a replica that has accepted a membership, or that was restarted
  // before any was proposed.
  const bool waits_to_be_added =
      !this->accepted && this->first_start.empty() && (this->options.join || !listed);
  if (!this->replica.IsEmpty() || waits_to_be_added || !this->options.may_vote) {
    this->done = true;
    this->replica.Run();
    return {};
  }
  if (members.size() == 1) {
    this->done = true;
    consensus::Membership membership;
    membership.voters = {own};
    return this->BootstrapAndRun(consensus::EncodeMembership(membership));
  }
  if (this->first_start.empty()) {
    BOOST_LEAF_CHECK(this->SaveFirstStart());
  }
  this->thread = std::make_unique<PeriodicThread>([this] { return this->TryToForm(); });
  return {};
}

Result<void> GroupFormation::LoadAccepted() {
  BOOST_LEAF_AUTO(content, ReadIfPresent(this->Path()));
  if (content.empty()) {
    return {};
  }
  AcceptedMembership loaded{content.substr(1), content.front() == kFormedMark};
  // A membership with another identity of this node belongs to a data folder that was lost.
  if (NamesVoter(loaded.membership, this->self)) {
    this->accepted = std::move(loaded);
  }
  return {};
}

bool GroupFormation::SaveAccepted(const AcceptedMembership& next) {
  const std::string mark(1, next.formed ? kFormedMark : kAcceptedMark);
  const bool saved = Succeeds([&]() -> Result<void> {
    return WriteDurably(this->options.data_folder, kFileName, mark + next.membership);
  });
  if (saved) {
    this->accepted = next;
  }
  return saved;
}

/// Accepts the membership unless another one has been accepted. The caller holds the lock.
bool GroupFormation::Accept(const std::string& membership) {
  if (this->accepted) {
    return this->accepted->membership == membership;
  }
  return this->replica.IsEmpty() && NamesVoter(membership, this->self) &&
         this->SaveAccepted({membership, false});
}

net::FormReply GroupFormation::OnRequest(const net::FormRequest& request) {
  const std::scoped_lock lock(this->mutex);
  if (!request.membership.empty()) {
    this->Accept(request.membership);
  }
  return {.node = this->self.node,
          .identity = this->self.identity.Value(),
          .is_empty = this->replica.IsEmpty(),
          .membership = this->accepted ? this->accepted->membership : "",
          .formed = this->accepted && this->accepted->formed,
          .may_vote = this->options.may_vote};
}

Duration GroupFormation::TryToForm() {
  if (this->done) {
    return kNoNextAttempt;
  }
  const std::vector<net::FormReply> replies = this->QueryMembers("");
  this->done = this->JoinExistingGroup(replies) || this->FormAsCoordinator(replies);
  return this->done ? kNoNextAttempt : kRetryInterval;
}

std::vector<net::FormReply> GroupFormation::QueryMembers(const std::string& membership) {
  std::vector<net::FormReply> replies;
  for (const NodeId& member : this->InitialMembers()) {
    const std::shared_ptr<net::RpcClient> client = this->addresses.Client(member);
    if (client == nullptr) {
      continue;
    }
    HandleErrors(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(reply,
                          client->Call<net::FormReply>(net::FormRequest{membership}, kCallTimeout));
          replies.push_back(std::move(reply));
          return true;
        },
        [&](const Error& error) {
          // The replica is asked again soon, so only a new cause is logged.
          if (std::string& last = this->last_causes[member]; last != error.message) {
            last = error.message;
            kLog.Info("A replica did not answer the formation request; asking again.",
                      {{"node", member}, {"cause", error.message}});
          }
          return false;
        });
  }
  return replies;
}

/// Joins a group that the peers have formed: as a voter if its membership lists this replica, and
/// otherwise as an empty replica that waits until it is added.
bool GroupFormation::JoinExistingGroup(const std::vector<net::FormReply>& replies) {
  for (const net::FormReply& reply : replies) {
    if (reply.formed && NamesVoter(reply.membership, this->self)) {
      return this->CompleteFormation(reply.membership);
    }
  }
  for (const net::FormReply& reply : replies) {
    if (reply.formed || !reply.is_empty) {
      kLog.Warning(
          "The peers have a group without this data folder. Remove the old replica of this node "
          "and add it again.",
          {{"node", this->self.node}, {"identity", this->self.identity}});
      this->replica.Run();
      return true;
    }
  }
  return false;
}

/// Forms the group if it is this replica's turn and every other voter accepts the membership.
/// Observers among the initial members only have to answer.
bool GroupFormation::FormAsCoordinator(const std::vector<net::FormReply>& replies) {
  const std::vector<NodeId> members = this->InitialMembers();
  if (replies.size() + 1 != members.size()) {
    this->all_answered_at.reset();
    return false;
  }
  consensus::Membership membership;
  membership.voters = {this->self};
  for (const net::FormReply& reply : replies) {
    if (reply.may_vote) {
      membership.voters.push_back({reply.node, storage::DataFolderId(reply.identity)});
    }
  }
  std::sort(membership.voters.begin(), membership.voters.end());
  if (!this->IsCoordinator(membership)) {
    return false;
  }
  std::string proposed = consensus::EncodeMembership(membership);
  {
    const std::scoped_lock lock(this->mutex);
    if (this->accepted) {
      proposed = this->accepted->membership;
    }
    if (!this->Accept(proposed)) {
      return false;
    }
  }
  const std::vector<net::FormReply> answers = this->QueryMembers(proposed);
  const bool all = answers.size() + 1 == members.size() &&
                   std::all_of(answers.begin(), answers.end(), [&](const net::FormReply& answer) {
                     return !answer.may_vote || answer.membership == proposed;
                   });
  if (!all) {
    kLog.Warning(
        "Not every replica accepted the membership. Empty the data folders to form a group.");
  }
  return all && this->CompleteFormation(proposed);
}

/// A voter that was restarted may wait to be added to a group: then those after it by name would
/// wait for it in vain. Two that coordinate at once propose the same membership, unless one of the
/// data folders was lost in between; then none of the two is accepted by all.
bool GroupFormation::IsCoordinator(const consensus::Membership& membership) {
  const TimePoint now = this->clock.Now();
  if (!this->all_answered_at) {
    this->all_answered_at = now;
  }
  const auto own = std::find(membership.voters.begin(), membership.voters.end(), this->self);
  return now - *this->all_answered_at >= (own - membership.voters.begin()) * kTakeOverDelay;
}

bool GroupFormation::CompleteFormation(const std::string& membership) {
  {
    const std::scoped_lock lock(this->mutex);
    if (!this->Accept(membership) || !this->SaveAccepted({membership, true})) {
      return false;
    }
  }
  kLog.Info("The control group is formed.", {{"node", this->self.node}});
  return Succeeds([&]() -> Result<void> { return this->BootstrapAndRun(membership); });
}

Result<void> GroupFormation::BootstrapAndRun(const std::string& membership) {
  BOOST_LEAF_AUTO(decoded, consensus::DecodeMembership(membership));
  BOOST_LEAF_CHECK(this->replica.Bootstrap(decoded));
  this->replica.Run();
  return {};
}

}  // namespace masticrill::control
