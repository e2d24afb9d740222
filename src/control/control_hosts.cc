#include "control/control_hosts.h"

namespace masticrill::control {

std::set<NodeId> ControlHosts::Members() const {
  const consensus::ReplicaStatus status = this->read_status();
  std::set<NodeId> hosts;
  this->AddMembers(status, hosts);
  if (!status.membership.IsMember(status.id)) {
    this->AddKnown(hosts);
  }
  return hosts;
}

std::set<NodeId> ControlHosts::All() const {
  std::set<NodeId> hosts;
  this->AddMembers(this->read_status(), hosts);
  this->AddKnown(hosts);
  return hosts;
}

/// The address of a member may be its name.
void ControlHosts::AddMembers(const consensus::ReplicaStatus& status,
                              std::set<NodeId>& hosts) const {
  for (const auto* members : {&status.membership.voters, &status.membership.learners}) {
    for (const consensus::ReplicaId& member : *members) {
      if (this->addresses.Find(member.node)) {
        hosts.insert(member.node);
      }
    }
  }
}

void ControlHosts::AddKnown(std::set<NodeId>& hosts) const {
  for (const PeerAddress& peer : this->addresses.All()) {
    hosts.insert(peer.node);
  }
}

}  // namespace masticrill::control
