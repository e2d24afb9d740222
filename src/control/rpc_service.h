#ifndef MASTICRILL_CONTROL_RPC_SERVICE_H_
#define MASTICRILL_CONTROL_RPC_SERVICE_H_

#include <memory>

#include "control/address_book.h"
#include "control/group_formation.h"
#include "control/keyed_thread_pool.h"
#include "control/lease_service.h"
#include "control/list_service.h"
#include "control/member_service.h"
#include "control/node_registry.h"
#include "control/proposer.h"
#include "control/replica_runner.h"
#include "masticrill/net/channel.h"

namespace masticrill::control {

/// Components that handle the frames. All must outlive the service.
struct RpcParts {
  ReplicaRunner& replica;
  Proposer& proposer;
  LeaseService& leases;
  NodeRegistry& nodes;
  GroupFormation& formation;
  MemberService& members;
  AddressBook& addresses;
  const ListService& lists;
  /// Threads that send the replies to proposals, so that a slow receiver does not block the
  /// replica.
  std::shared_ptr<KeyedThreadPool> reply_threads;
};

/// Answers the frames of nodes and of other control replicas. Thread-safe.
class RpcService {
 public:
  explicit RpcService(RpcParts parts) : parts(std::move(parts)) {}

  void OnFrame(const std::shared_ptr<net::Channel>& channel, const net::Frame& frame);

 private:
  Result<void> Answer(const std::shared_ptr<net::Channel>& channel, const net::Frame& frame);
  Result<void> AnswerReplica(const std::shared_ptr<net::Channel>& channel, const net::Frame& frame);
  Result<void> Propose(const std::shared_ptr<net::Channel>& channel, const net::Frame& frame);
  /// What a control host needs of the reports that this host has received.
  ReportDetail DetailFor(const net::Identity& peer) const;
  Result<void> HandleEnvelope(const net::Identity& peer, const net::Frame& frame);

  RpcParts parts;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_RPC_SERVICE_H_
