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

/// Distributes the shared list of upstreams: the leader reads it from its source, the other control
/// hosts poll the leader, and nodes receive it with their leases. So the source is read once for
/// the whole fleet. Thread-safe; owns a thread, which is idle when no list is shared.
class ListService {
 public:
  /// The arguments must outlive the service.
  ListService(const ControlOptions& options, ReplicaRunner& replica, AddressBook& addresses);
  void Stop() { this->thread.Stop(); }

  /// This host's copy of the list, without the bytes when its version is `known_version`.
  net::SharedList Read(std::uint64_t known_version) const;

 private:
  Duration RunOnce();
  /// As the leader, which reads for all, or once on a host that has just started, so that the first
  /// leases after a start of the whole group come with a list.
  void ReadSource();
  void FetchFromLeader(const NodeId& leader);
  void Store(std::uint64_t version, std::string bytes, Duration age);

  const ControlOptions& options;
  ReplicaRunner& replica;
  AddressBook& addresses;
  SystemClock clock;
  bool failing = false;
  bool has_begun = false;
  mutable std::mutex mutex;
  net::SharedList list;
  TimePoint read_at;
  PeriodicThread thread;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_LIST_SERVICE_H_
