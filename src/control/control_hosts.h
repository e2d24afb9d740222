#ifndef MASTICRILL_CONTROL_CONTROL_HOSTS_H_
#define MASTICRILL_CONTROL_CONTROL_HOSTS_H_

#include <functional>
#include <set>
#include <utility>

#include "control/address_book.h"
#include "masticrill/consensus/replica_types.h"

namespace masticrill::control {

/// Who the other control hosts are, for all that ask or join them. The replicated membership says
/// it, learners included: settings name some hosts only, and followers hear from the leader alone.
/// Thread-safe.
class ControlHosts {
 public:
  /// Reads the status of this host's replica.
  using StatusReader = std::function<consensus::ReplicaStatus()>;

  /// The address book must outlive this object, and all that the reader refers to.
  ControlHosts(const AddressBook& addresses, StatusReader read_status)
      : addresses(addresses), read_status(std::move(read_status)) {}

  /// The other members whose addresses are known, which are the hosts that nodes get leases from.
  /// Before this replica is a member, all hosts that it has heard of.
  std::set<NodeId> Members() const;
  /// The members, the hosts of the settings, and those that have sent messages.
  std::set<NodeId> All() const;

 private:
  void AddMembers(const consensus::ReplicaStatus& status, std::set<NodeId>& hosts) const;
  void AddKnown(std::set<NodeId>& hosts) const;

  const AddressBook& addresses;
  StatusReader read_status;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_CONTROL_HOSTS_H_
