#ifndef MASTICRILL_SOAK_STOP_LOG_H_
#define MASTICRILL_SOAK_STOP_LOG_H_

#include <algorithm>
#include <mutex>
#include <vector>

#include "soak/timeline.h"

namespace masticrill::soak {

/// When planned stops of entries and of the group were begun. Safe for several threads.
class StopLog {
 public:
  void AddEntry(std::size_t host, TimePoint at) {
    const std::scoped_lock lock(this->mutex);
    this->entry_stops.push_back({host, at});
  }
  /// A control host was stopped, so that the group may change its leader.
  void AddControl(TimePoint at) {
    const std::scoped_lock lock(this->mutex);
    this->control_stop = std::max(this->control_stop, at);
  }

  /// The hosts whose entries may be stopping.
  std::vector<std::size_t> Stopping(TimePoint now) const {
    const std::scoped_lock lock(this->mutex);
    std::vector<std::size_t> hosts;
    for (const Stop& stop : this->entry_stops) {
      if (stop.at <= now && now <= stop.at + kStopGrace) {
        hosts.push_back(stop.host);
      }
    }
    return hosts;
  }

  /// Whether a stop of the entry may cut a request that was sent whole at `sent_at` and on which an
  /// upstream worked until `worked_until`.
  bool MayCut(std::size_t host, TimePoint sent_at, TimePoint worked_until) const {
    const std::scoped_lock lock(this->mutex);
    return std::any_of(this->entry_stops.begin(), this->entry_stops.end(), [&](const Stop& stop) {
      return stop.host == host && sent_at <= stop.at + kLateRequest &&
             worked_until >= stop.at + kStopGrace * 5 / 6 &&
             worked_until <= stop.at + kStopGrace + seconds(1);
    });
  }

  /// Whether no planned stop touched the host, or the group, shortly before nor since.
  bool InTouch(std::size_t host, TimePoint sent_at) const {
    const std::scoped_lock lock(this->mutex);
    const bool calm_group = this->control_stop + kStopGrace + kContact < sent_at;
    return calm_group &&
           std::none_of(this->entry_stops.begin(), this->entry_stops.end(), [&](const Stop& stop) {
             return stop.host == host && stop.at + kStopGrace + kContact >= sent_at;
           });
  }

 private:
  struct Stop {
    std::size_t host = 0;
    TimePoint at;
  };
  /// A request that is sent later than this after the stop must not be cut at its end.
  static constexpr seconds kLateRequest{3};

  mutable std::mutex mutex;
  std::vector<Stop> entry_stops;
  TimePoint control_stop = {};
};

}  // namespace masticrill::soak

#endif  // MASTICRILL_SOAK_STOP_LOG_H_
