#ifndef MASTICRILL_GATEWAY_ANSWER_LATENESS_H_
#define MASTICRILL_GATEWAY_ANSWER_LATENESS_H_

#include <map>
#include <mutex>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::gateway {

/// Tracks for each service how late its recent answers began: the mean time to their start, as a
/// share of the latency target. 1 when answers begin exactly at their targets. Thread-safe.
class AnswerLateness {
 public:
  /// Records an answer that began `waited` after the request was handed over to the upstream.
  void Add(const ServiceId& service, Duration waited, milliseconds latency_target, TimePoint now);

  /// The weighted mean share of the latest answers, which decays while no answers begin. 0 for a
  /// service without recorded answers.
  double Read(const ServiceId& service, TimePoint now) const;

 private:
  struct Mean {
    double share = 0;
    TimePoint at;
  };

  mutable std::mutex mutex;
  std::map<ServiceId, Mean> means;
};

/// The confidence, from 0 to 1, below which a model's answer is discarded in favour of a stronger
/// model's: `base_target` while answers begin early, and less the later they begin. A strong model
/// takes many times the work of a cheap one, so under overload each escalated answer delays several
/// others. Pure.
double ConfidenceTargetUnderLoad(double base_target, double lateness);

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_ANSWER_LATENESS_H_
