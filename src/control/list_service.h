#ifndef MASTICRILL_CONTROL_LIST_SERVICE_H_
#define MASTICRILL_CONTROL_LIST_SERVICE_H_

#include <mutex>
#include <string>

#include "control/address_book.h"
#include "control/periodic_thread.h"
#include "control/replica_runner.h"
#include "masticrill/control/control_options.h"
#include "masticrill/net/control_messages.h"

namespace masticrill::control {

/// Keeps the shared list: the leader reads it, the other control hosts ask the leader, and nodes
/// get it with their leases. So the outside list is read once for the whole fleet. Runs a thread
/// where a list is shared. Thread-safe.
class ListService {
 public:
  /// The arguments outlive it.
  ListService(const ControlOptions& options, ReplicaRunner& replica, AddressBook& addresses);
  void Stop() { this->thread.Stop(); }

  /// The list as this host has it, without its bytes where the version is known already.
  net::SharedList Read(std::uint64_t known_version) const;

 private:
  Duration RunOnce();
  void ReadAsLeader();
  void FetchFromLeader(const NodeId& leader);
  void Store(std::uint64_t version, std::string bytes, Duration age);

  const ControlOptions& options;
  ReplicaRunner& replica;
  AddressBook& addresses;
  SystemClock clock;
  bool failing = false;
  mutable std::mutex mutex;
  net::SharedList list;
  TimePoint read_at;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_LIST_SERVICE_H_
