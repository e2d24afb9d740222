#ifndef MASTICRILL_GATEWAY_STREAM_PACE_H_
#define MASTICRILL_GATEWAY_STREAM_PACE_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::gateway {

/// Estimates the time per event of each service's streams, to decide whether a stream can end
/// before this process stops. Thread-safe.
class StreamPace {
 public:
  /// Records a stream of `events` events that took `duration` from its first event to its end.
  void Add(const ServiceId& service, std::uint64_t events, Duration duration);

  /// A duration that nearly all streams of that many events stay below; 0 for a service without
  /// recorded streams.
  Duration EstimateMaxDuration(const ServiceId& service, std::uint64_t events) const;

  /// Whether the service's streams were recorded for at least that span. Streams that last longer
  /// than a process has run are not among its records.
  bool Covers(const ServiceId& service, Duration span) const;

 private:
  struct Pace {
    double mean_s = 0;
    /// The mean absolute deviation from the mean.
    double mean_deviation_s = 0;
    /// When the first recorded stream began.
    TimePoint since;
  };

  SystemClock clock;
  mutable std::mutex mutex;
  std::map<ServiceId, Pace> paces;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_STREAM_PACE_H_
