#include "masticrill/gateway/answer_lateness.h"

#include <algorithm>
#include <cmath>

namespace masticrill::gateway {
namespace {

/// The weight of the newest answer in the mean, which then covers about ten answers: half a second
/// at a few dozen answers a second.
constexpr double kNewestWeight = 0.1;
/// The time in which the mean decays to 1/e (about a third) without new answers.
constexpr std::chrono::duration<double> kDecayTime{1.0};
/// Up to this lateness the confidence target is not lowered: a stronger model's answer, which takes
/// a few times longer to begin, is still on time.
constexpr double kFullTargetLateness = 0.25;
/// From this lateness on no answer is escalated, since the answers after it would miss their
/// latency targets.
constexpr double kOverloadLateness = 0.7;

}  // namespace

void AnswerLateness::Add(const ServiceId& service, Duration waited, milliseconds latency_target,
                         TimePoint now) {
  if (latency_target.count() <= 0) {
    return;
  }
  const std::chrono::duration<double, std::milli> waited_ms = waited;
  const double share = waited_ms.count() / static_cast<double>(latency_target.count());
  const std::scoped_lock lock(this->mutex);
  Mean& mean = this->means[service];
  mean.share += kNewestWeight * (share - mean.share);
  mean.at = now;
}

double AnswerLateness::Read(const ServiceId& service, TimePoint now) const {
  const std::scoped_lock lock(this->mutex);
  const auto found = this->means.find(service);
  if (found == this->means.end()) {
    return 0;
  }
  const std::chrono::duration<double> since = now - found->second.at;
  return found->second.share * std::exp(-since / kDecayTime);
}

double ConfidenceTargetUnderLoad(double base_target, double lateness) {
  const double left = (kOverloadLateness - lateness) / (kOverloadLateness - kFullTargetLateness);
  return base_target * std::clamp(left, 0.0, 1.0);
}

}  // namespace masticrill::gateway
