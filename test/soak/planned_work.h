#ifndef MASTICRILL_SOAK_PLANNED_WORK_H_
#define MASTICRILL_SOAK_PLANNED_WORK_H_

#include <functional>
#include <map>

#include "masticrill/common/random.h"
#include "soak/fleet.h"
#include "soak/records.h"
#include "soak/stop_log.h"
#include "soak/upstreams.h"

namespace masticrill::soak {

/// Draws planned work: stops that overlap, also of processes that have just begun, and reloads.
/// Apart from that, disks that take no writes for a while, one after another.
class PlannedWork {
 public:
  PlannedWork(std::uint64_t seed, Fleet& fleet, Upstreams& upstreams, Calm& calm, StopLog& stops,
              Timeline& timeline)
      : random(seed),
        fleet(fleet),
        upstreams(upstreams),
        calm(calm),
        stops(stops),
        timeline(timeline) {}

  /// Stops and reloads for a span of time, until the last stop has ended.
  void RunStops(Duration span);
  /// Fills the disks of so many control hosts, never two at once, while upstreams cut answers.
  void RunFullDisks(int count);

 private:
  using Action = std::function<void()>;

  void Step();
  void RunUntil(TimePoint end);
  void Later(Duration after, Action action);
  void Draw();
  void DrawControlStop();
  void StopEntry(Host& host);
  /// Asks the program to stop, and kills it when it outlasts its grace.
  void Stop(Host& host, Role& role);
  void FillDisk(Host& host);
  Host& PickHost();
  Duration Between(int least_ms, int most_ms);

  Random random;
  Fleet& fleet;
  Upstreams& upstreams;
  Calm& calm;
  StopLog& stops;
  Timeline& timeline;
  std::multimap<TimePoint, Action> actions;
  /// How long after their next start entries are stopped again, by the numbers of their hosts.
  std::map<std::size_t, Duration> stop_when_young;
  TimePoint next_disk_stop = {};
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_PLANNED_WORK_H_
