#include "masticrill/sidecar/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace masticrill::sidecar {
namespace {

/// Minimum share of the limit that must be in flight for a sample to justify a higher limit.
constexpr double kUsedShare = 0.5;

bool LimitIsUsed(double limit, const LimitSample& sample) {
  return sample.in_flight >= limit * kUsedShare;
}

}  // namespace

double AimdPolicy::Adjust(double limit, const LimitSample& sample, TimePoint now) {
  const bool tight = sample.deadline_share > this->options.tight_deadline_share;
  const double tolerated =
      tight ? this->options.tight_deadline_slow_ratio : this->options.slow_ratio;
  if (sample.latency_ratio <= tolerated) {
    return LimitIsUsed(limit, sample) ? limit + 1 / limit : limit;
  }
  // The latency of attempts started before the last decrease reflects the previous limit.
  if (sample.started_at < this->last_decrease) {
    return limit;
  }
  this->last_decrease = now;
  return limit * this->options.decrease;
}

double GradientPolicy::Adjust(double limit, const LimitSample& sample, TimePoint /*now*/) {
  this->recent_ratio += this->options.smoothing * (sample.latency_ratio - this->recent_ratio);
  const double gradient = std::clamp(this->options.tolerance / this->recent_ratio, 0.5, 1.0);
  const double target = limit * gradient + std::sqrt(limit);
  if (target > limit && !LimitIsUsed(limit, sample)) {
    return limit;
  }
  return limit + this->options.smoothing * (target - limit);
}

double GradientPolicy::AfterOverload(double limit) {
  this->recent_ratio = std::max(this->recent_ratio, this->options.tolerance);
  return limit * this->options.overload_decrease;
}

}  // namespace masticrill::sidecar
