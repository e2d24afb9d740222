#ifndef MASTICRILL_CONTROL_NODE_ACTIVITY_TRACKER_H_
#define MASTICRILL_CONTROL_NODE_ACTIVITY_TRACKER_H_

#include <map>
#include <optional>
#include <vector>

#include "control/node_registry.h"
#include "masticrill/common/clock.h"

namespace masticrill::control {

/// What a leader remembers of the nodes while it leads, so that a control host that fails to report
/// once does not make its nodes seem silent. Used by one thread.
class NodeActivityTracker {
 public:
  /// Adds what the control hosts report now.
  void Observe(const std::vector<net::NodeReport>& reports, TimePoint now);
  /// Forgets all, at the end of leadership.
  void Clear();

  /// The entries that have ended. Silence counts only once it was observed for its whole length.
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
