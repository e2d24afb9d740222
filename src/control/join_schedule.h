#ifndef MASTICRILL_CONTROL_JOIN_SCHEDULE_H_
#define MASTICRILL_CONTROL_JOIN_SCHEDULE_H_

#include <map>
#include <optional>
#include <set>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::control {

/// Decides which control host a joining replica asks next. One request goes out at a time, but a
/// host that does not answer within kHedgeDelay no longer holds up the others. A host is asked
/// again some time after it refused. Not thread-safe; holds no resources.
class JoinSchedule {
 public:
  /// Wait for an answer before the next host is asked as well.
  static constexpr Duration kHedgeDelay = milliseconds(200);
  /// Wait before a host that refused is asked again.
  static constexpr Duration kRetryInterval = milliseconds(300);

  /// Starts a request: the host to ask now, `preferred` before the others and then the one that was
  /// asked longest ago. Nothing while none is to be asked.
  std::optional<NodeId> StartNext(const std::set<NodeId>& known, const NodeId& preferred,
                                  TimePoint now);
  /// The request to the host has ended, with any result.
  void End(const NodeId& host, TimePoint now);
  /// Whether each of the hosts has been asked since the last call that returned true.
  bool CompletesRound(const std::set<NodeId>& known);

 private:
  struct Attempt {
    TimePoint asked_at;
    /// Nothing while the request is in flight.
    std::optional<TimePoint> ended_at;
  };

  bool MayAsk(const NodeId& host, TimePoint now) const;
  bool IsAwaitingAnswer(TimePoint now) const;

  std::map<NodeId, Attempt> attempts;
  std::set<NodeId> asked_in_round;
};

}  // namespace masticrill::control

#endif  // MASTICRILL_CONTROL_JOIN_SCHEDULE_H_
