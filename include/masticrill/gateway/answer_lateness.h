#ifndef MASTICRILL_GATEWAY_ANSWER_LATENESS_H_
#define MASTICRILL_GATEWAY_ANSWER_LATENESS_H_

#include <map>
#include <mutex>

#include "masticrill/common/clock.h"
#include "masticrill/common/name.h"

namespace masticrill::gateway {

/// Knows how late a service's answers have begun lately, as a share of their latency targets: 1
/// when they begin just in time. Thread-safe.
class AnswerLateness {
 public:
  /// An answer began that long after its hand-over.
  void Add(const ServiceId& service, Duration waited, milliseconds latency_target, TimePoint now);

  /// The mean share of the last answers; it fades while none come. 0 while nothing is known.
  double Read(const ServiceId& service, TimePoint now) const;

 private:
  struct Mean {
    double share = 0;
    TimePoint at;
  };

  mutable std::mutex mutex;
  std::map<ServiceId, Mean> means;
};

/// How sure a model must be of its answer, from 0 to 1, for it not to be dropped for a stronger
/// model's: `calm_target` while answers begin early, and less the later they begin. A strong model
/// takes many times the work, so that under overload each answer that is improved makes several
/// others late. Pure.
double ConfidenceTargetUnderLoad(double base_target, double lateness);

}  // namespace masticrill::gateway

#endif  // MASTICRILL_GATEWAY_ANSWER_LATENESS_H_
