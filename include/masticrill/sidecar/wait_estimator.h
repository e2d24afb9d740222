#ifndef MASTICRILL_SIDECAR_WAIT_ESTIMATOR_H_
#define MASTICRILL_SIDECAR_WAIT_ESTIMATOR_H_

#include <array>
#include <cstdint>

#include "masticrill/common/clock.h"
#include "masticrill/common/request_class.h"
#include "masticrill/sidecar/attempt.h"
#include "masticrill/sidecar/fair_queue.h"

namespace masticrill::sidecar {

/// Estimates how long attempts run and wait, from how long earlier ones ran. Each class has its
/// long-term time for a token; how much slower the upstream is now is learned from all classes, so
/// that a class of which nothing was started lately has no stale estimate. Not thread-safe.
class WaitEstimator {
 public:
  /// An attempt ran for the duration.
  void OnCompleted(const AttemptSpec& spec, Duration duration);
  /// An attempt was accepted, at once or into the queue.
  void OnAccepted(const AttemptSpec& spec, TimePoint now);

  /// How long the attempt runs once started, on average; 0 while nothing is known.
  Duration ServiceTime(const AttemptSpec& spec) const;
  /// How long nearly every such attempt runs: the average and twice the mean deviation.
  Duration SafeServiceTime(const AttemptSpec& spec) const;

  /// How long such attempts run over the time that their deadlines gave them lately.
  double DeadlineShare(const AttemptSpec& spec) const;

  /// How long the attempt waits for one of the given places behind the given tokens, with room for
  /// more urgent attempts that arrive meanwhile at their recent rate.
  Duration Wait(const AttemptSpec& spec, const ClassTokens& ahead, std::uint32_t slots,
                TimePoint now) const;

 private:
  struct ClassState {
    double seconds = 0;
    double tokens = 0;
    /// Mean time from the arrival to the deadline, in seconds; 0 while nothing is known.
    double budget = 0;
    /// Place-seconds asked for, decayed over kRateWindow.
    double demand = 0;
    TimePoint demand_at{};
  };

  double SecondsPerToken(RequestClass request_class) const;
  double DemandRate(const ClassState& state, TimePoint now) const;

  std::array<ClassState, kRequestClassCount> classes;
  /// Recent time over the long-term time, and its mean absolute deviation.
  double slowdown = 1;
  double deviation = 0;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_WAIT_ESTIMATOR_H_
