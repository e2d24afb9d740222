#ifndef MASTICRILL_GATEWAY_STREAM_PACE_H_
#define MASTICRILL_GATEWAY_STREAM_PACE_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::gateway {

/// Learns how long one event of a service's streams takes, to tell whether a stream can end before
/// this process does. Thread-safe.
class StreamPace {
 public:
  /// A stream of that many events took that long from its first event on.
  void Add(const ServiceId& service, std::uint64_t events, Duration duration);

  /// The longest time that a stream of that many events is likely to take; 0 while nothing is
  /// known.
  Duration EstimateMaxDuration(const ServiceId& service, std::uint64_t events) const;

 private:
  struct Pace {
    double mean_s = 0;
    /// The mean distance of streams from the mean.
    double mean_deviation_s = 0;
  };

  mutable std::mutex mutex;
  std::map<ServiceId, Pace> paces;
};

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_STREAM_PACE_H_
