#ifndef MASTICRILL_CONTROL_FLEET_VIEW_H_
#define MASTICRILL_CONTROL_FLEET_VIEW_H_

#include <vector>

#include "control/address_book.h"
#include "control/node_registry.h"

namespace masticrill::control {

/// What all reachable control hosts know of the nodes. Safe for several threads.
class FleetView {
 public:
  /// The arguments outlive the view.
  FleetView(NodeRegistry& nodes, AddressBook& addresses) : nodes(nodes), addresses(addresses) {}

  /// Asks the other control hosts, each for at most a second, and joins their reports.
  std::vector<net::NodeReport> CollectReports();

 private:
  NodeRegistry& nodes;
  AddressBook& addresses;
  SystemClock clock;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_FLEET_VIEW_H_
