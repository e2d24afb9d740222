#include "masticrill/sidecar/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace masticrill::sidecar {
namespace {

/// Factor by which the weight of earlier attempts in the long-term time decays with each new one.
constexpr double kLongTermDecay = 0.99;
/// Weight of one attempt in the recent slowdown and in the mean deadline budget.
constexpr double kRecentSampleWeight = 0.1;
/// Time over which the arrivals of more urgent attempts are averaged, in seconds.
constexpr double kRateWindowSeconds = 10;
/// Maximum share of the slots that more urgent arrivals are assumed to take.
constexpr double kMaxUrgentShare = 0.95;
/// Lower bound of the slowdown as a divisor, so that the margin stays bounded.
constexpr double kMinSlowdown = 0.01;
/// Upper bound of the estimated service and waiting times, in seconds.
constexpr double kMaxWaitSeconds = 3600;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double value) {
  return duration_cast<Duration>(std::chrono::duration<double>(value));
}

double TokensOf(const AttemptSpec& spec) { return std::max(1U, spec.expected_tokens); }

std::size_t IndexOf(RequestClass request_class) { return static_cast<std::size_t>(request_class); }

}  // namespace

void WaitEstimator::OnCompleted(const AttemptSpec& spec, Duration duration) {
  ClassState& state = this->classes.at(IndexOf(spec.request_class));
  if (state.tokens > 0) {
    const double ratio = Seconds(duration) / (TokensOf(spec) * state.seconds / state.tokens);
    this->deviation += kRecentSampleWeight * (std::abs(ratio - this->slowdown) - this->deviation);
    this->slowdown += kRecentSampleWeight * (ratio - this->slowdown);
  }
  state.seconds = state.seconds * kLongTermDecay + Seconds(duration);
  state.tokens = state.tokens * kLongTermDecay + TokensOf(spec);
}

void WaitEstimator::OnAccepted(const AttemptSpec& spec, TimePoint now) {
  ClassState& state = this->classes.at(IndexOf(spec.request_class));
  const double budget = Seconds(spec.deadline - now);
  state.budget += (state.budget == 0 ? 1 : kRecentSampleWeight) * (budget - state.budget);
  state.demand =
      this->DemandRate(state, now) * kRateWindowSeconds + Seconds(this->ServiceTime(spec));
  state.demand_at = now;
}

double WaitEstimator::DemandRate(const ClassState& state, TimePoint now) const {
  const double age = std::max(0.0, Seconds(now - state.demand_at));
  return state.demand * std::exp(-age / kRateWindowSeconds) / kRateWindowSeconds;
}

double WaitEstimator::SecondsPerToken(RequestClass request_class) const {
  if (const ClassState& own = this->classes.at(IndexOf(request_class)); own.tokens > 0) {
    return own.seconds / own.tokens * this->slowdown;
  }
  double seconds = 0;
  double tokens = 0;
  for (const ClassState& state : this->classes) {
    seconds += state.seconds;
    tokens += state.tokens;
  }
  return tokens > 0 ? seconds / tokens * this->slowdown : 0;
}

Duration WaitEstimator::ServiceTime(const AttemptSpec& spec) const {
  return FromSeconds(
      std::min(kMaxWaitSeconds, this->SecondsPerToken(spec.request_class) * TokensOf(spec)));
}

Duration WaitEstimator::SafeServiceTime(const AttemptSpec& spec) const {
  const double margin = 1 + 2 * this->deviation / std::max(this->slowdown, kMinSlowdown);
  return FromSeconds(std::min(kMaxWaitSeconds, Seconds(this->ServiceTime(spec)) * margin));
}

double WaitEstimator::DeadlineShare(const AttemptSpec& spec) const {
  const double budget = this->classes.at(IndexOf(spec.request_class)).budget;
  return budget > 0 ? Seconds(this->ServiceTime(spec)) / budget : 0;
}

Duration WaitEstimator::Wait(const AttemptSpec& spec, const ClassTokens& ahead, std::uint32_t slots,
                             TimePoint now) const {
  const double width = std::max(1U, slots);
  double work = 0;
  double urgent = 0;
  for (const RequestClass request_class : kAllRequestClasses) {
    work += ahead.at(IndexOf(request_class)) * this->SecondsPerToken(request_class);
    if (request_class < spec.request_class) {
      urgent += this->DemandRate(this->classes.at(IndexOf(request_class)), now);
    }
  }
  const double share = std::min(kMaxUrgentShare, urgent / width);
  return FromSeconds(std::min(kMaxWaitSeconds, work / width / (1 - share)));
}

}  // namespace masticrill::sidecar
