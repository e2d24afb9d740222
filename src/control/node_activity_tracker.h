#ifndef MASTICRILL_CONTROL_NODE_ACTIVITY_TRACKER_H_
#define MASTICRILL_CONTROL_NODE_ACTIVITY_TRACKER_H_

#include <map>
#include <optional>
#include <vector>

#include "control/node_registry.h"
#include "masticrill/common/clock.h"

namespace masticrill::control {

/// Tracks the last lease request of each node while this replica leads, so that nodes do not seem
/// lost when their control host fails to report once. Not thread-safe.
class NodeActivityTracker {
 public:
  /// Adds the current reports of the control hosts.
  void Observe(const std::vector<net::NodeReport>& reports, TimePoint now);
  /// Removes all records, at the end of leadership.
  void Clear();

  /// The entries that are lost. Until the nodes have been observed for `timeout`, kRetention is
  /// used in its place.
  std::vector<NodeIncarnation> LostEntries(Duration timeout, TimePoint now) const;

 private:
  struct LastReport {
    net::NodeReport report;
    TimePoint requested_at;
  };

  std::optional<TimePoint> observed_since;
  std::map<NodeIncarnation, LastReport> incarnations;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_NODE_ACTIVITY_TRACKER_H_
