#ifndef MASTICRILL_CONTROL_FLEET_VIEW_H_
#define MASTICRILL_CONTROL_FLEET_VIEW_H_

#include <atomic>
#include <mutex>
#include <vector>

#include "control/address_book.h"
#include "control/node_registry.h"

namespace masticrill::control {

/// Collects the reports of all reachable control hosts on their nodes. Thread-safe.
class FleetView {
 public:
  /// The arguments must outlive the view.
  FleetView(NodeRegistry& nodes, AddressBook& addresses) : nodes(nodes), addresses(addresses) {}

  /// Requests the reports of the other control hosts and merges them with the reports of this host.
  /// Takes at most kReplyTimeout, also when many hosts are down; those that do not reply are left
  /// out.
  std::vector<net::NodeReport> CollectReports();
  /// The result of the last CollectReports, with the current reports of this host.
  std::vector<net::NodeReport> LatestReports();

 private:
  NodeRegistry& nodes;
  AddressBook& addresses;
  SystemClock clock;
  /// Number of calls of CollectReports.
  std::atomic<std::size_t> rounds = 0;
  std::mutex mutex;
  std::vector<net::NodeReport> latest;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_FLEET_VIEW_H_
