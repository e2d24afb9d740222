#include "control/rpc_service.h"

#include <functional>
#include <utility>

#include "masticrill/common/log.h"
#include "masticrill/consensus/codec.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
/// Shorter than the time for which a joining host waits for its answer.
constexpr Duration kForwardTimeout = milliseconds(1500);

net::ErrorReply ToReply(const Error& error) {
  return {std::string(ToString(error.kind)), error.message};
}

void SendOutcome(net::Channel& channel, std::uint64_t correlation, CommitOutcome outcome) {
  if (outcome.status == CommitStatus::kCommitted) {
    channel.Send(correlation, net::ProposeReply{std::move(outcome.results)});
  } else {
    channel.Send(correlation, ToReply(ToError(outcome.status)));
  }
}

}  // namespace

void RpcService::OnFrame(const std::shared_ptr<net::Channel>& channel, const net::Frame& frame) {
  HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(this->Answer(channel, frame));
        return true;
      },
      [&](const Error& error) {
        kLog.Debug("An RPC request was refused.", {{"cause", error.message}});
        return channel->Send(frame.correlation, ToReply(error));
      });
}

Result<void> RpcService::Answer(const std::shared_ptr<net::Channel>& channel,
                                const net::Frame& frame) {
  switch (frame.type) {
    case net::MessageType::kLeaseRequest: {
      BOOST_LEAF_AUTO(request, net::DecodePayload<net::LeaseRequest>(frame.payload));
      channel->Send(frame.correlation, this->parts.leases.Handle(request));
      return {};
    }
    case net::MessageType::kRenewRequest: {
      BOOST_LEAF_AUTO(request, net::DecodePayload<net::RenewRequest>(frame.payload));
      channel->Send(frame.correlation, this->parts.leases.Renew(request));
      return {};
    }
    case net::MessageType::kEntryReport: {
      BOOST_LEAF_AUTO(report, net::DecodePayload<net::EntryReport>(frame.payload));
      channel->Send(frame.correlation, this->parts.leases.HandleReport(report));
      return {};
    }
    case net::MessageType::kProposeRequest:
      return this->Propose(channel, frame);
    case net::MessageType::kConsensus:
    case net::MessageType::kFormRequest:
    case net::MessageType::kFleetRequest:
    case net::MessageType::kMemberRequest:
    case net::MessageType::kSharedListRequest:
    case net::MessageType::kEntryReportsRequest:
    case net::MessageType::kFeaturesRequest:
      if (channel->Peer().role == net::NodeRole::kControl) {
        return this->AnswerReplica(channel, frame);
      }
      return Fail(ErrorKind::kForbidden,
                  "Only control replicas may send this message. Check the caller's role.");
    default:
      return Fail(ErrorKind::kMalformedMessage,
                  "A control host does not accept this message. Check the address.");
  }
}

Result<void> RpcService::AnswerReplica(const std::shared_ptr<net::Channel>& channel,
                                       const net::Frame& frame) {
  if (frame.type == net::MessageType::kConsensus) {
    return this->HandleEnvelope(channel->Peer(), frame);
  }
  if (frame.type == net::MessageType::kFormRequest) {
    BOOST_LEAF_AUTO(request, net::DecodePayload<net::FormRequest>(frame.payload));
    channel->Send(frame.correlation, this->parts.formation.OnRequest(request));
    return {};
  }
  if (frame.type == net::MessageType::kFleetRequest) {
    channel->Send(frame.correlation, net::FleetReply{this->parts.nodes.Reports(
                                         SystemClock().Now(), this->DetailFor(channel->Peer()))});
    return {};
  }
  if (frame.type == net::MessageType::kEntryReportsRequest) {
    channel->Send(frame.correlation, net::EntryReportsReply{this->parts.nodes.EntryReports(
                                         SystemClock().Now(), this->DetailFor(channel->Peer()))});
    return {};
  }
  if (frame.type == net::MessageType::kFeaturesRequest) {
    channel->Send(frame.correlation,
                  net::FeaturesReply{this->parts.addresses.Credentials().self.node,
                                     {net::kDeclarationChangesFeature}});
    return {};
  }
  if (frame.type == net::MessageType::kSharedListRequest) {
    BOOST_LEAF_AUTO(asked, net::DecodePayload<net::SharedListRequest>(frame.payload));
    channel->Send(frame.correlation,
                  net::SharedListReply{this->parts.lists.Read(asked.known_version)});
    return {};
  }
  BOOST_LEAF_AUTO(request, net::DecodePayload<net::MemberRequest>(frame.payload));
  if (request.action == net::MemberAction::kLeave && channel->Peer().node != request.node) {
    return Fail(ErrorKind::kForbidden,
                "Only a replica itself may give its vote up. Remove it as an operator instead.");
  }
  // A joining host may know none but followers and observers. What was forwarded once is not
  // forwarded again, so that two hosts that each take the other for the leader end it.
  const bool may_forward =
      request.action == net::MemberAction::kJoin && channel->Peer().node == request.node;
  BOOST_LEAF_AUTO(message, may_forward ? this->parts.members.Change(request, kForwardTimeout)
                                       : this->parts.members.ChangeAsLeader(request));
  channel->Send(frame.correlation, net::MemberReply{message});
  return {};
}

/// All control hosts collect the reports of all nodes, so what only the leader reads would go out
/// once for each of them.
ReportDetail RpcService::DetailFor(const net::Identity& peer) const {
  const consensus::ReplicaId leader = this->parts.replica.Status().replica.leader;
  return leader.Empty() || leader.node == peer.node ? ReportDetail::kWhole
                                                    : ReportDetail::kWithoutRollouts;
}

Result<void> RpcService::Propose(const std::shared_ptr<net::Channel>& channel,
                                 const net::Frame& frame) {
  BOOST_LEAF_AUTO(request, net::DecodePayload<net::ProposeRequest>(frame.payload));
  const std::size_t key = std::hash<const void*>{}(channel.get());
  this->parts.proposer.Propose(std::move(request.commands), request.forwarded,
                               [channel, correlation = frame.correlation, key,
                                threads = this->parts.reply_threads](CommitOutcome outcome) {
                                 threads->Submit(
                                     key, [channel, correlation, outcome = std::move(outcome)] {
                                       SendOutcome(*channel, correlation, outcome);
                                     });
                               });
  return {};
}

/// A message whose sender is not the authenticated peer is dropped by the driver.
Result<void> RpcService::HandleEnvelope(const net::Identity& peer, const net::Frame& frame) {
  BOOST_LEAF_AUTO(envelope, net::DecodePayload<net::ConsensusEnvelope>(frame.payload));
  BOOST_LEAF_AUTO(message, consensus::DecodeMessage(envelope.payload));
  this->parts.addresses.Set(peer.node, envelope.address);
  this->parts.replica.OnMessage(peer.node, std::move(message));
  return {};
}

}  // namespace masticrill::control
