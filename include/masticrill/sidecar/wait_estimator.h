#ifndef MASTICRILL_SIDECAR_WAIT_ESTIMATOR_H_
#define MASTICRILL_SIDECAR_WAIT_ESTIMATOR_H_

#include <array>
#include <cstdint>

#include "masticrill/common/clock.h"
#include "masticrill/common/request_class.h"
#include "masticrill/sidecar/attempt.h"
#include "masticrill/sidecar/fair_queue.h"

namespace masticrill::sidecar {

/// Estimates service and waiting times of attempts from the durations of earlier ones. Each class
/// has its own long-term time per token; the current slowdown of the upstream is learned from all
/// classes, so that the estimate of a class without recent attempts is not stale. Not thread-safe.
class WaitEstimator {
 public:
  /// Records an attempt that completed after the given duration.
  void OnCompleted(const AttemptSpec& spec, Duration duration);
  /// Records an attempt that was started at once or queued.
  void OnAccepted(const AttemptSpec& spec, TimePoint now);

  /// Mean time from the start to the end of such an attempt; 0 while nothing is known.
  Duration ServiceTime(const AttemptSpec& spec) const;
  /// Time within which nearly every such attempt ends: the mean plus twice the mean deviation.
  Duration SafeServiceTime(const AttemptSpec& spec) const;

  /// Service time of such attempts divided by their recent mean time from arrival to deadline; 0
  /// while nothing is known.
  double DeadlineShare(const AttemptSpec& spec) const;

  /// Expected wait for one of `slots` concurrent slots behind the tokens in `ahead`, including more
  /// urgent attempts that arrive meanwhile at their recent rate.
  Duration Wait(const AttemptSpec& spec, const ClassTokens& ahead, std::uint32_t slots,
                TimePoint now) const;

 private:
  struct ClassState {
    double seconds = 0;
    double tokens = 0;
    /// Mean time from the arrival to the deadline, in seconds; 0 while nothing is known.
    double budget = 0;
    /// Requested service time in slot-seconds, decayed over kRateWindowSeconds.
    double demand = 0;
    TimePoint demand_at{};
  };

  double SecondsPerToken(RequestClass request_class) const;
  double DemandRate(const ClassState& state, TimePoint now) const;

  std::array<ClassState, kRequestClassCount> classes;
  /// Ratio of the recent service time to the long-term one, and its mean absolute deviation.
  double slowdown = 1;
  double deviation = 0;
};

}  // namespace masticrill::sidecar

#endif  // MASTICRILL_SIDECAR_WAIT_ESTIMATOR_H_
