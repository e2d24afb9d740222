#include "masticrill/control/control_server.h"

#include <condition_variable>
#include <mutex>
#include <utility>

#include "control/address_book.h"
#include "control/control_hosts.h"
#include "control/durable_file.h"
#include "control/entry_report_controller.h"
#include "control/fleet_view.h"
#include "control/group_formation.h"
#include "control/group_joiner.h"
#include "control/group_monitor.h"
#include "control/keyed_thread_pool.h"
#include "control/lease_service.h"
#include "control/list_service.h"
#include "control/member_service.h"
#include "control/member_upkeep.h"
#include "control/node_registry.h"
#include "control/operator_access.h"
#include "control/operator_api.h"
#include "control/outcome_writer.h"
#include "control/peer_transport.h"
#include "control/proposer.h"
#include "control/replica_runner.h"
#include "control/revision_times.h"
#include "control/rollout_controller.h"
#include "control/rpc_service.h"
#include "control/upkeep.h"
#include "masticrill/common/log.h"
#include "masticrill/net/http_server.h"
#include "masticrill/net/rpc_server.h"

namespace masticrill::control {
namespace {

constexpr Logger kLog(LogPart::kControl);
constexpr std::size_t kReplyThreadCount = 4;
constexpr int kIncarnationBytes = 8;
/// The address that is sent to other replicas; empty when it is a wildcard or has no fixed port.
std::string AnnouncedAddress(const std::string& rpc_address) {
  const bool is_real = !rpc_address.starts_with("0.0.0.0:") && !rpc_address.ends_with(":0");
  return is_real ? rpc_address : "";
}

constexpr Duration kTransferPollInterval = milliseconds(20);

net::Credentials MakeCredentials(const ControlOptions& options) {
  return {
      {net::NodeRole::kControl, options.node, IncarnationId(SecureRandomHex(kIncarnationBytes))},
      options.shared_secret};
}

}  // namespace

/// The components; each uses only components that are declared before it.
struct ControlServer::State {
  explicit State(const ControlOptions& options)
      : options(options),
        replicated(options.state_limits),
        nodes(options.node),
        addresses(options.peers, MakeCredentials(options)),
        reply_threads(std::make_shared<KeyedThreadPool>(kReplyThreadCount)) {}

  ControlOptions options;
  state::ReplicatedState replicated;
  NodeRegistry nodes;
  AddressBook addresses;
  std::shared_ptr<KeyedThreadPool> reply_threads;
  RevisionTimes revision_times;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<ReplicaRunner> replica;
  std::unique_ptr<GroupMonitor> monitor;
  std::unique_ptr<OutcomeWriter> outcomes;
  std::unique_ptr<GroupFormation> formation;
  std::unique_ptr<Proposer> proposer;
  std::unique_ptr<MemberService> members;
  std::unique_ptr<MemberUpkeep> member_upkeep;
  std::unique_ptr<ControlHosts> hosts;
  std::unique_ptr<FleetView> fleet;
  std::unique_ptr<ListService> lists;
  std::unique_ptr<LeaseService> leases;
  std::unique_ptr<ReplicatedOperatorAccess> access;
  std::unique_ptr<Upkeep> upkeep;
  std::unique_ptr<RolloutController> rollouts;
  std::unique_ptr<EntryReportController> prompt_blocks;
  std::unique_ptr<GroupJoiner> joiner;
  std::unique_ptr<RpcService> rpc;
  std::unique_ptr<OperatorApi> api;
  std::unique_ptr<net::RpcServer> rpc_server;
  std::unique_ptr<net::HttpServer> http_server;
  std::mutex stop_mutex;
  bool stopped = false;

  Result<void> Start();
  Result<void> StartReplica();
  Result<void> StartServers();
  net::HttpAnswer AnswerOperator(const net::HttpRequest& request, const SenderWaits& sender_waits);
  void TransferLeadership();
  void GiveUpVote();
  bool AskToLeave(const NodeId& leader, Duration timeout);
  void StopParts();
};

Result<void> ControlServer::State::Start() {
  this->transport =
      std::make_unique<PeerTransport>(this->addresses, AnnouncedAddress(this->options.rpc_address));
  BOOST_LEAF_CHECK(this->StartReplica());
  this->members =
      std::make_unique<MemberService>(*this->replica, this->addresses, this->options.timings);
  this->member_upkeep = std::make_unique<MemberUpkeep>(this->options, *this->members);
  this->hosts = std::make_unique<ControlHosts>(this->addresses,
                                               [this] { return this->replica->Status().replica; });
  this->fleet = std::make_unique<FleetView>(this->nodes, this->addresses, *this->hosts);
  this->proposer =
      std::make_unique<Proposer>(*this->replica, this->addresses, this->options.timings);
  this->lists = std::make_unique<ListService>(this->options, *this->replica, this->addresses);
  this->leases =
      std::make_unique<LeaseService>(*this->replica, this->replicated, this->nodes, *this->lists);
  this->access = std::make_unique<ReplicatedOperatorAccess>(this->options, *this->replica,
                                                            this->replicated, *this->proposer,
                                                            *this->fleet, this->revision_times);
  this->upkeep =
      std::make_unique<Upkeep>(this->options, *this->replica, this->replicated, *this->proposer,
                               *this->fleet, this->addresses, *this->leases);
  this->rollouts = std::make_unique<RolloutController>(
      *this->replica, this->replicated, *this->fleet, *this->access, this->options.rollout);
  this->prompt_blocks = std::make_unique<EntryReportController>(
      *this->replica, this->replicated, *this->fleet, *this->leases, *this->access);
  this->joiner = std::make_unique<GroupJoiner>(this->options, *this->replica, this->addresses,
                                               *this->hosts, *this->formation);
  return this->StartServers();
}

Result<void> ControlServer::State::StartReplica() {
  BOOST_LEAF_CHECK(MakeFolders(this->options.data_folder));
  // An observer's process may have ended in the middle of a write in place.
  BOOST_LEAF_CHECK(this->options.may_vote ? RemoveDiscarded(this->options.data_folder)
                                          : RemoveFiles(this->options.data_folder));
  this->replica =
      std::make_unique<ReplicaRunner>(this->options, *this->transport, this->replicated, [this] {
        this->revision_times.Observe(this->replicated.Configuration()->declaration.revision,
                                     SystemClock().Now());
      });
  BOOST_LEAF_AUTO(self, this->replica->Open());
  LogDataFolder(this->replica->Status().replica);
  BOOST_LEAF_AUTO(writer, OutcomeWriter::Start(this->options.data_folder, this->replicated));
  this->outcomes = std::move(writer);
  this->formation =
      std::make_unique<GroupFormation>(this->options, *this->replica, this->addresses);
  BOOST_LEAF_CHECK(this->formation->Start(self));
  this->monitor = std::make_unique<GroupMonitor>(this->options, *this->replica);
  return {};
}

Result<void> ControlServer::State::StartServers() {
  this->rpc = std::make_unique<RpcService>(
      RpcParts{*this->replica, *this->proposer, *this->leases, this->nodes, *this->formation,
               *this->members, this->addresses, *this->lists, this->reply_threads});
  this->api = std::make_unique<OperatorApi>(
      ApiParts{this->options, *this->replica, this->replicated, *this->proposer, *this->leases,
               *this->members, *this->fleet, *this->outcomes, *this->upkeep, *this->transport,
               *this->monitor, *this->joiner});
  BOOST_LEAF_AUTO(rpc_started,
                  net::RpcServer::Start(
                      {.address = this->options.rpc_address,
                       .max_connections = this->options.max_rpc_connections},
                      this->addresses.Credentials(),
                      [service = this->rpc.get()](const std::shared_ptr<net::Channel>& channel,
                                                  const net::Frame& frame) {
                        service->OnFrame(channel, frame);
                      },
                      [](const std::shared_ptr<net::Channel>&) {}));
  this->rpc_server = std::move(rpc_started);
  BOOST_LEAF_AUTO(http_started,
                  net::HttpServer::Start(
                      {.address = this->options.http_address,
                       .max_connections = this->options.max_http_connections,
                       .max_buffered_bytes = this->options.max_http_bytes},
                      [this](const net::HttpRequest& request, net::HttpResponder& responder) {
                        responder.SendWhole(this->AnswerOperator(
                            request, [&responder] { return !responder.CallerLeft(); }));
                      }));
  this->http_server = std::move(http_started);
  return {};
}

net::HttpAnswer ControlServer::State::AnswerOperator(const net::HttpRequest& request,
                                                     const SenderWaits& sender_waits) {
  if (!this->options.operator_frontend) {
    return this->api->Handle(request, sender_waits);
  }
  RequestAccess request_access(*this->access, sender_waits);
  return this->options.operator_frontend(request, request_access);
}

/// Transfers leadership and waits until another replica leads, if there is another voter.
void ControlServer::State::TransferLeadership() {
  const TimePoint deadline =
      SystemClock().Now() + this->options.timings.leadership_transfer_timeout;
  std::mutex mutex;
  std::condition_variable timer;
  std::unique_lock lock(mutex);
  while (SystemClock().Now() < deadline) {
    const consensus::ReplicaStatus status = this->replica->Status().replica;
    if (status.role != consensus::Role::kLeader || status.membership.voters.size() < 2) {
      return;
    }
    this->replica->TransferLeadership();
    timer.wait_for(lock, kTransferPollInterval);
  }
  kLog.Warning("No other replica became leader within the transfer time-out.");
}

/// Asks the leader to take this replica's vote, and waits until it has decided. Without auto_join,
/// operators change the members.
void ControlServer::State::GiveUpVote() {
  const SystemClock clock;
  const TimePoint deadline = clock.Now() + this->options.timings.leave_timeout;
  std::mutex mutex;
  std::condition_variable timer;
  std::unique_lock lock(mutex);
  while (this->options.auto_join && clock.Now() < deadline) {
    const consensus::ReplicaStatus status = this->replica->Status().replica;
    if (!status.membership.IsVoter(status.id) || status.role == consensus::Role::kLeader) {
      break;
    }
    if (this->AskToLeave(status.leader.node, deadline - clock.Now())) {
      break;
    }
    timer.wait_for(lock, kTransferPollInterval);
  }
  const consensus::ReplicaStatus status = this->replica->Status().replica;
  if (!status.membership.IsVoter(status.id)) {
    this->replica->StopReceiving();
  }
}

/// Whether the leader has decided on this replica's vote.
bool ControlServer::State::AskToLeave(const NodeId& leader, Duration timeout) {
  const std::shared_ptr<net::RpcClient> client = this->addresses.Client(leader);
  if (client == nullptr) {
    return false;
  }
  return HandleErrors(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(reply, client->Call<net::MemberReply>(
                                   net::MemberRequest{net::MemberAction::kLeave, this->options.node,
                                                      this->options.rpc_address},
                                   timeout));
        kLog.Info("The leader has decided on the vote of this replica.",
                  {{"node", this->options.node}, {"answer", reply.message}});
        return true;
      },
      [&](const Error& error) {
        kLog.Debug("The leader did not decide on the vote of this replica; asking again.",
                   {{"leader", leader}, {"cause", error.message}});
        return false;
      });
}

/// Ends the threads; the replica after the components that use it, the transport after the replica.
void ControlServer::State::StopParts() {
  if (this->joiner != nullptr) {
    this->joiner->Stop();
  }
  if (this->member_upkeep != nullptr) {
    this->member_upkeep->Stop();
  }
  if (this->monitor != nullptr) {
    this->monitor->Stop();
  }
  if (this->lists != nullptr) {
    this->lists->Stop();
  }
  if (this->rollouts != nullptr) {
    this->rollouts->Stop();
  }
  if (this->prompt_blocks != nullptr) {
    this->prompt_blocks->Stop();
  }
  if (this->upkeep != nullptr) {
    this->upkeep->Stop();
  }
  if (this->http_server != nullptr) {
    this->http_server->Stop();
  }
  if (this->rpc_server != nullptr) {
    this->rpc_server->Stop();
  }
  if (this->formation != nullptr) {
    this->formation->Stop();
  }
  if (this->leases != nullptr) {
    this->leases->Stop();
  }
  this->addresses.CloseClients();
  if (this->proposer != nullptr) {
    this->proposer->Stop();
  }
  if (this->replica != nullptr) {
    this->replica->Stop();
  }
  if (this->transport != nullptr) {
    this->transport->Stop();
  }
  if (this->outcomes != nullptr) {
    this->outcomes->Stop();
  }
  this->reply_threads->Stop();
}

ControlServer::ControlServer(std::unique_ptr<State> state) : state(std::move(state)) {}

ControlServer::~ControlServer() {
  const std::scoped_lock lock(this->state->stop_mutex);
  if (!this->state->stopped) {
    this->state->stopped = true;
    this->state->StopParts();
  }
}

Result<std::unique_ptr<ControlServer>> ControlServer::Start(const ControlOptions& options) {
  if (options.node.Empty() || options.data_folder.empty() || options.shared_secret.empty()) {
    return Fail(ErrorKind::kInvalidSettings,
                "A control host needs a node name, a data folder and the shared secret. Set them "
                "in its settings.");
  }
  std::unique_ptr<ControlServer> server(new ControlServer(std::make_unique<State>(options)));
  BOOST_LEAF_CHECK(server->state->Start());
  kLog.Info(
      "The control host has started.",
      {{"node", options.node}, {"rpc", server->RpcAddress()}, {"http", server->HttpAddress()}});
  return server;
}

std::string ControlServer::RpcAddress() const { return this->state->rpc_server->Address(); }

std::string ControlServer::HttpAddress() const { return this->state->http_server->Address(); }

bool ControlServer::IsLeader() const {
  return this->state->replica->Status().replica.role == consensus::Role::kLeader;
}

void ControlServer::AddPeers(const std::vector<PeerAddress>& peers) {
  for (const PeerAddress& peer : peers) {
    this->state->addresses.Set(peer.node, peer.address);
  }
}

bool ControlServer::IsRetired() const { return this->state->joiner->IsRetired(); }

bool ControlServer::NeedsRestart() const {
  return this->state->replica->Status().stopped && TakesWrites(this->state->options.data_folder);
}

Result<void> ControlServer::DiscardData() {
  return this->state->options.may_vote ? Discard(this->state->options.data_folder) : Result<void>();
}

bool ControlServer::IsReady() const { return this->state->leases->HasQuorumEvidence(); }

void ControlServer::Stop() {
  const std::scoped_lock lock(this->state->stop_mutex);
  if (this->state->stopped) {
    return;
  }
  this->state->stopped = true;
  kLog.Info("The control host is stopping.", {{"node", this->state->options.node}});
  this->state->http_server->StopAccepting();
  this->state->proposer->StopAccepting();
  this->state->leases->StopGranting();
  this->state->TransferLeadership();
  this->state->GiveUpVote();
  this->state->StopParts();
}

}  // namespace masticrill::control
