#ifndef MASTICRILL_SOAK_FAULT_PLAN_H_
#define MASTICRILL_SOAK_FAULT_PLAN_H_

#include <functional>
#include <map>
#include <set>

#include "masticrill/common/random.h"
#include "soak/fleet.h"
#include "soak/records.h"
#include "soak/upstreams.h"

namespace masticrill::soak {

/// Draws faults that overlap, within what the group must bear: one of the hosts with a disk is lost
/// at a time, and stays lost for kCatchUp after its return. All processes of the group may end at
/// once as long as their disks stay.
class FaultPlan {
 public:
  FaultPlan(std::uint64_t seed, Fleet& fleet, Upstreams& upstreams, Calm& calm, Timeline& timeline)
      : random(seed), fleet(fleet), upstreams(upstreams), calm(calm), timeline(timeline) {}

  /// Faults for a span of time, then the return of all that is away.
  void Run(Duration span);
  /// Lets programs run undisturbed until then.
  void RunCalm(TimePoint until);
  /// When no host with a disk counts as lost any more.
  TimePoint LostUntil() const { return this->lost_until; }

 private:
  using Action = std::function<void()>;

  void Draw();
  void DrawDiskFault();
  void DrawGroupFault();
  void DrawSeeds();
  void DrawProcessFault(Host& host, Role& role);
  void DrawLinkFault();
  void Replace(Host& host);
  void BlockDisk(Host& host);
  void ScheduleDraw(TimePoint end);
  void Later(Duration after, Action action);
  void StartLater(Host& host, Role& role, Duration after);
  void Step();
  /// The host is lost until `span` from now, and then has to catch up.
  void Lose(const Host& host, Duration span);
  /// No other fault is drawn for the host until `span` from now.
  void Disturb(const Host& host, Duration span);
  bool IsAway(const Host& host) const { return this->away.contains(host.number); }
  Host* Pick(std::vector<Host*> hosts);
  Duration Between(int least_ms, int most_ms);

  Random random;
  Fleet& fleet;
  Upstreams& upstreams;
  Calm& calm;
  Timeline& timeline;
  TimePoint now = {};
  std::multimap<TimePoint, Action> actions;
  std::multiset<std::size_t> away;
  TimePoint lost_until = {};
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_FAULT_PLAN_H_
