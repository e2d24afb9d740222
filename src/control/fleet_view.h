#ifndef MASTICRILL_CONTROL_FLEET_VIEW_H_
#define MASTICRILL_CONTROL_FLEET_VIEW_H_

#include <set>
#include <string>
#include <vector>

#include "control/address_book.h"
#include "control/control_hosts.h"
#include "control/node_registry.h"

namespace masticrill::control {

/// Which control hosts know a feature, as far as they replied in time.
struct FeatureSurvey {
  std::set<NodeId> knowing;
  std::set<NodeId> not_knowing;
};

/// The last reports of all entries, as far as control hosts were reached.
struct EntryReports {
  std::vector<net::AgedEntryReport> reports;
  /// A control host of an earlier program runs, which takes no such reports.
  bool has_older_host = false;
};

/// Collects the reports of all reachable control hosts on their nodes. Thread-safe.
class FleetView {
 public:
  /// The arguments must outlive the view.
  FleetView(NodeRegistry& nodes, AddressBook& addresses, const ControlHosts& hosts)
      : nodes(nodes), addresses(addresses), hosts(hosts) {}

  /// Requests the reports of the other control hosts and merges them with the reports of this host.
  /// Takes at most kReplyTimeout, also when many hosts are down; those that do not reply are left
  /// out.
  std::vector<net::NodeReport> CollectReports();
  /// The same for the reports that entries have sent beside their lease requests.
  EntryReports CollectEntryReports();
  /// Asks the other control hosts whether their programs know a feature.
  FeatureSurvey AskFeature(const std::string& feature);
  /// The nodes that request leases from this host.
  std::vector<net::NodeReport> OwnReports() { return this->nodes.Reports(this->clock.Now()); }

 private:
  /// Sends the request to all other control hosts and passes on what comes back in time.
  template <typename Request, typename Visitor>
  void AskAll(const Request& request, const Visitor& visit);

  NodeRegistry& nodes;
  AddressBook& addresses;
  const ControlHosts& hosts;
  SystemClock clock;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_FLEET_VIEW_H_
